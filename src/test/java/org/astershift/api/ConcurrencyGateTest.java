package org.astershift.api;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A request that waited too long is rejected: its client has given up. */
@Timeout(60)
class ConcurrencyGateTest {
  @Test
  void requestThatWaitedTooLongIsRejected() throws Exception {
    ConcurrencyGate gate = new ConcurrencyGate(2, 1);
    assertTrue(gate.tryEnter());
    assertTrue(gate.tryEnter());
    assertFalse(gate.tryEnter(), "both permits are taken");
    gate.leave();
    assertTrue(gate.tryEnter(), "a rejected request holds no permit");
    gate.leave();
    gate.leave();
  }
}
