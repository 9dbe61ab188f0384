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

/** Carries out what {@link Election} decides: the requests to the state service, the waits. */
public final class LeaderElector {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderElector.class);

  private final String node;
  private final StoreClient store;
  private final WatchCache watchCache;
  private final TermListener termListener;
  private final Supplier<WorkerReachability.Measurement> workerReachability;
  private final Election election;
  private final Object electionSignal = new Object();

  /** Takes up and lays down the leader's work. */
  public interface TermListener {
    void onTermBegin(long token);

    /** Ends the term of this token, if it has begun. */
    void onTermEnd(long token, String reason);
  }

  /** {@code workerReachability}: what this node reaches of the fleet. */
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

  public void start() {
    Threads.startLoop("leadership", this::electionLoop);
  }

  /** 0 if this node does not lead. */
  public long token() {
    return election.token();
  }

  /** Whether no other node can have become leader yet. */
  public boolean leaseCertain(long termToken) {
    return election.leaseCertain(termToken, LeaderTerm.nowMs());
  }

  /** Until when, on the steady clock, no other node can have become leader. */
  long leaseCertainUntilMs() {
    return election.leaseCertainUntilMs();
  }

  /** The leader's key as far as known here, or null. */
  StoreClient.Entry leaderEntry() {
    return watchCache.get(RecordCodec.LEADER);
  }

  /** The node that leads as far as known here, or null. */
  public String leader() {
    StoreClient.Entry entry = leaderEntry();
    return entry == null ? null : String.valueOf(entry.data().get("node"));
  }

  /** The leader's key has changed, or a worker has shown a higher token. */
  public void wakeLoop() {
    synchronized (electionSignal) {
      electionSignal.notifyAll();
    }
  }

  /** Another node says who leads: if that one came later, this one does no longer. */
  void onLeaderObserved(long observedToken) {
    executeAll(election.onLeaderObserved(observedToken));
  }

  /** Gives the leadership up: it is certain that another has it. */
  public void stepDown(long termToken, String reason) {
    executeAll(election.stepDown(termToken, reason));
  }

  /** Lets another node lead, because this one reaches too few workers. */
  public void resign(long termToken, String reason) {
    executeAll(election.resign(termToken, reason, LeaderTerm.nowMs()));
  }

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
      store.revoke(lease);
    } catch (IOException e) {
      LOG.debug("the lease ends by itself: {}", e.toString());
    }
  }

  private void electionLoop() throws InterruptedException {
    while (true) {
      try {
        boolean waitBeforeNext = execute(election.next(view()));
        if (waitBeforeNext) {
          synchronized (electionSignal) {
            electionSignal.wait(
                token() == 0
                    ? LoopTiming.ELECTION_POLL_INTERVAL_MS
                    : LoopTiming.LEADER_LEASE_RENEW_INTERVAL_MS);
          }
        }
      } catch (IOException | RuntimeException e) {
        LOG.debug("leadership: {}", e.toString());
        Threads.backOff();
      }
    }
  }

  private Election.View view() {
    StoreClient.Entry entry = leaderEntry();
    Election.Holder holder =
        entry == null
            ? null
            : new Election.Holder(String.valueOf(entry.data().get("node")), entry.revision());
    return new Election.View(
        LeaderTerm.nowMs(),
        watchCache.loaded(),
        holder,
        workerReachability.get(),
        store.silenceMs());
  }

  /** Does what was decided and tells what came of it; true if a rest follows. */
  private boolean execute(Action action) throws IOException, InterruptedException {
    if (action instanceof Action.ReadKey) {
      store.get(RecordCodec.LEADER); // so that this node notices if it is cut off
      return false;
    } else if (action instanceof Action.Defer defer) {
      LOG.info(
          "{} reaches {} of {} workers asked: the others may stand first",
          node,
          defer.workerReachability().answered(),
          defer.workerReachability().probed());
    } else if (action instanceof Action.RemoveStaleKey r) {
      store.commit(
          new StoreClient.Transaction()
              .when(RecordCodec.LEADER, r.revision())
              .delete(RecordCodec.LEADER),
          RateLimiter.Urgency.LEASE,
          LoopTiming.LEADER_KEY_TIMEOUT_MS);
    } else if (action instanceof Action.GrantLease grant) {
      election.onLeaseGranted(store.grant(grant.ttlMs()));
      return false;
    } else if (action instanceof Action.CreateKey c) {
      createKey(c.lease());
      return false;
    } else if (action instanceof Action.VerifyKey verify) {
      election.onKeyVerified(revisionIfOnLease(verify.lease()));
      return false;
    } else if (action instanceof Action.CatchUp c) {
      boolean caughtUp = watchCache.awaitRevision(c.revision(), Election.LEADER_LEASE_MS);
      if (!caughtUp) {
        LOG.info("won token {} but could not read up to it: given up", c.revision());
      }
      election.onCaughtUp(c.revision(), caughtUp);
      return false;
    } else if (action instanceof Action.BeginTerm begin) {
      startTermAsync(begin.token());
    } else if (action instanceof Action.RenewLease r) {
      return renew(r.lease());
    } else {
      executeAll(List.of(action));
    }
    return true;
  }

  /** True if a rest follows: not after what ends a term, nor after a try that got no answer. */
  private boolean renew(long lease) throws IOException {
    long sentMs = LeaderTerm.nowMs();
    try {
      election.onLeaseRenewed(store.renew(lease));
      return token() != 0;
    } catch (IOException e) {
      election.onLeaseRenewed(null);
      if (LeaderTerm.nowMs() - sentMs < StoreClient.LEADER_LEASE_RENEW_TIMEOUT_MS) {
        throw e;
      }
      LOG.debug("renewal of the lease: {}", e.toString());
      return false;
    }
  }

  private void createKey(long lease) throws InterruptedException {
    StoreClient.Transaction txn =
        new StoreClient.Transaction()
            .when(RecordCodec.LEADER, 0)
            .put(RecordCodec.LEADER, RecordCodec.encodeLeader(node), lease);
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

  /** The revision of the key, if it stands on this lease and that could be prolonged; else 0. */
  private long revisionIfOnLease(long lease) {
    try {
      return store.renew(lease) ? store.revisionOnLease(lease, RecordCodec.LEADER) : 0;
    } catch (IOException e) {
      LOG.debug("whether a claim was carried out is not known: {}", e.toString());
      return 0;
    }
  }

  private void startTermAsync(long termToken) {
    LOG.info("{} leads with token {}", node, termToken);
    try {
      // Taking over a large fleet takes longer than the lease lives on a small share of a
      // processor: this loop renews meanwhile.
      Threads.start("begin", () -> startTerm(termToken));
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
    LOG.error("a term could not begin", reason);
    executeAll(election.onTermStartFailed(termToken, LeaderTerm.nowMs()));
  }
}
