package org.astershift.scheduler;

import java.util.HashSet;
import java.util.Set;

/**
 * An upper bound of what tasks unknown to this leader use, so that teams with a quota can start
 * work after a failover before all machines are reconciled. Such tasks run on unobserved machines
 * only and use no more than the capacity of these machines. The whole capacity counts against every
 * team, since any team may use all of it.
 *
 * <p>A machine is unobserved until it is fenced, and also while it holds tasks of jobs that have
 * ended, whose needs and teams are no longer known.
 */
final class UnobservedUsage {
  private final Set<Machine> machines = new HashSet<>();
  private double cpus;
  private double gpus;

  /** Number of unobserved machines whose type is not known: nothing bounds their usage. */
  private int machinesOfUnknownType;

  /**
   * Updates the sums to the machine's current state; {@code present} is false once the machine is
   * gone.
   */
  void update(Machine machine, boolean present) {
    boolean unobserved = present && machine.mayHoldUnobservedUsage();
    if (unobserved ? machines.add(machine) : machines.remove(machine)) {
      add(machine, unobserved ? 1 : -1);
    }
  }

  private void add(Machine machine, int sign) {
    if (machine.type == null) {
      machinesOfUnknownType += sign;
    } else {
      cpus += sign * machine.type.cpus();
      gpus += sign * machine.type.gpus();
    }
    if (machines.isEmpty()) {
      cpus = 0; // sums of fractions drift
      gpus = 0;
    }
  }

  /** Recomputes the sums after a change of machine types. */
  void recompute() {
    cpus = 0;
    gpus = 0;
    machinesOfUnknownType = 0;
    for (Machine machine : machines) {
      add(machine, 1);
    }
  }

  /**
   * Returns the processors that unknown tasks of any one team may use; MAX_VALUE if there is no
   * bound.
   */
  double cpus() {
    return machinesOfUnknownType > 0 ? Double.MAX_VALUE : cpus;
  }

  /**
   * Returns the accelerators that unknown tasks of any one team may use; MAX_VALUE if there is no
   * bound.
   */
  double gpus() {
    return machinesOfUnknownType > 0 ? Double.MAX_VALUE : gpus;
  }
}
