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

  /** Begins and ends the terms of this node. */
  public interface TermListener {
    /**
     * Begins a term, which may have ended already. Called on a thread of its own; a failure ends
     * the term.
     */
    void onTermBegin(long token);

    /** Ends the term with this token, if it has begun. */
    void onTermEnd(long token, String reason);
  }

  /** {@code workerReachability} supplies how much of the fleet this node reaches. */
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

  /** Returns the fencing token; 0 if this node does not lead. */
  public long token() {
    return election.token();
  }

  /** Returns whether no other node can have become leader since the term began. */
  public boolean isLeaseCertain(long termToken) {
    return election.isLeaseCertain(termToken, LeaderTerm.nowMs());
  }

  /** Returns the monotonic time, in milliseconds, before which no other node can lead. */
  long leaseCertainUntilMs() {
    return election.leaseCertainUntilMs();
  }

  /** Returns the leader key as cached on this node, or null. */
  StoreClient.Entry leaderEntry() {
    return watchCache.get(RecordCodec.LEADER_KEY);
  }

  /** Returns the node that leads according to the cached leader key, or null. */
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

  /** Handles the leader's token as another node reports it; a higher one ends this node's term. */
  void onLeaderObserved(long observedToken) {
    executeAll(election.onLeaderObserved(observedToken));
  }

  /** Ends the term with this token: another leader is certain, or the term cannot go on. */
  public void stepDown(long termToken, String reason) {
    executeAll(election.stepDown(termToken, reason));
  }

  /** Resigns as leader, because this node reaches too few workers. */
  public void resign(long termToken, String reason) {
    executeAll(election.resign(termToken, reason, LeaderTerm.nowMs()));
  }

  /**
   * Executes actions that may also originate outside the election loop: the end of a term and the
   * revocation of its lease.
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
      LOG.debug("revoking the lease failed; it will expire: {}", e.toString());
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
      store.get(RecordCodec.LEADER_KEY); // shows whether this node is partitioned from the store
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
    } else if (action instanceof Action.AwaitRevision catchUp) {
      awaitRevision(catchUp.revision());
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
    boolean caughtUp = watchCache.awaitRevision(revision, Election.LEADER_LEASE_MS);
    if (!caughtUp) {
      LOG.info("giving up a won election: cache did not catch up in time, token={}", revision);
    }
    election.onRevisionAwaited(revision, caughtUp);
  }

  /**
   * Renews the lease; returns whether the loop waits before the next action, which it does not
   * after the end of the lease or a timeout.
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
      LOG.debug("lease renewal timed out: {}", e.toString());
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
   * Returns the revision of the leader key if this lease was renewed and the key is attached to it;
   * otherwise 0.
   */
  private long revisionIfOnLease(long lease) {
    try {
      return store.renewLease(lease) ? store.revisionIfAttached(lease, RecordCodec.LEADER_KEY) : 0;
    } catch (IOException e) {
      LOG.debug("verifying the creation of the leader key failed: {}", e.toString());
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
    LOG.error("term could not begin; resigning, node={} token={}", node, termToken, reason);
    executeAll(election.onTermStartFailed(termToken, LeaderTerm.nowMs()));
  }
}
