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
 * Carries out what {@link Election} decides: requests to the store, waits, begin and end of terms.
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

  /** Begins and ends terms. */
  public interface TermListener {
    /** Begins a term; it may be over by now. In a thread of its own, which may throw. */
    void onTermBegin(long token);

    /** Ends the term of this token, if it has begun. */
    void onTermEnd(long token, String reason);
  }

  /** {@code workerReachability}: how much of the fleet this node reaches. */
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

  /** The fencing token; 0 if this node does not lead. */
  public long token() {
    return election.token();
  }

  /** Whether no other node can have become leader yet. */
  public boolean isLeaseCertain(long termToken) {
    return election.isLeaseCertain(termToken, LeaderTerm.nowMs());
  }

  /** Steady-clock milliseconds before which no other node can have become leader. */
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

  /** Ends the loop's rest: the leader's key has changed, or a term has ended. */
  public void wakeLoop() {
    synchronized (electionSignal) {
      electionSignal.notifyAll();
    }
  }

  /** Another node reports the leader's token: a higher one ends this node's term. */
  void onLeaderObserved(long observedToken) {
    executeAll(election.onLeaderObserved(observedToken));
  }

  /** Ends the term of this token, since another leader is certain. */
  public void stepDown(long termToken, String reason) {
    executeAll(election.stepDown(termToken, reason));
  }

  /** Gives the leadership up, since this node reaches too few workers. */
  public void resign(long termToken, String reason) {
    executeAll(election.resign(termToken, reason, LeaderTerm.nowMs()));
  }

  /** Actions that may come from outside the election loop, too: the end of a term. */
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
      LOG.debug("revoking the lease failed, it will expire: {}", e.toString());
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
        LOG.debug("election step failed: {}", e.toString());
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

  /** Carries an action out and reports its outcome to the election; true if a rest follows. */
  private boolean execute(Action action) throws IOException, InterruptedException {
    if (action instanceof Action.ReadKey) {
      store.get(RecordCodec.LEADER); // so that this node notices a partition from the store
      return false;
    } else if (action instanceof Action.Defer defer) {
      logDeferral(defer.workerReachability());
    } else if (action instanceof Action.RemoveStaleKey stale) {
      removeStaleKey(stale.revision());
    } else if (action instanceof Action.GrantLease grant) {
      election.onLeaseGranted(store.grant(grant.ttlMs()));
      return false;
    } else if (action instanceof Action.CreateKey create) {
      createKey(create.lease());
      return false;
    } else if (action instanceof Action.VerifyKey verify) {
      election.onKeyVerified(revisionIfOnLease(verify.lease()));
      return false;
    } else if (action instanceof Action.CatchUp catchUp) {
      catchUp(catchUp.revision());
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
        "deferring candidacy, node={} workers_reached={} workers_probed={}",
        node,
        reachability.answered(),
        reachability.probed());
  }

  private void removeStaleKey(long revision) throws InterruptedException {
    store.commit(
        new StoreClient.Transaction().when(RecordCodec.LEADER, revision).delete(RecordCodec.LEADER),
        RateLimiter.Urgency.LEASE,
        LoopTiming.LEADER_KEY_TIMEOUT_MS);
  }

  private void catchUp(long revision) throws InterruptedException {
    boolean caughtUp = watchCache.awaitRevision(revision, Election.LEADER_LEASE_MS);
    if (!caughtUp) {
      LOG.info("giving up a won election: cache is behind, token={}", revision);
    }
    election.onCaughtUp(revision, caughtUp);
  }

  /** True if a rest follows: not after the end of the lease, nor after a timeout. */
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
      LOG.debug("lease renewal timed out: {}", e.toString());
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

  /** The revision of the key, if it is on this lease and that could be renewed; else 0. */
  private long revisionIfOnLease(long lease) {
    try {
      return store.renew(lease) ? store.revisionOnLease(lease, RecordCodec.LEADER) : 0;
    } catch (IOException e) {
      LOG.debug("outcome of the key's creation is unknown: {}", e.toString());
      return 0;
    }
  }

  private void startTermAsync(long termToken) {
    LOG.info("{} leads with token {}", node, termToken);
    try {
      // Loading a large fleet may take longer than the lease: this loop goes on renewing it.
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
    LOG.error("term could not begin, node={} token={}", node, termToken, reason);
    executeAll(election.onTermStartFailed(termToken, LeaderTerm.nowMs()));
  }
}
