package org.astershift.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

/** The log summary of how long users wait for the confirmation of their cancellations. */
class CancellationLatencyTest {
  private final CancellationLatency latency = new CancellationLatency();

  @Test
  void summaryShowsMedianPercentileAndMaximum() {
    assertNull(latency.summary(0), "nothing to report");
    for (int i = 1; i <= 200; i++) {
      latency.onCancelRequested("wk-" + i, 1000);
    }
    for (int i = 200; i >= 1; i--) {
      latency.onJobEnded("wk-" + i, true, 1000 + i);
    }
    assertEquals(
        "cancellations: 200 confirmed, median 100 ms, 99% 198 ms, worst 200 ms",
        latency.summary(2000));
    assertNull(latency.summary(3000), "reported only once");
  }

  @Test
  void latencyCountsFromFirstRequest() {
    latency.onCancelRequested("wk-1", 1000);
    latency.onCancelRequested("wk-1", 2500); // rejected and repeated
    latency.onCancelRequested("wk-2", 2000);
    latency.onCancelRequested("wk-3", 2900);
    latency.onJobEnded("wk-3", false, 2950); // completed before it was cancelled
    latency.onJobEnded("wk-4", true, 2950); // this leader received no request to cancel it
    assertEquals(
        "cancellations: 0 confirmed; 2 wait, the longest for 2000 ms", latency.summary(3000));
    latency.onJobEnded("wk-1", true, 3100);
    assertEquals(
        "cancellations: 1 confirmed, median 2100 ms, 99% 2100 ms, worst 2100 ms;"
            + " 1 wait, the longest for 2000 ms",
        latency.summary(4000));
  }
}
