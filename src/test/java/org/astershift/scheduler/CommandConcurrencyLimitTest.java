package org.astershift.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The limit of direct commands in flight adapts to the time in which they are answered. */
class CommandConcurrencyLimitTest {
  private final CommandConcurrencyLimit limit = new CommandConcurrencyLimit();

  /**
   * Sends commands until the limit is reached, then answers each after {@code answerMs}.
   *
   * @return the number of commands sent
   */
  private int playRound(long nowMs, long answerMs) {
    int sent = 0;
    while (limit.hasCapacity()) {
      limit.onSent("vm-" + sent++, nowMs);
    }
    for (int i = 0; i < sent; i++) {
      limit.onSettled("vm-" + i, true, nowMs + answerMs);
    }
    return sent;
  }

  @Test
  void limitGrowsWithTimelyAnswersAndIsHalvedOncePerLateRound() {
    assertEquals(CommandConcurrencyLimit.CONCURRENT_COMMANDS_INITIAL, playRound(0, 5));
    int grown = playRound(1000, 5);
    assertEquals(2 * CommandConcurrencyLimit.CONCURRENT_COMMANDS_INITIAL, grown);
    assertEquals(
        2 * grown, playRound(2000, 3000), "commands sent in the round whose answers are all late");
    assertEquals(grown, playRound(6000, 3000), "limit halved once for a round of late answers");
    for (int i = 0; i < 20; i++) {
      playRound(10_000 + 4000L * i, 3000);
    }
    assertEquals(
        CommandConcurrencyLimit.CONCURRENT_COMMANDS_MIN,
        playRound(200_000, 5),
        "limit does not fall below its minimum");
  }

  /**
   * A missing answer does not indicate an overload of this node: a zone that fails may leave
   * hundreds of machines that do not answer.
   */
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

  /** The result of a command may never be reported if its machine is removed meanwhile. */
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
