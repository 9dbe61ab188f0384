package org.astershift.scheduler;

import java.util.HashSet;
import java.util.Set;

/**
 * The most that tasks this leader does not know of may take, so that teams with a limit can start
 * work after a change of leaders before every machine on record was heard. Whatever an earlier
 * leader started, and still starts while it is cut off, is on such a machine, and on a machine is
 * no more than it has: its whole size counts against every team, in full against each, since any of
 * them may hold all of it.
 *
 * <p>A machine is in the dark until it shows this leader's token, and again while it holds tasks of
 * jobs that are over, of which nobody knows any more what they take and for which team. Waiting
 * until none was left stopped a site on which each team has a limit for 5 s at each change of
 * leaders, and for as long as a single machine was slow.
 */
final class UnobservedUsage {
  private final Set<Machine> machines = new HashSet<>();
  private double cpus;
  private double gpus;

  /** Machines among them whose type is not known: nothing bounds what they hold. */
  private int machinesOfUnknownType;

  /** Brings the sums up to what is known of the machine now. */
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

  /** The machines' types have changed. */
  void recompute() {
    cpus = 0;
    gpus = 0;
    machinesOfUnknownType = 0;
    for (Machine machine : machines) {
      add(machine, 1);
    }
  }

  /** Processors that unknown tasks of any one team may take. */
  double cpus() {
    return machinesOfUnknownType > 0 ? Double.MAX_VALUE : cpus;
  }

  /** The same for accelerators. */
  double gpus() {
    return machinesOfUnknownType > 0 ? Double.MAX_VALUE : gpus;
  }
}
