package org.astershift.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How many direct orders may be under way follows from how they are answered. */
class CommandConcurrencyLimitTest {
  private final CommandConcurrencyLimit limit = new CommandConcurrencyLimit();

  /** Sends as many as may go; each is answered after so long. */
  private int playRound(long nowMs, long answerMs) {
    int n = 0;
    while (limit.hasCapacity()) {
      limit.onSent("vm-" + n++, nowMs);
    }
    for (int i = 0; i < n; i++) {
      limit.onSettled("vm-" + i, true, nowMs + answerMs);
    }
    return n;
  }

  @Test
  void limitGrowsWithTimelyAnswersAndIsHalvedOncePerLateRound() {
    assertEquals(CommandConcurrencyLimit.CONCURRENT_COMMANDS_INITIAL, playRound(0, 5));
    int grown = playRound(1000, 5);
    assertEquals(2 * CommandConcurrencyLimit.CONCURRENT_COMMANDS_INITIAL, grown);
    assertEquals(2 * grown, playRound(2000, 3000), "all late");
    assertEquals(grown, playRound(6000, 3000), "halved once for the whole round");
    for (int i = 0; i < 20; i++) {
      playRound(10_000 + 4000L * i, 3000);
    }
    assertEquals(
        CommandConcurrencyLimit.CONCURRENT_COMMANDS_MIN, playRound(200_000, 5), "some always go");
  }

  /** Dead machines, of which a zone may have hundreds, say nothing of this node. */
  @Test
  void unansweredCommandsDoNotLowerLimit() {
    for (int i = 0; i < CommandConcurrencyLimit.CONCURRENT_COMMANDS_INITIAL; i++) {
      limit.onSent("vm-" + i, 0);
    }
    assertFalse(limit.hasCapacity());
    for (int i = 0; i < CommandConcurrencyLimit.CONCURRENT_COMMANDS_INITIAL; i++) {
      limit.onSettled("vm-" + i, false, 2500);
    }
    assertEquals(CommandConcurrencyLimit.CONCURRENT_COMMANDS_INITIAL, playRound(3000, 5));
  }

  /** The end of an order to a machine that is gone meanwhile may never be told. */
  @Test
  void lostCommandReleasesItsSlot() {
    for (int i = 0; i < CommandConcurrencyLimit.CONCURRENT_COMMANDS_INITIAL; i++) {
      limit.onSent("vm-" + i, 0);
    }
    limit.removeLost(CommandConcurrencyLimit.COMMAND_LOST_MS);
    assertFalse(limit.hasCapacity());
    limit.removeLost(CommandConcurrencyLimit.COMMAND_LOST_MS + 1);
    assertTrue(limit.hasCapacity());
  }
}
