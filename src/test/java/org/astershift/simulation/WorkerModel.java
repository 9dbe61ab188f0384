package org.astershift.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.astershift.scheduler.Command;
import org.astershift.scheduler.Heartbeat;
import org.astershift.scheduler.JobKind;
import org.astershift.scheduler.JobSpec;

/**
 * A worker: tokens, sessions, lease, commands; it reports to one controller at a time. It may hang,
 * or be mute.
 *
 * <p>While it hangs its host keeps its connections: what is sent to it waits, and is dealt with
 * when it goes on, each in an order drawn from the seed. Its tasks' run time stands still, its
 * steady clock runs on. So the first thing that it does is to end what its lease no longer covers,
 * and the answer to a report is dropped where 4 s have passed since that was sent. A task counts as
 * on the machine until the lease is over: up to then it may go on, later it cannot.
 */
final class WorkerModel {
  private static final long HEARTBEAT_TIMEOUT_MS = 4000;
  private static final long NEXT_CONTROLLER_MS = 1000;
  private static final long IMAGE_FETCH_MS = 800;
  static final long FAILS_AFTER_MS = 300;
  final String name;
  final String zone;
  final CloudModel.Kind kind;
  private final Simulation simulation;
  private boolean alive;

  /** Which of its lives this is: what was under way in an earlier one ends with it. */
  private int incarnation;

  private long fencingToken;
  private long epoch = 1;
  private long sequence;
  private long leaseStartMs;
  private int controllerIndex;

  /** Since when it hangs, or -1; until when; and for how long it did before, in this life. */
  private long pausedSinceMs = -1;

  private long pausedUntilMs;
  private long pausedBeforeMs;
  private long resumedMs = -1;
  private long pauseAfterHeartbeatMs;

  /** What waits for it to go on. */
  private final List<Runnable> deferred = new ArrayList<>();

  /** Until then it reaches no controller, while orders to it and their answers work. */
  private long outboundPartitionedUntilMs;

  /** The connection that it had as it became mute keeps what is sent last, and delivers it then. */
  private boolean lastHeartbeatDelayed;

  private final Map<String, Task> tasks = new LinkedHashMap<>();

  // What happened here, for tests that have to see that it did.

  /** When the last task was started. */
  long startedMs = -1;

  /** Tasks started while it was mute. */
  int startedWhilePartitioned;

  /** Reports that reached no controller. */
  int undeliveredHeartbeats;

  /** Orders that waited for it to go on, and were executed then. */
  int commandsAfterPause;

  /** Answers to reports that waited for it to go on, and were in time. */
  int answersAfterPause;

  /** Tasks that went on after it hung. */
  int tasksResumed;

  /** The same of tasks whose user had been told meanwhile that they are cancelled. */
  int cancelledTasksResumed;

  /** Whatever runs on it fails. */
  boolean faulty;

  /** Tasks started while it was known here that the cloud will take it back. */
  int startedAfterPreemptionNotice;

  /** How often it has hung. */
  private int pauses;

  /** When the cloud takes it back, as it was told; -1: it was told nothing. */
  private long preemptedAtMs = -1;

  /** A task on the machine, exited ones until they are forgotten. */
  static final class Task {
    final WorkerModel worker;
    final String job;
    final int index;
    final long attempt;
    Heartbeat.TaskPhase phase = Heartbeat.TaskPhase.FETCHING;
    String cause;

    Task(WorkerModel worker, String job, int index, long attempt) {
      this.worker = worker;
      this.job = job;
      this.index = index;
      this.attempt = attempt;
    }

    String name() {
      return job + "/" + index;
    }

    boolean isGang(Simulation simulation) {
      JobSpec spec = simulation.users.spec(job);
      return spec != null && spec.kind() == JobKind.GANG;
    }
  }

  /** The answer to a report: 200 with a token, or 421 with the leader's name or null. */
  record HeartbeatAnswer(
      boolean accepted, long fencingToken, List<Command> commands, String leader) {}

  /** The answer to direct commands. */
  record CommandAnswer(boolean accepted, Heartbeat heartbeat) {}

  WorkerModel(Simulation simulation, String name, CloudModel.Kind kind) {
    this.simulation = simulation;
    this.name = name;
    this.zone = kind.zone();
    this.kind = kind;
  }

  boolean alive() {
    return alive;
  }

  int incarnation() {
    return incarnation;
  }

  long epoch() {
    return epoch;
  }

  long fencingToken() {
    return fencingToken;
  }

