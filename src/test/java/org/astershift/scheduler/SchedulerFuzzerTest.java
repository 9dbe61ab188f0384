package org.astershift.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * No rule breaks whatever faults the fuzzer injects, and all sums that a term maintains equal those
 * recomputed after each input. More seeds: {@code org.astershift.scheduler.SchedulerFuzzer FIRST
 * LAST}, with the events of each that fails after a third word.
 */
class SchedulerFuzzerTest {
  @Test
  void noRuleBreaksWhenFaultsCoincide() {
    List<String> broken = new ArrayList<>();
    Map<String, Integer> happened = new TreeMap<>();
    for (long seed = 1; seed <= 6; seed++) {
      SchedulerFuzzer fuzzer = new SchedulerFuzzer(seed, false).play();
      fuzzer.eventCounts.forEach((what, n) -> happened.merge(what, n, Integer::sum));
      happened.merge("starts", fuzzer.rules.starts, Integer::sum);
      if (!fuzzer.rules.violations.isEmpty()) {
        broken.add(fuzzer.toString());
      }
    }
    assertEquals(List.of(), broken);
    // The seeds did inject the faults, many of them together.
    for (String what :
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
      assertTrue(happened.getOrDefault(what, 0) > 0, what + " is missing: " + happened);
    }
    assertTrue(happened.get("starts") > 300, happened.toString());
  }
}
