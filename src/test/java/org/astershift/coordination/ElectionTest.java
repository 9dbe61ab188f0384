package org.astershift.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.astershift.coordination.Election.Action;
import org.astershift.coordination.Election.KeyCreation;
import org.astershift.coordination.Election.View;
import org.junit.jupiter.api.Test;

/** The steps of one controller towards leadership, event by event. */
class ElectionTest {
  private final Election election = new Election("n1", new Candidacy());
  private long nowMs = 100_000;

  /** Becomes a candidate and creates the key, which gets this revision. */
  private void winKey(long lease, long revision) {
    nowMs += 100;
    View free = new View(nowMs, true, null, WorkerReachability.Measurement.UNKNOWN, 0);
    assertInstanceOf(Action.GrantLease.class, election.nextAction(free));
    election.onLeaseGranted(lease);
    assertEquals(new Action.CreateKey(lease), election.nextAction(free));
    election.onKeyCreation(KeyCreation.CREATED, revision);
    assertEquals(new Action.AwaitRevision(revision), election.nextAction(free));
  }

  /** Becomes a candidate and gets no answer to its claim; returns the view after the timeout. */
  private View claimWithoutAnswer(long lease) {
    View free = new View(nowMs, true, null, WorkerReachability.Measurement.UNKNOWN, 0);
    assertInstanceOf(Action.GrantLease.class, election.nextAction(free));
    election.onLeaseGranted(lease);
    assertEquals(new Action.CreateKey(lease), election.nextAction(free));
    election.onKeyCreation(KeyCreation.UNKNOWN, 0);
    View later = new View(nowMs + 1500, true, null, WorkerReachability.Measurement.UNKNOWN, 0);
    assertEquals(new Action.VerifyKey(lease), election.nextAction(later));
    return later;
  }

  /**
   * An unanswered claim holds if the key exists on its lease; the lease counts from its renewal.
   */
  @Test
  void unansweredClaimHoldsIfItsKeyExists() {
    View view = claimWithoutAnswer(1);
    assertEquals(0, election.token());
    election.onKeyVerified(61);
    assertEquals(new Action.AwaitRevision(61), election.nextAction(view));
    election.onRevisionAwaited(61, true);
    assertEquals(new Action.BeginTerm(61), election.nextAction(view));
    assertTrue(election.isLeaseCertain(61, nowMs + 1500 + 1500), "counted from the renewal");
  }

  /**
   * If the key does not exist, the claim may still be executed later; revoking its lease prevents
   * that.
   */
  @Test
  void unansweredClaimIsRevokedIfItsKeyIsMissing() {
    View view = claimWithoutAnswer(1);
    election.onKeyVerified(0);
    assertEquals(new Action.RevokeLease(1), election.nextAction(view));
    assertEquals(0, election.token());
    election.onKeyVerified(61); // late notification
    assertInstanceOf(Action.GrantLease.class, election.nextAction(view));
  }

  /**
   * The watch cache was too slow for the first key, and a second key was won before the cache
   * reported the first one.
   */
  @Test
  void termBeginsOnlyOnceCacheHasReachedItsKey() {
    View free = new View(nowMs, true, null, WorkerReachability.Measurement.UNKNOWN, 0);
    winKey(1, 61);
    election.onRevisionAwaited(61, false);
    assertEquals(new Action.RevokeLease(1), election.nextAction(free));
    winKey(2, 65);
    election.onRevisionAwaited(61, true);
    assertEquals(0, election.token());
    assertEquals(new Action.AwaitRevision(65), election.nextAction(free));
    election.onRevisionAwaited(65, true);
    assertEquals(65, election.token());
    assertEquals(new Action.BeginTerm(65), election.nextAction(free));
  }
}
