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
 * What the tasks of gangs do with one another, as the protocol's section on gangs says: those of
 * one attempt gather, begin together, notice the loss of one within seconds, save together or not
 * at all, and complete together.
 *
 * <p>They find one another whatever is cut: the links are those between machines and controllers.
 */
final class GangModel {
  static final long GATHER_TIMEOUT_MS = 30_000;
  static final long PEER_TIMEOUT_MS = 4000;
  private static final long PEER_CHECK_MS = 200;
  private final Simulation simulation;
  private final Map<String, Attempt> attempts = new HashMap<>();

  /** By job, the progress from which its next attempt resumes. */
  private final Map<String, Long> progressMs = new HashMap<>();

  private final Set<String> completedGangs = new HashSet<>();

  /** Gangs that started, and those that did after their cancellation was confirmed. */
  int started;

  int startedAfterCancelConfirmed;

  /** Attempts that lost a task while they gathered, and those that began all the same. */
  int lostWhileGathering;

  int startedAfterReplacement;

  /** Attempts that lost a task while they ran, or whose save failed. */
  int lostWhileRunning;

  /** Attempts of which all tasks got a stop command in time, and saved. */
  int stoppedInOrder;

  /** Attempts of which some task got a stop command, but not all of them in time. */
  int saveFailed;

  /** Attempts that went on from progress saved before. */
  int resumed;

  /** Tasks that gave up waiting for the others. */
  int gatherTimeouts;

  /** Tasks started of an attempt whose gang had started before. */
  int startedAfterGangStart;

  /** One attempt of a gang. */
  private static final class Attempt {
    final String job;
    final JobSpec spec;

    /** Those with their image, by index. */
    final Map<Integer, TaskModel> members = new TreeMap<>();

    boolean lostTask;
    boolean started;

    /** It lost a task, failed to save, saved or completed: it ends as a whole. */
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
        task.job + "@" + task.attempt, k -> new Attempt(task.job, simulation.users.spec(task.job)));
  }

  /** Whether some attempt of the job is gathering now, and has lost none, or has. */
  boolean isGathering(String job) {
    return attempts.values().stream()
        .anyMatch(
            attempt -> attempt.job.equals(job) && !attempt.started && !attempt.members.isEmpty());
  }

  /** Whether an attempt of the job runs, and is not being stopped. */
  boolean isRunning(String job) {
    return attempts.values().stream()
        .anyMatch(
            attempt ->
                attempt.job.equals(job)
                    && attempt.started
                    && !attempt.ended
                    && attempt.firstStopMs < 0);
  }

  /** Whether it is being stopped, and not all tasks have their stop command yet. */
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

  /** The task has its image. */
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
    simulation.log("gang", attempt.job + " begins");
    List<TaskModel> all = new ArrayList<>(attempt.members.values());
    all.forEach(task -> task.worker.tasks().transitionTo(task, Heartbeat.TaskPhase.RUNNING, null));
    all.forEach(
        task -> task.worker.tasks().scheduleFailureIfFaulty(task, WorkerTasks.FAILURE_DELAY_MS));
    all.stream()
        .map(task -> task.worker)
        .filter(WorkerModel::isPaused)
        .forEach(this::onMachinePaused);
    Long runMs = simulation.users.runMsOf(attempt.job, 0);
    if (runMs != null) {
      long leftMs = Math.max(0, runMs - attempt.resumedFromMs);
      simulation.users.onTaskStarted(attempt.job, leftMs);
      simulation.after(leftMs, () -> finish(attempt));
    }
  }

  /** The slowest machine sets the speed: while one pauses, nothing goes on. */
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
    simulation.log("gang", attempt.job + " is complete");
    for (int i = 0; i < attempt.spec.tasks(); i++) {
      simulation.users.onTaskCompleted(attempt.job, i);
      simulation.checker.onTaskCompleted(attempt.job + "/" + i);
    }
    for (TaskModel task : List.copyOf(attempt.members.values())) {
      task.worker.tasks().transitionTo(task, Heartbeat.TaskPhase.EXITED, "done");
    }
  }

  /** A machine pauses: the peers of its tasks notice it if that lasts. */
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

  /** The task is no longer there, for whatever reason; {@code stored}: it left in order. */
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

  /** A task of a running attempt is gone: the others notice, and what was not saved is lost. */
  private void onTaskLost(Attempt attempt) {
    if (attempt.ended) {
      return;
    }
    attempt.ended = true;
    lostWhileRunning++;
    saveFailed += attempt.firstStopMs >= 0 ? 1 : 0;
    long everyMs = Math.round(attempt.spec.checkpointIntervalS() * 1000);
    if (everyMs > 0) {
      progressMs.put(attempt.job, attemptProgressMs(attempt) / everyMs * everyMs);
    }
    simulation.log("gang", attempt.job + " has lost a task");
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

  /** A task that runs or saves gets a stop command. */
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

  /** Those that have saved exit once all have their stop command. */
  private void exitSavedTasks(Attempt attempt) {
    if (!attempt.allStopRequested() || attempt.saved.isEmpty()) {
      return;
    }
    if (!attempt.ended) {
      attempt.ended = true;
      stoppedInOrder++;
      progressMs.put(attempt.job, attemptProgressMs(attempt));
      simulation.log("gang", attempt.job + " has saved");
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
