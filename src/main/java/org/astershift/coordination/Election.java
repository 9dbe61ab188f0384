package org.astershift.coordination;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.astershift.config.ClockBounds;
import org.astershift.coordination.WorkerReachability.Measurement;

/**
 * One controller's part in who leads: the holder of one key in the state service, on a lease. The
 * token is the revision of the key's creation, so a later holder always has a higher one. A process
 * never inherits the key of its predecessor. A leader whose lease may have run out is no longer
 * {@link #leaseCertain}, and answers nothing that another leader could contradict; it leads on
 * until it sees that there is another.
 *
 * <p>Its caller asks for the next {@link Action}, carries it out, tells what came of it, and asks
 * again. What ends a term may come at any time, from any thread. Times are milliseconds of the
 * steady clock.
 */
public final class Election {
  /**
   * Life of the leadership's lease. Shorter means faster takeover, longer survives slow renewals.
   */
  public static final long LEADER_LEASE_MS = 2000;

  /**
   * A leader that gave up because it reached too few machines lets the others try for so long: they
   * stand within 300 ms, or 3 s where they reach few themselves.
   */
  private static final long RESIGN_BACKOFF_MS = 5000;

  /**
   * Milliseconds without an answer after which a node that needs nothing asks for a sign of life.
   */
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
  private long contestAllowedMs = Long.MIN_VALUE / 2;

  /** This process has tried to lead: a key with its node's name may be its own. */
  private boolean triedToLead;

  /** Another controller has led since this one resigned. */
  private boolean otherLedSinceResigning;

  /** It was said that this one lets others stand first. */
  private boolean deferralReported;

  private enum Step {
    FOLLOWER,
    LEASE_GRANTED,
    CREATION_UNKNOWN,
    KEY_CREATED,
    LEADER
  }

  /** What the caller should do. */
  public sealed interface Action {
    /** Nothing now: ask again after a rest, or when the key has changed. */
    record Wait() implements Action {}

    /** Read the key, as a sign of life: nothing was heard of the state service for a while. */
    record ReadKey() implements Action {}

    /** The others may stand first: this one reaches so few workers. */
    record Defer(Measurement workerReachability) implements Action {}

    /** Remove the key at this revision: it was left by this controller's predecessor. */
    record RemoveStaleKey(long revision) implements Action {}

    /** Get a lease; told by {@link #onLeaseGranted}. */
    record GrantLease(long ttlMs) implements Action {}

    /** Create the key, if absent, on this lease; told by {@link #onKeyCreation}. */
    record CreateKey(long lease) implements Action {}

    /**
     * Prolong the lease, and read whether the key stands on it; told by {@link #onKeyVerified}. A
     * claim had no answer.
     */
    record VerifyKey(long lease) implements Action {}

    /** Bring the mirror up to this revision; told by {@link #onCaughtUp}. */
    record CatchUp(long revision) implements Action {}

    /** Take up the leader's work; {@link #onTermStartFailed} if that cannot be. */
    record BeginTerm(long token) implements Action {}

    /** Prolong the lease; told by {@link #onLeaseRenewed}. */
    record RenewLease(long lease) implements Action {}

    /** End the lease at once, so that the key does not stand for this controller any more. */
    record RevokeLease(long lease) implements Action {}

    /** Lay the leader's work down. */
    record EndTerm(long token, String reason) implements Action {}
  }

  /** Who holds the key, and its revision. */
  public record Holder(String node, long revision) {}

  /**
   * What is known here at the moment. {@code cacheLoaded}: the mirror holds something; {@code
   * holder} null: the key does not exist, as far as the mirror knows; {@code storeSilenceMs}: since
   * the state service last answered this controller.
   */
  public record View(
      long nowMs,
      boolean cacheLoaded,
      Holder holder,
      Measurement workerReachability,
      long storeSilenceMs) {}

  /** What came of creating the key. */
  public enum KeyCreation {
    CREATED,
    REJECTED,
    UNKNOWN
  }

  public Election(String node, Candidacy candidacy) {
    this.node = node;
    this.candidacy = candidacy;
  }

  // ---- what others ask ----

  /** 0 if this controller does not lead. */
  public synchronized long token() {
    return token;
  }

  /** Whether no other controller can have become leader yet. */
  public synchronized boolean leaseCertain(long termToken, long nowMs) {
    return token == termToken && termToken != 0 && nowMs < leaseCertainUntilMs;
  }

  /** Until when no other controller can have become leader. */
  public synchronized long leaseCertainUntilMs() {
    return leaseCertainUntilMs;
  }

  // ---- what to do next ----

