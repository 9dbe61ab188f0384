package org.astershift.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.astershift.config.Constants;
import org.astershift.coordination.Candidacy.HandOver;
import org.astershift.coordination.Candidacy.PeerStatus;
import org.astershift.coordination.WorkerReachability.Measurement;
import org.junit.jupiter.api.Test;

/** Who stands for the leadership and who hands it over, by what each reaches of the fleet. */
class CandidacyTest {
  private static final Measurement ALL = new Measurement(12, 12);
  private static final Measurement HALF = new Measurement(12, 6);
  private static final Measurement NONE = new Measurement(12, 0);
  private static final long LATER = 1000 + Constants.HAND_OVER_AFTER_MS;

  private static PeerStatus told(Measurement seen) {
    return new PeerStatus(seen.equals(ALL) ? "whole" : "less", true, seen);
  }

  @Test
  void whoReachesFewWorkersLetsTheOthersStandFirst() {
    Candidacy c = new Candidacy();
    assertFalse(c.stands(NONE, 1000));
    assertFalse(c.stands(NONE, 1000 + Constants.STAND_LATE_MS - 1));
    assertTrue(c.stands(NONE, 1000 + Constants.STAND_LATE_MS), "nobody else stood");
    c.held("other", 10_000);
    assertFalse(c.stands(NONE, 20_000), "the others have their turn each time it is free");
    for (Measurement seen : List.of(ALL, HALF, Measurement.NOTHING, new Measurement(2, 0))) {
      assertTrue(new Candidacy().stands(seen, 0), seen.toString());
    }
  }

  @Test
  void whoWasNotChosenLetsTheChosenOneStand() {
    Candidacy c = new Candidacy();
    c.yields(1000);
    assertFalse(c.stands(ALL, 1500));
    assertTrue(c.stands(ALL, 1000 + Constants.STAND_LATE_MS), "it did not");
  }

  @Test
  void aDeafLeaderHandsOverToOneThatReachesMore() {
    Candidacy c = new Candidacy();
    assertNull(c.handsOver(0.1, List.of(told(NONE), told(ALL)), 2, 1000, LATER - 1), "too soon");
    assertEquals(
        new HandOver("whole"),
        c.handsOver(0.1, List.of(told(HALF), told(ALL)), 2, 1000, LATER),
        "the one that reaches most");
    assertNotNull(c.handsOver(0.1, List.of(told(ALL)), 4, 1000, LATER), "the others do not answer");
    // Found on the apart day: a zone was cut off for all, and the new leader resigned.
    assertNull(c.handsOver(0.4, List.of(told(HALF), told(HALF)), 2, 1000, LATER));
  }

  @Test
  void whereNobodyReachesTheWorkersOneLeaderStays() {
    Candidacy c = new Candidacy();
    for (long now = LATER; now < LATER + 600_000; now += 500) {
      c.held("me", now);
      assertNull(c.handsOver(0, List.of(told(NONE), told(NONE)), 2, 1000, now));
    }
  }

  @Test
  void oneThatTheStateServiceDoesNotAnswerCannotTakeOver() {
    assertNull(
        new Candidacy()
            .handsOver(
                0, List.of(new PeerStatus("apart", false, ALL), told(NONE)), 2, 1000, LATER));
  }

  @Test
  void whereNoOtherAnswersEachHasOneTurn() {
    Candidacy c = new Candidacy();
    c.held("a", LATER);
    assertNotNull(c.handsOver(0, List.of(), 2, 1000, LATER));
    c.held("b", LATER + 10_000);
    assertNotNull(c.handsOver(0, List.of(), 2, 1000, LATER + 10_000), "c has not led");
    c.held("c", LATER + 20_000);
    c.held("a", LATER + 30_000);
    assertNull(c.handsOver(0, List.of(), 2, 1000, LATER + 30_000), "all had their turn");
    assertNull(c.handsOver(0, List.of(), 0, 1000, LATER), "there is no other controller");
  }

  @Test
  void onlyTheLastSamplesCountAndNotForLong() {
    WorkerReachability reach = new WorkerReachability();
    assertFalse(reach.seen(0).known());
    reach.sampled(6, 6, 0);
    reach.sampled(6, 6, 2000);
    assertTrue(reach.seen(2500).able());
    reach.sampled(6, 1, 4000);
    reach.sampled(6, 1, 6000);
    assertTrue(reach.seen(6500).few(), "cut off two samples ago");
    assertEquals(new Measurement(12, 2), reach.seen(6500));
    assertFalse(reach.seen(6000 + Constants.REACH_FRESH_MS + 1).known(), "too old to say anything");
    reach.sampled(6, 6, 16_000);
    reach.sampled(6, 0, 18_000);
    assertEquals(
        new Measurement(6, 0), reach.seen(19_000), "the last is enough if nobody answered it");
    reach.sampled(0, 0, 30_000);
    assertFalse(reach.seen(30_000).known(), "a site without machines");
  }
}
