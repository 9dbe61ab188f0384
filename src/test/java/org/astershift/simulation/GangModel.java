package org.astershift.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.astershift.scheduler.Heartbeat;
import org.astershift.scheduler.JobSpec;

/**
 * Models how the tasks of a gang act on one another, as the protocol's section on gangs defines it:
 * the tasks of one attempt gather, start together, notice the loss of a task within seconds, save a
 * checkpoint together or not at all, and complete together.
 *
 * <p>Tasks reach one another whichever links are cut, because the simulated links are those between
 * machines and controllers.
 */
final class GangModel {
  static final long GATHER_TIMEOUT_MS = 30_000;
  static final long PEER_TIMEOUT_MS = 4000;
  private static final long PEER_CHECK_MS = 200;
  private final Simulation simulation;
  private final Map<String, Attempt> attempts = new HashMap<>();

  /** Progress from which the next attempt resumes, by job. */
  private final Map<String, Long> progressMs = new HashMap<>();

  private final Set<String> completedGangs = new HashSet<>();

  /** Gangs that started, and those that started after their cancellation was confirmed. */
  int started;

  int startedAfterCancelConfirmed;

  /** Attempts that lost a task while gathering, and those that started after its replacement. */
  int lostWhileGathering;

  int startedAfterReplacement;

  /** Attempts that lost a task while running, or whose save failed. */
  int lostWhileRunning;

  /** Attempts of which all tasks got a stop command in time and saved. */
  int stoppedInOrder;

  /** Attempts of which some tasks, but not all, got a stop command in time. */
  int saveFailed;

  /** Attempts that resumed from saved progress. */
  int resumed;

  /** Tasks that gave up waiting for the others. */
  int gatherTimeouts;

  /** Tasks that started in an attempt whose gang had already started. */
  int startedAfterGangStart;

  /** One attempt of a gang. */
  private static final class Attempt {
    final String job;
    final JobSpec spec;

    /** Tasks that have fetched their image, by index. */
    final Map<Integer, TaskModel> members = new TreeMap<>();

    boolean lostTask;
    boolean started;

    /** Whether the attempt lost a task, failed to save, saved or completed: it ends as a whole. */
    boolean ended;

    long startedMs;
    long resumedFromMs;
    long firstStopMs = -1;
    final Set<Integer> stopRequested = new HashSet<>();
    final Set<Integer> saved = new HashSet<>();

    Attempt(String job, JobSpec spec) {
      this.job = job;
      this.spec = spec;
    }

    boolean allStopRequested() {
      return stopRequested.size() == spec.tasks();
    }
  }

  GangModel(Simulation simulation) {
    this.simulation = simulation;
  }

  private Attempt attemptOf(TaskModel task) {
    return attempts.computeIfAbsent(
        task.job + "@" + task.attempt,
        key -> new Attempt(task.job, simulation.users.spec(task.job)));
  }

  /** Returns whether an attempt of the job is gathering, including one that has lost a task. */
  boolean isGathering(String job) {
    return attempts.values().stream()
        .anyMatch(
            attempt -> attempt.job.equals(job) && !attempt.started && !attempt.members.isEmpty());
  }

  /** Returns whether an attempt of the job is running and is not being stopped. */
  boolean isRunning(String job) {
    return attempts.values().stream()
        .anyMatch(
            attempt ->
                attempt.job.equals(job)
                    && attempt.started
                    && !attempt.ended
                    && attempt.firstStopMs < 0);
  }

  /**
   * Returns whether an attempt is being stopped: not all tasks have a stop command, or none has
   * saved.
   */
  boolean isSaving(String job) {
    return attempts.values().stream()
        .anyMatch(
            attempt ->
                attempt.job.equals(job)
                    && attempt.started
                    && !attempt.ended
                    && attempt.firstStopMs >= 0);
  }

  boolean isDone(String job) {
    return completedGangs.contains(job);
  }

