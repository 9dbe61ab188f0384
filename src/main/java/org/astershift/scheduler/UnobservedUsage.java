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
  private int unbounded;

  /** Brings the sums up to what is known of the machine now. */
  void look(Machine m, boolean there) {
    boolean dark = there && m.inTheDark();
    if (dark ? machines.add(m) : machines.remove(m)) {
      add(m, dark ? 1 : -1);
    }
  }

  private void add(Machine m, int sign) {
    if (m.kind == null) {
      unbounded += sign;
    } else {
      cpus += sign * m.kind.cpus();
      gpus += sign * m.kind.gpus();
    }
    if (machines.isEmpty()) {
      cpus = 0; // sums of fractions drift
      gpus = 0;
    }
  }

  /** The machines' types have changed. */
  void recount() {
    cpus = 0;
    gpus = 0;
    unbounded = 0;
    for (Machine m : machines) {
      add(m, 1);
    }
  }

  /** Processors that unknown tasks of any one team may take. */
  double cpus() {
    return unbounded > 0 ? Double.MAX_VALUE : cpus;
  }

  /** The same for accelerators. */
  double gpus() {
    return unbounded > 0 ? Double.MAX_VALUE : gpus;
  }
}
