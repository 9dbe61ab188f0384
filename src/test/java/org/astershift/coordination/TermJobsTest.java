package org.astershift.coordination;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.astershift.store.StoreClient;
import org.junit.jupiter.api.Test;

/** How late a thread may deliver the record of a job after the end of that job. */
class TermJobsTest {
  private static final int WRITES_PER_JOB_END = 2;

  /**
   * A fixed number of ended jobs is remembered. It lasts for 40 minutes at four ends per second,
   * and for three minutes at the rate that a store with 180 writes per second accepts from the
   * leader. No request lives a tenth of that, nor did any thread in the cluster simulation (8 s).
   */
  @Test
  void endedJobsAreRememberedLongerThanAnyRequestLives() {
    for (double endsPerS :
        new double[] {4, 180 * StoreClient.LEADER_STORE_SHARE / WRITES_PER_JOB_END}) {
      TermJobs termJobs = new TermJobs(5);
      termJobs.onLoaded();
      double oldestS = TermJobs.ENDED_IN_TERM_JOBS / endsPerS;
      long requestMs = StoreClient.WATCH_BLOCK_MS + StoreClient.STORE_TIMEOUT_MS;
      assertTrue(oldestS * 1000 > 10 * requestMs, oldestS + " s");
      int ends = (int) (endsPerS * 10 * requestMs / 1000);
      for (int i = 0; i < ends; i++) {
        assertTrue(termJobs.adopt("wk-" + i, 6 + i));
        termJobs.onEndWriteStarted("wk-" + i);
        termJobs.onEnded("wk-" + i);
      }
      assertFalse(termJobs.adopt("wk-0", 6), "the oldest of " + ends);
      assertFalse(termJobs.adopt("wk-" + (ends - 1), 6));
    }
  }
}
