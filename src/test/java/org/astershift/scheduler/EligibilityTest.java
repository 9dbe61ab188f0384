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

/**
 * Tests which jobs are rejected because they can never run, and that every accepted job does run
 * where the cloud has enough machines.
 */
@Timeout(60)
class EligibilityTest {
  private static MachineType type(String name, double gpus, String zones) {
    List<String> offeredZones = zones.isEmpty() ? List.of() : List.of(zones.split(""));
    return new MachineType(name, 4, gpus, 16, 50, 1, 1 + gpus, 0.5, 1, offeredZones);
  }

  private static JobSpec job(
      JobKind kind,
      int tasks,
      double cpus,
      double gpus,
      double memoryGb,
      List<String> types,
      String zone,
      boolean oneZone,
      boolean spread,
      boolean spot) {
    return JobDraft.array("wk-1", tasks)
        .kind(kind)
        .forTeam("t")
        .takes(cpus, gpus)
        .memory(memoryGb)
        .machineTypes(types)
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
        // name; kind, tasks, cpus, gpus, GB; zone, flags; team limits of cpus and gpus; verdict
        "array that fits | ARRAY 9 4 0 16 | - - | 0 0 | runs",
        "more cpus than any type has | ARRAY 1 4.01 0 1 | - - | 0 0 | fits no",
        "more memory than any type has | ARRAY 1 1 0 16.1 | - - | 0 0 | fits no",
        "gpus in a zone that has them | ARRAY 1 4 4 1 | b - | 0 0 | runs",
        "gpus in a zone without them | ARRAY 1 4 1 1 | a - | 0 0 | fits no",
        "unknown zone | ARRAY 1 1 0 1 | z - | 0 0 | fits no",
        "zone in which no type is offered | ARRAY 1 1 0 1 | d - | 0 0 | fits no",
        "array above its team limit | ARRAY 9 1 0 1 | - - | 1 0 | runs",
        "single task above its team limit | ARRAY 1 1.5 0 1 | - - | 1 0 | limit",
        "gang at its team limit | GANG 9 1 0 1 | - - | 9 0 | runs",
        "gang of fractional cpus at its team limit | GANG 3 0.1 0 1 | - - | 0.3 0 | runs",
        "gang above its team limit | GANG 9 1 0 1 | - - | 8 0 | limit",
        "service above its team limit | SERVICE 9 1 0 1 | - - | 8 0 | limit",
        "gpus above their team limit | GANG 3 1 1 1 | - - | 0 2 | limit",
        "gpus used and only cpus limited | GANG 3 1 1 1 | - - | 3 0 | runs",
        "no gpus used and only gpus limited | GANG 99 1 0 1 | - - | 0 2 | runs",
        "spread gang | GANG 2 1 0 1 | - apart | 0 0 | runs",
        "spread gang limited to one zone | GANG 2 1 0 1 | - apart one | 0 0 | two zones",
        "spread gang with a zone given | GANG 2 1 0 1 | a apart | 0 0 | two zones",
        "spread service limited to one zone | SERVICE 2 1 0 1 | - apart one | 0 0 | two zones",
        "spread array limited to one zone | ARRAY 2 1 0 1 | a apart one | 0 0 | runs",
        "single spread task limited to one zone | GANG 1 1 0 1 | a apart one | 0 0 | runs",
        "gang limited to one zone | GANG 9 1 0 1 | - one | 0 0 | runs",
        "spread gang with suitable types in one zone only | GANG 2 1 1 1 | - apart | 0 0 | two zones",
        "gang without resource needs | GANG 2 0 0 0 | - apart | 0 0 | runs",
      })
  void rejectionReasonMatchesVerdict(
      String name, String resources, String placement, String limits, String verdict) {
    String[] jobWords = resources.split(" ");
    String[] zoneAndFlags = placement.split(" ", 2);
    String[] limitWords = limits.split(" ");
    JobSpec spec =
        job(
            JobKind.valueOf(jobWords[0]),
            Integer.parseInt(jobWords[1]),
            Double.parseDouble(jobWords[2]),
            Double.parseDouble(jobWords[3]),
            Double.parseDouble(jobWords[4]),
            null,
            zoneAndFlags[0].equals("-") ? null : zoneAndFlags[0],
            zoneAndFlags[1].contains("one"),
            zoneAndFlags[1].contains("apart"),
            false);
    Team team =
        new Team("t", 0, Double.parseDouble(limitWords[0]), 0, Double.parseDouble(limitWords[1]));
    List<MachineType> types =
        List.of(type("small", 0, "ab"), type("fast", 4, "b"), type("gone", 4, ""));
    String rejection = Eligibility.rejectionReason(spec, types, team);
    String outcome = rejection == null ? "runs" : rejection;
    assertTrue(outcome.contains(verdict), "expected " + verdict + ", got " + outcome);
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
   * Submits random jobs, each alone on machines of random types, to a cloud that has every machine
   * that it offers: an accepted job runs as a whole, a rejected job would not, and no limit is
   * exceeded meanwhile.
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
      double memoryGb = pick(random, 0.0, 0.1, 1.0, 16.0, 17.0);
      boolean needsAlmostNothing = cpus == 0 && gpus == 0 && memoryGb <= 0.1;
      int tasks =
          needsAlmostNothing ? pick(random, 1, 2, 1000) : pick(random, 1, 1, 2, 3, 8, 9, 50);
      List<String> allowedTypes =
          random.nextInt(4) == 0 ? List.of(pick(random, "small", "fast")) : null;
      String zone = random.nextInt(4) == 0 ? pick(random, "a", "b") : null;
      boolean oneZone = random.nextInt(4) == 0;
      boolean spread = random.nextInt(2) == 0;
      JobSpec spec =
          job(
              kind,
              tasks,
              cpus,
              gpus,
              memoryGb,
              allowedTypes,
              zone,
              oneZone,
              spread,
              random.nextBoolean());
      boolean isLimitExact = random.nextInt(3) == 0;
      double cpusMax = isLimitExact ? tasks * cpus : pick(random, 0.0, 0.0, 0.9, 4.0, 20.0);
      Team team = new Team("t", 0, cpusMax, 0, pick(random, 0.0, 0.0, 3.0));

      String rejection = Eligibility.rejectionReason(spec, types.values(), team);
      verdicts.merge(rejection == null ? "runs as " + kind : rejection, 1, Integer::sum);
      boolean ran = new Deployment(types, team).runsWithin(spec, rejection == null ? 120 : 30);
      assertEquals(
          rejection == null, ran, "seed " + seed + ": " + rejection + ", " + spec + types + team);
    }
    assertEquals(6, verdicts.size(), verdicts.toString());
    verdicts.forEach((verdict, count) -> assertTrue(count > 10, verdicts.toString()));
  }

  @SafeVarargs
  private static <T> T pick(Random random, T... options) {
    return options[random.nextInt(options.length)];
  }

  /** A single leader with a cloud of up to 100 machines, which boot within a second. */
  private static final class Deployment {
    private static final int MACHINES = 100;
    private static final long TOKEN = 7;
    private final Map<String, MachineType> types;
    private final Team team;
    private final Scheduler scheduler;
    private final Map<String, FakeMachine> machines = new TreeMap<>();
    private JobSpec spec;
    private boolean finished;
    private boolean allTasksRan;
    private int machinesCreated;
    private long revision = TOKEN;

    Deployment(Map<String, MachineType> types, Team team) {
      this.types = types;
      this.team = team;
      DeploymentLimits limits =
          new DeploymentLimits(Map.of("t", team), List.of(), 2, 14, 30, 4, 40, 3);
      this.scheduler =
          new Scheduler(limits, org.astershift.config.OperatorSettings.defaults(), TOKEN);
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

    /** Returns whether the job ran as a whole within {@code seconds}. */
    boolean runsWithin(JobSpec job, int seconds) {
      spec = job;
      scheduler.addJob(job, false, new java.util.BitSet(), 0);
      for (long nowMs = 0; nowMs < seconds * 1000L; nowMs += 500) {
        for (Decision decision : scheduler.runPass(nowMs, Long.MAX_VALUE / 4)) {
          execute(decision, nowMs);
        }
        advanceMachines(nowMs);
        if (finished) {
          return true;
        }
      }
      return job.kind() == JobKind.SERVICE && runningTasks() == job.tasks();
    }

    private void execute(Decision decision, long nowMs) {
      if (decision instanceof Decision.OpenJob opening) {
        scheduler.onJobOpened(opening.jobId(), nowMs);
      } else if (decision instanceof Decision.FinishJob end) {
        scheduler.onJobEnded(end.jobId(), false, nowMs);
        finished = true;
      } else if (decision instanceof Decision.RegisterMachine registration) {
        scheduler.onMachineRegistered(registration.machineName());
      } else if (decision instanceof Decision.ProvisionMachines request) {
        assertTrue(request.count() > 0, () -> "empty request " + request + " for " + spec);
        if (machines.size() + request.count() > MACHINES) {
          scheduler.onProvisioningFailed("r", request, true, nowMs);
          return;
        }
        scheduler.onProvisioningStarted("r", request);
        List<String> names = new ArrayList<>();
        for (int i = 0; i < Math.min(request.count(), ScaleOut.PROVISION_BATCH_MACHINES); i++) {
          String name = "vm-" + ++machinesCreated;
          FakeMachine machine = new FakeMachine();
          machine.type = types.get(request.typeName());
          machine.zone = request.zone();
          machine.spot = request.spot();
          machines.put(name, machine);
          names.add(name);
        }
        scheduler.onMachinesProvisioned("r", names, request, nowMs);
      } else if (decision instanceof Decision.ReleaseMachines release) {
        for (String name : release.machineNames()) {
          assertEquals(
              0,
              machines.remove(name).runningTasks(),
              () -> "released a machine that runs tasks of " + spec);
        }
        scheduler.onMachinesReleased(release.machineNames(), nowMs);
      } else if (decision instanceof Decision.SendCommands commands) {
        FakeMachine machine = machines.get(commands.machineName());
        executeCommands(machine, commands.commands(), nowMs);
        scheduler.onCommandResult(
            commands.machineName(),
            false,
            heartbeat(commands.machineName(), machine),
            nowMs,
            nowMs);
      }
    }

    private void executeCommands(FakeMachine machine, List<Command> commands, long nowMs) {
      for (Command command : commands) {
        switch (command.kind()) {
          case START -> {
            Task task = new Task();
            task.start = command;
            task.startedMs = nowMs;
            machine.tasks.putIfAbsent(command.index(), task);
          }
          case STOP, FORGET -> machine.tasks.remove(command.index());
          default -> throw new IllegalStateException();
        }
      }
      checkInvariants();
    }

    private Heartbeat heartbeat(String name, FakeMachine machine) {
      List<Heartbeat.TaskStatus> tasks = new ArrayList<>();
      machine.tasks.values().forEach(task -> tasks.add(task.status()));
      return new Heartbeat(
          name,
          name + ":1",
          machine.type.name(),
          machine.zone,
          machine.spot,
          1,
          ++machine.sequence,
          TOKEN,
          null,
          tasks);
    }

    private int runningTasks() {
      return machines.values().stream().mapToInt(FakeMachine::runningTasks).sum();
    }

    private void advanceMachines(long nowMs) {
      allTasksRan |= runningTasks() == spec.tasks();
      for (Map.Entry<String, FakeMachine> entry : new ArrayList<>(machines.entrySet())) {
        for (Task task : entry.getValue().tasks.values()) {
          boolean mayEnd = spec.kind() != JobKind.GANG || allTasksRan;
          boolean endsByItself = spec.kind() != JobKind.SERVICE && mayEnd;
          task.done |= endsByItself && nowMs - task.startedMs >= 1000;
        }
        HeartbeatResponse response =
            scheduler.onHeartbeat(heartbeat(entry.getKey(), entry.getValue()), nowMs, nowMs);
        executeCommands(entry.getValue(), response.commands(), nowMs);
      }
      scheduler.onLeadershipConfirmed(++revision);
      scheduler.drainUnpersistedProgress().forEach(scheduler::onProgressPersisted);
    }

    /** Checks the placement rules, the limits and the number of tasks in a heartbeat. */
    private void checkInvariants() {
      Map<String, Integer> tasksByZone = new TreeMap<>();
      int totalTasks = 0;
      for (FakeMachine machine : machines.values()) {
        int tasks = machine.runningTasks();
        totalTasks += tasks;
        tasksByZone.merge(machine.zone, tasks, Integer::sum);
        double tolerance = 1e-6;
        assertTrue(tasks * spec.cpus() <= machine.type.cpus() + tolerance, spec::toString);
        assertTrue(tasks * spec.gpus() <= machine.type.gpus() + tolerance, spec::toString);
        assertTrue(tasks * spec.memoryGb() <= machine.type.memoryGb() + tolerance, spec::toString);
        assertTrue(machine.tasks.size() <= MachineType.MAX_TASKS_PER_MACHINE, spec::toString);
        assertTrue(
            tasks == 0
                || spec.machineTypes() == null
                || spec.machineTypes().contains(machine.type.name()));
        assertTrue(tasks == 0 || spec.zone() == null || spec.zone().equals(machine.zone));
        assertTrue(tasks == 0 || spec.spotAllowed() || !machine.spot);
      }
      tasksByZone.values().removeIf(tasks -> tasks == 0);
      assertTrue(!spec.oneZone() || tasksByZone.size() <= 1, () -> spec + ": " + tasksByZone);
      for (int tasks : tasksByZone.values()) {
        assertTrue(!spec.spread() || tasks <= spec.spreadLimit(), () -> spec + ": " + tasksByZone);
      }
      assertTrue(team.allows(totalTasks * spec.cpus(), totalTasks * spec.gpus()), spec::toString);
    }
  }
}
