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
import org.astershift.simulation.WorkerModel.Task;

/**
 * What the tasks of gangs do with one another, as the protocol's section on gangs says: those of
 * one attempt gather, begin together, notice the loss of one within seconds, save together or not
 * at all, and complete together.
 *
 * <p>They find one another whatever is cut: the links are those between machines and controllers.
 */
final class GangModel {
  static final long WAIT_MS = 30_000;
  static final long PEER_MS = 4000;
  private static final long LOOK_MS = 200;
  private final Simulation world;
  private final Map<String, Attempt> attempts = new HashMap<>();

  /** By job, the progress that its next attempt goes on from. */
  private final Map<String, Long> progressMs = new HashMap<>();

  private final Set<String> done = new HashSet<>();

  // What happened, for tests that have to see that it did.

  /** Gangs that began, and those that did after their user was told that they are cancelled. */
  int began;

  int beganAfterConfirmation;

  /** Attempts that lost a task while they gathered, and those that began all the same. */
  int lostWhileGathering;

  int replaced;

  /** Attempts that lost a task while they ran, or whose save failed. */
  int broken;

  /** Attempts all of whose tasks were told to stop in time, and saved. */
  int stoppedInOrder;

  /** Attempts of which some task was told to stop, but not all of them in time. */
  int saveFailed;

  /** Attempts that went on from progress saved before. */
  int wentOn;

  /** Tasks that gave up waiting for the others. */
  int incomplete;

  /** Tasks that were started of an attempt that had begun before. */
  int startedTooLate;

  /** One attempt of a gang. */
  private static final class Attempt {
    final String job;
    final JobSpec spec;

    /** Those with their image, by index. */
    final Map<Integer, Task> members = new TreeMap<>();

    boolean lostOne;
    boolean began;

    /** It lost a task, failed to save, saved or completed: it ends as a whole. */
    boolean over;

    long beganMs;
    long fromMs;
    long firstStopMs = -1;
    final Set<Integer> told = new HashSet<>();
    final Set<Integer> saved = new HashSet<>();

    Attempt(String job, JobSpec spec) {
      this.job = job;
      this.spec = spec;
    }

    boolean allTold() {
      return told.size() == spec.tasks();
    }
  }

  GangModel(Simulation world) {
    this.world = world;
  }

  private Attempt of(Task t) {
    return attempts.computeIfAbsent(
        t.job + "@" + t.attempt, k -> new Attempt(t.job, world.users.spec(t.job)));
  }

  /** Whether some attempt of the job is gathering now, and has lost none, or has. */
  boolean gathers(String job) {
    return attempts.values().stream()
        .anyMatch(a -> a.job.equals(job) && !a.began && !a.members.isEmpty());
  }

  /** Whether an attempt of the job runs, and is not being stopped. */
  boolean runs(String job) {
    return attempts.values().stream()
        .anyMatch(a -> a.job.equals(job) && a.began && !a.over && a.firstStopMs < 0);
  }

  /** Whether it is being stopped, and not all are told yet. */
  boolean saves(String job) {
    return attempts.values().stream()
        .anyMatch(a -> a.job.equals(job) && a.began && !a.over && a.firstStopMs >= 0);
  }

  boolean done(String job) {
    return done.contains(job);
  }

  /** The task has its image. */
  void arrives(Task t) {
    if (done.contains(t.job)) {
      t.worker.phase(t, Heartbeat.TaskPhase.EXITED, "done");
      return;
    }
    Attempt a = of(t);
    startedTooLate += a.began ? 1 : 0;
    a.members.put(t.index, t);
    t.worker.phase(t, Heartbeat.TaskPhase.WAITING, null);
    t.worker.afterWork(
        WAIT_MS,
        () -> {
          if (t.phase == Heartbeat.TaskPhase.WAITING) {
            incomplete++;
            t.worker.phase(t, Heartbeat.TaskPhase.EXITED, "incomplete");
          }
        });
    begin(a);
  }

  private void begin(Attempt a) {
    if (a.began || a.members.size() < a.spec.tasks()) {
      return;
    }
    a.began = true;
    a.beganMs = world.now();
    a.fromMs = progressMs.getOrDefault(a.job, 0L);
    began++;
    replaced += a.lostOne ? 1 : 0;
    wentOn += a.fromMs > 0 ? 1 : 0;
    beganAfterConfirmation += world.checker.confirmedMs(a.job) == null ? 0 : 1;
    world.note("gang", a.job + " begins");
    List<Task> all = new ArrayList<>(a.members.values());
    all.forEach(t -> t.worker.phase(t, Heartbeat.TaskPhase.RUNNING, null));
    all.forEach(t -> t.worker.fails(t, WorkerModel.FAILS_MS));
    all.stream().map(t -> t.worker).filter(WorkerModel::hung).forEach(this::hangs);
    Long runMs = world.users.runMsOf(a.job, 0);
    if (runMs != null) {
      long leftMs = Math.max(0, runMs - a.fromMs);
      world.users.started(a.job, leftMs);
      world.after(leftMs, () -> finish(a));
    }
  }

