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

/**
 * Which controllers become candidates and which leaders transfer their leadership, by the share of
 * workers that each reaches.
 */
class CandidacyTest {
  private static final Measurement ALL = new Measurement(12, 12);
  private static final Measurement HALF = new Measurement(12, 6);
  private static final Measurement NONE = new Measurement(12, 0);
  private static final long LATER = 1000 + Candidacy.TRANSFER_MIN_TERM_MS;

  private static PeerStatus peerReporting(Measurement measurement) {
    return new PeerStatus(measurement.equals(ALL) ? "whole" : "less", true, measurement);
  }

  @Test
  void nodeReachingFewWorkersDelaysItsCandidacy() {
    Candidacy candidacy = new Candidacy();
    assertFalse(candidacy.shouldBecomeCandidate(NONE, 1000));
    assertFalse(candidacy.shouldBecomeCandidate(NONE, 1000 + Candidacy.CANDIDACY_DELAY_MS - 1));
    assertTrue(
        candidacy.shouldBecomeCandidate(NONE, 1000 + Candidacy.CANDIDACY_DELAY_MS),
        "no other candidate");
    candidacy.onHolderObserved("other", 10_000);
    assertFalse(
        candidacy.shouldBecomeCandidate(NONE, 20_000),
        "the others go first each time the key is free");
    for (Measurement seen : List.of(ALL, HALF, Measurement.UNKNOWN, new Measurement(2, 0))) {
      assertTrue(new Candidacy().shouldBecomeCandidate(seen, 0), seen.toString());
    }
  }

  @Test
  void nodeDefersToChosenSuccessor() {
    Candidacy candidacy = new Candidacy();
    candidacy.deferToSuccessor(1000);
    assertFalse(candidacy.shouldBecomeCandidate(ALL, 1500));
    assertTrue(
        candidacy.shouldBecomeCandidate(ALL, 1000 + Candidacy.CANDIDACY_DELAY_MS),
        "the successor did not become a candidate");
  }

  @Test
  void isolatedLeaderHandsOverToPeerReachingMostWorkers() {
    Candidacy candidacy = new Candidacy();
    assertNull(
        candidacy.decideTransfer(
            0.1, List.of(peerReporting(NONE), peerReporting(ALL)), 2, 1000, LATER - 1),
        "the term is too short");
    assertEquals(
        new LeadershipTransfer("whole"),
        candidacy.decideTransfer(
            0.1, List.of(peerReporting(HALF), peerReporting(ALL)), 2, 1000, LATER),
        "the peer that reaches most workers");
    assertNotNull(
        candidacy.decideTransfer(0.1, List.of(peerReporting(ALL)), 4, 1000, LATER),
        "the other peers do not answer");
    // Found on the simulated day "apart": a zone was partitioned from all controllers, and the new
    // leader resigned.
    assertNull(
        candidacy.decideTransfer(
            0.4, List.of(peerReporting(HALF), peerReporting(HALF)), 2, 1000, LATER));
  }

  @Test
  void leaderStaysWhenNoPeerReachesWorkers() {
    Candidacy candidacy = new Candidacy();
    for (long nowMs = LATER; nowMs < LATER + 600_000; nowMs += 500) {
      candidacy.onHolderObserved("me", nowMs);
      assertNull(
          candidacy.decideTransfer(
              0, List.of(peerReporting(NONE), peerReporting(NONE)), 2, 1000, nowMs));
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
    Candidacy candidacy = new Candidacy();
    candidacy.onHolderObserved("a", LATER);
    assertNotNull(candidacy.decideTransfer(0, List.of(), 2, 1000, LATER));
    candidacy.onHolderObserved("b", LATER + 10_000);
    assertNotNull(candidacy.decideTransfer(0, List.of(), 2, 1000, LATER + 10_000), "c has not led");
    candidacy.onHolderObserved("c", LATER + 20_000);
    candidacy.onHolderObserved("a", LATER + 30_000);
    assertNull(
        candidacy.decideTransfer(0, List.of(), 2, 1000, LATER + 30_000),
        "all controllers had their turn");
    assertNull(
        candidacy.decideTransfer(0, List.of(), 0, 1000, LATER), "there is no other controller");
  }

  @Test
  void onlyRecentSamplesCount() {
    WorkerReachability reachability = new WorkerReachability();
    assertFalse(reachability.measurement(0).isKnown());
    reachability.onSample(6, 6, 0);
    reachability.onSample(6, 6, 2000);
    assertTrue(reachability.measurement(2500).isReachabilitySufficient());
    reachability.onSample(6, 1, 4000);
    reachability.onSample(6, 1, 6000);
    assertTrue(reachability.measurement(6500).isReachabilityPoor(), "partitioned two samples ago");
    assertEquals(new Measurement(12, 2), reachability.measurement(6500));
    assertFalse(
        reachability
            .measurement(6000 + WorkerReachability.REACHABILITY_SAMPLE_VALID_MS + 1)
            .isKnown(),
        "the samples are too old");
    reachability.onSample(6, 6, 16_000);
    reachability.onSample(6, 0, 18_000);
    assertEquals(
        new Measurement(6, 0),
        reachability.measurement(19_000),
        "the last sample suffices if no worker answered");
    reachability.onSample(0, 0, 30_000);
    assertFalse(reachability.measurement(30_000).isKnown(), "no machines");
  }
}
