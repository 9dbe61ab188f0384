package org.astershift.scheduler;

import java.util.Collection;
import java.util.List;
import java.util.Locale;

/**
 * Used and provisioned processors and accelerators, separately for machines with and without
 * accelerators.
 */
final class Utilization {
  private final Totals withoutAccelerators = new Totals();
  private final Totals withAccelerators = new Totals();

  /** Sums over machines that can replace each other. */
  private static final class Totals {
    double usedCpus;
    double liveCpus;
    double bootingCpus;
    double liveGpus;
  }

  private Totals totalsFor(Machine machine) {
    return machine.type != null && machine.type.gpus() > 0 ? withAccelerators : withoutAccelerators;
  }

  /** Adds used processors of the machine; a negative amount is subtracted. */
  void addUsedCpus(Machine machine, double cpus) {
    totalsFor(machine).usedCpus += cpus;
  }

  /** Recomputes all sums; between calls, {@link #addUsedCpus} updates the used processors. */
  void recount(Collection<Machine> machines) {
    for (Totals totals : List.of(withoutAccelerators, withAccelerators)) {
      totals.usedCpus = 0;
      totals.liveCpus = 0;
      totals.bootingCpus = 0;
      totals.liveGpus = 0;
    }
    for (Machine machine : machines) {
      if (machine.state == Machine.State.LIVE && machine.type != null) {
        Totals totals = totalsFor(machine);
        totals.usedCpus += machine.usedCpus();
        totals.liveCpus += machine.type.cpus();
        totals.liveGpus += machine.type.gpus();
      } else if (machine.state == Machine.State.BOOTING && machine.type != null) {
        totalsFor(machine).bootingCpus += machine.type.cpus();
      }
    }
  }

  /** Returns the processors of live and booting machines without accelerators. */
  double provisionedNonGpuCpus() {
    return withoutAccelerators.liveCpus + withoutAccelerators.bootingCpus;
  }

  /** Returns the accelerators of live machines. */
  double liveGpus() {
    return withAccelerators.liveGpus;
  }

  /**
   * Returns the processors of live machines for work without accelerators: those of machines with
   * accelerators count only if there are no others.
   */
  double liveCpus() {
    return withoutAccelerators.liveCpus > 0
        ? withoutAccelerators.liveCpus
        : withAccelerators.liveCpus;
  }

  /** Returns the share of processors in use, of the machines that can replace this one. */
  double of(Machine machine) {
    Totals totals = totalsFor(machine);
    return totals.liveCpus == 0 ? 0 : totals.usedCpus / totals.liveCpus;
  }

  /**
   * Returns the used and available processors of machines without and with accelerators, for the
   * log.
   */
  String summary() {
    return String.format(
        Locale.ROOT,
        "%.0f of %.0f processors used, on machines with accelerators %.0f of %.0f",
        withoutAccelerators.usedCpus,
        withoutAccelerators.liveCpus,
        withAccelerators.usedCpus,
        withAccelerators.liveCpus);
  }
}
