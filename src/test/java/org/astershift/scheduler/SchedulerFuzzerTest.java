package org.astershift.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Checks that no rule is violated whatever faults the fuzzer injects, and that all sums that a term
 * maintains equal those recomputed after each input. To play more seeds, run {@code
 * org.astershift.scheduler.SchedulerFuzzer FIRST LAST}; with {@code story} as third argument it
 * prints the events of each seed that fails.
 */
class SchedulerFuzzerTest {
  @Test
  void noRuleBreaksWhenFaultsCoincide() {
    List<String> failedSeeds = new ArrayList<>();
    Map<String, Integer> eventCounts = new TreeMap<>();
    for (long seed = 1; seed <= 6; seed++) {
      SchedulerFuzzer fuzzer = new SchedulerFuzzer(seed, false).play();
      fuzzer.eventCounts.forEach((event, count) -> eventCounts.merge(event, count, Integer::sum));
      eventCounts.merge("starts", fuzzer.rules.starts, Integer::sum);
      if (!fuzzer.rules.violations.isEmpty()) {
        failedSeeds.add(fuzzer.toString());
      }
    }
    assertEquals(List.of(), failedSeeds);
    // Ensures that the seeds injected all these faults, many of them together.
    for (String fault :
        List.of(
            "restarts",
            "copies",
            "deaths",
            "hangs",
            "late command",
            "lease expired with tasks",
            "lost write",
            "command of a deposed leader",
            "outage",
            "pauses",
            "failovers",
            "cancellations")) {
      assertTrue(
          eventCounts.getOrDefault(fault, 0) > 0,
          fault + " did not occur in any seed: " + eventCounts);
    }
    assertTrue(eventCounts.get("starts") > 300, eventCounts.toString());
  }
}
