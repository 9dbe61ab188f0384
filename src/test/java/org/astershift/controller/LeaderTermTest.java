package org.astershift.controller;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.astershift.config.OperatorSettings;
import org.astershift.config.Settings;
import org.astershift.scheduler.DeploymentLimits;
import org.astershift.scheduler.JobSpec;
import org.astershift.scheduler.Priority;
import org.astershift.scheduler.Scheduler;
import org.astershift.simulation.JobDraft;
import org.astershift.store.RecordCodec;
import org.astershift.store.StoreClient;
import org.astershift.store.WatchCache;
import org.junit.jupiter.api.Test;

/**
 * Rules ran_cancelled and went_back: a record of a job from before its end does not revive the job.
 */
class LeaderTermTest {
  /** The host of a term that nothing ends. */
  private static final class NoOpTermContext implements TermContext {
    @Override
    public long leaseCertainUntilMs() {
      return 0;
    }

    @Override
    public int maxDeferredResponses() {
      return 0;
    }

    @Override
    public void stepDown(String reason) {}

    @Override
    public void requestPass() {}
  }

  private static LeaderTerm term() {
    DeploymentLimits facts = new DeploymentLimits(Map.of(), List.of(), 2, 14, 30, 4, 40, 3);
    Settings.StoreLimits limits = new Settings.StoreLimits(100, 100, 8, 8);
    LeaderRecords records = new LeaderRecords(5, null, limits, (kind, key, value) -> {});
    return new LeaderTerm(
        5, new Scheduler(facts, OperatorSettings.defaults(), 5), records, new NoOpTermContext());
  }

  private static RecordCodec.JobRecord jobRecord() {
    return jobRecord(0);
  }

  /**
   * Returns the record of a job; {@code aheadMs} is by how many milliseconds the clock of the node
   * that accepted the job is ahead of this one's.
   */
  private static RecordCodec.JobRecord jobRecord(long aheadMs) {
    JobSpec spec =
        JobDraft.array("wk-1", 1)
            .forTeam("t")
            .classAndPriority("c", Priority.LOW)
            .estimate(1)
            .spec();
    return new RecordCodec.JobRecord(spec, System.currentTimeMillis() + aheadMs);
  }

  /**
   * Another node may have read and reported the end of a job before this leader has the response to
   * its write: on a simulated day with an overloaded node, a job was reported as done and then as
   * queued.
   */
  @Test
  void progressIsWithheldWhileEndWriteIsUnconfirmed() {
    LeaderTerm term = term();
    term.addJob(jobRecord(), 6);
    assertNotNull(term.progressIfCurrent("wk-1"));
    term.termJobs().onEndWriteStarted("wk-1"); // no response: it may be applied at any time
    assertNull(term.progressIfCurrent("wk-1"));
    term.termJobs().onEndWriteStarted("wk-1"); // the next attempt, which is rejected
    term.termJobs().onEndWriteRejected("wk-1");
    assertNull(term.progressIfCurrent("wk-1"), "the first attempt may still be applied");
    term.termJobs().onEndWriteRejected("wk-1");
    assertNotNull(term.progressIfCurrent("wk-1"));
    term.termJobs().onEndWriteStarted("wk-1");
    term.onJobEnded("wk-1", false);
    assertNull(term.progressIfCurrent("wk-1"));
  }

  @Test
  void lateRecordOfEndedJobIsIgnored() {
    LeaderTerm term = term();
    RecordCodec.JobRecord record = jobRecord();
    term.addJob(record, 6);
    assertNotNull(term.scheduler.progress("wk-1"));
    term.onJobEnded("wk-1", true);
    term.addJob(record, 6);
    assertNull(term.scheduler.progress("wk-1"));
    assertFalse(term.manages("wk-1"));
  }

  /**
   * A job was read or accepted by this node as a follower, and the thread that reports it was
   * paused until the node led. The job was live before the token and has no record at the token, so
   * it has ended. Adopted, it would be placed as a job that never started, though its user was told
   * that it is cancelled.
   */
  @Test
  void jobRecordFromBeforeTokenIsIgnored() {
    LeaderTerm term = term();
    RecordCodec.JobRecord record = jobRecord();
    Map<String, Object> data = RecordCodec.encodeJob(record);
    term.load(new WatchCache(null));
    term.addJob(record, 4);
    term.addJob(new StoreClient.Entry(RecordCodec.LIVE_JOB_PREFIX + "wk-1", data, 4));
    assertFalse(term.manages("wk-1"));
    assertNull(term.scheduler.progress("wk-1"));
    term.addJob(new StoreClient.Entry(RecordCodec.LIVE_JOB_PREFIX + "wk-1", data, 6));
    assertTrue(
        term.manages("wk-1"), "a job recorded after the token is live until this term ends it");
  }

  /**
   * Wall clocks are off by a second, or by ten, and drift. They determine the age of a job and the
   * order of the queue, and no safety rule depends on them. A job with a time in the future counts
   * as submitted now.
   */
  @Test
  void wallClockOffsetsAreTolerated() {
    for (long aheadMs : new long[] {-10_000, -1000, 0, 1000, 10_000}) {
      LeaderTerm term = term();
      RecordCodec.JobRecord record = jobRecord(aheadMs);
      term.addJob(record, 6);
      assertFalse(term.progressIfCurrent("wk-1").running());
      term.addJob(jobRecord(-aheadMs), 6); // read again, with the time of another clock
      term.onJobEnded("wk-1", false);
      term.addJob(record, 6);
      assertNull(term.progressIfCurrent("wk-1"));
    }
  }
}
