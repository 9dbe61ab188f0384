package org.astershift.controller;

import java.util.LinkedHashMap;
import java.util.Map;
import org.astershift.config.Constants;
import org.astershift.store.RecordCodec;

/** The ends of jobs seen lately, so that most late polls need no read. */
final class EndedJobCache {
  private final Map<String, RecordCodec.Ended> ends =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, RecordCodec.Ended> eldest) {
          return size() > Constants.ENDED_KEPT;
        }
      };

  synchronized void put(String job, RecordCodec.Ended end) {
    ends.put(job, end);
  }

  synchronized RecordCodec.Ended get(String job) {
    return ends.get(job);
  }
}
