package org.astershift.coordination;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.astershift.config.Constants;
import org.astershift.coordination.WorkerReachability.Measurement;

/**
 * One controller's part in who leads: the holder of one key in the state service, on a lease. The
 * token is the revision of the key's creation, so a later holder always has a higher one. A process
 * never inherits the key of its predecessor. A leader whose lease may have run out is no longer
 * {@link #valid}, and answers nothing that another leader could contradict; it leads on until it
 * sees that there is another.
 *
 * <p>Its caller asks for the next {@link Action}, carries it out, tells what came of it, and asks
 * again. What ends a term may come at any time, from any thread. Times are milliseconds of the
 * steady clock.
 */
public final class Election {
  private final String node;
  private final Candidacy candidacy;
  private final Deque<Action> pending = new ArrayDeque<>();
  private long token;
  private long lease;
  private long leaseSentMs;
  private long wonRevision;
  private Step step = Step.FOLLOWS;
  private long validUntilMs = Long.MIN_VALUE / 2;
  private long mayResignMs = Long.MIN_VALUE / 2;
  private long contestMs = Long.MIN_VALUE / 2;

  /** This process has tried to lead: a key with its node's name may be its own. */
  private boolean tried;

  /** Another controller has led since this one resigned. */
  private boolean othersLed;

  /** It was said that this one lets others stand first. */
  private boolean late;

  private enum Step {
    FOLLOWS,
    GRANTED,
    DOUBTS,
    WON,
    LEADS
  }

  /** What the caller should do. */
  public sealed interface Action {
    /** Nothing now: ask again after a rest, or when the key has changed. */
    record Wait() implements Action {}

    /** Read the key, as a sign of life: nothing was heard of the state service for a while. */
    record ReadKey() implements Action {}

    /** The others may stand first: this one reaches so few workers. */
    record Defer(Measurement workers) implements Action {}

    /** Remove the key at this revision: it was left by this controller's predecessor. */
    record RemoveStaleKey(long revision) implements Action {}

    /** Get a lease; told by {@link #granted}. */
    record GrantLease(long lifeMs) implements Action {}

    /** Create the key, if absent, on this lease; told by {@link #claimed}. */
    record CreateKey(long lease) implements Action {}

    /**
     * Prolong the lease, and read whether the key stands on it; told by {@link #verified}. A claim
     * had no answer.
     */
    record VerifyKey(long lease) implements Action {}

    /** Bring the mirror up to this revision; told by {@link #caughtUp}. */
    record CatchUp(long revision) implements Action {}

    /** Take up the leader's work; {@link #beginFailed} if that cannot be. */
    record BeginTerm(long token) implements Action {}

    /** Prolong the lease; told by {@link #renewed}. */
    record RenewLease(long lease) implements Action {}

    /** End the lease at once, so that the key does not stand for this controller any more. */
    record RevokeLease(long lease) implements Action {}

    /** Lay the leader's work down. */
    record EndTerm(long token, String why) implements Action {}
  }

  /** Who holds the key, and its revision. */
  public record Holder(String node, long revision) {}

  /**
   * What is known here at the moment. {@code loaded}: the mirror holds something; {@code holder}
   * null: the key does not exist, as far as the mirror knows; {@code silenceMs}: since the state
   * service last answered this controller.
   */
  public record View(
      long nowMs, boolean loaded, Holder holder, Measurement workers, long silenceMs) {}

  /** What came of creating the key. */
  public enum KeyCreation {
    APPLIED,
    REFUSED,
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
  public synchronized boolean valid(long ofToken, long nowMs) {
    return token == ofToken && ofToken != 0 && nowMs < validUntilMs;
  }

  /** Until when no other controller can have become leader. */
  public synchronized long soleUntilMs() {
    return validUntilMs;
  }

  // ---- what to do next ----

  /** What to do next, as things stand. */
  public synchronized Action next(View v) {
    if (!pending.isEmpty()) {
      return pending.poll();
    }
    return switch (step) {
      case FOLLOWS -> contest(v);
      case GRANTED -> {
        tried = true;
        yield new Action.CreateKey(lease);
      }
      case DOUBTS -> {
        leaseSentMs = v.nowMs();
        yield new Action.VerifyKey(lease);
      }
      case WON -> new Action.CatchUp(wonRevision);
      case LEADS -> renewal(v);
    };
  }

  private Action contest(View v) {
    if (v.silenceMs() > Constants.STORE_IDLE_MS) {
      return new Action.ReadKey();
    }
    if (!v.loaded() || v.nowMs() < contestMs) {
      return new Action.Wait();
    }
    if (v.holder() != null) {
      boolean own = v.holder().node().equals(node);
      candidacy.held(v.holder().node(), v.nowMs());
      late = false;
      othersLed |= !own;
      // Left by this controller's predecessor, which is dead since this process runs in its place.
      return own && !tried ? new Action.RemoveStaleKey(v.holder().revision()) : new Action.Wait();
    }
    if (!candidacy.stands(v.workers(), v.nowMs())) {
      boolean said = late;
      late = true;
      return said ? new Action.Wait() : new Action.Defer(v.workers());
    }
    // Counted from here: the lease may have been granted as soon as it was asked for.
    leaseSentMs = v.nowMs();
    return new Action.GrantLease(Constants.LEADER_LEASE_MS);
  }

