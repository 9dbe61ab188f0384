package org.astershift.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.astershift.scheduler.JobKind;
import org.astershift.scheduler.Priority;
import org.junit.jupiter.api.Test;

/** Each kind and priority is decoded from its own code, and other codes are rejected. */
class EnumCodesTest {
  @Test
  void kindsRoundTrip() {
    for (JobKind kind : JobKind.values()) {
      assertEquals(kind, EnumCodes.jobKind(EnumCodes.codeOf(kind)));
    }
    assertEquals(2, EnumCodes.codeOf(JobKind.SERVICE));
    assertThrows(RuntimeException.class, () -> EnumCodes.jobKind(3));
    assertThrows(RuntimeException.class, () -> EnumCodes.jobKind(-1));
  }

  @Test
  void prioritiesRoundTrip() {
    for (Priority priority : Priority.values()) {
      assertEquals(priority, EnumCodes.priority(EnumCodes.codeOf(priority)));
    }
    assertEquals(3, EnumCodes.codeOf(Priority.LOW));
    assertThrows(RuntimeException.class, () -> EnumCodes.priority(4));
    assertThrows(RuntimeException.class, () -> EnumCodes.priority(-1));
  }
}