  void start() {
    alive = true;
    leaseStartMs = simulation.now();
    watchLease();
    controllerIndex = simulation.random.nextInt(simulation.controllers.size());
    sendHeartbeat();
  }

  /** It ends and is back soon, under its name, with nothing of before: session 1, no token. */
  void restart(long afterMs) {
    if (!alive) {
      return;
    }
    simulation.log(name, "begins anew in " + afterMs + " ms");
    die();
    fencingToken = 0;
    epoch = 1;
    sequence = 0;
    int startedIn = incarnation;
    simulation.after(
        afterMs,
        () -> {
          if (startedIn == incarnation) {
            simulation.markConnectivityChanged(); // nobody can know yet that it is there again
            start();
          }
        });
  }

  /** It does nothing for a while, and then goes on as if no time had passed for it. */
  void pause(long forMs) {
    if (!alive) {
      return;
    }
    simulation.log(name, "hangs for " + forMs + " ms");
    pausedUntilMs = Math.max(pausedUntilMs, simulation.now() + forMs);
    if (!paused()) {
      pausedSinceMs = simulation.now();
      pauses++;
      simulation.gangs.onMachinePaused(this);
    }
    int startedIn = incarnation;
    simulation.after(forMs, () -> resume(startedIn));
  }

  /** It hangs as soon as its next report is on its way, so that the answer waits for it. */
  void pauseAfterHeartbeat(long forMs) {
    pauseAfterHeartbeatMs = forMs;
  }

  boolean paused() {
    return pausedSinceMs >= 0;
  }

  int pauses() {
    return pauses;
  }

  private void resume(int startedIn) {
    if (!alive || incarnation != startedIn || !paused() || simulation.now() < pausedUntilMs) {
      return;
    }
    simulation.log(name, "goes on");
    pausedBeforeMs += simulation.now() - pausedSinceMs;
    pausedSinceMs = -1;
    resumedMs = simulation.now();
    simulation.markConnectivityChanged(); // nobody can know yet
    expireLease();
    for (String task : liveTasks()) {
      tasksResumed++;
      String job = task.substring(0, task.indexOf('/'));
      cancelledTasksResumed += simulation.checker.cancelConfirmedMs(job) == null ? 0 : 1;
    }
    List<Runnable> all = new ArrayList<>(deferred);
    deferred.clear();
    all.forEach(r -> simulation.after(0, () -> runIn(startedIn, r)));
  }

  /** It reaches no controller; its last report may arrive when it does again. */
  void partitionOutbound(long forMs) {
    simulation.log(name, "is mute for " + forMs + " ms");
    outboundPartitionedUntilMs = Math.max(outboundPartitionedUntilMs, simulation.now() + forMs);
    lastHeartbeatDelayed = simulation.random.nextBoolean();
    simulation.after(forMs, simulation::markConnectivityChanged);
  }

  boolean outboundPartitioned() {
    return simulation.now() < outboundPartitionedUntilMs;
  }

  /** It reaches the controllers again. */
  void healOutbound() {
    outboundPartitionedUntilMs = 0;
  }

  /** A request to it, maybe held up on its way: served at once, when it goes on, or never. */
  void serve(Runnable request) {
    runIn(incarnation, request);
  }

  void die() {
    alive = false;
    pausedSinceMs = -1;
    pausedUntilMs = 0;
    pausedBeforeMs = 0;
    pauseAfterHeartbeatMs = 0;
    deferred.clear();
    incarnation++;
    preemptedAtMs = -1;
    List<Task> all = tasks();
    tasks.clear();
    all.forEach(this::onTaskGone);
  }

  private void onTaskGone(Task task) {
    if (task.phase != Heartbeat.TaskPhase.EXITED) {
      simulation.checker.onTaskGone(task.name(), name);
      simulation.gangs.onTaskGone(task);
    }
  }

  /** The cloud will take it back; its next report says so, as will all after that. */
  void noticePreemption(long inMs) {
    simulation.log(name, "is told that it will be taken back in " + inMs + " ms");
    preemptedAtMs = simulation.now() + inMs;
  }

  /** All tasks here, exited ones too. */
  List<Task> tasks() {
    return new ArrayList<>(tasks.values());
  }

