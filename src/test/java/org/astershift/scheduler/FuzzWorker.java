package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.astershift.config.ClockBounds;

/** A machine with a worker that follows the protocol. */
final class FuzzWorker {
  private final FuzzSimulation sim;
  final String name;
  final String type;
  final boolean spot;
  final double clockRate;
  final String zone;
  boolean faulty;
  long createdMs;
  long bootedMs = -1;
  long removedMs = -1;
  boolean deleted;
  boolean preempted;
  boolean alive;
  boolean hung;
  int incarnation;
  long token;
  long epoch = 1;
  long sequence;
  long leaseFromMs;
  Double preemptionNoticeS;
  boolean statusChanged;
  final Map<String, FuzzTask> tasks = new LinkedHashMap<>();
  final List<Runnable> deferredActions = new ArrayList<>();
  private final FuzzHeartbeats heartbeats;

  FuzzWorker(FuzzSimulation sim, String name, String type, String zone, boolean spot) {
    this.sim = sim;
    this.heartbeats = new FuzzHeartbeats(sim, this);
    this.clockRate = 1 + (sim.random.nextDouble() - 0.5) * ClockBounds.CLOCK_DRIFT_SHARE;
    this.name = name;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
  }

  void boot() {
    if (removedMs >= 0) {
      return;
    }
    alive = true;
    bootedMs = bootedMs < 0 ? sim.nowMs : bootedMs;
    faulty = sim.chance(sim.errors);
    leaseFromMs = sim.nowMs;
    heartbeatRepeatedly(incarnation);
  }

  void shutDown(long restartDelayMs) {
    if (removedMs >= 0) {
      return;
    }
    alive = false;
    hung = false;
    incarnation++;
    deferredActions.clear();
    removeAllTasks();
    tasks.clear();
    if (restartDelayMs > 0) {
      token = 0;
      epoch = 1;
      sequence = 0;
      heartbeats.reset();
      preemptionNoticeS = null;
      int scheduledIncarnation = incarnation;
      sim.after(
          restartDelayMs,
          () -> {
            if (scheduledIncarnation == incarnation) {
              boot();
            }
          });
    } else {
      removedMs = sim.nowMs;
    }
  }

  private void removeAllTasks() {
    for (FuzzTask task : tasks.values()) {
      removeTask(task);
    }
  }

  private void removeTask(FuzzTask task) {
    if (task.isOnMachine) {
      task.isOnMachine = false;
      sim.rules.ended(task.job, task.index, name);
      sim.digest.taskRemoved(sim.nowMs, task.taskName(), name);
    }
    FuzzGang gang = sim.gangs.get(task.job + "@" + task.attempt);
    if (gang != null && gang.members.remove(task) != null && gang.running && !gang.broken) {
      breakGang(gang);
    }
  }

  /** Makes the other members of a running gang notice the loss of one member, and exit. */
  private void breakGang(FuzzGang gang) {
    gang.broken = true;
    for (Map.Entry<FuzzTask, FuzzWorker> entry : gang.members.entrySet()) {
      FuzzWorker member = entry.getValue();
      member.afterInIncarnation(
          sim.random.nextInt((int) FuzzSimulation.GANG_PEER_MS),
          () -> {
            if (member.tasks.containsValue(entry.getKey())) {
              member.exit(entry.getKey(), "peers");
            }
          });
    }
  }

  /**
   * Schedules an action that runs only if the worker is still in the same incarnation; if the
   * worker hangs at that time, the action runs after the hang.
   */
  void afterInIncarnation(long ms, Runnable action) {
    int scheduledIncarnation = incarnation;
    sim.after(
        ms,
        () -> {
          if (alive && scheduledIncarnation == incarnation) {
            runOrDefer(action);
          }
        });
  }

  void runOrDefer(Runnable action) {
    if (hung) {
      deferredActions.add(action);
    } else {
      endTasksIfLeaseExpired();
      action.run();
    }
  }

  void hang(long ms) {
    if (!alive || hung) {
      return;
    }
    hung = true;
    sim.logEvent(name + " hangs, duration_ms=" + ms);
    int hungIncarnation = incarnation;
    sim.after(
        ms,
        () -> {
          if (alive && hungIncarnation == incarnation && hung) {
            hung = false;
            endTasksIfLeaseExpired();
            List<Runnable> deferred = new ArrayList<>(deferredActions);
            deferredActions.clear();
            Collections.shuffle(deferred, sim.random);
            deferred.forEach(this::runOrDefer);
          }
        });
  }

