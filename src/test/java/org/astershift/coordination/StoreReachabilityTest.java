package org.astershift.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.astershift.coordination.StoreReachability.Verdict;
import org.junit.jupiter.api.Test;

/** What a node takes the state service's silence for. */
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
    // One that answers ends it, and so does the state service: the time counts anew.
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
