package org.astershift.simulation;

import java.util.List;
import java.util.function.Consumer;
import org.astershift.scheduler.Command;
import org.astershift.scheduler.Heartbeat;

/**
 * A worker: fencing token, epoch, lease and commands as the protocol has them. It sends heartbeats
 * to one controller at a time, and may pause or reach no controller.
 *
 * <p>While it pauses, what is sent to it waits: {@link PausableProcess}. As it resumes, it first
 * ends what its lease no longer covers, and an answer to a heartbeat counts only within the
 * heartbeat's timeout. A task counts as on the machine until the lease expires: up to then it may
 * go on, later it cannot.
 */
final class WorkerModel {
  private static final long HEARTBEAT_TIMEOUT_MS = 4000;

  /** Until it tries another controller after one did not help. */
  private static final long NEXT_CONTROLLER_DELAY_MS = 1000;

  final String name;
  final String zone;
  final CloudModel.Kind kind;
  private final Simulation simulation;
  private final PausableProcess process;
  private final WorkerTasks tasks;
  private final HeartbeatSchedule schedule;

  private long fencingToken;
  private long epoch = 1;
  private long sequence;
  private long leaseStartMs;
  private int controllerIndex;

  /** It pauses for so long as soon as its next heartbeat is sent; 0: it does not. */
  private long pauseAfterHeartbeatMs;

  /** Until then it reaches no controller, while commands to it and their answers pass. */
  private long outboundPartitionedUntilMs;

  /** Its connection keeps the first heartbeat of the partition, and delivers it after that. */
  private boolean holdsFirstHeartbeat;

  /** When the cloud preempts it by the notice; -1: there was no notice. */
  private long preemptedAtMs = -1;

  /** Whatever starts on it fails. */
  boolean faulty;

  /** When a task was started last. */
  long lastTaskStartMs = -1;

  /** Tasks started while it reached no controller. */
  int startedWhilePartitioned;

  /** Heartbeats that reached no controller. */
  int undeliveredHeartbeats;

  /** Commands that waited for it to resume, and were executed then. */
  int commandsAfterPause;

  /** Answers to heartbeats that waited for it to resume, and were in time. */
  int answersAfterPause;

  /** Tasks that went on after a pause. */
  int tasksResumed;

  /** Those of them whose cancellation had been confirmed meanwhile. */
  int cancelledTasksResumed;

  /** Tasks started after a preemption notice. */
  int startedAfterPreemptionNotice;

  /** The answer to a heartbeat: 200 with a token, or 421 with the leader's name or null. */
  record HeartbeatAnswer(
      boolean accepted, long fencingToken, List<Command> commands, String leader) {}

  /** The answer to commands sent directly. */
  record CommandAnswer(boolean accepted, Heartbeat heartbeat) {}

