package org.astershift.leader;

import java.util.LinkedHashMap;
import java.util.Map;
import org.astershift.config.Constants;
import org.astershift.store.Records;

/** The ends of jobs seen lately, so that most late polls need no read. */
final class EndedJobs {
  private final Map<String, Records.Ended> ends =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Records.Ended> eldest) {
          return size() > Constants.ENDED_KEPT;
        }
      };

  synchronized void put(String job, Records.Ended end) {
    ends.put(job, end);
  }

  synchronized Records.Ended get(String job) {
    return ends.get(job);
  }
}
