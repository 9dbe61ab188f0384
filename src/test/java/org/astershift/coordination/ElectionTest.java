package org.astershift.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.astershift.coordination.Election.Action;
import org.astershift.coordination.Election.KeyCreation;
import org.astershift.coordination.Election.View;
import org.junit.jupiter.api.Test;

/** What one controller does to lead, event by event. */
class ElectionTest {
  private final Election election = new Election("n1", new Candidacy());
  private long nowMs = 100_000;

  /** Stands and creates the key, which gets this revision. */
  private void winKey(long lease, long revision) {
    nowMs += 100;
    View free = new View(nowMs, true, null, WorkerReachability.Measurement.UNKNOWN, 0);
    assertInstanceOf(Action.GrantLease.class, election.next(free));
    election.onLeaseGranted(lease);
    assertEquals(new Action.CreateKey(lease), election.next(free));
    election.onKeyCreation(KeyCreation.CREATED, revision);
    assertEquals(new Action.CatchUp(revision), election.next(free));
  }

  /** Stands, and has no answer to its claim. */
  private View claimWithoutAnswer(long lease) {
    View free = new View(nowMs, true, null, WorkerReachability.Measurement.UNKNOWN, 0);
    assertInstanceOf(Action.GrantLease.class, election.next(free));
    election.onLeaseGranted(lease);
    assertEquals(new Action.CreateKey(lease), election.next(free));
    election.onKeyCreation(KeyCreation.UNKNOWN, 0);
    View later = new View(nowMs + 1500, true, null, WorkerReachability.Measurement.UNKNOWN, 0);
    assertEquals(new Action.VerifyKey(lease), election.next(later));
    return later;
  }

  /** A claim without an answer holds if the key stands on its lease, from its renewal on. */
  @Test
  void unansweredClaimHoldsIfItsKeyExists() {
    View v = claimWithoutAnswer(1);
    assertEquals(0, election.token());
    election.onKeyVerified(61);
    assertEquals(new Action.CatchUp(61), election.next(v));
    election.onCaughtUp(61, true);
    assertEquals(new Action.BeginTerm(61), election.next(v));
    assertTrue(election.isLeaseCertain(61, nowMs + 1500 + 1500), "counted from the renewal");
  }

  /** If it does not stand it may be carried out yet, and must not then. */
  @Test
  void unansweredClaimIsRevokedIfItsKeyIsMissing() {
    View v = claimWithoutAnswer(1);
    election.onKeyVerified(0);
    assertEquals(new Action.RevokeLease(1), election.next(v));
    assertEquals(0, election.token());
    election.onKeyVerified(61); // told late
    assertInstanceOf(Action.GrantLease.class, election.next(v));
  }

  /** The mirror was too slow for one key, and a second was won before that is told once more. */
  @Test
  void termBeginsOnlyOnceCacheHasReachedItsKey() {
    View free = new View(nowMs, true, null, WorkerReachability.Measurement.UNKNOWN, 0);
    winKey(1, 61);
    election.onCaughtUp(61, false);
    assertEquals(new Action.RevokeLease(1), election.next(free));
    winKey(2, 65);
    election.onCaughtUp(61, true);
    assertEquals(0, election.token());
    assertEquals(new Action.CatchUp(65), election.next(free));
    election.onCaughtUp(65, true);
    assertEquals(65, election.token());
    assertEquals(new Action.BeginTerm(65), election.next(free));
  }
}
