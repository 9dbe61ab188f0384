package org.astershift.controller;

import java.util.LinkedHashMap;
import java.util.Map;
import org.astershift.store.RecordCodec;

/** Ends of jobs, so that most polls of ended jobs need no read. Callable from any thread. */
final class EndedJobCache {
  /** Ends kept, the latest; others are read from the store. */
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

  /** The end of the job; null if it is not cached. */
  synchronized RecordCodec.JobEnd get(String jobId) {
    return ends.get(jobId);
  }
}
