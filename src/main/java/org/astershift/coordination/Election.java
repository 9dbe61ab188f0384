package org.astershift.coordination;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.astershift.config.ClockBounds;
import org.astershift.coordination.WorkerReachability.Measurement;

/**
 * One controller's part in the leader election. The leader holds one key of the store, which is
 * attached to a lease. The leader's fencing token is the revision at which the key was created, so
 * a later leader has a higher token. A process never takes over a key that its controller's
 * previous process created. Once the lease may have expired, {@link #isLeaseCertain} is false and
 * the leader answers nothing that another leader could contradict, but it keeps its term until it
 * sees another leader.
 *
 * <p>The caller gets the next {@link Action}, executes it, reports the outcome, and repeats.
 * Methods that end a term may be called at any time and from any thread. Times are milliseconds of
 * the monotonic clock.
 */
public final class Election {
  /**
   * Duration of the leader's lease, in milliseconds: a shorter lease makes failover faster, a
   * longer one tolerates slower renewals.
   */
  public static final long LEADER_LEASE_MS = 2000;

  /**
   * Time, in milliseconds, for which a leader that resigned leaves the election to the others. They
   * become candidates within 300 ms, or within 3 s if they reach few workers themselves.
   */
  private static final long RESIGN_BACKOFF_MS = 5000;

  /** Time without a response of the store after which a follower reads the key, in milliseconds. */
  private static final long STORE_KEEPALIVE_MS = 700;

  private final String node;
  private final Candidacy candidacy;
  private final Deque<Action> pendingActions = new ArrayDeque<>();
  private long token;
  private long lease;
  private long leaseRequestedMs;
  private long createdRevision;
  private Step step = Step.FOLLOWER;
  private long leaseCertainUntilMs = Long.MIN_VALUE / 2;
  private long resignAllowedMs = Long.MIN_VALUE / 2;
  private long candidacyAllowedMs = Long.MIN_VALUE / 2;

  /**
   * Whether this process has been a candidate, so that a key that names this controller may be its
   * own.
   */
  private boolean wasCandidate;

  /** Whether another controller has led since this one resigned. */
  private boolean hasOtherLedSinceResigning;

  /** Whether the deferral to other candidates was reported to the caller. */
  private boolean isDeferralReported;

  /** Progress of this controller towards leadership. */
  private enum Step {
    FOLLOWER,
    LEASE_GRANTED,
    CREATION_UNKNOWN,
    KEY_CREATED,
    LEADER
  }

  /** What the caller executes next. */
  public sealed interface Action {
    /** Do nothing now: ask again after a pause, or when the key has changed. */
    record Wait() implements Action {}

    /** Read the key in order to learn whether the store responds. */
    record ReadKey() implements Action {}

    /** Leave the election to others for now: this controller reaches few workers. */
    record Defer(Measurement workerReachability) implements Action {}

    /** Delete the key at this revision, which this controller's previous process left behind. */
    record RemoveStaleKey(long revision) implements Action {}

    /** Get a lease; report it to {@link #onLeaseGranted}. */
    record GrantLease(long ttlMs) implements Action {}

    /** Create the key on this lease if it is absent; report to {@link #onKeyCreation}. */
    record CreateKey(long lease) implements Action {}

    /**
     * After a creation without a response: renew the lease and read whether the key is attached to
     * it; report to {@link #onKeyVerified}.
     */
    record VerifyKey(long lease) implements Action {}

    /** Wait until the cache has reached this revision; report to {@link #onRevisionAwaited}. */
    record AwaitRevision(long revision) implements Action {}

    /** Begin the term; report a failure to {@link #onTermStartFailed}. */
    record BeginTerm(long token) implements Action {}

    /** Renew the lease; report to {@link #onLeaseRenewed}. */
    record RenewLease(long lease) implements Action {}

    /** Revoke the lease, so that the key no longer names this controller. */
    record RevokeLease(long lease) implements Action {}

    /** End the term. */
    record EndTerm(long token, String reason) implements Action {}
  }

  /** The name of the controller that holds the key, and the revision of the key. */
  public record Holder(String node, long revision) {}

  /**
   * What this controller knows.
   *
   * @param isCacheLoaded whether the cache holds a state of the store
   * @param holder the holder of the key according to the cache; null if the key does not exist
   *     there
   * @param workerReachability how much of the fleet this controller reaches
   * @param storeSilenceMs milliseconds since the store last responded
   */
  public record View(
      long nowMs,
      boolean isCacheLoaded,
      Holder holder,
      Measurement workerReachability,
      long storeSilenceMs) {}