  WorkerModel(Simulation simulation, String name, CloudModel.Kind kind) {
    this.simulation = simulation;
    this.name = name;
    this.zone = kind.zone();
    this.kind = kind;
    this.process = new PausableProcess(simulation, name, this::onPaused, this::onResumed);
    this.tasks = new WorkerTasks(this, simulation);
    this.schedule = new HeartbeatSchedule(simulation, process, this::sendHeartbeat);
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Counts its processes: what was under way in an earlier one ended with it. */
  int incarnation() {
    return process.incarnation();
  }

  long epoch() {
    return epoch;
  }

  long sequence() {
    return sequence;
  }

  long fencingToken() {
    return fencingToken;
  }

  WorkerTasks tasks() {
    return tasks;
  }

  void start() {
    process.start();
    leaseStartMs = simulation.now();
    scheduleLeaseExpiry();
    controllerIndex = simulation.random.nextInt(simulation.controllers.size());
    sendHeartbeat();
  }

  /** It ends and is back soon, under its name, with nothing of before: epoch 1, no token. */
  void restart(long afterMs) {
    if (!isAlive()) {
      return;
    }
    simulation.log(name, "restarts in " + afterMs + " ms");
    kill();
    fencingToken = 0;
    epoch = 1;
    sequence = 0;
    int ended = incarnation();
    simulation.after(
        afterMs,
        () -> {
          if (ended == incarnation()) {
            simulation.markConnectivityChanged(); // no controller can know yet
            start();
          }
        });
  }

  void kill() {
    process.end();
    pauseAfterHeartbeatMs = 0;
    preemptedAtMs = -1;
    tasks.killAll();
  }

  /** It does nothing for a while, and then continues as if no time had passed. */
  void pause(long forMs) {
    process.pause(forMs);
  }

  /** It pauses as soon as its next heartbeat is sent, so that the answer waits for it. */
  void pauseAfterHeartbeat(long forMs) {
    pauseAfterHeartbeatMs = forMs;
  }

  boolean isPaused() {
    return process.isPaused();
  }

  int pauses() {
    return process.pauses();
  }

  private void onPaused() {
    simulation.gangs.onMachinePaused(this);
  }

  private void onResumed() {
    expireLease();
    for (String task : liveTasks()) {
      tasksResumed++;
      String job = task.substring(0, task.indexOf('/'));
      cancelledTasksResumed += simulation.checker.cancelConfirmedMs(job) == null ? 0 : 1;
    }
  }

  /** It reaches no controller; a heartbeat of that time may arrive after it. */
  void partitionOutbound(long forMs) {
    simulation.log(name, "reaches no controller for " + forMs + " ms");
    outboundPartitionedUntilMs = Math.max(outboundPartitionedUntilMs, simulation.now() + forMs);
    holdsFirstHeartbeat = simulation.random.nextBoolean();
    simulation.after(forMs, simulation::markConnectivityChanged);
  }

  private boolean isOutboundPartitioned() {
    return simulation.now() < outboundPartitionedUntilMs;
  }

  /** It reaches the controllers again. */
  void healOutbound() {
    outboundPartitionedUntilMs = 0;
  }

  /** The cloud will preempt it; its next heartbeats say so. */
  void onPreemptionNotice(long inMs) {
    simulation.log(name, "gets a preemption notice of " + inMs + " ms");
    preemptedAtMs = simulation.now() + inMs;
  }

  /** Serves a request at once, when it resumes, or never. */
  void serve(Runnable request) {
    process.runIn(incarnation(), request);
  }

  void afterRunTime(long ms, Runnable body) {
    process.afterRunTime(ms, body);
  }

  void onTaskStarted() {
    lastTaskStartMs = simulation.now();
    startedWhilePartitioned += isOutboundPartitioned() ? 1 : 0;
    startedAfterPreemptionNotice += preemptedAtMs < 0 ? 0 : 1;
  }

  private Heartbeat heartbeat() {
    sequence++;
    Double noticeS =
        preemptedAtMs < 0
            ? null
            : (Double) (Math.max(0, preemptedAtMs - simulation.now()) / 1000.0);
    return new Heartbeat(
        name,
        name,
        kind.type(),
        zone,
        kind.spot(),
        epoch,
        sequence,
        fencingToken,
        noticeS,
        tasks.statuses());
  }

  private void sendHeartbeat() {
    expireLease();
    long sentMs = simulation.now();
    long sentEpoch = epoch;
    schedule.onSent();
    Heartbeat heartbeat = heartbeat();
    simulation.delayedHeartbeats.onHeartbeatSent(this, heartbeat);
    int startedIn = incarnation();
    ControllerModel receiver = simulation.controllers.get(controllerIndex);
    if (isOutboundPartitioned()) {
      failToSend(heartbeat, receiver);
      return;
    }
    simulation.call(
        name,
        receiver.name,
        HEARTBEAT_TIMEOUT_MS,
        simulation.delayedHeartbeats.holdIfDrawn(
            receiver, answer -> deliver(receiver, heartbeat, answer)),
        (HeartbeatAnswer answer) ->
            process.runIn(startedIn, () -> onAnswer(answer, sentMs, sentEpoch)));
    if (pauseAfterHeartbeatMs > 0) {
      pause(pauseAfterHeartbeatMs);
      pauseAfterHeartbeatMs = 0;
    }
  }

  /** A heartbeat that arrives after newer ones is like a duplicate. */
  private void deliver(
      ControllerModel receiver, Heartbeat heartbeat, Consumer<HeartbeatAnswer> answer) {
    boolean late = sequence > heartbeat.sequence();
    if (late && simulation.mutations.contains(Mutation.ACCEPT_DUPLICATE_HEARTBEATS)) {
      receiver.onDuplicateHeartbeat(simulation.delayedHeartbeats.asLateHeartbeat(this, heartbeat));
    } else {
      receiver.onHeartbeat(
          late ? simulation.delayedHeartbeats.asLateHeartbeat(this, heartbeat) : heartbeat, answer);
    }
  }

  /** The connection is refused at once, or the heartbeat times out. */
  private void failToSend(Heartbeat heartbeat, ControllerModel receiver) {
    if (holdsFirstHeartbeat) {
      holdsFirstHeartbeat = false;
      simulation.after(
          outboundPartitionedUntilMs - simulation.now() + 1,
          () -> receiver.onHeartbeat(heartbeat, answer -> {}));
    }
    long sentMs = simulation.now();
    long sentEpoch = epoch;
    undeliveredHeartbeats++;
    long ms = simulation.random.nextBoolean() ? 1 : HEARTBEAT_TIMEOUT_MS;
    process.after(ms, () -> onAnswer(null, sentMs, sentEpoch));
  }

  private void onAnswer(HeartbeatAnswer answer, long sentMs, long sentEpoch) {
    boolean late = simulation.now() - sentMs > HEARTBEAT_TIMEOUT_MS; // it paused meanwhile
    if (answer == null || late || (!answer.accepted() && answer.leader() == null)) {
      tryNextController();
    } else if (!answer.accepted()) {
      followRedirect(Integer.parseInt(answer.leader().substring(1)));
    } else {
      onAccepted(answer, sentMs, sentEpoch);
    }
  }

  private void tryNextController() {
    controllerIndex = (controllerIndex + 1) % simulation.controllers.size();
    schedule.sendAfter(NEXT_CONTROLLER_DELAY_MS);
  }

  private void followRedirect(int leaderIndex) {
    if (leaderIndex == controllerIndex) {
      tryNextController();
    } else {
      controllerIndex = leaderIndex;
      schedule.sendAfter(simulation.random.nextLong(500));
    }
  }

  private void onAccepted(HeartbeatAnswer answer, long sentMs, long sentEpoch) {
    if (answer.fencingToken() >= fencingToken && sentEpoch == epoch) {
      answersAfterPause += process.hasResumedNow() ? 1 : 0;
      fencingToken = answer.fencingToken();
      leaseStartMs = Math.max(leaseStartMs, sentMs);
      scheduleLeaseExpiry();
      answer.commands().forEach(tasks::execute);
    }
    long intervalMs = simulation.setup.heartbeatMs();
    schedule.onAccepted(intervalMs * 3 / 4 + simulation.random.nextLong(intervalMs / 2));
  }

  void onTasksChanged() {
    schedule.onTasksChanged();
  }

  boolean hasLeaseExpired() {
    return simulation.now() - leaseStartMs > simulation.setup.leaseMs();
  }

  /** If its lease has expired, it kills and forgets all of its tasks and begins a new epoch. */
  void expireLease() {
    if (!hasLeaseExpired()) {
      return;
    }
    tasks.killOnLeaseExpiry();
    if (isPaused()) {
      return; // none of them can go on; the rest it does itself as it resumes
    }
    tasks.forget();
    epoch++;
    leaseStartMs = simulation.now();
    scheduleLeaseExpiry();
  }

  private void scheduleLeaseExpiry() {
    int startedIn = incarnation();
    simulation.after(
        leaseStartMs + simulation.setup.leaseMs() + 1 - simulation.now(),
        () -> {
          if (isAlive() && incarnation() == startedIn) {
            expireLease();
          }
        });
  }

  /** Commands sent directly, maybe minutes ago, under this token to this epoch. */
  CommandAnswer onCommands(long senderToken, long senderEpoch, List<Command> commands) {
    expireLease();
    if (senderToken < fencingToken || senderEpoch != epoch) {
      return new CommandAnswer(false, heartbeat());
    }
    fencingToken = senderToken;
    commandsAfterPause += process.hasResumedNow() ? commands.size() : 0;
    commands.forEach(tasks::execute);
    return new CommandAnswer(true, heartbeat());
  }

  /** Tasks on it that have not exited, as "job/index". */
  List<String> liveTasks() {
    return tasks.liveTasks();
  }

  int runningTasks() {
    return tasks.runningTasks();
  }
}
