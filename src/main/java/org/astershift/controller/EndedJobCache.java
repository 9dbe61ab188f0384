package org.astershift.controller;

import java.util.LinkedHashMap;
import java.util.Map;
import org.astershift.store.RecordCodec;

/** The ends of jobs seen lately, so that most late polls need no read. */
final class EndedJobCache {
  /** Ended jobs kept in memory; others are read from the state service. */
  private static final int ENDED_JOBS_KEPT = 50_000;

  private final Map<String, RecordCodec.JobEnd> ends =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, RecordCodec.JobEnd> eldest) {
          return size() > ENDED_JOBS_KEPT;
        }
      };

  synchronized void put(String jobId, RecordCodec.JobEnd end) {
    ends.put(jobId, end);
  }

  synchronized RecordCodec.JobEnd get(String jobId) {
    return ends.get(jobId);
  }
}
