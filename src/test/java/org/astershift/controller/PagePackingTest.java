package org.astershift.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.SplittableRandom;
import org.astershift.store.RecordCodec;
import org.junit.jupiter.api.Test;

/** The number of record pages in one transaction, for any limits that the settings give. */
class PagePackingTest {
  private static final int PROTOCOL_BYTES = 64 * 1024;

  @Test
  void noTransactionExceedsStoreLimit() {
    SplittableRandom random = new SplittableRandom(1);
    for (int i = 0; i < 10_000; i++) {
      int[] pageBytes =
          random.ints(random.nextInt(1, 200), 0, RecordCodec.MAX_PAGE_BYTES + 1).toArray();
      int maxPages = random.nextInt(2, 1000);
      int pages = PagePacking.pagesPerTransaction(pageBytes, maxPages);
      int totalBytes =
          Arrays.stream(pageBytes, 0, pages).map(page -> page + PagePacking.PAGE_FRAME_BYTES).sum();
      assertTrue(
          pages >= 1 && pages <= maxPages && totalBytes <= PROTOCOL_BYTES,
          pages + " pages, " + totalBytes + " bytes");
      boolean canAddPage = pages < Math.min(pageBytes.length, maxPages);
      int nextPageBytes = canAddPage ? pageBytes[pages] + PagePacking.PAGE_FRAME_BYTES : 0;
      assertTrue(
          !canAddPage || totalBytes + nextPageBytes > PagePacking.MAX_TRANSACTION_BYTES,
          "a page that fits is not left for a later transaction");
    }
  }

  @Test
  void fullPagesOfLargeFleetNeedSeveralTransactions() {
    int[] full = new int[48];
    Arrays.fill(full, RecordCodec.MAX_PAGE_BYTES);
    assertEquals(11, PagePacking.pagesPerTransaction(full, 48));
    assertEquals(8, PagePacking.pagesPerTransaction(full, 8));
  }

  /** A page that exceeds the limit is written alone, so that it alone is rejected. */
  @Test
  void oversizedPageIsWrittenAlone() {
    assertEquals(1, PagePacking.pagesPerTransaction(new int[] {10 * PROTOCOL_BYTES, 10}, 8));
  }
}