  private Heartbeat heartbeat() {
    List<Heartbeat.TaskStatus> items = new ArrayList<>();
    for (Task task : tasks.values()) {
      items.add(
          new Heartbeat.TaskStatus(task.job, task.index, task.attempt, task.phase, task.cause));
    }
    return new Heartbeat(
        name,
        name,
        kind.type(),
        zone,
        kind.spot(),
        epoch,
        ++sequence,
        fencingToken,
        preemptionNoticeS(),
        items);
  }

  private Double preemptionNoticeS() {
    return preemptedAtMs < 0
        ? null
        : (Double) (Math.max(0, preemptedAtMs - simulation.now()) / 1000.0);
  }

  /** As soon as it is not hung, if the task is still there. */
  void whenRunning(Task task, Runnable body) {
    runIn(
        incarnation,
        () -> {
          if (tasks.containsValue(task)) {
            body.run();
          }
        });
  }

  private void runIn(int startedIn, Runnable body) {
    if (alive && incarnation == startedIn) {
      if (paused()) {
        deferred.add(body);
      } else {
        body.run();
      }
    }
  }

  /** How long it has been at work in this life: what its tasks' run time is counted by. */
  private long workedMs() {
    return simulation.now() - pausedBeforeMs - (paused() ? simulation.now() - pausedSinceMs : 0);
  }

  void afterWork(long ms, Runnable body) {
    whenWorked(incarnation, workedMs() + ms, body);
  }

  private void whenWorked(int startedIn, long atMs, Runnable body) {
    simulation.after(
        atMs - workedMs(),
        () ->
            runIn(
                startedIn,
                () -> {
                  if (workedMs() < atMs) {
                    whenWorked(startedIn, atMs, body); // it hung meanwhile
                  } else {
                    body.run();
                  }
                }));
  }

  private void sendHeartbeatAfter(long ms) {
    int startedIn = incarnation;
    simulation.after(ms, () -> runIn(startedIn, this::sendHeartbeat));
  }

  /** A copy of what it said, from seconds to well over a lease later, at whatever node. */
  private void duplicate(Heartbeat heartbeat) {
    if (simulation.random.nextDouble() < simulation.duplicateShare) {
      ControllerModel receiver =
          simulation.controllers.get(simulation.random.nextInt(simulation.controllers.size()));
      long ms = 1000 + simulation.random.nextLong(3 * simulation.setup.leaseMs());
      simulation.after(ms, () -> receiver.onDuplicateHeartbeat(asReadLate(heartbeat)));
    }
  }

  /** As it was sent, or as a leader would read it that does not order what it is told. */
  Heartbeat asReadLate(Heartbeat heartbeat) {
    boolean news = simulation.mutations.contains(Mutation.ACCEPT_DUPLICATE_HEARTBEATS);
    boolean shows = simulation.mutations.contains(Mutation.DUPLICATES_CARRY_CURRENT_TOKEN);
    return new Heartbeat(
        heartbeat.machineName(),
        heartbeat.address(),
        heartbeat.typeName(),
        heartbeat.zone(),
        heartbeat.spot(),
        heartbeat.epoch(),
        news ? sequence + 1 : heartbeat.sequence(),
        news ? fencingToken : shows ? simulation.latestToken() : heartbeat.fencingToken(),
        heartbeat.preemptionNoticeS(),
        heartbeat.tasks());
  }

  private void sendHeartbeat() {
    expireLease();
    long sentMs = simulation.now();
    long sentEpoch = epoch;
    Heartbeat heartbeat = heartbeat();
    duplicate(heartbeat);
    simulation.delayedHeartbeats.onHeartbeatSent(this, heartbeat);
    int startedIn = incarnation;
    ControllerModel receiver = simulation.controllers.get(controllerIndex);
    if (outboundPartitioned()) {
      failToSend(heartbeat, receiver);
      return;
    }
    simulation.call(
        name,
        receiver.name,
        HEARTBEAT_TIMEOUT_MS,
        simulation.delayedHeartbeats.delayIfDrawn(
            receiver, answer -> deliver(receiver, heartbeat, answer)),
        (HeartbeatAnswer answer) -> runIn(startedIn, () -> onAnswer(answer, sentMs, sentEpoch)));
    if (pauseAfterHeartbeatMs > 0) {
      pause(pauseAfterHeartbeatMs);
      pauseAfterHeartbeatMs = 0;
    }
  }