  /** The slowest machine sets the speed: while one hangs, nothing goes on. */
  private void finish(Attempt a) {
    if (a.over || a.firstStopMs >= 0) {
      return;
    }
    if (a.members.values().stream().anyMatch(t -> t.worker.hung())) {
      world.after(LOOK_MS, () -> finish(a));
      return;
    }
    a.over = true;
    done.add(a.job);
    world.note("gang", a.job + " is complete");
    for (int i = 0; i < a.spec.tasks(); i++) {
      world.users.completed(a.job, i);
      world.checker.completed(a.job + "/" + i);
    }
    for (Task t : List.copyOf(a.members.values())) {
      t.worker.phase(t, Heartbeat.TaskPhase.EXITED, "done");
    }
  }

  /** A machine hangs: the peers of its tasks notice it if that lasts. */
  void hangs(WorkerModel w) {
    for (Task t : w.tasks()) {
      Attempt a = attempts.get(t.job + "@" + t.attempt);
      if (a != null && a.began && !a.over && a.members.get(t.index) == t) {
        int of = w.hangs();
        world.after(
            PEER_MS,
            () -> {
              if (w.hung() && w.hangs() == of && a.members.get(t.index) == t) {
                breaks(a);
              }
            });
      }
    }
  }

  /** The task is no longer there, for whatever reason; {@code stored}: it left in order. */
  void left(Task t) {
    Attempt a = attempts.get(t.job + "@" + t.attempt);
    if (a == null || !a.members.remove(t.index, t)) {
      return;
    }
    if (!a.began) {
      lostWhileGathering += a.lostOne ? 0 : 1;
      a.lostOne = true;
    } else {
      breaks(a);
    }
  }

  /** A task of a running attempt is gone: the others notice, and what was not saved is lost. */
  private void breaks(Attempt a) {
    if (a.over) {
      return;
    }
    a.over = true;
    broken++;
    saveFailed += a.firstStopMs >= 0 ? 1 : 0;
    long everyMs = Math.round(a.spec.checkpointIntervalS() * 1000);
    if (everyMs > 0) {
      progressMs.put(a.job, ranMs(a) / everyMs * everyMs);
    }
    world.note("gang", a.job + " has lost a task");
    for (Task t : a.members.values()) {
      world.after(
          world.random.nextLong(PEER_MS),
          () -> t.worker.when(t, () -> t.worker.phase(t, Heartbeat.TaskPhase.EXITED, "peers")));
    }
  }

  private long ranMs(Attempt a) {
    return a.fromMs + (a.firstStopMs >= 0 ? a.firstStopMs : world.now()) - a.beganMs;
  }

  /** A task that runs or saves is told to stop. */
  void stop(Task t, boolean inTime) {
    Attempt a = of(t);
    if (t.phase == Heartbeat.TaskPhase.SAVING && inTime) {
      return;
    }
    if (a.over || !inTime || t.phase != Heartbeat.TaskPhase.RUNNING) {
      t.worker.phase(t, Heartbeat.TaskPhase.EXITED, "halted");
      return;
    }
    if (a.firstStopMs < 0) {
      a.firstStopMs = world.now();
      world.after(
          PEER_MS,
          () -> {
            if (!a.allTold()) {
              breaks(a);
            }
          });
    }
    a.told.add(t.index);
    t.worker.phase(t, Heartbeat.TaskPhase.SAVING, null);
    t.worker.afterWork(
        Math.round(a.spec.checkpointSaveS() * 1000),
        () -> {
          a.saved.add(t.index);
          leave(a);
        });
    leave(a);
  }

  /** Those that have saved go once all have been told. */
  private void leave(Attempt a) {
    if (!a.allTold() || a.saved.isEmpty()) {
      return;
    }
    if (!a.over) {
      a.over = true;
      stoppedInOrder++;
      progressMs.put(a.job, ranMs(a));
      world.note("gang", a.job + " has saved");
    }
    for (Task t : List.copyOf(a.members.values())) {
      if (t.phase == Heartbeat.TaskPhase.SAVING && a.saved.contains(t.index)) {
        t.worker.when(t, () -> t.worker.phase(t, Heartbeat.TaskPhase.EXITED, "halted"));
      }
    }
  }
}
