package org.astershift.simulation;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.astershift.scheduler.Heartbeat;

/**
 * Heartbeats that arrive just as a term begins: duplicates kept for the next leader, which reach
 * every controller at a moment of a failover, and heartbeats that are held back until a new leader
 * has acted.
 */
final class DelayedHeartbeats {
  /** What is delivered on account of one moment comes within so long. */
  private static final long DELIVERY_WINDOW_MS = 5;

  private static final long FIRST_DECISION_WINDOW_MS = 10_000;

  /** A moment of a failover. */
  enum FailoverStep {
    /** It is about to create its key. */
    BEFORE_KEY_CREATION,
    /** It has created it. */
    KEY_CREATED,
    /** Its watch cache is read up to there. */
    CATCHING_UP,
    /** It answers workers. */
    TERM_BEGUN,
    /** It has opened a job, put a machine on record, or given commands; up to seconds before. */
    FIRST_DECISION
  }

  /** Share of the heartbeats of which a duplicate is kept for the next leader. */
  double keepShare;

  /** Share of the heartbeats that are held back until a new leader has acted. */
  double holdShare;

  /** Copies delivered at a controller that led, by the moment on account of which they came. */
  final Map<FailoverStep, Integer> duplicatesAtLeader = new EnumMap<>(FailoverStep.class);

  /** Among them, those that showed a task which was on that machine no more. */
  int withEndedTasks;

  /** Among them, those of an earlier epoch of their machine, or of an earlier incarnation. */
  int ofEarlierEpochs;

  int ofEarlierIncarnations;

  /** Among them, those of dead machines. */
  int ofDeadMachines;

  /** Heartbeats held back that arrived at a controller which led, began later and had acted. */
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

  /** A machine sends this; a duplicate of it may be kept. */
  void onHeartbeatSent(WorkerModel worker, Heartbeat heartbeat) {
    sendDuplicateIfDrawn(worker, heartbeat);
    if (keepShare > 0 && simulation.random.nextDouble() < keepShare) {
      FailoverStep at =
          FailoverStep.values()[simulation.random.nextInt(FailoverStep.values().length)];
      duplicates
          .computeIfAbsent(at, moment -> new ArrayList<>())
          .add(new Duplicate(worker, heartbeat, worker.incarnation(), simulation.latestToken()));
    }
  }

  /** Delivers a heartbeat to its controller, or holds it back if that is drawn. */
  <A> Simulation.Service<A> holdIfDrawn(ControllerModel receiver, Simulation.Service<A> service) {
    if (holdShare == 0 || simulation.random.nextDouble() >= holdShare) {
      return service;
    }
    return answer ->
        held.add(
            new HeldHeartbeat(receiver, simulation.latestToken(), () -> service.serve(answer)));
  }

  /** A change of leaders has come so far at this controller. */
  void onFailoverStep(FailoverStep moment, ControllerModel leader) {
    long within =
        moment == FailoverStep.FIRST_DECISION ? FIRST_DECISION_WINDOW_MS : DELIVERY_WINDOW_MS;
    List<Duplicate> due = duplicates.computeIfAbsent(moment, key -> new ArrayList<>());
    // What was sent in this very term is kept for the next one.
    List<Duplicate> now =
        due.stream().filter(duplicate -> leader.token() != duplicate.fencingToken).toList();
    due.removeAll(now);
    for (Duplicate duplicate : now) {
      for (ControllerModel controller : simulation.controllers) {
        simulation.after(
            simulation.random.nextLong(within),
            () -> deliverDuplicate(moment, duplicate, controller));
      }
    }
    if (moment == FailoverStep.FIRST_DECISION) {
      List<HeldHeartbeat> free =
          held.stream().filter(entry -> entry.fencingToken < leader.token()).toList();
      held.removeAll(free);
      for (HeldHeartbeat entry : free) {
        simulation.after(simulation.random.nextLong(within), () -> deliverHeld(entry));
      }
    }
  }

  private void deliverDuplicate(
      FailoverStep moment, Duplicate duplicate, ControllerModel receiver) {
    if (receiver.isUp() && receiver.leads()) {
      duplicatesAtLeader.merge(moment, 1, Integer::sum);
      boolean ended =
          duplicate.heartbeat.tasks().stream()
              .filter(status -> status.phase() != Heartbeat.TaskPhase.EXITED)
              .anyMatch(
                  status ->
                      !simulation.checker.isOn(
                          status.jobId() + "/" + status.index(), duplicate.worker.name));
      withEndedTasks += ended ? 1 : 0;
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

  /** Nothing is kept or held back any more; what was held back arrives. */
  void releaseHeld() {
    keepShare = 0;
    holdShare = 0;
    held.forEach(
        entry -> simulation.after(simulation.random.nextLong(DELIVERY_WINDOW_MS), entry.delivery));
    held.clear();
  }

  /** A duplicate arrives later, up to three leases after the original, at any controller. */
  private void sendDuplicateIfDrawn(WorkerModel worker, Heartbeat heartbeat) {
    if (simulation.random.nextDouble() < simulation.duplicateShare) {
      ControllerModel receiver =
          simulation.controllers.get(simulation.random.nextInt(simulation.controllers.size()));
      long ms = 1000 + simulation.random.nextLong(3 * simulation.setup.leaseMs());
      simulation.after(ms, () -> receiver.onDuplicateHeartbeat(asLateHeartbeat(worker, heartbeat)));
    }
  }

  /** As it was sent, or as a leader would read it that lacks a safety measure. */
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

  /** The message with another position and fencing token. */
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
