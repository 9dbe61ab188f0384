package org.astershift.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.astershift.config.Constants;
import org.junit.jupiter.api.Test;

/** How many direct orders may be under way follows from how they are answered. */
class CommandConcurrencyLimitTest {
  private final CommandConcurrencyLimit budget = new CommandConcurrencyLimit();

  /** Sends as many as may go; each is answered after so long. */
  private int round(long nowMs, long answerMs) {
    int n = 0;
    while (budget.open()) {
      budget.sent("vm-" + n++, nowMs);
    }
    for (int i = 0; i < n; i++) {
      budget.settled("vm-" + i, true, nowMs + answerMs);
    }
    return n;
  }

  @Test
  void growsWithAnswersInTimeAndIsHalvedOnceForALateRound() {
    assertEquals(Constants.ORDERS_AT_FIRST, round(0, 5));
    int grown = round(1000, 5);
    assertEquals(2 * Constants.ORDERS_AT_FIRST, grown);
    assertEquals(2 * grown, round(2000, 3000), "all late");
    assertEquals(grown, round(6000, 3000), "halved once for the whole round");
    for (int i = 0; i < 20; i++) {
      round(10_000 + 4000L * i, 3000);
    }
    assertEquals(Constants.ORDERS_LEAST, round(200_000, 5), "some always go");
  }

  /** Dead machines, of which a zone may have hundreds, say nothing of this node. */
  @Test
  void ordersWithoutAnAnswerDoNotLowerIt() {
    for (int i = 0; i < Constants.ORDERS_AT_FIRST; i++) {
      budget.sent("vm-" + i, 0);
    }
    assertFalse(budget.open());
    for (int i = 0; i < Constants.ORDERS_AT_FIRST; i++) {
      budget.settled("vm-" + i, false, 2500);
    }
    assertEquals(Constants.ORDERS_AT_FIRST, round(3000, 5));
  }

  /** The end of an order to a machine that is gone meanwhile may never be told. */
  @Test
  void aLostOrderHoldsNoPlaceForEver() {
    for (int i = 0; i < Constants.ORDERS_AT_FIRST; i++) {
      budget.sent("vm-" + i, 0);
    }
    budget.tidy(Constants.ORDER_LOST_MS);
    assertFalse(budget.open());
    budget.tidy(Constants.ORDER_LOST_MS + 1);
    assertTrue(budget.open());
  }
}