  /** Handles a task that has fetched its image. */
  void onImageFetched(TaskModel task) {
    if (completedGangs.contains(task.job)) {
      task.worker.tasks().transitionTo(task, Heartbeat.TaskPhase.EXITED, "done");
      return;
    }
    Attempt attempt = attemptOf(task);
    startedAfterGangStart += attempt.started ? 1 : 0;
    attempt.members.put(task.index, task);
    task.worker.tasks().transitionTo(task, Heartbeat.TaskPhase.WAITING, null);
    task.worker.afterRunTime(
        GATHER_TIMEOUT_MS,
        () -> {
          if (task.phase == Heartbeat.TaskPhase.WAITING) {
            gatherTimeouts++;
            task.worker.tasks().transitionTo(task, Heartbeat.TaskPhase.EXITED, "incomplete");
          }
        });
    startIfComplete(attempt);
  }

  private void startIfComplete(Attempt attempt) {
    if (attempt.started || attempt.members.size() < attempt.spec.tasks()) {
      return;
    }
    attempt.started = true;
    attempt.startedMs = simulation.now();
    attempt.resumedFromMs = progressMs.getOrDefault(attempt.job, 0L);
    started++;
    startedAfterReplacement += attempt.lostTask ? 1 : 0;
    resumed += attempt.resumedFromMs > 0 ? 1 : 0;
    startedAfterCancelConfirmed +=
        simulation.checker.cancelConfirmedMs(attempt.job) == null ? 0 : 1;
    simulation.log("gang", attempt.job + " starts");
    List<TaskModel> tasks = new ArrayList<>(attempt.members.values());
    tasks.forEach(
        task -> task.worker.tasks().transitionTo(task, Heartbeat.TaskPhase.RUNNING, null));
    tasks.forEach(
        task -> task.worker.tasks().scheduleFailureIfFaulty(task, WorkerTasks.FAILURE_DELAY_MS));
    tasks.stream()
        .map(task -> task.worker)
        .filter(WorkerModel::isPaused)
        .forEach(this::onMachinePaused);
    Long runMs = simulation.users.runMsOf(attempt.job, 0);
    if (runMs != null) {
      long remainingMs = Math.max(0, runMs - attempt.resumedFromMs);
      simulation.users.onTaskStarted(attempt.job, remainingMs);
      simulation.after(remainingMs, () -> finish(attempt));
    }
  }

  /** Completes the attempt once none of its machines is paused: the slowest one sets the pace. */
  private void finish(Attempt attempt) {
    if (attempt.ended || attempt.firstStopMs >= 0) {
      return;
    }
    if (attempt.members.values().stream().anyMatch(task -> task.worker.isPaused())) {
      simulation.after(PEER_CHECK_MS, () -> finish(attempt));
      return;
    }
    attempt.ended = true;
    completedGangs.add(attempt.job);
    simulation.log("gang", attempt.job + " completes");
    for (int i = 0; i < attempt.spec.tasks(); i++) {
      simulation.users.onTaskCompleted(attempt.job, i);
      simulation.checker.onTaskCompleted(attempt.job + "/" + i);
    }
    for (TaskModel task : List.copyOf(attempt.members.values())) {
      task.worker.tasks().transitionTo(task, Heartbeat.TaskPhase.EXITED, "done");
    }
  }

  /** Handles a pause of a machine: the peers of its tasks notice it if it lasts. */
  void onMachinePaused(WorkerModel worker) {
    for (TaskModel task : worker.tasks().all()) {
      Attempt attempt = attempts.get(task.job + "@" + task.attempt);
      if (attempt != null
          && attempt.started
          && !attempt.ended
          && attempt.members.get(task.index) == task) {
        int pause = worker.pauses();
        simulation.after(
            PEER_TIMEOUT_MS,
            () -> {
              if (worker.isPaused()
                  && worker.pauses() == pause
                  && attempt.members.get(task.index) == task) {
                onTaskLost(attempt);
              }
            });
      }
    }
  }

