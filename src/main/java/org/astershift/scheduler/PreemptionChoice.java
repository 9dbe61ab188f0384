package org.astershift.scheduler;

import java.util.Comparator;
import java.util.List;

/**
 * What to stop on one machine for one task, and the work that this loses, in processor seconds;
 * {@code order} decides between equal ones.
 */
record PreemptionChoice(Machine machine, List<TaskAttempt> victims, double lossCpuS, int order) {
  static final Comparator<PreemptionChoice> CHEAPEST_FIRST =
      Comparator.comparingDouble(PreemptionChoice::lossCpuS)
          .thenComparingInt(PreemptionChoice::order);
}
