package org.astershift.simulation;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.astershift.scheduler.Heartbeat;

/**
 * Reports that come just as a leader begins: copies kept for the next leader, each delivered at
 * every controller at a moment of its own, and reports that are held back with their answers' way
 * until a new leader has acted.
 */
final class DelayedHeartbeats {
  /** What is delivered on account of one moment comes within so long. */
  private static final long DELIVERY_WINDOW_MS = 5;

  private static final long ACTED_WINDOW_MS = 10_000;

  /** Where in a change of leaders. */
  enum Moment {
    /** It is about to create its key. */
    BEFORE_KEY_CREATION,
    /** It has created it. */
    KEY_CREATED,
    /** Its mirror is read up to there. */
    CATCHING_UP,
    /** It answers workers. */
    TERM_BEGUN,
    /** It has opened a job, put a machine on record, or given commands; up to seconds before. */
    FIRST_DECISION
  }

  /** Share of the reports of which a copy is kept for the next leader. */
  double keepShare;

  /** Share of the reports that are held back until a new leader has acted. */
  double holdShare;

  /** Copies delivered at a controller that led, by the moment on account of which they came. */
  final Map<Moment, Integer> atLeader = new EnumMap<>(Moment.class);

  /** Among them, those that showed a task which was on that machine no more. */
  int withEndedTasks;

  /** Among them, those of an earlier session of their machine, or of an earlier life. */
  int ofEarlierEpochs;

  int ofEarlierIncarnations;

  /** Among them, those of machines that are no more. */
  int ofDeadMachines;

  /** Reports held back that arrived at a controller which led, began later and had acted. */
  int heldAtLeader;

  private final Simulation simulation;
  private final Map<Moment, List<Duplicate>> duplicates = new EnumMap<>(Moment.class);
  private final List<HeldHeartbeat> held = new ArrayList<>();

  private record Duplicate(
      WorkerModel worker, Heartbeat heartbeat, int incarnation, long fencingToken) {}

  private record HeldHeartbeat(ControllerModel to, long fencingToken, Runnable delivery) {}

  DelayedHeartbeats(Simulation simulation) {
    this.simulation = simulation;
  }

  /** A machine says this; a copy of it may be kept. */
  void onHeartbeatSent(WorkerModel worker, Heartbeat heartbeat) {
    if (keepShare > 0 && simulation.random.nextDouble() < keepShare) {
      Moment at = Moment.values()[simulation.random.nextInt(Moment.values().length)];
      duplicates
          .computeIfAbsent(at, moment -> new ArrayList<>())
          .add(new Duplicate(worker, heartbeat, worker.incarnation(), simulation.latestToken()));
    }
  }

  /** The way of a report to its controller, which may be long. */
  <A> Simulation.Service<A> delayIfDrawn(ControllerModel receiver, Simulation.Service<A> service) {
    if (holdShare == 0 || simulation.random.nextDouble() >= holdShare) {
      return service;
    }
    return answer ->
        held.add(
            new HeldHeartbeat(receiver, simulation.latestToken(), () -> service.serve(answer)));
  }

  /** A change of leaders has come so far at this controller. */
  void onMoment(Moment moment, ControllerModel leader) {
    long within = moment == Moment.FIRST_DECISION ? ACTED_WINDOW_MS : DELIVERY_WINDOW_MS;
    List<Duplicate> due = duplicates.computeIfAbsent(moment, key -> new ArrayList<>());
    // What was said under this very leader is kept for the next one.
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
    if (moment == Moment.FIRST_DECISION) {
      List<HeldHeartbeat> free =
          held.stream().filter(entry -> entry.fencingToken < leader.token()).toList();
      held.removeAll(free);
      for (HeldHeartbeat entry : free) {
        simulation.after(simulation.random.nextLong(within), () -> deliverHeld(entry));
      }
    }
  }

  private void deliverDuplicate(Moment moment, Duplicate duplicate, ControllerModel receiver) {
    if (receiver.up() && receiver.leads()) {
      atLeader.merge(moment, 1, Integer::sum);
      boolean ended =
          duplicate.heartbeat.tasks().stream()
              .filter(status -> status.phase() != Heartbeat.TaskPhase.EXITED)
              .anyMatch(
                  status ->
                      !simulation.checker.isOn(
                          status.jobId() + "/" + status.index(), duplicate.worker.name));
      withEndedTasks += ended ? 1 : 0;
      ofDeadMachines += duplicate.worker.alive() ? 0 : 1;
      ofEarlierIncarnations +=
          duplicate.worker.alive() && duplicate.incarnation < duplicate.worker.incarnation()
              ? 1
              : 0;
      ofEarlierEpochs +=
          duplicate.incarnation == duplicate.worker.incarnation()
                  && duplicate.heartbeat.epoch() < duplicate.worker.epoch()
              ? 1
              : 0;
    }
    receiver.onDuplicateHeartbeat(duplicate.worker.asReadLate(duplicate.heartbeat));
  }

  private void deliverHeld(HeldHeartbeat entry) {
    heldAtLeader +=
        entry.to.up() && entry.to.leads() && entry.to.token() > entry.fencingToken ? 1 : 0;
    entry.delivery.run();
  }

  /** Nothing is kept or held back any more; what was held back arrives. */
  void release() {
    keepShare = 0;
    holdShare = 0;
    held.forEach(
        entry -> simulation.after(simulation.random.nextLong(DELIVERY_WINDOW_MS), entry.delivery));
    held.clear();
  }
}
