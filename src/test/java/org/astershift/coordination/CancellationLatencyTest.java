package org.astershift.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

/** What the log says of how long users wait for their cancellations. */
class CancellationLatencyTest {
  private final CancellationLatency times = new CancellationLatency();

  @Test
  void medianNearlyAllAndWorst() {
    assertNull(times.line(0), "nothing happened");
    for (int i = 1; i <= 200; i++) {
      times.asked("wk-" + i, 1000);
    }
    for (int i = 200; i >= 1; i--) {
      times.ended("wk-" + i, true, 1000 + i);
    }
    assertEquals(
        "cancellations: 200 confirmed, median 100 ms, 99% 198 ms, worst 200 ms", times.line(2000));
    assertNull(times.line(3000), "told once");
  }

  @Test
  void countedFromTheFirstTimeThatItWasAsked() {
    times.asked("wk-1", 1000);
    times.asked("wk-1", 2500); // refused and repeated
    times.asked("wk-2", 2000);
    times.asked("wk-3", 2900);
    times.ended("wk-3", false, 2950); // done before it was cancelled
    times.ended("wk-4", true, 2950); // of which this leader was not asked
    assertEquals("cancellations: 0 confirmed; 2 wait, the longest for 2000 ms", times.line(3000));
    times.ended("wk-1", true, 3100);
    assertEquals(
        "cancellations: 1 confirmed, median 2100 ms, 99% 2100 ms, worst 2100 ms;"
            + " 1 wait, the longest for 2000 ms",
        times.line(4000));
  }
}
