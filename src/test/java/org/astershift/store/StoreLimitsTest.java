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

/** What a node does where the state service is at its limits, or answers nothing. */
@Timeout(100)
class StoreLimitsTest {
  private static final int READS = 10;

  @TempDir Path dir;

  private interface TestBody {
    void run(StoreClient store) throws Exception;
  }

  private void withStore(HttpServer.Handler service, TestBody body) throws Exception {
    HttpServer server = new HttpServer("127.0.0.1", 0, 50, service);
    server.start();
    try {
      body.run(new StoreClient(Emulators.settings(dir, server.port(), 1)));
    } finally {
      server.close();
    }
  }

  private static Response overLimit(Request r) {
    return Response.error(429, "over the limit");
  }

  /**
   * The state service says that its limit of requests is reached. Each node's next read waits a
   * little, as its next write does: otherwise all go on at the rate that was too much.
   */
  @Test
  void readOverLimitMakesNodeBackOff() throws Exception {
    withStore(
        StoreLimitsTest::overLimit,
        store -> {
          long beganNs = System.nanoTime();
          for (int i = 0; i < READS; i++) {
            assertThrows(IOException.class, () -> store.get("l/x"));
          }
          double tookS = (System.nanoTime() - beganNs) / 1e9;
          double leastS = (READS - 1) * RateLimiter.LIMIT_REACHED_PAUSE_S;
          assertTrue(tookS >= leastS, READS + " reads over the limit took " + tookS + " s");
        });
  }

  /**
   * A renewal of the leader's lease gets no answer. It is given up while another try still fits
   * into the lease, long before a read is.
   */
  @Test
  void unansweredRenewalLeavesTimeForRetry() throws Exception {
    CountDownLatch over = new CountDownLatch(1);
    AtomicInteger renewals = new AtomicInteger();
    withStore(
        r -> {
          if (r.path().contains("renew") && renewals.incrementAndGet() > 1) {
            return Response.of(200, Map.of());
          }
          over.await();
          return Response.error(503, "trouble");
        },
        store -> {
          Thread reader = new Thread(() -> assertThrows(IOException.class, () -> store.get("l/x")));
          reader.start();
          assertThrows(IOException.class, () -> store.renewLease(7));
          assertTrue(reader.isAlive(), "a read is still waiting");
          assertTrue(store.renewLease(7));
          over.countDown();
          reader.join();
        });
    assertEquals(2, renewals.get());
  }

  /** A try without an answer, and another one that follows at once, fit into the lease. */
  @Test
  void twoRenewalAttemptsFitIntoLease() {
    long secondSentMs =
        LoopTiming.LEADER_LEASE_RENEW_INTERVAL_MS + StoreClient.LEADER_LEASE_RENEW_TIMEOUT_MS;
    long lastsMs = Election.LEADER_LEASE_MS - ClockBounds.CLOCK_MARGIN_MS;
    assertTrue(secondSentMs < lastsMs * 3 / 4, secondSentMs + " ms of " + lastsMs + " ms");
  }
}