  /** Handles a task that is no longer on its machine, for whatever reason. */
  void onTaskGone(TaskModel task) {
    Attempt attempt = attempts.get(task.job + "@" + task.attempt);
    if (attempt == null || !attempt.members.remove(task.index, task)) {
      return;
    }
    if (!attempt.started) {
      lostWhileGathering += attempt.lostTask ? 0 : 1;
      attempt.lostTask = true;
    } else {
      onTaskLost(attempt);
    }
  }

  /** Handles the loss of a running task: the others notice it, and unsaved progress is lost. */
  private void onTaskLost(Attempt attempt) {
    if (attempt.ended) {
      return;
    }
    attempt.ended = true;
    lostWhileRunning++;
    saveFailed += attempt.firstStopMs >= 0 ? 1 : 0;
    long checkpointIntervalMs = Math.round(attempt.spec.checkpointIntervalS() * 1000);
    if (checkpointIntervalMs > 0) {
      progressMs.put(
          attempt.job, attemptProgressMs(attempt) / checkpointIntervalMs * checkpointIntervalMs);
    }
    simulation.log("gang", attempt.job + " loses a task");
    for (TaskModel task : attempt.members.values()) {
      simulation.after(
          simulation.random.nextLong(PEER_TIMEOUT_MS),
          () ->
              task.worker
                  .tasks()
                  .whenWorkerRuns(
                      task,
                      () ->
                          task.worker
                              .tasks()
                              .transitionTo(task, Heartbeat.TaskPhase.EXITED, "peers")));
    }
  }

  private long attemptProgressMs(Attempt attempt) {
    return attempt.resumedFromMs
        + (attempt.firstStopMs >= 0 ? attempt.firstStopMs : simulation.now())
        - attempt.startedMs;
  }

  /** Handles a stop of a running or saving task; {@code inTime}: there is enough time to save. */
  void stop(TaskModel task, boolean inTime) {
    Attempt attempt = attemptOf(task);
    if (task.phase == Heartbeat.TaskPhase.SAVING && inTime) {
      return;
    }
    if (attempt.ended || !inTime || task.phase != Heartbeat.TaskPhase.RUNNING) {
      task.worker.tasks().transitionTo(task, Heartbeat.TaskPhase.EXITED, "halted");
      return;
    }
    if (attempt.firstStopMs < 0) {
      attempt.firstStopMs = simulation.now();
      simulation.after(
          PEER_TIMEOUT_MS,
          () -> {
            if (!attempt.allStopRequested()) {
              onTaskLost(attempt);
            }
          });
    }
    attempt.stopRequested.add(task.index);
    task.worker.tasks().transitionTo(task, Heartbeat.TaskPhase.SAVING, null);
    task.worker.afterRunTime(
        Math.round(attempt.spec.checkpointSaveS() * 1000),
        () -> {
          attempt.saved.add(task.index);
          exitSavedTasks(attempt);
        });
    exitSavedTasks(attempt);
  }

  /** Lets tasks that have saved exit once all tasks have their stop command. */
  private void exitSavedTasks(Attempt attempt) {
    if (!attempt.allStopRequested() || attempt.saved.isEmpty()) {
      return;
    }
    if (!attempt.ended) {
      attempt.ended = true;
      stoppedInOrder++;
      progressMs.put(attempt.job, attemptProgressMs(attempt));
      simulation.log("gang", attempt.job + " has saved and stops");
    }
    for (TaskModel task : List.copyOf(attempt.members.values())) {
      if (task.phase == Heartbeat.TaskPhase.SAVING && attempt.saved.contains(task.index)) {
        task.worker
            .tasks()
            .whenWorkerRuns(
                task,
                () -> task.worker.tasks().transitionTo(task, Heartbeat.TaskPhase.EXITED, "halted"));
      }
    }
  }
}
