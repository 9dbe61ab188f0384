package org.astershift.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

/** What the log says of how long users wait for their cancellations. */
class CancellationLatencyTest {
  private final CancellationLatency times = new CancellationLatency();

  @Test
  void medianNearlyAllAndWorst() {
    assertNull(times.summary(0), "nothing happened");
    for (int i = 1; i <= 200; i++) {
      times.onCancelRequested("wk-" + i, 1000);
    }
    for (int i = 200; i >= 1; i--) {
      times.onJobEnded("wk-" + i, true, 1000 + i);
    }
    assertEquals(
        "cancellations: 200 confirmed, median 100 ms, 99% 198 ms, worst 200 ms",
        times.summary(2000));
    assertNull(times.summary(3000), "told once");
  }

  @Test
  void countedFromTheFirstTimeThatItWasAsked() {
    times.onCancelRequested("wk-1", 1000);
    times.onCancelRequested("wk-1", 2500); // refused and repeated
    times.onCancelRequested("wk-2", 2000);
    times.onCancelRequested("wk-3", 2900);
    times.onJobEnded("wk-3", false, 2950); // done before it was cancelled
    times.onJobEnded("wk-4", true, 2950); // of which this leader was not asked
    assertEquals(
        "cancellations: 0 confirmed; 2 wait, the longest for 2000 ms", times.summary(3000));
    times.onJobEnded("wk-1", true, 3100);
    assertEquals(
        "cancellations: 1 confirmed, median 2100 ms, 99% 2100 ms, worst 2100 ms;"
            + " 1 wait, the longest for 2000 ms",
        times.summary(4000));
  }
}
