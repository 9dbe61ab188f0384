package org.astershift.coordination;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.astershift.store.StoreClient;
import org.junit.jupiter.api.Test;

/** How old the news of a job may be that a thread brings after the job's end. */
class TermJobsTest {
  private static final int WRITES_PER_JOB_END = 2;

  /**
   * Ended jobs are remembered up to a number. At four ends a second it lasts for 40 minutes, and at
   * as many as a state service with 180 changes a second takes from the leader for three: no
   * request lives a tenth of that, nor did any thread in the cluster simulation (8 s).
   */
  @Test
  void endedJobsAreRememberedLongerThanAnyRequestLives() {
    for (double endsPerS :
        new double[] {4, 180 * StoreClient.LEADER_STORE_SHARE / WRITES_PER_JOB_END}) {
      TermJobs ledger = new TermJobs(5);
      ledger.onLoaded();
      double oldestS = TermJobs.ENDED_IN_TERM_JOBS / endsPerS;
      long requestMs = StoreClient.WATCH_BLOCK_MS + StoreClient.STORE_TIMEOUT_MS;
      assertTrue(oldestS * 1000 > 10 * requestMs, oldestS + " s");
      int ends = (int) (endsPerS * 10 * requestMs / 1000);
      for (int i = 0; i < ends; i++) {
        assertTrue(ledger.adopt("wk-" + i, 6 + i));
        ledger.onEndWriteStarted("wk-" + i);
        ledger.onEnded("wk-" + i);
      }
      assertFalse(ledger.adopt("wk-0", 6), "the oldest of " + ends);
      assertFalse(ledger.adopt("wk-" + (ends - 1), 6));
    }
  }
}
