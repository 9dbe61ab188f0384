package org.astershift.simulation;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.astershift.scheduler.Heartbeat;

/**
 * Delays heartbeats so that they arrive just as a term begins: duplicates are kept for the next
 * leader and delivered to every controller at a step of the failover, and some heartbeats are held
 * back until a new leader has made its first decision.
 */
final class DelayedHeartbeats {
  /** Time, in milliseconds, within which the duplicates of one step are delivered. */
  private static final long DELIVERY_WINDOW_MS = 5;

  private static final long FIRST_DECISION_WINDOW_MS = 10_000;

  /** A step of a failover, as seen by the controller that becomes the leader. */
  enum FailoverStep {
    /** The controller is about to create its leader key. */
    BEFORE_KEY_CREATION,
    /** The controller has created its leader key. */
    KEY_CREATED,
    /** The controller waits for its watch cache to reach the leader key's revision. */
    CATCHING_UP,
    /** The controller answers workers. */
    TERM_BEGUN,
    /**
     * The controller has opened a job, registered a machine or sent commands, up to seconds ago.
     */
    FIRST_DECISION
  }

  /** Share of the heartbeats of which a duplicate is kept for the next leader. */
  double keepShare;

  /** Share of the heartbeats that are held back until a new leader has made its first decision. */
  double holdShare;

  /** Duplicates delivered to a leading controller, by the failover step that triggered them. */
  final Map<FailoverStep, Integer> duplicatesAtLeader = new EnumMap<>(FailoverStep.class);

  /** Of these duplicates, those that showed a task which was no longer on that machine. */
  int withEndedTasks;

  /**
   * Of these duplicates, those from an earlier epoch or an earlier incarnation of their machine.
   */
  int ofEarlierEpochs;

  int ofEarlierIncarnations;

  /** Of these duplicates, those from dead machines. */
  int ofDeadMachines;

  /**
   * Held heartbeats delivered to a leader whose term began later and has made its first decision.
   */
  int heldAtLeader;

  private final Simulation simulation;
  private final Map<FailoverStep, List<Duplicate>> duplicates = new EnumMap<>(FailoverStep.class);
  private final List<HeldHeartbeat> held = new ArrayList<>();

  private record Duplicate(
      WorkerModel worker, Heartbeat heartbeat, int incarnation, long fencingToken) {}

  private record HeldHeartbeat(ControllerModel receiver, long fencingToken, Runnable delivery) {}

  DelayedHeartbeats(Simulation simulation) {
    this.simulation = simulation;
  }

  /** Handles a heartbeat that a machine sends; a duplicate of it may be kept. */
  void onHeartbeatSent(WorkerModel worker, Heartbeat heartbeat) {
    sendDuplicateIfDrawn(worker, heartbeat);
    if (keepShare > 0 && simulation.random.nextDouble() < keepShare) {
      FailoverStep step =
          FailoverStep.values()[simulation.random.nextInt(FailoverStep.values().length)];
      duplicates
          .computeIfAbsent(step, key -> new ArrayList<>())
          .add(new Duplicate(worker, heartbeat, worker.incarnation(), simulation.latestToken()));
    }
  }

  /** Returns a service that delivers the heartbeat, or holds it back if a random draw says so. */
  <A> Simulation.Service<A> holdIfDrawn(ControllerModel receiver, Simulation.Service<A> service) {
    if (holdShare == 0 || simulation.random.nextDouble() >= holdShare) {
      return service;
    }
    return answer ->
        held.add(
            new HeldHeartbeat(receiver, simulation.latestToken(), () -> service.serve(answer)));
  }

