package org.astershift.scheduler;

import java.util.Collection;
import java.util.List;
import java.util.Locale;

/** Used and provisioned processors, of machines with and without accelerators. */
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

  /** Adds used processors of the machine; negative: they are free again. */
  void addUsedCpus(Machine machine, double cpus) {
    totalsFor(machine).usedCpus += cpus;
  }

  /** Recomputes all sums; in between, {@link #addUsedCpus} updates what is used. */
  void recount(Collection<Machine> machines) {
    for (Totals pool : List.of(withoutAccelerators, withAccelerators)) {
      pool.usedCpus = 0;
      pool.liveCpus = 0;
      pool.bootingCpus = 0;
      pool.liveGpus = 0;
    }
    for (Machine machine : machines) {
      if (machine.state == Machine.State.LIVE && machine.type != null) {
        Totals pool = totalsFor(machine);
        pool.usedCpus += machine.usedCpus();
        pool.liveCpus += machine.type.cpus();
        pool.liveGpus += machine.type.gpus();
      } else if (machine.state == Machine.State.BOOTING && machine.type != null) {
        totalsFor(machine).bootingCpus += machine.type.cpus();
      }
    }
  }

  /** Processors of machines without accelerators, live or booting. */
  double processorsWithoutAccelerators() {
    return withoutAccelerators.liveCpus + withoutAccelerators.bootingCpus;
  }

  /** Accelerators of live machines. */
  double accelerators() {
    return withAccelerators.liveGpus;
  }

  /** Processors of live machines for work without accelerators. */
  double processors() {
    return withoutAccelerators.liveCpus > 0
        ? withoutAccelerators.liveCpus
        : withAccelerators.liveCpus;
  }

  /** Share of the processors in use, of the machines that can replace this one. */
  double of(Machine machine) {
    Totals pool = totalsFor(machine);
    return pool.liveCpus == 0 ? 0 : pool.usedCpus / pool.liveCpus;
  }

  /** For the log: used processors of machines without and with accelerators. */
  String summary() {
    return String.format(
        Locale.ROOT,
        "%.0f of %.0f processors used, beside accelerators %.0f of %.0f",
        withoutAccelerators.usedCpus,
        withoutAccelerators.liveCpus,
        withAccelerators.usedCpus,
        withAccelerators.liveCpus);
  }
}
