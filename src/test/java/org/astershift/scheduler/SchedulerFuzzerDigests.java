package org.astershift.scheduler;

import org.astershift.KeptDigests;

/** The digests of the adversary's seeds. */
public final class SchedulerFuzzerDigests {
  private SchedulerFuzzerDigests() {}

  /** Those kept, and how to play a seed. */
  public static KeptDigests kept() {
    return KeptDigests.in(
        "adversary.tsv", seed -> new SchedulerFuzzer(seed, false).play().digest());
  }
}