  /**
   * Ends all tasks if the worker's lease has expired. Tasks end also while the worker hangs, since
   * no task may run beyond the lease.
   */
  void endTasksIfLeaseExpired() {
    if (!alive || (sim.nowMs - leaseFromMs) * clockRate <= FuzzSimulation.LEASE_MS) {
      return;
    }
    removeAllTasks();
    if (hung) {
      return;
    }
    if (!tasks.isEmpty()) {
      sim.count("lease expired with tasks");
    }
    sim.logEvent(name + " ends its tasks because its lease has expired, epoch=" + (epoch + 1));
    tasks.clear();
    epoch++;
    leaseFromMs = sim.nowMs;
    statusChanged = true;
  }

  /** Returns the worker's current status as the next message of this epoch. */
  Heartbeat heartbeat() {
    List<Heartbeat.TaskStatus> statuses = new ArrayList<>();
    for (FuzzTask task : tasks.values()) {
      statuses.add(
          new Heartbeat.TaskStatus(task.job, task.index, task.attempt, task.phase, task.cause));
    }
    return new Heartbeat(
        name,
        name,
        type,
        zone,
        spot,
        epoch,
        ++sequence,
        token,
        preemptionNoticeS,
        List.copyOf(statuses));
  }

  private void heartbeatRepeatedly(int ofIncarnation) {
    if (!alive || ofIncarnation != incarnation) {
      return;
    }
    endTasksIfLeaseExpired();
    heartbeats.sendIfDue();
    sim.after(50 + sim.random.nextInt(100), () -> heartbeatRepeatedly(ofIncarnation));
  }

  /**
   * Handles the answer to a heartbeat that was sent at {@code sentMs}; its leader has this token.
   */
  void onAnswer(long fencingToken, List<Command> commands, long sentMs) {
    statusChanged |= fencingToken > token;
    token = fencingToken;
    leaseFromMs = Math.max(leaseFromMs, sentMs);
    commands.forEach(this::execute);
  }

  Heartbeat onDirectCommands(long fencingToken, long commandEpoch, List<Command> commands) {
    if (fencingToken >= token && commandEpoch == epoch) {
      statusChanged |= fencingToken > token;
      token = fencingToken;
      commands.forEach(this::execute);
    } else if (fencingToken < token) {
      sim.count("command of a deposed leader");
    }
    return heartbeat();
  }

  private void execute(Command command) {
    sim.digest.command(sim.nowMs, name, command);
    String key = command.jobId() + "/" + command.index() + "@" + command.attemptNumber();
    FuzzTask task = tasks.get(key);
    switch (command.kind()) {
      case START -> {
        if (task == null) {
          start(key, new FuzzTask(command.jobId(), command.index(), command.attemptNumber()));
        }
      }
      case STOP -> {
        if (task != null && !task.exited()) {
          stop(task, command.gracePeriodS());
        }
      }
      case FORGET -> {
        if (task != null && task.exited()) {
          tasks.remove(key);
        }
      }
      default -> throw new IllegalArgumentException(command.toString());
    }
  }

  private void start(String key, FuzzTask task) {
    JobSpec spec = sim.specs.get(task.job);
    sim.logEvent(name + " fetches the image of " + key);
    sim.digest.taskAccepted(sim.nowMs, task.taskName(), name, task.attempt);
    tasks.put(key, task);
    double freeCpus = sim.types.get(type).cpus();
    double freeGpus = sim.types.get(type).gpus();
    double freeMemoryGb = sim.types.get(type).memoryGb();
    for (FuzzTask other : tasks.values()) {
      if (other == task || other.exited()) {
        continue;
      }
      if (other.job.equals(task.job) && other.index == task.index) {
        sim.count("in use");
        exit(task, "in_use");
        return;
      }
      JobSpec otherSpec = sim.specs.get(other.job);
      freeCpus -= otherSpec.cpus();
      freeGpus -= otherSpec.gpus();
      freeMemoryGb -= otherSpec.memoryGb();
    }
    if (freeCpus < spec.cpus() - 1e-6
        || freeGpus < spec.gpus() - 1e-6
        || freeMemoryGb < spec.memoryGb() - 1e-6) {
      sim.count("no room");
      exit(task, "no_room");
      return;
    }
    statusChanged = true;
    afterInIncarnation(
        sim.random.nextInt(sim.random.nextInt(5) == 0 ? 8000 : 1200), () -> onImageFetched(task));
  }

