package org.astershift.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.astershift.coordination.StoreReachability.Verdict;
import org.junit.jupiter.api.Test;

/** What a node concludes from missing responses of the store. */
class StoreReachabilityTest {
  private final StoreReachability reachability = new StoreReachability();

  @Test
  void peersWithoutStoreIndicateOutage() {
    for (long ms = 0; ms < 60_000; ms += 500) {
      assertEquals(Verdict.OUTAGE, reachability.onPeersQueried(4, 1, false, ms));
    }
  }

  @Test
  void nodeReachingNoPeerCountsAsIsolatedAfterDelay() {
    assertEquals(Verdict.OUTAGE, reachability.onPeersQueried(4, 0, false, 1000));
    assertEquals(
        Verdict.OUTAGE,
        reachability.onPeersQueried(4, 0, false, 1000 + StoreReachability.ISOLATED_AFTER_MS - 1));
    assertEquals(
        Verdict.ISOLATED,
        reachability.onPeersQueried(4, 0, false, 1000 + StoreReachability.ISOLATED_AFTER_MS));
    // An answer of a peer or of the store ends the isolation, and the delay starts again from zero.
    assertEquals(Verdict.OUTAGE, reachability.onPeersQueried(4, 1, false, 20_000));
    assertEquals(Verdict.OUTAGE, reachability.onPeersQueried(4, 0, false, 20_500));
    assertEquals(Verdict.ISOLATED, reachability.onPeersQueried(4, 0, false, 30_000));
    reachability.onStoreResponded();
    assertEquals(Verdict.OUTAGE, reachability.onPeersQueried(4, 0, false, 40_000));
  }

  @Test
  void peerWithStoreIndicatesPartitionImmediately() {
    assertEquals(Verdict.PARTITIONED, reachability.onPeersQueried(4, 1, true, 500));
  }

  @Test
  void nodeWithoutPeersIsNeverIsolated() {
    assertEquals(Verdict.OUTAGE, reachability.onPeersQueried(0, 0, false, 0));
    assertEquals(Verdict.OUTAGE, reachability.onPeersQueried(0, 0, false, 60_000));
  }
}
