package org.astershift.scheduler;

import java.util.Comparator;
import java.util.List;

/**
 * The attempts to stop on one machine for one task. {@code lossCpuS} is the work that this loses,
 * in processor seconds; {@code order} breaks ties between equal losses.
 */
record PreemptionChoice(Machine machine, List<TaskAttempt> victims, double lossCpuS, int order) {
  static final Comparator<PreemptionChoice> CHEAPEST_FIRST =
      Comparator.comparingDouble(PreemptionChoice::lossCpuS)
          .thenComparingInt(PreemptionChoice::order);
}
