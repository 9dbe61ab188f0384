package org.astershift.controller;

import java.util.BitSet;
import java.util.Map;
import org.astershift.store.RecordCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Records done tasks, so that the next leader does not run them again. */
final class ProgressSaver {
  private static final Logger LOG = LoggerFactory.getLogger(ProgressSaver.class);

  private ProgressSaver() {}

  /** Records new progress at intervals until the term ends. */
  static void saveLoop(LeaderTerm term) throws InterruptedException {
    while (!term.hasEnded()) {
      Thread.sleep(LoopTiming.PROGRESS_SAVE_INTERVAL_MS);
      try {
        Map<String, BitSet> unsaved = term.scheduler.drainUnpersistedProgress();
        unsaved.forEach((jobId, done) -> save(term, jobId, done));
      } catch (RuntimeException | Error e) {
        LOG.error("saving progress failed: token={}", term.token, e);
      }
    }
  }

  private static void save(LeaderTerm term, String jobId, BitSet done) {
    for (int i = 0; i < RecordCodec.segmentCount(done.length()); i++) {
      String key = RecordCodec.progressKey(jobId, i);
      if (term.manages(jobId)) { // a record written after the job's end would never be deleted
        term.records.put(
            LeaderRecords.RecordKind.PROGRESS, key, RecordCodec.encodeSegment(done, i), 0);
      }
    }
  }
}
