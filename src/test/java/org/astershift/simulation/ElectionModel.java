package org.astershift.simulation;

import java.util.List;
import java.util.Map;
import org.astershift.controller.LoopTiming;
import org.astershift.coordination.Election;
import org.astershift.coordination.Election.Action;
import org.astershift.http.Threads;
import org.astershift.simulation.StoreModel.Outcome;
import org.astershift.simulation.StoreModel.Write;

/** Carries out the actions of the program's {@link Election}, one at a time. */
final class ElectionModel {
  private final ControllerModel controller;
  private final Simulation simulation;
  private final Election election;

  /** Number of the newest wait; only the newest one leads to a round. */
  private long waitNumber;

  /**
   * Whether no action is in progress, and the next round waits for its time or for a change of the
   * leader key.
   */
  private boolean isWaiting;

  ElectionModel(ControllerModel controller) {
    this.controller = controller;
    this.simulation = controller.simulation;
    this.election = new Election(controller.name, controller.peers().candidacy());
  }

  private Election.View view() {
    return new Election.View(
        controller.clock(),
        controller.watchCache().isLoaded(),
        controller.watchCache().leaderHolder(),
        controller.peers().reachability(),
        controller.clock() - controller.storeAnsweredMs());
  }

  /** Handles a change of the leader key: runs the next round at once, unless one is in progress. */
  void onLeaderKeyChanged() {
    if (isWaiting) {
      runRoundAfter(0);
    }
  }

  private void runRoundAfter(long delayMs) {
    isWaiting = true;
    long number = ++waitNumber;
    controller.runLater(
        delayMs,
        () -> {
          if (number == waitNumber) {
            runRound();
          }
        });
  }

  private long intervalMs() {
    return election.token() == 0
        ? LoopTiming.ELECTION_POLL_INTERVAL_MS
        : LoopTiming.LEADER_LEASE_RENEW_INTERVAL_MS;
  }

  /** Runs one round of the election and schedules the next. */
  void runRound() {
    isWaiting = false;
    waitNumber++;
    Action action = election.nextAction(view());
    long intervalMs = intervalMs();
    if (action instanceof Action.ReadKey) {
      readKey();
    } else if (action instanceof Action.RemoveStaleKey removal) {
      removeStaleKey(removal, intervalMs);
    } else if (action instanceof Action.GrantLease grant) {
      grantLease(grant);
    } else if (action instanceof Action.CreateKey creation) {
      createKey(creation);
    } else if (action instanceof Action.VerifyKey verification) {
      verifyKey(verification);
    } else if (action instanceof Action.AwaitRevision catchUp) {
      catchUp(catchUp.revision(), controller.clock() + Election.LEADER_LEASE_MS);
    } else if (action instanceof Action.BeginTerm begin) {
      beginTerm(begin.token());
      runRoundAfter(intervalMs);
    } else if (action instanceof Action.RenewLease renewal) {
      renewLease(renewal, intervalMs);
    } else {
      execute(List.of(action));
      runRoundAfter(intervalMs);
    }
  }

  private void readKey() {
    controller.storeRequest(
        () -> simulation.store.revision(),
        revision -> runRoundAfter(revision == null ? Threads.RETRY_BACKOFF_MS : 0));
  }

  private void removeStaleKey(Action.RemoveStaleKey removal, long intervalMs) {
    controller.compareAndSwap(
        Map.of(StoreModel.LEADER_KEY, removal.revision()),
        List.of(new Write(StoreModel.LEADER_KEY, null, 0)),
        outcome -> runRoundAfter(intervalMs));
  }

  private void grantLease(Action.GrantLease grant) {
    controller.storeRequest(
        () -> simulation.store.grantLease(grant.ttlMs()),
        lease -> {
          if (lease != null) {
            election.onLeaseGranted(lease);
          }
          runRoundAfter(lease == null ? Threads.RETRY_BACKOFF_MS : 0);
        });
  }