  /** A report that arrives after newer ones is as a copy of it. */
  private void deliver(
      ControllerModel receiver, Heartbeat heartbeat, Consumer<HeartbeatAnswer> answer) {
    if (sequence > heartbeat.sequence()
        && simulation.mutations.contains(Mutation.ACCEPT_DUPLICATE_HEARTBEATS)) {
      receiver.onDuplicateHeartbeat(asReadLate(heartbeat));
    } else {
      receiver.onHeartbeat(
          sequence > heartbeat.sequence() ? asReadLate(heartbeat) : heartbeat, answer);
    }
  }

  /** It is refused at once, or waits in vain for a connection. */
  private void failToSend(Heartbeat heartbeat, ControllerModel receiver) {
    if (lastHeartbeatDelayed) {
      lastHeartbeatDelayed = false;
      simulation.after(
          outboundPartitionedUntilMs - simulation.now() + 1,
          () -> receiver.onHeartbeat(heartbeat, answer -> {}));
    }
    int startedIn = incarnation;
    long sentMs = simulation.now();
    long sentEpoch = epoch;
    undeliveredHeartbeats++;
    long ms = simulation.random.nextBoolean() ? 1 : HEARTBEAT_TIMEOUT_MS;
    simulation.after(ms, () -> runIn(startedIn, () -> onAnswer(null, sentMs, sentEpoch)));
  }

  private void onAnswer(HeartbeatAnswer answer, long sentMs, long sentEpoch) {
    boolean late =
        simulation.now() - sentMs > HEARTBEAT_TIMEOUT_MS; // it hung, and no longer waits for that
    if (answer == null || late || (!answer.accepted() && answer.leader() == null)) {
      controllerIndex = (controllerIndex + 1) % simulation.controllers.size();
      sendHeartbeatAfter(NEXT_CONTROLLER_MS);
    } else if (!answer.accepted()) {
      int named = Integer.parseInt(answer.leader().substring(1));
      boolean same = named == controllerIndex;
      controllerIndex = same ? (controllerIndex + 1) % simulation.controllers.size() : named;
      sendHeartbeatAfter(same ? NEXT_CONTROLLER_MS : simulation.random.nextLong(500));
    } else {
      if (answer.fencingToken() >= fencingToken && sentEpoch == epoch) {
        answersAfterPause += resumedMs == simulation.now() ? 1 : 0;
        fencingToken = answer.fencingToken();
        leaseStartMs = Math.max(leaseStartMs, sentMs);
        watchLease();
        answer.commands().forEach(this::execute);
      }
      long gap = simulation.setup.heartbeatMs();
      sendHeartbeatAfter(gap * 3 / 4 + simulation.random.nextLong(gap / 2));
    }
  }

  /** Without an answer for the length of the lease it kills and forgets all of its tasks. */
  private void expireLease() {
    if (simulation.now() - leaseStartMs <= simulation.setup.leaseMs()) {
      return;
    }
    for (Task task : tasks()) {
      if (task.phase != Heartbeat.TaskPhase.EXITED) {
        simulation.checker.killedByLease++;
        simulation.log(name, task.name() + " is killed by the lease");
        onTaskGone(task);
      }
    }
    if (paused()) {
      return; // nothing of it can go on any more; it will do this itself, first of all
    }
    tasks.clear();
    epoch++;
    leaseStartMs = simulation.now();
    watchLease();
  }

  private void watchLease() {
    int startedIn = incarnation;
    simulation.after(
        leaseStartMs + simulation.setup.leaseMs() + 1 - simulation.now(),
        () -> {
          if (alive && incarnation == startedIn) {
            expireLease();
          }
        });
  }

  /** Commands sent straight to it, maybe minutes ago. */
  CommandAnswer onCommands(long senderToken, long senderEpoch, List<Command> commands) {
    expireLease();
    if (senderToken < fencingToken || senderEpoch != epoch) {
      return new CommandAnswer(false, heartbeat());
    }
    fencingToken = senderToken;
    commandsAfterPause += resumedMs == simulation.now() ? commands.size() : 0;
    commands.forEach(this::execute);
    return new CommandAnswer(true, heartbeat());
  }

