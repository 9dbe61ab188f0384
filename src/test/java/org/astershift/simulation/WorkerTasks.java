package org.astershift.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.astershift.scheduler.Command;
import org.astershift.scheduler.Heartbeat;
import org.astershift.scheduler.JobSpec;

/**
 * Models the tasks on a worker: they fetch their image, run, save, exit, and are forgotten on
 * command.
 */
final class WorkerTasks {
  /** Run time, in milliseconds, after which a task on a faulty machine fails once it runs. */
  static final long FAILURE_DELAY_MS = 300;

  private static final long IMAGE_FETCH_MS = 800;

  private final WorkerModel worker;
  private final Simulation simulation;
  private final Map<String, TaskModel> tasks = new LinkedHashMap<>();

  WorkerTasks(WorkerModel worker, Simulation simulation) {
    this.worker = worker;
    this.simulation = simulation;
  }

  void execute(Command command) {
    simulation.digest.command(simulation.now(), worker.name, command);
    String key = command.jobId() + "/" + command.index() + "@" + command.attemptNumber();
    TaskModel task = tasks.get(key);
    switch (command.kind()) {
      case START -> {
        if (task == null) {
          start(key, command);
        }
      }
      case STOP -> {
        if (task != null) {
          simulation.checker.stopped += task.isExited() ? 0 : 1;
          stop(task, command.gracePeriodS());
        }
      }
      case FORGET -> {
        if (task != null && task.isExited()) {
          tasks.remove(key);
          simulation.commandCopies.onForgotten(worker, command);
        }
      }
      default -> throw new IllegalArgumentException("unsupported command: " + command);
    }
    worker.onTasksChanged();
  }

  private void start(String key, Command command) {
    String job = command.jobId();
    int index = command.index();
    TaskModel task = new TaskModel(worker, job, index, command.attemptNumber());
    tasks.put(key, task);
    worker.onTaskStarted();
    simulation.checker.onTaskStarted(task.name(), worker.name, command.attemptNumber());
    if (task.isGang(simulation)) {
      worker.afterRunTime(
          IMAGE_FETCH_MS, () -> whenWorkerRuns(task, () -> onGangImageFetched(task)));
      return;
    }
    worker.afterRunTime(
        IMAGE_FETCH_MS, () -> transitionTo(task, Heartbeat.TaskPhase.RUNNING, null));
    scheduleFailureIfFaulty(task, IMAGE_FETCH_MS + FAILURE_DELAY_MS);
    Long runMs = simulation.users.runMsOf(job, index);
    if (runMs != null) {
      simulation.users.onTaskStarted(job, index, IMAGE_FETCH_MS + runMs);
      worker.afterRunTime(
          IMAGE_FETCH_MS + runMs, () -> transitionTo(task, Heartbeat.TaskPhase.EXITED, "done"));
    }
  }

  private void onGangImageFetched(TaskModel task) {
    if (task.phase == Heartbeat.TaskPhase.FETCHING) {
      simulation.gangs.onImageFetched(task);
    }
  }

  /** Makes the task fail after this much run time if the machine is faulty. */
  void scheduleFailureIfFaulty(TaskModel task, long afterMs) {
    if (worker.faulty) {
      worker.afterRunTime(afterMs, () -> transitionTo(task, Heartbeat.TaskPhase.EXITED, "error"));
    }
  }

