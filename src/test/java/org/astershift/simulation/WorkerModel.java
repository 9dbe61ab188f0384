package org.astershift.simulation;

import java.util.List;
import java.util.function.Consumer;
import org.astershift.scheduler.Command;
import org.astershift.scheduler.Heartbeat;

/**
 * Models a worker, with fencing token, epoch, lease and commands as in the protocol. It sends
 * heartbeats to one controller at a time, may pause, and may be unable to reach any controller.
 *
 * <p>While the worker is paused, {@link PausableProcess} defers what is sent to it. On resuming,
 * the worker first kills the tasks that its lease no longer covers, and an answer to a heartbeat
 * counts only within the heartbeat's timeout. A task counts as being on the machine until the lease
 * expires, since until then it could continue.
 */
final class WorkerModel {
  private static final long HEARTBEAT_TIMEOUT_MS = 4000;

  /** Delay before the worker tries another controller after a failed heartbeat, in milliseconds. */
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

  /** Length of the pause that begins with the next heartbeat, in milliseconds; 0 for none. */
  private long pauseAfterHeartbeatMs;

  /** Until when the worker reaches no controller; commands to it and their answers still pass. */
  private long outboundPartitionedUntilMs;

  /** Whether the connection holds the partition's first heartbeat and delivers it afterwards. */
  private boolean holdsFirstHeartbeat;

  /** When the cloud preempts the machine according to its notice; -1 if there was no notice. */
  private long preemptedAtMs = -1;

  /** Whether each task that starts on this machine fails. */
  boolean faulty;

  /** When a task was last started on this machine; -1 if none was. */
  long lastTaskStartMs = -1;

  /** Tasks started while the worker reached no controller. */
  int startedWhilePartitioned;

  /** Heartbeats that reached no controller. */
  int undeliveredHeartbeats;

  /** Commands that were deferred by a pause and executed on resuming. */
  int commandsAfterPause;

  /** Answers to heartbeats that were deferred by a pause and still in time. */
  int answersAfterPause;

  /** Tasks that continued after a pause. */
  int tasksResumed;

  /** Tasks that continued after a pause although their job's cancellation had been confirmed. */
  int cancelledTasksResumed;

  /** Tasks started after a preemption notice. */
  int startedAfterPreemptionNotice;

  /**
   * The answer to a heartbeat: 200 with a token, or 421 with the leader's name, null if unknown.
   */
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

  /** Restarts the process under its name after this delay, without its state: epoch 1, no token. */
  void restart(long afterMs) {
    if (!isAlive()) {
      return;
    }
    simulation.log(name, "restarts in " + afterMs + " ms");
    kill();
    fencingToken = 0;
    epoch = 1;
    sequence = 0;
    int endedIncarnation = incarnation();
    simulation.after(
        afterMs,
        () -> {
          if (endedIncarnation == incarnation()) {
            simulation.markConnectivityChanged(); // no controller can know yet
            start();
            simulation.commandCopies.onRestarted(this);
          }
        });
  }

  void kill() {
    process.end();
    pauseAfterHeartbeatMs = 0;
    preemptedAtMs = -1;
    tasks.killAll();
  }

  /** Pauses the worker, which then continues as if no time had passed. */
  void pause(long durationMs) {
    process.pause(durationMs);
  }

  /** Pauses the worker as soon as its next heartbeat is sent, so that the answer has to wait. */
  void pauseAfterHeartbeat(long durationMs) {
    pauseAfterHeartbeatMs = durationMs;
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

  /** Stops the worker's messages to all controllers; a heartbeat of that time may arrive later. */
  void partitionOutbound(long durationMs) {
    simulation.log(name, "reaches no controller for " + durationMs + " ms");
    outboundPartitionedUntilMs =
        Math.max(outboundPartitionedUntilMs, simulation.now() + durationMs);
    holdsFirstHeartbeat = simulation.random.nextBoolean();
    simulation.after(durationMs, simulation::markConnectivityChanged);
  }

  private boolean isOutboundPartitioned() {
    return simulation.now() < outboundPartitionedUntilMs;
  }

  /** Lets the worker reach the controllers again. */
  void healOutbound() {
    outboundPartitionedUntilMs = 0;
  }

  /** Records a preemption notice from the cloud; the next heartbeats show it. */
  void onPreemptionNotice(long inMs) {
    simulation.log(name, "gets a preemption notice of " + inMs + " ms");
    preemptedAtMs = simulation.now() + inMs;
  }

  /** Serves a request at once, on resuming from a pause, or never if the process has ended. */
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

  /** Delivers a heartbeat. One that arrives after newer ones is treated like a duplicate. */
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

  /** Fails to send a heartbeat: the connection is refused at once, or the request times out. */
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
    long failureAfterMs = simulation.random.nextBoolean() ? 1 : HEARTBEAT_TIMEOUT_MS;
    process.after(failureAfterMs, () -> onAnswer(null, sentMs, sentEpoch));
  }

  private void onAnswer(HeartbeatAnswer answer, long sentMs, long sentEpoch) {
    boolean late =
        simulation.now() - sentMs > HEARTBEAT_TIMEOUT_MS; // the worker was paused meanwhile
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
      schedule.onTokenShown(fencingToken, answer.fencingToken());
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

  /** If the lease has expired, kills and forgets all tasks and begins a new epoch. */
  void expireLease() {
    if (!hasLeaseExpired()) {
      return;
    }
    tasks.killOnLeaseExpiry();
    if (isPaused()) {
      return; // its tasks cannot continue; the rest follows when the worker resumes
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

  /** Handles commands sent directly, possibly minutes ago, under this token to this epoch. */
  CommandAnswer onCommands(long senderToken, long senderEpoch, List<Command> commands) {
    CommandAnswer answer = executeCommands(senderToken, senderEpoch, commands);
    if (answer.accepted()) {
      simulation.commandCopies.onExecuted(this, senderToken, senderEpoch, commands);
    }
    return answer;
  }

  CommandAnswer executeCommands(long senderToken, long senderEpoch, List<Command> commands) {
    expireLease();
    if (senderToken < fencingToken || senderEpoch != epoch) {
      return new CommandAnswer(false, heartbeat());
    }
    schedule.onTokenShown(fencingToken, senderToken);
    fencingToken = senderToken;
    commandsAfterPause += process.hasResumedNow() ? commands.size() : 0;
    commands.forEach(tasks::execute);
    return new CommandAnswer(true, heartbeat());
  }

  List<String> liveTasks() {
    return tasks.liveTasks();
  }

  int runningTasks() {
    return tasks.runningTasks();
  }
}