  /** Delivers the heartbeats that wait for this step of a failover. */
  void onFailoverStep(FailoverStep step, ControllerModel leader) {
    long windowMs =
        step == FailoverStep.FIRST_DECISION ? FIRST_DECISION_WINDOW_MS : DELIVERY_WINDOW_MS;
    List<Duplicate> kept = duplicates.computeIfAbsent(step, key -> new ArrayList<>());
    // Duplicates sent in the current term are kept for the next one.
    List<Duplicate> due =
        kept.stream().filter(duplicate -> leader.token() != duplicate.fencingToken).toList();
    kept.removeAll(due);
    for (Duplicate duplicate : due) {
      for (ControllerModel controller : simulation.controllers) {
        simulation.after(
            simulation.random.nextLong(windowMs),
            () -> deliverDuplicate(step, duplicate, controller));
      }
    }
    if (step == FailoverStep.FIRST_DECISION) {
      List<HeldHeartbeat> released =
          held.stream().filter(entry -> entry.fencingToken < leader.token()).toList();
      held.removeAll(released);
      for (HeldHeartbeat entry : released) {
        simulation.after(simulation.random.nextLong(windowMs), () -> deliverHeld(entry));
      }
    }
  }

  private void deliverDuplicate(FailoverStep step, Duplicate duplicate, ControllerModel receiver) {
    if (receiver.isUp() && receiver.leads()) {
      duplicatesAtLeader.merge(step, 1, Integer::sum);
      boolean showsEndedTask =
          duplicate.heartbeat.tasks().stream()
              .filter(status -> status.phase() != Heartbeat.TaskPhase.EXITED)
              .anyMatch(
                  status ->
                      !simulation.checker.isOn(
                          status.jobId() + "/" + status.index(), duplicate.worker.name));
      withEndedTasks += showsEndedTask ? 1 : 0;
      ofDeadMachines += duplicate.worker.isAlive() ? 0 : 1;
      ofEarlierIncarnations +=
          duplicate.worker.isAlive() && duplicate.incarnation < duplicate.worker.incarnation()
              ? 1
              : 0;
      ofEarlierEpochs +=
          duplicate.incarnation == duplicate.worker.incarnation()
                  && duplicate.heartbeat.epoch() < duplicate.worker.epoch()
              ? 1
              : 0;
    }
    receiver.onDuplicateHeartbeat(asLateHeartbeat(duplicate.worker, duplicate.heartbeat));
  }

  private void deliverHeld(HeldHeartbeat entry) {
    heldAtLeader +=
        entry.receiver.isUp()
                && entry.receiver.leads()
                && entry.receiver.token() > entry.fencingToken
            ? 1
            : 0;
    entry.delivery.run();
  }

  /** Stops keeping and holding back heartbeats, and delivers those held back. */
  void releaseHeld() {
    keepShare = 0;
    holdShare = 0;
    held.forEach(
        entry -> simulation.after(simulation.random.nextLong(DELIVERY_WINDOW_MS), entry.delivery));
    held.clear();
  }

  /** Sends a drawn duplicate up to three lease durations after the original, to any controller. */
  private void sendDuplicateIfDrawn(WorkerModel worker, Heartbeat heartbeat) {
    if (simulation.random.nextDouble() < simulation.duplicateShare) {
      ControllerModel receiver =
          simulation.controllers.get(simulation.random.nextInt(simulation.controllers.size()));
      long delayMs = 1000 + simulation.random.nextLong(3 * simulation.setup.leaseMs());
      simulation.after(
          delayMs, () -> receiver.onDuplicateHeartbeat(asLateHeartbeat(worker, heartbeat)));
    }
  }

  /** Returns the heartbeat as sent, or as a leader without a safety measure would read it. */
  Heartbeat asLateHeartbeat(WorkerModel worker, Heartbeat heartbeat) {
    boolean asNew = simulation.mutations.contains(Mutation.ACCEPT_DUPLICATE_HEARTBEATS);
    boolean withCurrentToken =
        simulation.mutations.contains(Mutation.DUPLICATES_CARRY_CURRENT_TOKEN);
    long token = withCurrentToken ? simulation.latestToken() : heartbeat.fencingToken();
    return withPosition(
        heartbeat,
        heartbeat.epoch(),
        asNew ? worker.sequence() + 1 : heartbeat.sequence(),
        asNew ? worker.fencingToken() : token);
  }

  /** Returns the message with another epoch, sequence and fencing token. */
  static Heartbeat withPosition(Heartbeat message, long epoch, long sequence, long fencingToken) {
    return new Heartbeat(
        message.machineName(),
        message.address(),
        message.typeName(),
        message.zone(),
        message.spot(),
        epoch,
        sequence,
        fencingToken,
        message.preemptionNoticeS(),
        message.tasks());
  }
}
