package org.astershift.office;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import org.astershift.office.Election.Act;
import org.astershift.office.Election.Claimed;
import org.astershift.office.Election.View;
import org.junit.jupiter.api.Test;

/** What one controller does to lead, event by event. */
class ElectionTest {
  private final Election election = new Election("n1", new Candidacy());
  private long nowMs = 100_000;

  /** Stands and creates the key, which gets this revision. */
  private void wins(long lease, long revision) {
    nowMs += 100;
    View free = new View(nowMs, true, null, WorkerReach.Seen.NOTHING, 0);
    assertInstanceOf(Act.Grant.class, election.next(free));
    election.granted(lease);
    assertEquals(new Act.Claim(lease), election.next(free));
    election.claimed(Claimed.APPLIED, revision);
    assertEquals(new Act.CatchUp(revision), election.next(free));
  }

  /** The mirror was too slow for one key, and a second was won before that is told once more. */
  @Test
  void aTermBeginsOnlyOnAMirrorThatHasReachedItsOwnKey() {
    View free = new View(nowMs, true, null, WorkerReach.Seen.NOTHING, 0);
    wins(1, 61);
    election.caughtUp(61, false);
    assertEquals(new Act.Revoke(1), election.next(free));
    wins(2, 65);
    election.caughtUp(61, true);
    assertEquals(0, election.token());
    assertEquals(new Act.CatchUp(65), election.next(free));
    election.caughtUp(65, true);
    assertEquals(65, election.token());
    assertEquals(new Act.Begin(65), election.next(free));
  }
}
