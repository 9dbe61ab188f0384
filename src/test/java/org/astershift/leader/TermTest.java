package org.astershift.leader;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.Map;
import org.astershift.config.Operator;
import org.astershift.config.Settings;
import org.astershift.core.Facts;
import org.astershift.core.JobKind;
import org.astershift.core.JobSpec;
import org.astershift.core.Priority;
import org.astershift.core.Scheduler;
import org.astershift.store.Records;
import org.junit.jupiter.api.Test;

/** Rules ran_cancelled and went_back: news of a job from before its end does not bring it back. */
class TermTest {
  @Test
  void lateNewsOfAnEndedJobIsIgnored() {
    Facts facts = new Facts(Map.of(), List.of(), 2, 14, 30, 4, 40, 3);
    Settings.StoreLimits limits = new Settings.StoreLimits(100, 100, 8, 8);
    Notes notes = new Notes(5, null, limits, (kind, key, value) -> {});
    Term term = new Term(5, new Scheduler(facts, Operator.defaults(), 5), notes, () -> {});
    JobSpec spec =
        new JobSpec(
            "wk-1",
            "c",
            "t",
            JobKind.ARRAY,
            Priority.LOW,
            1,
            1,
            0,
            1,
            "i",
            1,
            null,
            null,
            false,
            false,
            false,
            1,
            0,
            0,
            null);
    Records.JobRecord record = new Records.JobRecord(spec, System.currentTimeMillis());
    term.add(record);
    assertNotNull(term.scheduler.view("wk-1"));
    term.ended("wk-1", true);
    term.add(record);
    assertNull(term.scheduler.view("wk-1"));
    assertFalse(term.keeps("wk-1"));
  }
}
