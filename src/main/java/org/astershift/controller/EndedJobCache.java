package org.astershift.controller;

import java.util.LinkedHashMap;
import java.util.Map;
import org.astershift.store.RecordCodec;

/**
 * Cache of job ends, so that most polls of ended jobs need no read from the store. Callable from
 * any thread.
 */
final class EndedJobCache {
  /**
   * Maximum number of ends in the cache, which keeps the latest; others are read from the store.
   */
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

  /** Returns the end of the job; null if it is not cached. */
  synchronized RecordCodec.JobEnd get(String jobId) {
    return ends.get(jobId);
  }
}
