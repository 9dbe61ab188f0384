package org.astershift.coordination;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.astershift.config.ClockBounds;
import org.astershift.coordination.WorkerReachability.Measurement;

/**
 * One controller's part in the leader election. The leader holds one key of the store on a lease;
 * its fencing token is the revision at which the key was created, so a later leader has a higher
 * one. A process never inherits its predecessor's key. Once the lease may have expired, the leader
 * is no longer {@link #isLeaseCertain} and answers nothing that another leader could contradict; it
 * leads on until it sees another leader.
 *
 * <p>The caller gets the next {@link Action}, carries it out, reports the outcome, and repeats. The
 * end of a term may be called for at any time, from any thread. Times are milliseconds of the
 * steady clock.
 */
public final class Election {
  /**
   * Duration of the leader's lease, milliseconds: shorter means faster failover, longer survives
   * slow renewals.
   */
  public static final long LEADER_LEASE_MS = 2000;

  /**
   * Milliseconds for which a leader that resigned leaves the election to the others, who become
   * candidates within 300 ms, or 3 s where they reach few workers themselves.
   */
  private static final long RESIGN_BACKOFF_MS = 5000;

  /** Milliseconds without a response of the store after which an idle follower reads the key. */
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

  /** This process was a candidate: a key with its node's name may be its own. */
  private boolean wasCandidate;

  /** Another controller has led since this one resigned. */
  private boolean otherLedSinceResigning;

  /** The deferral to other candidates was reported. */
  private boolean deferralReported;

  /** How far this controller has come towards leading. */
  private enum Step {
    FOLLOWER,
    LEASE_GRANTED,
    CREATION_UNKNOWN,
    KEY_CREATED,
    LEADER
  }

  /** What the caller should do. */
  public sealed interface Action {
    /** Nothing now: ask again after a pause, or when the key has changed. */
    record Wait() implements Action {}

    /** Read the key, to learn whether the store responds. */
    record ReadKey() implements Action {}

    /** Leave the election to others for now: this controller reaches few workers. */
    record Defer(Measurement workerReachability) implements Action {}

    /** Delete the key at this revision: this node's previous process left it. */
    record RemoveStaleKey(long revision) implements Action {}

    /** Get a lease; outcome to {@link #onLeaseGranted}. */
    record GrantLease(long ttlMs) implements Action {}

    /** Create the key, if absent, on this lease; outcome to {@link #onKeyCreation}. */
    record CreateKey(long lease) implements Action {}

    /**
     * The creation had no answer: renew the lease and read whether the key is on it; outcome to
     * {@link #onKeyVerified}.
     */
    record VerifyKey(long lease) implements Action {}

    /** Wait until the cache has reached this revision; outcome to {@link #onCaughtUp}. */
    record CatchUp(long revision) implements Action {}

    /** Begin the term; {@link #onTermStartFailed} if that fails. */
    record BeginTerm(long token) implements Action {}

    /** Renew the lease; outcome to {@link #onLeaseRenewed}. */
    record RenewLease(long lease) implements Action {}

    /** Revoke the lease, so that the key does not name this controller any more. */
    record RevokeLease(long lease) implements Action {}

    /** End the term. */
    record EndTerm(long token, String reason) implements Action {}
  }

  /** Who holds the key, and its revision. */
  public record Holder(String node, long revision) {}

  /**
   * What this controller knows. {@code cacheLoaded}: the cache holds a state of the store; {@code
   * holder} null: the key does not exist in it; {@code storeSilenceMs}: milliseconds since the
   * store last responded.
   */
  public record View(
      long nowMs,
      boolean cacheLoaded,
      Holder holder,
      Measurement workerReachability,
      long storeSilenceMs) {}

  /** Outcome of the key's creation. */
  public enum KeyCreation {
    /** This controller holds the key. */
    CREATED,
    /** Another holds it, or the request was refused. */
    REJECTED,
    /** No answer came: the key may have been created. */
    UNKNOWN
  }

  /** {@code node}: this controller's name. */
  public Election(String node, Candidacy candidacy) {
    this.node = node;
    this.candidacy = candidacy;
  }

  /** The fencing token; 0 if this controller does not lead. */
  public synchronized long token() {
    return token;
  }

  /** Whether no other controller can have become leader since this term began. */
  public synchronized boolean isLeaseCertain(long termToken, long nowMs) {
    return token == termToken && termToken != 0 && nowMs < leaseCertainUntilMs;
  }

  /** Before this time no other controller can have become leader. */
  public synchronized long leaseCertainUntilMs() {
    return leaseCertainUntilMs;
  }

