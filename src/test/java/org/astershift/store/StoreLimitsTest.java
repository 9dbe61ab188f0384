package org.astershift.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.astershift.config.ClockBounds;
import org.astershift.controller.LoopTiming;
import org.astershift.coordination.Election;
import org.astershift.emulator.Emulators;
import org.astershift.http.HttpServer;
import org.astershift.http.HttpServer.Request;
import org.astershift.http.HttpServer.Response;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** How a node behaves when the store is at its limits or does not answer. */
@Timeout(100)
class StoreLimitsTest {
  private static final int READS = 10;

  @TempDir Path dir;

  private interface TestBody {
    void run(StoreClient store) throws Exception;
  }

  private void withStore(HttpServer.Handler handler, TestBody body) throws Exception {
    HttpServer server = new HttpServer("127.0.0.1", 0, 50, handler);
    server.start();
    try {
      body.run(new StoreClient(Emulators.settings(dir, server.port(), 1)));
    } finally {
      server.close();
    }
  }

  private static Response overLimit(Request request) {
    return Response.error(429, "over the limit");
  }

  /**
   * The store reports that its limit of requests is reached. The next read of each node is delayed,
   * as its next write is: otherwise all nodes continue at the rate that was too high.
   */
  @Test
  void readOverLimitMakesNodeBackOff() throws Exception {
    withStore(
        StoreLimitsTest::overLimit,
        store -> {
          long startNs = System.nanoTime();
          for (int i = 0; i < READS; i++) {
            assertThrows(IOException.class, () -> store.get("l/x"));
          }
          double tookS = (System.nanoTime() - startNs) / 1e9;
          double minimumS = (READS - 1) * RateLimiter.LIMIT_REACHED_PAUSE_S;
          assertTrue(tookS >= minimumS, READS + " reads over the limit took " + tookS + " s");
        });
  }

  /**
   * A renewal of the leader's lease gets no response. It times out while another attempt still fits
   * into the lease, long before a read does.
   */
  @Test
  void unansweredRenewalLeavesTimeForRetry() throws Exception {
    CountDownLatch readsMayEnd = new CountDownLatch(1);
    AtomicInteger renewals = new AtomicInteger();
    withStore(
        request -> {
          if (request.path().contains("renew") && renewals.incrementAndGet() > 1) {
            return Response.of(200, Map.of());
          }
          readsMayEnd.await();
          return Response.error(503, "unavailable");
        },
        store -> {
          Thread reader = new Thread(() -> assertThrows(IOException.class, () -> store.get("l/x")));
          reader.start();
          assertThrows(IOException.class, () -> store.renewLease(7));
          assertTrue(reader.isAlive(), "a read is still waiting");
          assertTrue(store.renewLease(7));
          readsMayEnd.countDown();
          reader.join();
        });
    assertEquals(2, renewals.get());
  }

  /** An unanswered attempt to renew, and another one that follows at once, fit into the lease. */
  @Test
  void twoRenewalAttemptsFitIntoLease() {
    long retrySentMs =
        LoopTiming.LEADER_LEASE_RENEW_INTERVAL_MS + StoreClient.LEADER_LEASE_RENEW_TIMEOUT_MS;
    long leaseMs = Election.LEADER_LEASE_MS - ClockBounds.CLOCK_MARGIN_MS;
    assertTrue(retrySentMs < leaseMs * 3 / 4, retrySentMs + " ms of " + leaseMs + " ms");
  }
}
