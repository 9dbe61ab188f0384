package org.astershift.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import org.astershift.http.Json;
import org.junit.jupiter.api.Test;

/** Progress of the largest job fits the smallest value limit seen, whatever the pattern. */
class RecordsTest {
  @Test
  void hundredThousandTasksFitAndComeBack() throws Exception {
    BitSet done = new BitSet();
    for (int i = 1; i < 100_000; i += 2) {
      done.set(i);
    }
    BitSet back = new BitSet();
    for (int segment = 0; segment < Records.segments(100_000); segment++) {
      byte[] value = Json.bytes(Records.segment(done, segment));
      assertTrue(value.length <= 8 * 1024, "segment of " + value.length + " bytes");
      Records.merge(back, segment, Json.object(value));
    }
    assertEquals(done, back);
    // With the job's own records the end of such a job still is one small transaction.
    assertTrue(Records.segments(100_000) + 2 <= 8);
  }
}
