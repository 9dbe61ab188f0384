package org.astershift.controller;

import java.io.IOException;
import java.util.List;
import java.util.function.Supplier;
import org.astershift.coordination.Candidacy;
import org.astershift.coordination.Election;
import org.astershift.coordination.Election.Action;
import org.astershift.coordination.WorkerReachability;
import org.astershift.http.ThreadUnavailableException;
import org.astershift.http.Threads;
import org.astershift.store.RateLimiter;
import org.astershift.store.RecordCodec;
import org.astershift.store.StoreClient;
import org.astershift.store.WatchCache;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Executes the actions that {@link Election} decides: store requests, waits, and the begin and end
 * of terms.
 */
public final class LeaderElector {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderElector.class);

  private final String node;
  private final StoreClient store;
  private final WatchCache watchCache;
  private final TermListener termListener;
  private final Supplier<WorkerReachability.Measurement> workerReachability;
  private final Election election;
  private final Object electionSignal = new Object();

  /** Begins and ends the terms of this controller. */
  public interface TermListener {
    /**
     * Begins a term, which may have ended already. Called on a thread of its own; a failure ends
     * the term.
     */
    void onTermBegin(long token);

    /** Ends the term with this token; has no effect if that term has not begun. */
    void onTermEnd(long token, String reason);
  }

  /** {@code workerReachability} supplies how much of the fleet this controller reaches. */
  public LeaderElector(
      String node,
      StoreClient store,
      WatchCache watchCache,
      TermListener termListener,
      Candidacy candidacy,
      Supplier<WorkerReachability.Measurement> workerReachability) {
    this.node = node;
    this.store = store;
    this.watchCache = watchCache;
    this.termListener = termListener;
    this.workerReachability = workerReachability;
    this.election = new Election(node, candidacy);
  }

  /** Starts the election loop. */
  public void start() {
    Threads.startLoop("election", this::electionLoop);
  }

  /** Returns the fencing token; 0 if this controller does not lead. */
  public long token() {
    return election.token();
  }

  /** Returns whether no other controller can have become leader since the term began. */
  public boolean isLeaseCertain(long termToken) {
    return election.isLeaseCertain(termToken, LeaderTerm.nowMs());
  }

  /** Returns the monotonic time, in milliseconds, before which no other controller can lead. */
  long leaseCertainUntilMs() {
    return election.leaseCertainUntilMs();
  }

  /** Returns the leader key as this controller has cached it; null if there is none. */
  StoreClient.Entry leaderEntry() {
    return watchCache.get(RecordCodec.LEADER_KEY);
  }

  /** Returns the name of the leader according to the cached leader key; null if there is none. */
  public String leader() {
    StoreClient.Entry entry = leaderEntry();
    return entry == null ? null : String.valueOf(entry.data().get("node"));
  }

  /** Wakes the election loop, because the leader key changed or a term ended. */
  public void wakeLoop() {
    synchronized (electionSignal) {
      electionSignal.notifyAll();
    }
  }

  /** Handles a leader's token that another controller reports; a higher one ends this term. */
  void onLeaderObserved(long observedToken) {
    executeAll(election.onLeaderObserved(observedToken));
  }

  /** Ends the term with this token, since another controller leads or the term cannot go on. */
  public void stepDown(long termToken, String reason) {
    executeAll(election.stepDown(termToken, reason));
  }

  /** Resigns as leader, because this controller reaches too few workers. */
  public void resign(long termToken, String reason) {
    executeAll(election.resign(termToken, reason, LeaderTerm.nowMs()));
  }

  /**
   * Executes the actions that can also be decided outside the election loop: the end of a term and
   * the revocation of its lease.
   */
  private void executeAll(List<Action> actions) {
    for (Action action : actions) {
      if (action instanceof Action.EndTerm endTerm) {
        termListener.onTermEnd(endTerm.token(), endTerm.reason());
        wakeLoop();
      } else if (action instanceof Action.RevokeLease revokeLease) {
        revoke(revokeLease.lease());
      }
    }
  }

  private void revoke(long lease) {
    try {
      store.revokeLease(lease);
    } catch (IOException e) {
      LOG.debug("revoking the lease failed; it expires on its own: {}", e.toString());
    }
  }

  private void electionLoop() throws InterruptedException {
    while (true) {
      try {
        boolean waitBeforeNext = execute(election.nextAction(buildView()));
        if (waitBeforeNext) {
          synchronized (electionSignal) {
            electionSignal.wait(
                token() == 0
                    ? LoopTiming.ELECTION_POLL_INTERVAL_MS
                    : LoopTiming.LEADER_LEASE_RENEW_INTERVAL_MS);
          }
        }
      } catch (IOException | RuntimeException e) {
        LOG.debug("election step failed; will retry: {}", e.toString());
        Threads.backOff();
      }
    }
  }

  private Election.View buildView() {
    StoreClient.Entry entry = leaderEntry();
    Election.Holder holder =
        entry == null
            ? null
            : new Election.Holder(String.valueOf(entry.data().get("node")), entry.revision());
    return new Election.View(
        LeaderTerm.nowMs(),
        watchCache.isLoaded(),
        holder,
        workerReachability.get(),
        store.silenceMs());
  }

  /**
   * Executes an action and reports its outcome to the election; returns whether the loop waits
   * before the next action.
   */
  private boolean execute(Action action) throws IOException, InterruptedException {
    if (action instanceof Action.ReadKey) {
      store.get(RecordCodec.LEADER_KEY); // shows whether the store responds
      return false;
    } else if (action instanceof Action.Defer defer) {
      logDeferral(defer.workerReachability());
    } else if (action instanceof Action.RemoveStaleKey stale) {
      removeStaleKey(stale.revision());
    } else if (action instanceof Action.GrantLease grant) {
      election.onLeaseGranted(store.grantLease(grant.ttlMs()));
      return false;
    } else if (action instanceof Action.CreateKey create) {
      createKey(create.lease());
      return false;
    } else if (action instanceof Action.VerifyKey verify) {
      election.onKeyVerified(revisionIfOnLease(verify.lease()));
      return false;
    } else if (action instanceof Action.AwaitRevision awaitRevision) {
      awaitRevision(awaitRevision.revision());
      return false;
    } else if (action instanceof Action.BeginTerm begin) {
      startTermAsync(begin.token());
    } else if (action instanceof Action.RenewLease renewal) {
      return renew(renewal.lease());
    } else {
      executeAll(List.of(action));
    }
    return true;
  }

  private void logDeferral(WorkerReachability.Measurement reachability) {
    LOG.info(
        "deferring candidacy: node={} workers_reached={} workers_probed={}",
        node,
        reachability.answeredCount(),
        reachability.probedCount());
  }

  private void removeStaleKey(long revision) throws InterruptedException {
    store.commit(
        new StoreClient.Transaction()
            .requireRevision(RecordCodec.LEADER_KEY, revision)
            .delete(RecordCodec.LEADER_KEY),
        RateLimiter.Urgency.LEASE,
        LoopTiming.LEADER_KEY_TIMEOUT_MS);
  }

  private void awaitRevision(long revision) throws InterruptedException {
    boolean reached = watchCache.awaitRevision(revision, Election.LEADER_LEASE_MS);
    if (!reached) {
      LOG.info("cache did not catch up in time; giving up a won election: token={}", revision);
    }
    election.onRevisionAwaited(revision, reached);
  }

  /**
   * Renews the lease; returns whether the loop waits before the next action. It does not wait after
   * the end of the lease or after a timeout.
   */
  private boolean renew(long lease) throws IOException {
    long sentMs = LeaderTerm.nowMs();
    try {
      election.onLeaseRenewed(store.renewLease(lease));
      return token() != 0;
    } catch (IOException e) {
      election.onLeaseRenewed(null);
      if (LeaderTerm.nowMs() - sentMs < StoreClient.LEADER_LEASE_RENEW_TIMEOUT_MS) {
        throw e;
      }
      LOG.debug("lease renewal timed out; will retry: {}", e.toString());
      return false;
    }
  }

  private void createKey(long lease) throws InterruptedException {
    StoreClient.Transaction txn =
        new StoreClient.Transaction()
            .requireRevision(RecordCodec.LEADER_KEY, 0)
            .put(RecordCodec.LEADER_KEY, RecordCodec.encodeLeader(node), lease);
    StoreClient.Outcome outcome =
        store.commit(txn, RateLimiter.Urgency.LEASE, LoopTiming.LEADER_KEY_TIMEOUT_MS);
    if (outcome instanceof StoreClient.Outcome.Committed committed) {
      election.onKeyCreation(Election.KeyCreation.CREATED, committed.revision());
    } else if (outcome instanceof StoreClient.Outcome.Unknown) {
      election.onKeyCreation(Election.KeyCreation.UNKNOWN, 0);
    } else {
      election.onKeyCreation(Election.KeyCreation.REJECTED, 0);
    }
  }

  /**
   * Renews the lease and returns the revision of the leader key if the key is attached to it;
   * returns 0 if not, or if either request failed.
   */
  private long revisionIfOnLease(long lease) {
    try {
      return store.renewLease(lease) ? store.revisionIfAttached(lease, RecordCodec.LEADER_KEY) : 0;
    } catch (IOException e) {
      LOG.debug(
          "verifying the creation of the leader key failed; revoking the lease: {}", e.toString());
      return 0;
    }
  }

  private void startTermAsync(long termToken) {
    LOG.info("{} leads with token {}", node, termToken);
    try {
      // Loading a large fleet may take longer than the lease, which this loop keeps renewing.
      Threads.start("term-begin", () -> startTerm(termToken));
    } catch (ThreadUnavailableException e) {
      abandonTerm(termToken, e);
    }
  }

  private void startTerm(long termToken) {
    try {
      termListener.onTermBegin(termToken);
    } catch (RuntimeException | Error e) {
      abandonTerm(termToken, e);
    }
  }

  private void abandonTerm(long termToken, Throwable reason) {
    LOG.error("term could not begin; resigning: node={} token={}", node, termToken, reason);
    executeAll(election.onTermStartFailed(termToken, LeaderTerm.nowMs()));
  }
}