  /** Outcome of the key's creation. */
  public enum KeyCreation {
    /** This controller holds the key. */
    CREATED,
    /** Another controller holds the key, or the request was rejected. */
    REJECTED,
    /** No response arrived: the key may have been created. */
    UNKNOWN
  }

  /** {@code node} is the name of this controller. */
  public Election(String node, Candidacy candidacy) {
    this.node = node;
    this.candidacy = candidacy;
  }

  /** Returns the fencing token; 0 if this controller does not lead. */
  public synchronized long token() {
    return token;
  }

  /** Returns whether no other controller can have become leader since this term began. */
  public synchronized boolean isLeaseCertain(long termToken, long nowMs) {
    return token == termToken && termToken != 0 && nowMs < leaseCertainUntilMs;
  }

  /** Returns the time before which no other controller can have become leader. */
  public synchronized long leaseCertainUntilMs() {
    return leaseCertainUntilMs;
  }

  /** Returns the next action. */
  public synchronized Action nextAction(View view) {
    if (!pendingActions.isEmpty()) {
      return pendingActions.poll();
    }
    return switch (step) {
      case FOLLOWER -> nextAsFollower(view);
      case LEASE_GRANTED -> {
        wasCandidate = true;
        yield new Action.CreateKey(lease);
      }
      case CREATION_UNKNOWN -> {
        leaseRequestedMs = view.nowMs();
        yield new Action.VerifyKey(lease);
      }
      case KEY_CREATED -> new Action.AwaitRevision(createdRevision);
      case LEADER -> nextAsLeader(view);
    };
  }

  private Action nextAsFollower(View view) {
    if (view.storeSilenceMs() > STORE_KEEPALIVE_MS) {
      return new Action.ReadKey();
    }
    if (!view.isCacheLoaded() || view.nowMs() < candidacyAllowedMs) {
      return new Action.Wait();
    }
    if (view.holder() != null) {
      boolean ownKey = view.holder().node().equals(node);
      candidacy.onHolderObserved(view.holder().node(), view.nowMs());
      isDeferralReported = false;
      hasOtherLedSinceResigning |= !ownKey;
      // A key of this controller's previous process is stale: that process has ended, since this
      // process holds its addresses.
      return ownKey && !wasCandidate
          ? new Action.RemoveStaleKey(view.holder().revision())
          : new Action.Wait();
    }
    if (!candidacy.shouldBecomeCandidate(view.workerReachability(), view.nowMs())) {
      boolean alreadyReported = isDeferralReported;
      isDeferralReported = true;
      return alreadyReported ? new Action.Wait() : new Action.Defer(view.workerReachability());
    }
    // The lease may begin at any time from its request on.
    leaseRequestedMs = view.nowMs();
    return new Action.GrantLease(LEADER_LEASE_MS);
  }

  private Action nextAsLeader(View view) {
    if (view.holder() == null || view.holder().revision() != token) {
      String reason =
          view.holder() == null
              ? "its leader key is gone"
              : "another controller holds the leader key";
      return endTerm(token, reason) ? pendingActions.poll() : new Action.Wait();
    }
    candidacy.onHolderObserved(node, view.nowMs());
    leaseRequestedMs = view.nowMs();
    return new Action.RenewLease(lease);
  }

  /** Handles a granted lease. */
  public synchronized void onLeaseGranted(long grantedLease) {
    if (step == Step.FOLLOWER) {
      lease = grantedLease;
      step = Step.LEASE_GRANTED;
    }
  }

  /** Handles the outcome of the key's creation; {@code revision} is the key's, if created. */
  public synchronized void onKeyCreation(KeyCreation outcome, long revision) {
    if (step != Step.LEASE_GRANTED) {
      return;
    }
    switch (outcome) {
      case CREATED -> onKeyCreated(revision);
      case REJECTED -> step = Step.FOLLOWER;
      case UNKNOWN -> step = Step.CREATION_UNKNOWN;
    }
  }

