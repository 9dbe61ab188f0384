package org.astershift.api;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** An overloaded leader worked on nothing but reports that their workers had given up. */
@Timeout(60)
class ConcurrencyGateTest {
  @Test
  void whoWaitedTooLongGetsNoTurn() throws Exception {
    ConcurrencyGate turns = new ConcurrencyGate(2, 1);
    assertTrue(turns.tryEnter());
    assertTrue(turns.tryEnter());
    assertFalse(turns.tryEnter(), "two are at work");
    turns.leave();
    assertTrue(turns.tryEnter(), "the one that gave up holds no turn");
    turns.leave();
    turns.leave();
  }
}