  /** The next action. */
  public synchronized Action next(View view) {
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
      case KEY_CREATED -> new Action.CatchUp(createdRevision);
      case LEADER -> nextAsLeader(view);
    };
  }

  private Action nextAsFollower(View view) {
    if (view.storeSilenceMs() > STORE_KEEPALIVE_MS) {
      return new Action.ReadKey();
    }
    if (!view.cacheLoaded() || view.nowMs() < candidacyAllowedMs) {
      return new Action.Wait();
    }
    if (view.holder() != null) {
      boolean ownKey = view.holder().node().equals(node);
      candidacy.onHolderObserved(view.holder().node(), view.nowMs());
      deferralReported = false;
      otherLedSinceResigning |= !ownKey;
      // A key of this node's previous process, which is dead, since this one has its addresses.
      return ownKey && !wasCandidate
          ? new Action.RemoveStaleKey(view.holder().revision())
          : new Action.Wait();
    }
    if (!candidacy.shouldBecomeCandidate(view.workerReachability(), view.nowMs())) {
      boolean alreadyReported = deferralReported;
      deferralReported = true;
      return alreadyReported ? new Action.Wait() : new Action.Defer(view.workerReachability());
    }
    // The lease may begin as soon as it is requested.
    leaseRequestedMs = view.nowMs();
    return new Action.GrantLease(LEADER_LEASE_MS);
  }

  private Action nextAsLeader(View view) {
    if (view.holder() == null || view.holder().revision() != token) {
      String reason = view.holder() == null ? "its key is gone" : "another leads";
      return endTerm(token, reason) ? pendingActions.poll() : new Action.Wait();
    }
    candidacy.onHolderObserved(node, view.nowMs());
    leaseRequestedMs = view.nowMs();
    return new Action.RenewLease(lease);
  }

  /** A lease was granted. */
  public synchronized void onLeaseGranted(long grantedLease) {
    if (step == Step.FOLLOWER) {
      lease = grantedLease;
      step = Step.LEASE_GRANTED;
    }
  }

  /** Outcome of the key's creation; {@code revision}: the key's, if it was created. */
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
   * {@code revision}: the key's, if it is on this candidate's lease, which nobody else has; 0 if it
   * is not, or that is unknown. Read rather than given up, so that somebody leads also while the
   * answers of most writes are lost.
   */
  public synchronized void onKeyVerified(long revision) {
    if (step != Step.CREATION_UNKNOWN) {
      return;
    }
    if (revision > 0) {
      onKeyCreated(revision);
      return;
    }
    // The creation may still be applied: the key must not name this controller then.
    step = Step.FOLLOWER;
    pendingActions.add(new Action.RevokeLease(lease));
  }

  private void onKeyCreated(long revision) {
    createdRevision = revision;
    leaseCertainUntilMs = leaseRequestedMs + certainLeaseMs();
    step = Step.KEY_CREATED;
  }

  /**
   * Whether the cache has reached this revision. Only the key created last counts: after an earlier
   * one a term would begin without what was recorded between the two, and ignore it as older than
   * its token.
   */
  public synchronized void onCaughtUp(long revision, boolean caughtUp) {
    if (step != Step.KEY_CREATED || revision != createdRevision) {
      return;
    }
    if (!caughtUp) {
      step = Step.FOLLOWER;
      pendingActions.add(new Action.RevokeLease(lease));
      return;
    }
    token = createdRevision;
    step = Step.LEADER;
    pendingActions.add(new Action.BeginTerm(token));
  }

  /** {@code renewed} null: no answer; false: the lease has expired. */
  public synchronized void onLeaseRenewed(Boolean renewed) {
    if (step != Step.LEADER || renewed == null) {
      return;
    }
    if (renewed) {
      leaseCertainUntilMs = leaseRequestedMs + certainLeaseMs();
    } else {
      endTerm(token, "its lease has ended");
    }
  }

  /** A term that cannot begin gives the leadership up, instead of holding it without effect. */
  public synchronized List<Action> onTermStartFailed(long termToken, long nowMs) {
    candidacyAllowedMs = nowMs + RESIGN_BACKOFF_MS;
    return endAndRevoke(termToken, "it could not begin");
  }

  /** Ends the term of this token: another leader is certain. */
  public synchronized List<Action> stepDown(long termToken, String reason) {
    return endTerm(termToken, reason) ? drainPending() : List.of();
  }

  /** Another controller reports the leader's token: a higher one ends this term. */
  public synchronized List<Action> onLeaderObserved(long observedToken) {
    return observedToken > token
        ? stepDown(token, "another node says that a later one leads, with token " + observedToken)
        : List.of();
  }

  /**
   * Gives the leadership up, since this controller reaches too few workers; not twice in a short
   * time if nobody else led between, since then the others reach no more.
   */
  public synchronized List<Action> resign(long termToken, String reason, long nowMs) {
    if ((nowMs < resignAllowedMs && !otherLedSinceResigning)
        || token != termToken
        || termToken == 0) {
      return List.of();
    }
    otherLedSinceResigning = false;
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
    pendingActions.removeIf(action -> action instanceof Action.BeginTerm); // over before it began
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