  /**
   * Stops a task. A task that can save a checkpoint does so first if the grace period is long
   * enough.
   */
  private void stop(TaskModel task, double graceS) {
    JobSpec spec = simulation.users.spec(task.job);
    boolean canSave =
        spec != null && spec.checkpointIntervalS() > 0 && graceS >= spec.checkpointSaveS();
    if (task.isGang(simulation)
        && (task.phase == Heartbeat.TaskPhase.RUNNING
            || task.phase == Heartbeat.TaskPhase.SAVING)) {
      simulation.gangs.stop(task, canSave);
    } else if (canSave && task.phase == Heartbeat.TaskPhase.RUNNING) {
      task.phase = Heartbeat.TaskPhase.SAVING;
      long saveMs = Math.round(spec.checkpointSaveS() * 1000);
      worker.afterRunTime(saveMs, () -> transitionTo(task, Heartbeat.TaskPhase.EXITED, "halted"));
    } else if (!canSave || task.phase != Heartbeat.TaskPhase.SAVING) {
      transitionTo(task, Heartbeat.TaskPhase.EXITED, "halted");
    }
  }

  /** Changes the task's phase, unless it has exited or the worker's lease has expired. */
  void transitionTo(TaskModel task, Heartbeat.TaskPhase phase, String exitReason) {
    if (!worker.isAlive() || !tasks.containsValue(task) || task.isExited()) {
      return;
    }
    if (worker.hasLeaseExpired()) {
      worker.expireLease();
      return;
    }
    task.phase = phase;
    task.exitReason = exitReason;
    simulation.digest.taskPhase(simulation.now(), task.name(), worker.name, phase, exitReason);
    Heartbeat.TaskPhase imageFetchedPhase =
        task.isGang(simulation) ? Heartbeat.TaskPhase.WAITING : Heartbeat.TaskPhase.RUNNING;
    if (phase == imageFetchedPhase) {
      simulation.checker.onImageFetched(task.name(), worker.name);
    } else if ("done".equals(exitReason)) {
      simulation.users.onTaskCompleted(task.job, task.index);
    }
    if (phase == Heartbeat.TaskPhase.EXITED) {
      onExited(task);
    }
    worker.onTasksChanged();
  }

  private void onExited(TaskModel task) {
    simulation.checker.onTaskGone(task.name(), worker.name);
    simulation.gangs.onTaskGone(task);
    if ("done".equals(task.exitReason)) {
      simulation.checker.onTaskCompleted(task.name());
    }
  }

  /** Runs the body as soon as the worker is not paused, if the task still exists then. */
  void whenWorkerRuns(TaskModel task, Runnable body) {
    worker.serve(
        () -> {
          if (tasks.containsValue(task)) {
            body.run();
          }
        });
  }

  /** Kills all tasks since the lease has expired. */
  void killOnLeaseExpiry() {
    for (TaskModel task : all()) {
      if (!task.isExited()) {
        simulation.checker.killedOnLeaseExpiry++;
        simulation.log(worker.name, "lease has expired, kills task=" + task.name());
        onGone(task);
      }
    }
  }

  /** Discards the records of all tasks. */
  void forget() {
    tasks.clear();
  }

  /** Kills and forgets all tasks since the worker's process ends. */
  void killAll() {
    List<TaskModel> killed = all();
    tasks.clear();
    killed.forEach(this::onGone);
  }

  private void onGone(TaskModel task) {
    if (!task.isExited()) {
      simulation.checker.onTaskGone(task.name(), worker.name);
      simulation.gangs.onTaskGone(task);
    }
  }

  List<TaskModel> all() {
    return new ArrayList<>(tasks.values());
  }

  List<Heartbeat.TaskStatus> statuses() {
    List<Heartbeat.TaskStatus> statuses = new ArrayList<>();
    for (TaskModel task : tasks.values()) {
      statuses.add(
          new Heartbeat.TaskStatus(
              task.job, task.index, task.attempt, task.phase, task.exitReason));
    }
    return statuses;
  }

  /** Returns the tasks that have not exited, as "job/index". */
  List<String> liveTasks() {
    return tasks.values().stream().filter(task -> !task.isExited()).map(TaskModel::name).toList();
  }

  int runningTasks() {
    int running = 0;
    for (TaskModel task : tasks.values()) {
      running += task.phase == Heartbeat.TaskPhase.RUNNING ? 1 : 0;
    }
    return running;
  }
}
