package org.astershift.scheduler;

import java.util.Collection;
import java.util.List;
import java.util.Locale;

/** Busy and allocated processors, of machines with and without accelerators. */
final class Utilization {
  private final Pool plain = new Pool();
  private final Pool accelerated = new Pool();

  /** Machines that can stand in for each other. */
  private static final class Pool {
    double used;
    double all;
    double booting;
    double gpus;
  }

  private Pool pool(Machine m) {
    return m.kind != null && m.kind.gpus() > 0 ? accelerated : plain;
  }

  /** Processors of the machine come into use, or are free again where there are fewer than 0. */
  void use(Machine m, double cpus) {
    pool(m).used += cpus;
  }

  /** Sums up anew; in between, {@link #use} keeps up what is used. */
  void recount(Collection<Machine> machines) {
    for (Pool p : List.of(plain, accelerated)) {
      p.used = 0;
      p.all = 0;
      p.booting = 0;
      p.gpus = 0;
    }
    for (Machine m : machines) {
      if (m.state == Machine.State.LIVE && m.kind != null) {
        Pool p = pool(m);
        p.used += m.usedCpus();
        p.all += m.kind.cpus();
        p.gpus += m.kind.gpus();
      } else if (m.state == Machine.State.BOOTING && m.kind != null) {
        pool(m).booting += m.kind.cpus();
      }
    }
  }

  /** Processors of machines without accelerators, there or on their way. */
  double plainProcessors() {
    return plain.all + plain.booting;
  }

  /** Accelerators of live machines. */
  double accelerators() {
    return accelerated.gpus;
  }

  /** Processors of live machines for work without accelerators. */
  double processors() {
    return plain.all > 0 ? plain.all : accelerated.all;
  }

  /** Busy over allocated processors, of the machines that can stand in for this one. */
  double of(Machine m) {
    Pool p = pool(m);
    return p.all == 0 ? 0 : p.used / p.all;
  }

  /** For the log: what is used of machines without and with accelerators. */
  String summary() {
    return String.format(
        Locale.ROOT,
        "%.0f of %.0f processors used, beside accelerators %.0f of %.0f",
        plain.used,
        plain.all,
        accelerated.used,
        accelerated.all);
  }
}