  private void createKey(Action.CreateKey creation) {
    simulation.delayedHeartbeats.onFailoverStep(
        DelayedHeartbeats.FailoverStep.BEFORE_KEY_CREATION, controller);
    controller.compareAndSwap(
        Map.of(StoreModel.LEADER_KEY, 0L),
        List.of(new Write(StoreModel.LEADER_KEY, controller.name, creation.lease())),
        outcome -> {
          election.onKeyCreation(keyCreation(outcome), outcome == null ? 0 : outcome.revision());
          if (outcome != null && outcome.revision() > 0) {
            simulation.delayedHeartbeats.onFailoverStep(
                DelayedHeartbeats.FailoverStep.KEY_CREATED, controller);
          }
          runRoundAfter(0);
        });
  }

  private static Election.KeyCreation keyCreation(Outcome outcome) {
    if (outcome == null) {
      return Election.KeyCreation.UNKNOWN;
    }
    return outcome.revision() > 0 ? Election.KeyCreation.CREATED : Election.KeyCreation.REJECTED;
  }

  private void verifyKey(Action.VerifyKey verification) {
    controller.storeRequest(
        () -> {
          StoreModel.Row row =
              simulation.store.renewLease(verification.lease())
                  ? simulation.store.get(StoreModel.LEADER_KEY)
                  : null;
          return row != null && row.lease() == verification.lease() ? row.revision() : 0L;
        },
        revision -> {
          election.onKeyVerified(revision == null ? 0 : revision);
          runRoundAfter(0);
        });
  }

  private void renewLease(Action.RenewLease renewal, long intervalMs) {
    controller.storeRequest(
        () -> simulation.store.renewLease(renewal.lease()),
        renewed -> {
          election.onLeaseRenewed(renewed);
          if (renewed == null) {
            runRoundAfter(Threads.RETRY_BACKOFF_MS);
          } else {
            runRoundAfter(election.token() == 0 ? 0 : intervalMs);
          }
        });
  }

  private void catchUp(long revision, long deadlineMs) {
    simulation.delayedHeartbeats.onFailoverStep(
        DelayedHeartbeats.FailoverStep.CATCHING_UP, controller);
    boolean caughtUp =
        controller.watchCache().revision() >= revision
            || controller.hasMutation(Mutation.NO_CATCH_UP);
    if (caughtUp || controller.clock() > deadlineMs) {
      election.onRevisionAwaited(revision, caughtUp);
      runRoundAfter(0);
    } else {
      controller.runLater(
          WatchCacheModel.POLL_INTERVAL_MS / 2, () -> catchUp(revision, deadlineMs));
    }
  }

  private void beginTerm(long token) {
    if (election.token() == token) {
      new LeaderTermModel(controller, token).begin();
    }
  }

  private void execute(List<Action> actions) {
    for (Action action : actions) {
      if (action instanceof Action.EndTerm end) {
        endTerm(end);
      } else if (action instanceof Action.RevokeLease revocation) {
        controller.storeRequest(
            () -> {
              simulation.store.revokeLease(revocation.lease());
              return true;
            },
            revoked -> {});
      }
    }
  }

  private void endTerm(Action.EndTerm end) {
    LeaderTermModel term = controller.term();
    if (term != null && term.token() == end.token()) {
      simulation.log(controller.name, "ends its term token=" + end.token() + ": " + end.reason());
      controller.setTerm(null);
    }
  }

  /** Handles the peers' report of a leader key with this revision. */
  void onLeaderObserved(long revision) {
    execute(election.onLeaderObserved(revision));
  }

  /** Ends the term because another controller leads. */
  void stepDown(LeaderTermModel term, String reason) {
    execute(election.stepDown(term.token(), reason));
  }

  /** Ends the term so that another controller may lead. */
  void resign(LeaderTermModel term, String reason) {
    execute(election.resign(term.token(), reason, controller.clock()));
  }

  /** Returns whether no other controller can lead now. */
  boolean isLeaseCertain(long token) {
    return election.isLeaseCertain(token, controller.clock());
  }

  /** Returns until when no other controller can lead, by this controller's clock. */
  long leaseCertainUntilMs() {
    return election.leaseCertainUntilMs();
  }
}