  /** What to do next, as things stand. */
  public synchronized Action next(View view) {
    if (!pendingActions.isEmpty()) {
      return pendingActions.poll();
    }
    return switch (step) {
      case FOLLOWER -> contest(view);
      case LEASE_GRANTED -> {
        triedToLead = true;
        yield new Action.CreateKey(lease);
      }
      case CREATION_UNKNOWN -> {
        leaseRequestedMs = view.nowMs();
        yield new Action.VerifyKey(lease);
      }
      case KEY_CREATED -> new Action.CatchUp(createdRevision);
      case LEADER -> renewal(view);
    };
  }

  private Action contest(View view) {
    if (view.storeSilenceMs() > STORE_KEEPALIVE_MS) {
      return new Action.ReadKey();
    }
    if (!view.cacheLoaded() || view.nowMs() < contestAllowedMs) {
      return new Action.Wait();
    }
    if (view.holder() != null) {
      boolean ownKey = view.holder().node().equals(node);
      candidacy.onHolderObserved(view.holder().node(), view.nowMs());
      deferralReported = false;
      otherLedSinceResigning |= !ownKey;
      // Left by this controller's predecessor, which is dead since this process runs in its place.
      return ownKey && !triedToLead
          ? new Action.RemoveStaleKey(view.holder().revision())
          : new Action.Wait();
    }
    if (!candidacy.shouldStand(view.workerReachability(), view.nowMs())) {
      boolean alreadyReported = deferralReported;
      deferralReported = true;
      return alreadyReported ? new Action.Wait() : new Action.Defer(view.workerReachability());
    }
    // Counted from here: the lease may have been granted as soon as it was asked for.
    leaseRequestedMs = view.nowMs();
    return new Action.GrantLease(LEADER_LEASE_MS);
  }

  private Action renewal(View view) {
    if (view.holder() == null || view.holder().revision() != token) {
      String reason = view.holder() == null ? "its key is gone" : "another leads";
      return endTerm(token, reason) ? pendingActions.poll() : new Action.Wait();
    }
    candidacy.onHolderObserved(node, view.nowMs());
    leaseRequestedMs = view.nowMs();
    return new Action.RenewLease(lease);
  }

  // ---- what came of it ----

  /** A lease was granted. */
  public synchronized void onLeaseGranted(long grantedLease) {
    if (step == Step.FOLLOWER) {
      lease = grantedLease;
      step = Step.LEASE_GRANTED;
    }
  }

  /** {@code revision}: of the key, where it was created. */
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
   * {@code revision}: of the key, if it stands on this claim's lease, which nobody else has; 0 if
   * it does not, or nothing is known. Given up unread, claims that had been carried out were taken
   * back one after the other, and nobody led while the answers of most writes were lost.
   */
  public synchronized void onKeyVerified(long revision) {
    if (step != Step.CREATION_UNKNOWN) {
      return;
    }
    if (revision > 0) {
      onKeyCreated(revision);
      return;
    }
    // It may be carried out yet: the key, if it comes to exist, must not stand for this one.
    step = Step.FOLLOWER;
    pendingActions.add(new Action.RevokeLease(lease));
  }

  private void onKeyCreated(long revision) {
    createdRevision = revision;
    leaseCertainUntilMs = leaseRequestedMs + certainLeaseMs();
    step = Step.KEY_CREATED;
  }

  /**
   * Whether the mirror now holds all that was there at this revision. Only that of the key which
   * was won last counts: told late of an earlier one, a term began without what had been recorded
   * between the two, and refused the news of it as older than itself (seed 6643 of the swarm).
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

  /** {@code renewed} null: no answer, so nothing is known; false: the lease has ended. */
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

  /** A term that cannot begin would hold the lease and place nothing: another is to try. */
  public synchronized List<Action> onTermStartFailed(long termToken, long nowMs) {
    contestAllowedMs = nowMs + RESIGN_BACKOFF_MS;
    return endAndRevoke(termToken, "it could not begin");
  }

  // ---- what ends a term ----

  /** It is certain that another leads. */
  public synchronized List<Action> stepDown(long termToken, String reason) {
    return endTerm(termToken, reason) ? drainPending() : List.of();
  }

  /** Another controller says who leads: if that one came later, this one does no longer. */
  public synchronized List<Action> onLeaderObserved(long observedToken) {
    return observedToken > token
        ? stepDown(token, "another node says that a later one leads, with token " + observedToken)
        : List.of();
  }

  /**
   * Lets another controller lead, because this one reaches too few workers; not twice in a short
   * time if nobody else took it, since then the others reach no more.
   */
  public synchronized List<Action> resign(long termToken, String reason, long nowMs) {
    if ((nowMs < resignAllowedMs && !otherLedSinceResigning)
        || token != termToken
        || termToken == 0) {
      return List.of();
    }
    otherLedSinceResigning = false;
    resignAllowedMs = nowMs + Candidacy.RESIGN_MIN_INTERVAL_MS;
    contestAllowedMs = nowMs + RESIGN_BACKOFF_MS;
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