  /**
   * Handles the verification of a key whose creation got no response. The key is read instead of
   * abandoning the candidacy, so that some controller leads even while most responses to writes are
   * lost.
   *
   * @param revision the revision of the key if it is attached to this candidate's lease, which no
   *     other controller uses; 0 if it is not, or that is unknown
   */
  public synchronized void onKeyVerified(long revision) {
    if (step != Step.CREATION_UNKNOWN) {
      return;
    }
    if (revision > 0) {
      onKeyCreated(revision);
      return;
    }
    // The creation may still be applied; the key must not name this controller in that case.
    step = Step.FOLLOWER;
    pendingActions.add(new Action.RevokeLease(lease));
  }

  private void onKeyCreated(long revision) {
    createdRevision = revision;
    leaseCertainUntilMs = leaseRequestedMs + certainLeaseMs();
    step = Step.KEY_CREATED;
  }

  /**
   * Handles the end of a wait for the cache; {@code reached} tells whether the cache has reached
   * this revision. Only the revision of the key created last counts: if the cache had only reached
   * that of an earlier key, the term would begin without the records written between the two, and
   * ignore them as older than its token.
   */
  public synchronized void onRevisionAwaited(long revision, boolean reached) {
    if (step != Step.KEY_CREATED || revision != createdRevision) {
      return;
    }
    if (!reached) {
      step = Step.FOLLOWER;
      pendingActions.add(new Action.RevokeLease(lease));
      return;
    }
    token = createdRevision;
    step = Step.LEADER;
    pendingActions.add(new Action.BeginTerm(token));
  }

  /**
   * Handles a renewal; {@code renewed} is null if no response arrived, and false if the lease has
   * expired.
   */
  public synchronized void onLeaseRenewed(Boolean renewed) {
    if (step != Step.LEADER || renewed == null) {
      return;
    }
    if (renewed) {
      leaseCertainUntilMs = leaseRequestedMs + certainLeaseMs();
    } else {
      endTerm(token, "its lease has expired");
    }
  }

  /** Resigns after a term could not begin, instead of holding the leadership without effect. */
  public synchronized List<Action> onTermStartFailed(long termToken, long nowMs) {
    candidacyAllowedMs = nowMs + RESIGN_BACKOFF_MS;
    return endAndRevoke(termToken, "its term could not begin");
  }

  /** Ends the term with this token, since another controller leads or the term cannot go on. */
  public synchronized List<Action> stepDown(long termToken, String reason) {
    return endTerm(termToken, reason) ? drainPending() : List.of();
  }

  /** Handles the leader's token as another controller reports it; a higher one ends this term. */
  public synchronized List<Action> onLeaderObserved(long observedToken) {
    return observedToken > token
        ? stepDown(token, "another controller reports a later leader with token " + observedToken)
        : List.of();
  }

  /**
   * Resigns as leader, because this controller reaches too few workers. Has no effect within {@link
   * Candidacy#RESIGN_MIN_INTERVAL_MS} of its last resignation if no other controller has led since:
   * then the others reach no more workers.
   */
  public synchronized List<Action> resign(long termToken, String reason, long nowMs) {
    if ((nowMs < resignAllowedMs && !hasOtherLedSinceResigning)
        || token != termToken
        || termToken == 0) {
      return List.of();
    }
    hasOtherLedSinceResigning = false;
    resignAllowedMs = nowMs + Candidacy.RESIGN_MIN_INTERVAL_MS;
    candidacyAllowedMs = nowMs + RESIGN_BACKOFF_MS;
    return endAndRevoke(termToken, reason);
  }

  private List<Action> endAndRevoke(long termToken, String reason) {
    if (endTerm(termToken, reason)) {
      pendingActions.add(new Action.RevokeLease(lease));
    }
    return drainPending();
  }

  private boolean endTerm(long termToken, String reason) {
    if (termToken == 0 || token != termToken) {
      return false;
    }
    token = 0;
    step = Step.FOLLOWER;
    pendingActions.removeIf(
        action -> action instanceof Action.BeginTerm); // the term ended before it began
    pendingActions.add(new Action.EndTerm(termToken, reason));
    return true;
  }

  private List<Action> drainPending() {
    List<Action> actions = new ArrayList<>(pendingActions);
    pendingActions.clear();
    return actions;
  }

  private static long certainLeaseMs() {
    long driftedMs = (long) (LEADER_LEASE_MS * (1 - 2 * ClockBounds.CLOCK_DRIFT_SHARE));
    return driftedMs - ClockBounds.CLOCK_MARGIN_MS;
  }
}
