package org.astershift.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How many direct orders may be under way follows from how they are answered. */
class CommandConcurrencyLimitTest {
  private final CommandConcurrencyLimit budget = new CommandConcurrencyLimit();

  /** Sends as many as may go; each is answered after so long. */
  private int round(long nowMs, long answerMs) {
    int n = 0;
    while (budget.hasCapacity()) {
      budget.onSent("vm-" + n++, nowMs);
    }
    for (int i = 0; i < n; i++) {
      budget.onSettled("vm-" + i, true, nowMs + answerMs);
    }
    return n;
  }

  @Test
  void growsWithAnswersInTimeAndIsHalvedOnceForALateRound() {
    assertEquals(CommandConcurrencyLimit.CONCURRENT_COMMANDS_INITIAL, round(0, 5));
    int grown = round(1000, 5);
    assertEquals(2 * CommandConcurrencyLimit.CONCURRENT_COMMANDS_INITIAL, grown);
    assertEquals(2 * grown, round(2000, 3000), "all late");
    assertEquals(grown, round(6000, 3000), "halved once for the whole round");
    for (int i = 0; i < 20; i++) {
      round(10_000 + 4000L * i, 3000);
    }
    assertEquals(
        CommandConcurrencyLimit.CONCURRENT_COMMANDS_MIN, round(200_000, 5), "some always go");
  }

  /** Dead machines, of which a zone may have hundreds, say nothing of this node. */
  @Test
  void ordersWithoutAnAnswerDoNotLowerIt() {
    for (int i = 0; i < CommandConcurrencyLimit.CONCURRENT_COMMANDS_INITIAL; i++) {
      budget.onSent("vm-" + i, 0);
    }
    assertFalse(budget.hasCapacity());
    for (int i = 0; i < CommandConcurrencyLimit.CONCURRENT_COMMANDS_INITIAL; i++) {
      budget.onSettled("vm-" + i, false, 2500);
    }
    assertEquals(CommandConcurrencyLimit.CONCURRENT_COMMANDS_INITIAL, round(3000, 5));
  }

  /** The end of an order to a machine that is gone meanwhile may never be told. */
  @Test
  void aLostOrderHoldsNoPlaceForEver() {
    for (int i = 0; i < CommandConcurrencyLimit.CONCURRENT_COMMANDS_INITIAL; i++) {
      budget.onSent("vm-" + i, 0);
    }
    budget.removeLost(CommandConcurrencyLimit.COMMAND_LOST_MS);
    assertFalse(budget.hasCapacity());
    budget.removeLost(CommandConcurrencyLimit.COMMAND_LOST_MS + 1);
    assertTrue(budget.hasCapacity());
  }
}
