package org.astershift.simulation;

import java.util.List;
import org.astershift.scheduler.JobKind;
import org.astershift.scheduler.JobSpec;
import org.astershift.scheduler.MachineType;
import org.astershift.scheduler.Priority;
import org.astershift.scheduler.ServiceLevelObjective;
import org.astershift.scheduler.Team;

/** The machines, teams and jobs of a randomized scenario. */
final class RandomizedWorkload {
  /** Number of jobs, apart from the services and the streams of jobs. */
  static final int JOBS = 40;

  private static final String SPOT_TYPE = "brief";
  private static final int SPOT_MACHINES = 9;
  private static final int LIMITED_TEAMS = 3;

  private final Simulation simulation;
  private final RandomSetup randomSetup;

  RandomizedWorkload(Simulation simulation, RandomSetup drawn) {
    this.simulation = simulation;
    this.randomSetup = drawn;
    simulation.teamCpuLimit = drawn.withTeamLimit ? 3 * drawn.setup.machines() : 0;
    if (drawn.withSpot) {
      addSpotMachines();
    }
    if (drawn.withTeams) {
      addTeams();
    }
  }

  /**
   * Adds three teams that reach their limits to the services' team, and an objective for urgent
   * work.
   */
  private void addTeams() {
    List<String> zones = simulation.setup.zones();
    simulation.cloud.addType(new MachineType("accel", 4, 2, 16, 50, 0.5, 3, 1, 10, zones));
    simulation.teams.put("team", new Team("team", 0, simulation.teamCpuLimit, 0, 0));
    for (int i = 0; i < LIMITED_TEAMS; i++) {
      simulation.teams.put("t" + i, new Team("t" + i, 4, 10, 1, 3));
      String zone = zones.get(i % zones.size());
      simulation.cloud.addMachine("vm-acc" + i, new CloudModel.Kind("accel", zone, i == 0), true);
    }
    simulation.objectives.add(new ServiceLevelObjective("wait", "u", 2, 0.9, 1));
  }

  private void addSpotMachines() {
    List<String> zones = simulation.setup.zones();
    simulation.cloud.addType(new MachineType(SPOT_TYPE, 4, 0, 16, 50, 0.5, 2, 0.1, 10, zones));
    for (int i = 0; i < SPOT_MACHINES; i++) {
      String zone = zones.get(i % zones.size());
      simulation.cloud.addMachine("vm-spot" + i, new CloudModel.Kind(SPOT_TYPE, zone, true), true);
    }
  }

  /** Returns the number of replicas of all services. */
  int serviceReplicas() {
    return 2 * randomSetup.setup.machines() + (randomSetup.withSpot ? SPOT_MACHINES : 0);
  }

  /** Submits the services now, and the other jobs in the course of the scenario. */
  void submit() {
    int replicas = 2 * randomSetup.setup.machines();
    simulation.submit(JobDraft.job("wk-0", JobKind.SERVICE, replicas), null);
    if (randomSetup.withSpot) {
      JobDraft draft = JobDraft.array("wk-spot", SPOT_MACHINES).kind(JobKind.SERVICE).spot();
      simulation.submit(draft.machineTypes(SPOT_TYPE).spec(), null);
    }
    for (int i = 1; i <= JOBS; i++) {
      int id = i;
      simulation.after(simulation.random.nextLong(110_000), () -> submitJob(id));
    }
  }

  /** Submits a job. Every other job is durable at once; the others are submitted by users. */
  private void submitJob(int id) {
    long runMs = simulation.random.nextBoolean() ? 5_000L : 25_000L;
    JobSpec spec = drawJob(id);
    boolean cancelled = simulation.random.nextBoolean();
    long afterMs = simulation.random.nextLong(40_000);
    if (id % 2 == 0) {
      simulation.submit(spec, runMs);
    } else {
      Runnable cancel = () -> simulation.after(afterMs, () -> simulation.cancelAsUser(spec.id()));
      simulation.submitAsUser(spec, runMs, cancelled ? cancel : () -> {});
    }
  }

  private JobSpec drawJob(int id) {
    int placement = simulation.random.nextInt(8);
    JobDraft draft = JobDraft.array("wk-" + id, 1 + simulation.random.nextInt(4));
    draft = placement == 1 ? draft.oneZone() : placement == 2 ? draft.spread() : draft;
    if (placement == 3) {
      List<String> zones = simulation.setup.zones();
      draft = draft.zone(zones.get(simulation.random.nextInt(zones.size())));
    }
    draft = randomSetup.withSpot && id % 2 == 0 ? draft.spot() : draft;
    boolean isGang = randomSetup.withGangs && id % 3 == 0;
    if (isGang) {
      draft = draft.kind(JobKind.GANG).saves(id % 2 == 0 ? 1.5 : 0);
      draft = id % 4 == 0 && placement != 2 ? draft.oneZone() : draft;
    }
    return (randomSetup.withTeams ? withTeam(draft, id, isGang) : draft).spec();
  }

  private static JobDraft withTeam(JobDraft job, int id, boolean isGang) {
    JobDraft draft = job.forTeam("t" + id % 3).takes(1 + id % 2, 0);
    draft = isGang ? draft : draft.saves(id % 5 == 0 ? 2 : 0);
    // A gang of four such tasks would exceed its team's limit.
    draft = id % 7 == 0 && !isGang ? draft.takes(1, 1) : draft;
    return id % 4 == 0 ? draft.classAndPriority("u", Priority.HIGH) : draft;
  }
}