  private void execute(Command command) {
    simulation.digest.command(simulation.now(), name, command);
    String key = command.jobId() + "/" + command.index() + "@" + command.attemptNumber();
    Task task = tasks.get(key);
    switch (command.kind()) {
      case START -> {
        if (task == null) {
          Task fresh = new Task(this, command.jobId(), command.index(), command.attemptNumber());
          tasks.put(key, fresh);
          startedMs = simulation.now();
          startedWhilePartitioned += outboundPartitioned() ? 1 : 0;
          startedAfterPreemptionNotice += preemptedAtMs < 0 ? 0 : 1;
          simulation.checker.onTaskStarted(fresh.name(), name, command.attemptNumber());
          if (fresh.isGang(simulation)) {
            afterWork(IMAGE_FETCH_MS, () -> whenRunning(fresh, () -> onImageFetched(fresh)));
            return;
          }
          afterWork(IMAGE_FETCH_MS, () -> moveTo(fresh, Heartbeat.TaskPhase.RUNNING, null));
          failIfFaulty(fresh, IMAGE_FETCH_MS + FAILS_AFTER_MS);
          Long runMs = simulation.users.runMsOf(command.jobId(), command.index());
          if (runMs != null) {
            simulation.users.started(command.jobId(), command.index(), IMAGE_FETCH_MS + runMs);
            afterWork(
                IMAGE_FETCH_MS + runMs, () -> moveTo(fresh, Heartbeat.TaskPhase.EXITED, "done"));
          }
        }
      }
      case STOP -> {
        if (task != null) {
          simulation.checker.stopped += task.phase == Heartbeat.TaskPhase.EXITED ? 0 : 1;
          stop(task, command.graceS());
        }
      }
      case FORGET -> {
        if (task != null && task.phase == Heartbeat.TaskPhase.EXITED) {
          tasks.remove(key);
        }
      }
      default -> throw new IllegalArgumentException(command.toString());
    }
  }

  /** On a faulty machine the task fails so long from now. */
  void failIfFaulty(Task task, long ms) {
    if (faulty) {
      afterWork(ms, () -> moveTo(task, Heartbeat.TaskPhase.EXITED, "error"));
    }
  }

  private void onImageFetched(Task task) {
    if (task.phase == Heartbeat.TaskPhase.FETCHING) {
      simulation.gangs.onImageFetched(task);
    }
  }

  /** One that may save does so first, if it is given the time for it. */
  private void stop(Task task, double graceS) {
    JobSpec spec = simulation.users.spec(task.job);
    boolean saves =
        spec != null && spec.checkpointIntervalS() > 0 && graceS >= spec.checkpointSaveS();
    if (task.isGang(simulation)
        && (task.phase == Heartbeat.TaskPhase.RUNNING
            || task.phase == Heartbeat.TaskPhase.SAVING)) {
      simulation.gangs.stop(task, saves);
      return;
    }
    if (saves && task.phase == Heartbeat.TaskPhase.RUNNING) {
      task.phase = Heartbeat.TaskPhase.SAVING;
      long ms = Math.round(spec.checkpointSaveS() * 1000);
      afterWork(ms, () -> moveTo(task, Heartbeat.TaskPhase.EXITED, "halted"));
    } else if (!saves || task.phase != Heartbeat.TaskPhase.SAVING) {
      moveTo(task, Heartbeat.TaskPhase.EXITED, "halted");
    }
  }

  /** The task moves on, unless it has ended or its lease is over. */
  void moveTo(Task task, Heartbeat.TaskPhase phase, String cause) {
    boolean here = alive && tasks.containsValue(task) && task.phase != Heartbeat.TaskPhase.EXITED;
    if (here && simulation.now() - leaseStartMs > simulation.setup.leaseMs()) {
      expireLease();
      return;
    }
    if (here) {
      task.phase = phase;
      task.cause = cause;
      simulation.digest.phase(simulation.now(), task.name(), name, phase, cause);
      if (phase
          == (task.isGang(simulation)
              ? Heartbeat.TaskPhase.WAITING
              : Heartbeat.TaskPhase.RUNNING)) {
        simulation.checker.onImageFetched(task.name(), name);
      } else if ("done".equals(cause)) {
        simulation.users.completed(task.job, task.index);
      }
      if (phase == Heartbeat.TaskPhase.EXITED) {
        simulation.checker.onTaskGone(task.name(), name);
        simulation.gangs.onTaskGone(task);
        if ("done".equals(cause)) {
          simulation.checker.onTaskCompleted(task.name());
        }
      }
    }
  }

  /** Tasks on it, exited ones not, as "job/index". */
  List<String> liveTasks() {
    return tasks.values().stream()
        .filter(task -> task.phase != Heartbeat.TaskPhase.EXITED)
        .map(Task::name)
        .toList();
  }

  int runningTasks() {
    int n = 0;
    for (Task task : tasks.values()) {
      n += task.phase == Heartbeat.TaskPhase.RUNNING ? 1 : 0;
    }
    return n;
  }
}
