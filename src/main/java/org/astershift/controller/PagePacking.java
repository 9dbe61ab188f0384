package org.astershift.controller;

/** Computes how many pages fit into one store transaction. */
final class PagePacking {
  /** Maximum number of bytes that a page's key, revision and JSON frame take in a transaction. */
  static final int PAGE_FRAME_BYTES = 250;

  /**
   * Maximum number of bytes of pages in one transaction: three quarters of the protocol's limit.
   */
  static final int MAX_TRANSACTION_BYTES = 48 * 1024;

  private PagePacking() {}

  /**
   * Returns how many of the first pages go into one transaction. The number is bounded by bytes as
   * well as by {@code limit} pages: the store would reject an oversized transaction at every retry.
   */
  static int pagesPerTransaction(int[] pageSizes, int limit) {
    int count = 0;
    int totalBytes = 0;
    while (count < Math.min(pageSizes.length, limit)) {
      totalBytes += pageSizes[count] + PAGE_FRAME_BYTES;
      if (count > 0 && totalBytes > MAX_TRANSACTION_BYTES) {
        break;
      }
      count++;
    }
    return count;
  }
}
