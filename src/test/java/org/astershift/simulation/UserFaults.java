package org.astershift.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.astershift.scheduler.JobKind;

/** Leader changes, submissions and assertions that the tests of user requests share. */
final class UserFaults {
  private UserFaults() {}

  /** How leadership passes from one controller to another. */
  enum LeaderChange {
    NONE,
    HANDS_OVER,
    CRASHES,
    /** The leader hands over and crashes less than 20 ms later. */
    HANDS_OVER_THEN_CRASHES
  }

  static void apply(Simulation simulation, LeaderChange change) {
    for (ControllerModel controller : simulation.leaders()) {
      if (change == LeaderChange.HANDS_OVER || change == LeaderChange.HANDS_OVER_THEN_CRASHES) {
        controller.resign();
      }
      if (change == LeaderChange.CRASHES || change == LeaderChange.HANDS_OVER_THEN_CRASHES) {
        simulation.after(
            change == LeaderChange.HANDS_OVER_THEN_CRASHES ? simulation.random.nextLong(20) : 0,
            controller::crash);
        simulation.after(300 + simulation.random.nextLong(5000), controller::start);
      }
    }
  }

  /** Asserts that every controller reports each of the jobs as done or withdrawn. */
  static void assertJobsEnded(Simulation simulation, int from, int jobs) {
    for (int i = from; i < from + jobs; i++) {
      for (ControllerModel controller : simulation.controllers) {
        String state = simulation.checker.lastState("wk-" + i, controller.name);
        assertTrue(
            "done".equals(state) || "withdrawn".equals(state),
            controller.name + " reports wk-" + i + " as " + state + "\n" + simulation.recentLog());
      }
    }
  }

  static void submitJobs(Simulation simulation, int from, int jobs, long withinMs, long runMs) {
    for (int i = from; i < from + jobs; i++) {
      String job = "wk-" + i;
      int tasks = 1 + i % 3;
      simulation.after(
          simulation.random.nextLong(withinMs),
          () -> simulation.submitAsUser(JobDraft.job(job, JobKind.ARRAY, tasks), runMs, () -> {}));
    }
  }
}
