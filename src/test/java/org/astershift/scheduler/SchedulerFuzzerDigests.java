package org.astershift.scheduler;

import org.astershift.KeptDigests;

/** The recorded digests of the seeds of {@link SchedulerFuzzer}. */
public final class SchedulerFuzzerDigests {
  private SchedulerFuzzerDigests() {}

  /** Returns the recorded digests, with the function that plays a seed. */
  public static KeptDigests kept() {
    return KeptDigests.in(
        "adversary.tsv", seed -> new SchedulerFuzzer(seed, false).play().digest());
  }
}