  private Action renewal(View v) {
    if (v.holder() == null || v.holder().revision() != token) {
      String why = v.holder() == null ? "its key is gone" : "another leads";
      return end(token, why) ? pending.poll() : new Action.Wait();
    }
    candidacy.held(node, v.nowMs());
    leaseSentMs = v.nowMs();
    return new Action.RenewLease(lease);
  }

  // ---- what came of it ----

  /** A lease was granted. */
  public synchronized void granted(long granted) {
    if (step == Step.FOLLOWS) {
      lease = granted;
      step = Step.GRANTED;
    }
  }

  /** {@code revision}: of the key, where it was created. */
  public synchronized void claimed(KeyCreation outcome, long revision) {
    if (step != Step.GRANTED) {
      return;
    }
    switch (outcome) {
      case APPLIED -> won(revision);
      case REFUSED -> step = Step.FOLLOWS;
      case UNKNOWN -> step = Step.DOUBTS;
    }
  }

  /**
   * {@code revision}: of the key, if it stands on this claim's lease, which nobody else has; 0 if
   * it does not, or nothing is known. Given up unread, claims that had been carried out were taken
   * back one after the other, and nobody led while the answers of most writes were lost.
   */
  public synchronized void verified(long revision) {
    if (step != Step.DOUBTS) {
      return;
    }
    if (revision > 0) {
      won(revision);
      return;
    }
    // It may be carried out yet: the key, if it comes to exist, must not stand for this one.
    step = Step.FOLLOWS;
    pending.add(new Action.RevokeLease(lease));
  }

  private void won(long revision) {
    wonRevision = revision;
    validUntilMs = leaseSentMs + lifeMs();
    step = Step.WON;
  }

  /**
   * Whether the mirror now holds all that was there at this revision. Only that of the key which
   * was won last counts: told late of an earlier one, a term began without what had been recorded
   * between the two, and refused the news of it as older than itself (seed 6643 of the swarm).
   */
  public synchronized void caughtUp(long revision, boolean done) {
    if (step != Step.WON || revision != wonRevision) {
      return;
    }
    if (!done) {
      step = Step.FOLLOWS;
      pending.add(new Action.RevokeLease(lease));
      return;
    }
    token = wonRevision;
    step = Step.LEADS;
    pending.add(new Action.BeginTerm(token));
  }

  /** {@code ok} null: no answer, so nothing is known; false: the lease has ended. */
  public synchronized void renewed(Boolean ok) {
    if (step != Step.LEADS || ok == null) {
      return;
    }
    if (ok) {
      validUntilMs = leaseSentMs + lifeMs();
    } else {
      end(token, "its lease has ended");
    }
  }

  /** A term that cannot begin would hold the lease and place nothing: another is to try. */
  public synchronized List<Action> beginFailed(long ofToken, long nowMs) {
    contestMs = nowMs + Constants.RESIGN_PAUSE_MS;
    return leave(ofToken, "it could not begin");
  }

  // ---- what ends a term ----

  /** It is certain that another leads. */
  public synchronized List<Action> stepDown(long ofToken, String why) {
    return end(ofToken, why) ? drain() : List.of();
  }

  /** Another controller says who leads: if that one came later, this one does no longer. */
  public synchronized List<Action> told(long otherToken) {
    return otherToken > token
        ? stepDown(token, "another node says that a later one leads, with token " + otherToken)
        : List.of();
  }

  /**
   * Lets another controller lead, because this one reaches too few workers; not twice in a short
   * time if nobody else took it, since then the others reach no more.
   */
  public synchronized List<Action> resign(long ofToken, String why, long nowMs) {
    if ((nowMs < mayResignMs && !othersLed) || token != ofToken || ofToken == 0) {
      return List.of();
    }
    othersLed = false;
    mayResignMs = nowMs + Constants.RESIGN_AGAIN_MS;
    contestMs = nowMs + Constants.RESIGN_PAUSE_MS;
    return leave(ofToken, why);
  }

  private List<Action> leave(long ofToken, String why) {
    if (end(ofToken, why)) {
      pending.add(new Action.RevokeLease(lease));
    }
    return drain();
  }

  private boolean end(long ofToken, String why) {
    if (ofToken == 0 || token != ofToken) {
      return false;
    }
    token = 0;
    step = Step.FOLLOWS;
    pending.removeIf(a -> a instanceof Action.BeginTerm); // over before it began
    pending.add(new Action.EndTerm(ofToken, why));
    return true;
  }

  private List<Action> drain() {
    List<Action> out = new ArrayList<>(pending);
    pending.clear();
    return out;
  }

  private static long lifeMs() {
    long ms = (long) (Constants.LEADER_LEASE_MS * (1 - 2 * Constants.CLOCK_DRIFT));
    return ms - Constants.CLOCK_MARGIN_MS;
  }
}
