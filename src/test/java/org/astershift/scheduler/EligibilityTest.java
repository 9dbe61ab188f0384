package org.astershift.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.astershift.simulation.JobDraft;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Which jobs can never run; and that what is accepted runs, where the cloud has enough. */
@Timeout(60)
class EligibilityTest {
  private static MachineType type(String name, double gpus, String zones) {
    List<String> in = zones.isEmpty() ? List.of() : List.of(zones.split(""));
    return new MachineType(name, 4, gpus, 16, 50, 1, 1 + gpus, 0.5, 1, in);
  }

  private static JobSpec job(
      JobKind kind,
      int tasks,
      double cpus,
      double gpus,
      double gb,
      List<String> types,
      String zone,
      boolean oneZone,
      boolean spread,
      boolean spot) {
    return JobDraft.array("wk-1", tasks)
        .kind(kind)
        .of("t")
        .takes(cpus, gpus)
        .memory(gb)
        .only(types)
        .zone(zone)
        .oneZone(oneZone)
        .spread(spread)
        .spot(spot)
        .estimate(1)
        .spec();
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource(
      delimiter = '|',
      value = {
        // kind, tasks, cpus, gpus, GB; zone, flags; limits of cpus and gpus; verdict
        "an array | ARRAY 9 4 0 16 | - - | 0 0 | runs",
        "a processor too many | ARRAY 1 4.01 0 1 | - - | 0 0 | fits no",
        "more memory than any has | ARRAY 1 1 0 16.1 | - - | 0 0 | fits no",
        "accelerators where they are | ARRAY 1 4 4 1 | b - | 0 0 | runs",
        "accelerators where none are | ARRAY 1 4 1 1 | a - | 0 0 | fits no",
        "a zone that is not | ARRAY 1 1 0 1 | z - | 0 0 | fits no",
        "a zone where nothing is offered | ARRAY 1 1 0 1 | d - | 0 0 | fits no",
        "an array over its limit | ARRAY 9 1 0 1 | - - | 1 0 | runs",
        "a task over its limit | ARRAY 1 1.5 0 1 | - - | 1 0 | limit",
        "a gang at its limit | GANG 9 1 0 1 | - - | 9 0 | runs",
        "a gang of tenths at its limit | GANG 3 0.1 0 1 | - - | 0.3 0 | runs",
        "a gang over its limit | GANG 9 1 0 1 | - - | 8 0 | limit",
        "a service over its limit | SERVICE 9 1 0 1 | - - | 8 0 | limit",
        "accelerators over their limit | GANG 3 1 1 1 | - - | 0 2 | limit",
        "no limit of what it takes | GANG 3 1 1 1 | - - | 3 0 | runs",
        "nothing taken of what is limited | GANG 99 1 0 1 | - - | 0 2 | runs",
        "a spread gang | GANG 2 1 0 1 | - apart | 0 0 | runs",
        "a spread gang in one zone | GANG 2 1 0 1 | - apart one | 0 0 | two zones",
        "a spread gang in the zone | GANG 2 1 0 1 | a apart | 0 0 | two zones",
        "a spread service in one zone | SERVICE 2 1 0 1 | - apart one | 0 0 | two zones",
        "a spread array in one zone | ARRAY 2 1 0 1 | a apart one | 0 0 | runs",
        "one spread task in one zone | GANG 1 1 0 1 | a apart one | 0 0 | runs",
        "a gang in one zone | GANG 9 1 0 1 | - one | 0 0 | runs",
        "spread, with types in one zone only | GANG 2 1 1 1 | - apart | 0 0 | two zones",
        "nothing at all | GANG 2 0 0 0 | - apart | 0 0 | runs",
      })
  void rejectionReasonMatchesVerdict(
      String what, String takes, String where, String limits, String verdict) {
    String[] j = takes.split(" ");
    String[] z = where.split(" ", 2);
    String[] l = limits.split(" ");
    JobSpec spec =
        job(
            JobKind.valueOf(j[0]),
            Integer.parseInt(j[1]),
            Double.parseDouble(j[2]),
            Double.parseDouble(j[3]),
            Double.parseDouble(j[4]),
            null,
            z[0].equals("-") ? null : z[0],
            z[1].contains("one"),
            z[1].contains("apart"),
            false);
    Team team = new Team("t", 0, Double.parseDouble(l[0]), 0, Double.parseDouble(l[1]));
    List<MachineType> types =
        List.of(type("small", 0, "ab"), type("fast", 4, "b"), type("gone", 4, ""));
    String never = Eligibility.rejectionReason(spec, types, team);
    String said = never == null ? "runs" : never;
    assertTrue(said.contains(verdict), said);
  }

  @Test
  void typeOfferedInNoZoneFitsNoTask() {
    JobSpec spec = job(JobKind.ARRAY, 1, 1, 4, 1, List.of("gone"), null, false, false, false);
    Team team = new Team("t", 0, 0, 0, 0);
    List<MachineType> types = List.of(type("small", 0, "a"), type("gone", 4, ""));
    assertEquals(
        "a task fits no allowed machine type", Eligibility.rejectionReason(spec, types, team));
    assertEquals("unknown team", Eligibility.rejectionReason(spec, types, null));
  }

  /**
   * Drawn jobs, alone on machines of drawn types, with a cloud that has all it offers: what is
   * accepted runs as a whole, and what is refused does not, and nothing breaks a limit meanwhile.
   */
  @Test
  void acceptedJobsRunAndRejectedJobsCannot() {
    Map<String, Integer> verdicts = new TreeMap<>();
    for (int seed = 1; seed <= 400; seed++) {
      Random random = new Random(seed);
      Map<String, MachineType> types = new TreeMap<>();
      for (String name : List.of("small", "large", "fast")) {
        if (random.nextInt(4) > 0) {
          String zones = pick(random, "a", "b", "ab", "abc", "abc", "");
          types.put(name, type(name, name.equals("fast") ? 4 : 0, zones));
        }
      }
      JobKind kind = pick(random, JobKind.values());
      double cpus = pick(random, 0.0, 0.1, 0.7, 1.0, 1.0, 4.0, 5.0);
      double gpus = pick(random, 0.0, 0.0, 0.0, 0.5, 1.0, 4.0, 5.0);
      double gb = pick(random, 0.0, 0.1, 1.0, 16.0, 17.0);
      boolean tiny = cpus == 0 && gpus == 0 && gb <= 0.1;
      int tasks = tiny ? pick(random, 1, 2, 1000) : pick(random, 1, 1, 2, 3, 8, 9, 50);
      List<String> only = random.nextInt(4) == 0 ? List.of(pick(random, "small", "fast")) : null;
      String zone = random.nextInt(4) == 0 ? pick(random, "a", "b") : null;
      boolean oneZone = random.nextInt(4) == 0;
      boolean spread = random.nextInt(2) == 0;
      JobSpec spec =
          job(kind, tasks, cpus, gpus, gb, only, zone, oneZone, spread, random.nextBoolean());
      boolean exact = random.nextInt(3) == 0;
      double cpusMax = exact ? tasks * cpus : pick(random, 0.0, 0.0, 0.9, 4.0, 20.0);
      Team team = new Team("t", 0, cpusMax, 0, pick(random, 0.0, 0.0, 3.0));

      String never = Eligibility.rejectionReason(spec, types.values(), team);
      verdicts.merge(never == null ? "runs as " + kind : never, 1, Integer::sum);
      boolean ran = new Deployment(types, team).runsWithin(spec, never == null ? 120 : 30);
      assertEquals(never == null, ran, "seed " + seed + ": " + never + ", " + spec + types + team);
    }
    assertEquals(6, verdicts.size(), verdicts.toString());
    verdicts.forEach((verdict, n) -> assertTrue(n > 10, verdicts.toString()));
  }

  @SafeVarargs
  private static <T> T pick(Random random, T... of) {
    return of[random.nextInt(of.length)];
  }

  /** A leader alone with a cloud of a hundred machines, which are up within the second. */
  private static final class Deployment {
    private static final int MACHINES = 100;
    private final Map<String, MachineType> types;
    private final Team team;
    private final Scheduler scheduler;
    private final Map<String, FakeMachine> machines = new TreeMap<>();
    private JobSpec spec;
    private boolean finished;
    private boolean allTasksRan;
    private int machinesCreated;

    Deployment(Map<String, MachineType> types, Team team) {
      this.types = types;
      this.team = team;
      DeploymentLimits facts =
          new DeploymentLimits(Map.of("t", team), List.of(), 2, 14, 30, 4, 40, 3);
      this.scheduler = new Scheduler(facts, org.astershift.config.OperatorSettings.defaults(), 7);
      scheduler.updateMachineTypes(types);
    }

    private static final class Task {
      Command start;
      long startedMs;
      boolean done;

      Heartbeat.TaskStatus status() {
        Heartbeat.TaskPhase phase = done ? Heartbeat.TaskPhase.EXITED : Heartbeat.TaskPhase.RUNNING;
        return new Heartbeat.TaskStatus(
            start.jobId(), start.index(), start.attemptNumber(), phase, done ? "done" : null);
      }
    }

    private static final class FakeMachine {
      MachineType type;
      String zone;
      boolean spot;
      long sequence;
      final Map<Integer, Task> tasks = new TreeMap<>();

      int runningTasks() {
        return (int) tasks.values().stream().filter(t -> !t.done).count();
      }
    }

    /** Whether the job ran as a whole within so many seconds. */
    boolean runsWithin(JobSpec job, int seconds) {
      spec = job;
      scheduler.addJob(job, false, new java.util.BitSet(), 0);
      for (long now = 0; now < seconds * 1000L; now += 500) {
        for (Decision d : scheduler.runPass(now, Long.MAX_VALUE / 4)) {
          execute(d, now);
        }
        advanceMachines(now);
        if (finished) {
          return true;
        }
      }
      return job.kind() == JobKind.SERVICE && runningTasks() == job.tasks();
    }

    private void execute(Decision d, long now) {
      if (d instanceof Decision.OpenJob o) {
        scheduler.onJobOpened(o.jobId());
      } else if (d instanceof Decision.FinishJob f) {
        scheduler.onJobEnded(f.jobId(), false, now);
        finished = true;
      } else if (d instanceof Decision.RegisterMachine e) {
        scheduler.onMachineRegistered(e.machineName());
      } else if (d instanceof Decision.ProvisionMachines r) {
        assertTrue(r.count() > 0, () -> r + " for " + spec);
        if (machines.size() + r.count() > MACHINES) {
          scheduler.onProvisioningFailed("r", r, true, now);
          return;
        }
        scheduler.onProvisioningStarted("r", r);
        List<String> names = new ArrayList<>();
        for (int i = 0; i < Math.min(r.count(), ScaleOut.PROVISION_BATCH_MACHINES); i++) {
          String name = "vm-" + ++machinesCreated;
          FakeMachine box = new FakeMachine();
          box.type = types.get(r.typeName());
          box.zone = r.zone();
          box.spot = r.spot();
          machines.put(name, box);
          names.add(name);
        }
        scheduler.onMachinesProvisioned("r", names, r, now);
      } else if (d instanceof Decision.ReleaseMachines r) {
        for (String name : r.machineNames()) {
          assertEquals(0, machines.remove(name).runningTasks(), () -> "given back under " + spec);
        }
        scheduler.onMachinesReleased(r.machineNames(), now);
      } else if (d instanceof Decision.SendCommands o) {
        FakeMachine box = machines.get(o.machineName());
        executeCommands(box, o.commands(), now);
        scheduler.onCommandResult(
            o.machineName(), false, heartbeat(o.machineName(), box), now, now);
      }
    }

    private void executeCommands(FakeMachine box, List<Command> orders, long now) {
      for (Command o : orders) {
        switch (o.kind()) {
          case START -> {
            Task t = new Task();
            t.start = o;
            t.startedMs = now;
            box.tasks.putIfAbsent(o.index(), t);
          }
          case STOP, FORGET -> box.tasks.remove(o.index());
          default -> throw new IllegalStateException();
        }
      }
      checkInvariants();
    }

    private Heartbeat heartbeat(String name, FakeMachine box) {
      List<Heartbeat.TaskStatus> items = new ArrayList<>();
      box.tasks.values().forEach(t -> items.add(t.status()));
      return new Heartbeat(
          name,
          name + ":1",
          box.type.name(),
          box.zone,
          box.spot,
          1,
          ++box.sequence,
          7,
          null,
          items);
    }

    private int runningTasks() {
      return machines.values().stream().mapToInt(FakeMachine::runningTasks).sum();
    }

    private void advanceMachines(long now) {
      allTasksRan |= runningTasks() == spec.tasks();
      for (Map.Entry<String, FakeMachine> e : new ArrayList<>(machines.entrySet())) {
        for (Task t : e.getValue().tasks.values()) {
          boolean together = spec.kind() != JobKind.GANG || allTasksRan;
          boolean ends = spec.kind() != JobKind.SERVICE && together;
          t.done |= ends && now - t.startedMs >= 1000;
        }
        List<Command> orders = scheduler.onHeartbeat(heartbeat(e.getKey(), e.getValue()), now, now);
        executeCommands(e.getValue(), orders, now);
      }
      scheduler.drainUnpersistedProgress().forEach(scheduler::onProgressPersisted);
    }

    /** The rules, and what a report may hold. */
    private void checkInvariants() {
      Map<String, Integer> zones = new TreeMap<>();
      int all = 0;
      for (FakeMachine box : machines.values()) {
        int n = box.runningTasks();
        all += n;
        zones.merge(box.zone, n, Integer::sum);
        double tolerance = 1e-6;
        assertTrue(n * spec.cpus() <= box.type.cpus() + tolerance, spec::toString);
        assertTrue(n * spec.gpus() <= box.type.gpus() + tolerance, spec::toString);
        assertTrue(n * spec.memoryGb() <= box.type.memoryGb() + tolerance, spec::toString);
        assertTrue(box.tasks.size() <= MachineType.MAX_TASKS_PER_MACHINE, spec::toString);
        assertTrue(
            n == 0 || spec.machineTypes() == null || spec.machineTypes().contains(box.type.name()));
        assertTrue(n == 0 || spec.zone() == null || spec.zone().equals(box.zone));
        assertTrue(n == 0 || spec.spotAllowed() || !box.spot);
      }
      zones.values().removeIf(n -> n == 0);
      assertTrue(!spec.oneZone() || zones.size() <= 1, () -> spec + ": " + zones);
      for (int n : zones.values()) {
        assertTrue(!spec.spread() || n <= spec.spreadLimit(), () -> spec + ": " + zones);
      }
      assertTrue(team.allows(all * spec.cpus(), all * spec.gpus()), spec::toString);
    }
  }
}
