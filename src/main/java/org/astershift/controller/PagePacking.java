package org.astershift.controller;

/** How many pages fit into one transaction of the store. */
final class PagePacking {
  /** Bytes of a page's key, revision and JSON frame in a transaction, at most. */
  static final int PAGE_FRAME_BYTES = 250;

  /** Most bytes of pages in one transaction: three quarters of what the protocol allows. */
  static final int MAX_TRANSACTION_BYTES = 48 * 1024;

  private PagePacking() {}

  /**
   * How many of the first pages go into one transaction. Bounded in bytes as well as in changes:
   * the store would reject an oversized transaction at every retry.
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