  private void onImageFetched(FuzzTask task) {
    if (task.phase != Heartbeat.TaskPhase.FETCHING || !tasks.containsValue(task)) {
      return;
    }
    JobSpec spec = sim.specs.get(task.job);
    task.isOnMachine = true;
    statusChanged = true;
    sim.digest.imageFetched(sim.nowMs, task.taskName(), name);
    sim.logEvent(name + " begins to run " + task.job + "/" + task.index + "@" + task.attempt);
    sim.rules.onTaskBegun(
        task.job, task.index, new ReferenceRules.MachineView(name, type, zone, spot), sim.nowMs);
    if (sim.rules.isCompleted(task.job, task.index)) {
      sim.count("done again");
      exit(task, "done");
      return;
    }
    if (faulty) {
      task.phase = Heartbeat.TaskPhase.RUNNING;
      afterInIncarnation(sim.random.nextInt(300), () -> exit(task, "error"));
      return;
    }
    if (spec.kind() != JobKind.GANG) {
      task.phase = Heartbeat.TaskPhase.RUNNING;
      if (spec.kind() == JobKind.ARRAY) {
        afterInIncarnation(sim.taskDurationsMs.get(task.job), () -> complete(task));
      }
      return;
    }
    task.phase = Heartbeat.TaskPhase.WAITING;
    task.waitsSinceMs = sim.nowMs;
    FuzzGang gang = sim.gangs.computeIfAbsent(task.job + "@" + task.attempt, key -> new FuzzGang());
    gang.members.put(task, this);
    afterInIncarnation(
        FuzzSimulation.GANG_WAIT_MS,
        () -> {
          if (task.phase == Heartbeat.TaskPhase.WAITING) {
            exit(task, "incomplete");
          }
        });
    long arrivedTasks = gang.members.keySet().stream().map(m -> m.index).distinct().count();
    if (!gang.running && arrivedTasks == spec.tasks()) {
      gang.running = true;
      sim.count("gangs run");
      for (Map.Entry<FuzzTask, FuzzWorker> entry : gang.members.entrySet()) {
        entry.getKey().phase = Heartbeat.TaskPhase.RUNNING;
        entry.getValue().statusChanged = true;
      }
      sim.after(sim.taskDurationsMs.get(task.job), () -> gang.complete(sim));
    }
  }

  private void complete(FuzzTask task) {
    if (task.phase == Heartbeat.TaskPhase.RUNNING && !task.stopped && tasks.containsValue(task)) {
      sim.rules.onTaskCompleted(task.job, task.index);
      sim.digest.taskCompleted(sim.nowMs, task.taskName());
      exit(task, "done");
    }
  }

  private void stop(FuzzTask task, double graceS) {
    JobSpec spec = sim.specs.get(task.job);
    boolean savesCheckpoint = spec.checkpointIntervalS() > 0 && graceS >= spec.checkpointSaveS();
    if (savesCheckpoint && task.phase == Heartbeat.TaskPhase.RUNNING) {
      if (!task.stopped) {
        task.stopped = true;
        task.phase = Heartbeat.TaskPhase.SAVING;
        statusChanged = true;
        afterInIncarnation((long) (spec.checkpointSaveS() * 1000), () -> exit(task, "halted"));
      }
    } else if (!savesCheckpoint || task.phase != Heartbeat.TaskPhase.SAVING) {
      exit(task, "halted");
    }
  }

  /** Ends the task, unless it has exited before; the next heartbeat reports the exit. */
  void exit(FuzzTask task, String cause) {
    if (task.exited() || !tasks.containsValue(task)) {
      return;
    }
    sim.logEvent(
        name + " ends " + task.job + "/" + task.index + "@" + task.attempt + ", cause=" + cause);
    sim.digest.taskPhase(sim.nowMs, task.taskName(), name, Heartbeat.TaskPhase.EXITED, cause);
    task.phase = Heartbeat.TaskPhase.EXITED;
    task.cause = cause;
    statusChanged = true;
    removeTask(task);
  }
}
