package org.astershift.controller;

import java.util.LinkedHashMap;
import java.util.Map;
import org.astershift.config.Constants;
import org.astershift.store.RecordCodec;

/** The ends of jobs seen lately, so that most late polls need no read. */
final class EndedJobCache {
  private final Map<String, RecordCodec.JobEnd> ends =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, RecordCodec.JobEnd> eldest) {
          return size() > Constants.ENDED_JOBS_KEPT;
        }
      };

  synchronized void put(String jobId, RecordCodec.JobEnd end) {
    ends.put(jobId, end);
  }

  synchronized RecordCodec.JobEnd get(String jobId) {
    return ends.get(jobId);
  }
}
