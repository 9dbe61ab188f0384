package org.astershift.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.SplittableRandom;
import org.astershift.store.RecordCodec;
import org.junit.jupiter.api.Test;

/** How many pages of notes one transaction takes, whatever limits the settings give. */
class PagePackingTest {
  private static final int PROTOCOL_BYTES = 64 * 1024;

  @Test
  void noTransactionExceedsStoreLimit() {
    SplittableRandom random = new SplittableRandom(1);
    for (int i = 0; i < 10_000; i++) {
      int[] bytes =
          random.ints(random.nextInt(1, 200), 0, RecordCodec.MAX_PAGE_BYTES + 1).toArray();
      int most = random.nextInt(2, 1000);
      int n = PagePacking.pagesPerTransaction(bytes, most);
      int sum = Arrays.stream(bytes, 0, n).map(b -> b + PagePacking.PAGE_FRAME_BYTES).sum();
      assertTrue(n >= 1 && n <= most && sum <= PROTOCOL_BYTES, n + " pages, " + sum + " bytes");
      boolean room = n < Math.min(bytes.length, most);
      int next = room ? bytes[n] + PagePacking.PAGE_FRAME_BYTES : 0;
      assertTrue(
          !room || sum + next > PagePacking.MAX_TRANSACTION_BYTES,
          "no more than needed is left for later");
    }
  }

  @Test
  void fullPagesOfLargeFleetNeedSeveralTransactions() {
    int[] full = new int[48];
    Arrays.fill(full, RecordCodec.MAX_PAGE_BYTES);
    assertEquals(11, PagePacking.pagesPerTransaction(full, 48));
    assertEquals(8, PagePacking.pagesPerTransaction(full, 8));
  }

  /** One that is larger than all goes alone, and is refused alone. */
  @Test
  void oversizedPageIsWrittenAlone() {
    assertEquals(1, PagePacking.pagesPerTransaction(new int[] {10 * PROTOCOL_BYTES, 10}, 8));
  }
}
