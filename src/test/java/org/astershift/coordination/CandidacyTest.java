package org.astershift.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.astershift.coordination.Candidacy.LeadershipTransfer;
import org.astershift.coordination.Candidacy.PeerStatus;
import org.astershift.coordination.WorkerReachability.Measurement;
import org.junit.jupiter.api.Test;

/** Who stands for the leadership and who hands it over, by what each reaches of the fleet. */
class CandidacyTest {
  private static final Measurement ALL = new Measurement(12, 12);
  private static final Measurement HALF = new Measurement(12, 6);
  private static final Measurement NONE = new Measurement(12, 0);
  private static final long LATER = 1000 + Candidacy.TRANSFER_MIN_TERM_MS;

  private static PeerStatus peerReporting(Measurement seen) {
    return new PeerStatus(seen.equals(ALL) ? "whole" : "less", true, seen);
  }

  @Test
  void nodeReachingFewWorkersDelaysItsCandidacy() {
    Candidacy c = new Candidacy();
    assertFalse(c.shouldBecomeCandidate(NONE, 1000));
    assertFalse(c.shouldBecomeCandidate(NONE, 1000 + Candidacy.CANDIDACY_DELAY_MS - 1));
    assertTrue(
        c.shouldBecomeCandidate(NONE, 1000 + Candidacy.CANDIDACY_DELAY_MS), "nobody else stood");
    c.onHolderObserved("other", 10_000);
    assertFalse(
        c.shouldBecomeCandidate(NONE, 20_000), "the others have their turn each time it is free");
    for (Measurement seen : List.of(ALL, HALF, Measurement.UNKNOWN, new Measurement(2, 0))) {
      assertTrue(new Candidacy().shouldBecomeCandidate(seen, 0), seen.toString());
    }
  }

  @Test
  void nodeDefersToChosenSuccessor() {
    Candidacy c = new Candidacy();
    c.deferToSuccessor(1000);
    assertFalse(c.shouldBecomeCandidate(ALL, 1500));
    assertTrue(c.shouldBecomeCandidate(ALL, 1000 + Candidacy.CANDIDACY_DELAY_MS), "it did not");
  }

  @Test
  void isolatedLeaderHandsOverToPeerReachingMostWorkers() {
    Candidacy c = new Candidacy();
    assertNull(
        c.decideTransfer(0.1, List.of(peerReporting(NONE), peerReporting(ALL)), 2, 1000, LATER - 1),
        "too soon");
    assertEquals(
        new LeadershipTransfer("whole"),
        c.decideTransfer(0.1, List.of(peerReporting(HALF), peerReporting(ALL)), 2, 1000, LATER),
        "the one that reaches most");
    assertNotNull(
        c.decideTransfer(0.1, List.of(peerReporting(ALL)), 4, 1000, LATER),
        "the others do not answer");
    // Found on the apart day: a zone was cut off for all, and the new leader resigned.
    assertNull(
        c.decideTransfer(0.4, List.of(peerReporting(HALF), peerReporting(HALF)), 2, 1000, LATER));
  }

  @Test
  void leaderStaysWhenNoPeerReachesWorkers() {
    Candidacy c = new Candidacy();
    for (long now = LATER; now < LATER + 600_000; now += 500) {
      c.onHolderObserved("me", now);
      assertNull(
          c.decideTransfer(0, List.of(peerReporting(NONE), peerReporting(NONE)), 2, 1000, now));
    }
  }

  @Test
  void peerPartitionedFromStoreCannotTakeOver() {
    assertNull(
        new Candidacy()
            .decideTransfer(
                0,
                List.of(new PeerStatus("apart", false, ALL), peerReporting(NONE)),
                2,
                1000,
                LATER));
  }

  @Test
  void eachNodeLeadsOnceWhenNoPeerAnswers() {
    Candidacy c = new Candidacy();
    c.onHolderObserved("a", LATER);
    assertNotNull(c.decideTransfer(0, List.of(), 2, 1000, LATER));
    c.onHolderObserved("b", LATER + 10_000);
    assertNotNull(c.decideTransfer(0, List.of(), 2, 1000, LATER + 10_000), "c has not led");
    c.onHolderObserved("c", LATER + 20_000);
    c.onHolderObserved("a", LATER + 30_000);
    assertNull(c.decideTransfer(0, List.of(), 2, 1000, LATER + 30_000), "all had their turn");
    assertNull(c.decideTransfer(0, List.of(), 0, 1000, LATER), "there is no other controller");
  }

  @Test
  void onlyRecentSamplesCount() {
    WorkerReachability reach = new WorkerReachability();
    assertFalse(reach.measurement(0).isKnown());
    reach.onSample(6, 6, 0);
    reach.onSample(6, 6, 2000);
    assertTrue(reach.measurement(2500).reachesEnough());
    reach.onSample(6, 1, 4000);
    reach.onSample(6, 1, 6000);
    assertTrue(reach.measurement(6500).reachesFew(), "cut off two samples ago");
    assertEquals(new Measurement(12, 2), reach.measurement(6500));
    assertFalse(
        reach.measurement(6000 + WorkerReachability.REACHABILITY_SAMPLE_VALID_MS + 1).isKnown(),
        "too old to say anything");
    reach.onSample(6, 6, 16_000);
    reach.onSample(6, 0, 18_000);
    assertEquals(
        new Measurement(6, 0),
        reach.measurement(19_000),
        "the last is enough if nobody answered it");
    reach.onSample(0, 0, 30_000);
    assertFalse(reach.measurement(30_000).isKnown(), "a site without machines");
  }
}
