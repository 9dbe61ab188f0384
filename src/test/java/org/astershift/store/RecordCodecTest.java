package org.astershift.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import org.junit.jupiter.api.Test;

/** The progress of the largest job fits into record pages, whatever its pattern. */
class RecordCodecTest {
  @Test
  void progressOfHundredThousandTasksFitsAndRoundTrips() throws Exception {
    BitSet done = new BitSet();
    for (int i = 1; i < 100_000; i += 2) {
      done.set(i);
    }
    BitSet decoded = new BitSet();
    for (int segment = 0; segment < RecordCodec.segmentCount(100_000); segment++) {
      String value = RecordCodec.encodeSegment(done, segment);
      assertTrue(value.length() <= RecordCodec.MAX_PAGE_BYTES, "segment of " + value.length());
      assertEquals(
          "wk-1",
          RecordCodec.mergeSegment(decoded, RecordCodec.progressKey("wk-1", segment), value));
    }
    assertEquals(done, decoded);
  }
}
