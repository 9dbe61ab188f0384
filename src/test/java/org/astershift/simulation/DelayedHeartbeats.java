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
  private static final long SOON_MS = 5;

  private static final long ACTED_MS = 10_000;

  /** Where in a change of leaders. */
  enum Moment {
    /** It is about to create its key. */
    STANDS,
    /** It has created it. */
    WINS,
    /** Its mirror is read up to there. */
    CATCHES_UP,
    /** It answers workers. */
    BEGINS,
    /** It has opened a job, put a machine on record, or given commands; up to seconds before. */
    ACTED
  }

  /** Share of the reports of which a copy is kept for the next leader. */
  double kept;

  /** Share of the reports that are held back until a new leader has acted. */
  double heldBack;

  /** Copies delivered at a controller that led, by the moment on account of which they came. */
  final Map<Moment, Integer> atLeader = new EnumMap<>(Moment.class);

  /** Among them, those that showed a task which was on that machine no more. */
  int ofEndedTasks;

  /** Among them, those of an earlier session of their machine, or of an earlier life. */
  int ofEarlierSessions;

  int ofEarlierLives;

  /** Among them, those of machines that are no more. */
  int ofGoneMachines;

  /** Reports held back that arrived at a controller which led, began later and had acted. */
  int heldBackAtLeader;

  private final Simulation world;
  private final Map<Moment, List<Copy>> copies = new EnumMap<>(Moment.class);
  private final List<Held> held = new ArrayList<>();

  private record Copy(WorkerModel worker, Heartbeat report, int life, long token) {}

  private record Held(ControllerModel to, long leaderToken, Runnable arrives) {}

  DelayedHeartbeats(Simulation world) {
    this.world = world;
  }

  /** A machine says this; a copy of it may be kept. */
  void said(WorkerModel w, Heartbeat r) {
    if (kept > 0 && world.random.nextDouble() < kept) {
      Moment at = Moment.values()[world.random.nextInt(Moment.values().length)];
      copies
          .computeIfAbsent(at, m -> new ArrayList<>())
          .add(new Copy(w, r, w.life(), world.latestToken()));
    }
  }

  /** The way of a report to its controller, which may be long. */
  <A> Simulation.Service<A> way(ControllerModel to, Simulation.Service<A> service) {
    if (heldBack == 0 || world.random.nextDouble() >= heldBack) {
      return service;
    }
    return answer -> held.add(new Held(to, world.latestToken(), () -> service.serve(answer)));
  }

  /** A change of leaders has come so far at this controller. */
  void at(Moment moment, ControllerModel leader) {
    long within = moment == Moment.ACTED ? ACTED_MS : SOON_MS;
    List<Copy> due = copies.computeIfAbsent(moment, m -> new ArrayList<>());
    // What was said under this very leader is kept for the next one.
    List<Copy> now = due.stream().filter(c -> leader.token() != c.token).toList();
    due.removeAll(now);
    for (Copy c : now) {
      for (ControllerModel n : world.nodes) {
        world.after(world.random.nextLong(within), () -> deliver(moment, c, n));
      }
    }
    if (moment == Moment.ACTED) {
      List<Held> free = held.stream().filter(h -> h.leaderToken < leader.token()).toList();
      held.removeAll(free);
      for (Held h : free) {
        world.after(world.random.nextLong(within), () -> arrives(h));
      }
    }
  }

  private void deliver(Moment moment, Copy c, ControllerModel to) {
    if (to.up() && to.leads()) {
      atLeader.merge(moment, 1, Integer::sum);
      boolean ended =
          c.report.tasks().stream()
              .filter(t -> t.phase() != Heartbeat.TaskPhase.EXITED)
              .anyMatch(t -> !world.checker.isOn(t.jobId() + "/" + t.index(), c.worker.name));
      ofEndedTasks += ended ? 1 : 0;
      ofGoneMachines += c.worker.alive() ? 0 : 1;
      ofEarlierLives += c.worker.alive() && c.life < c.worker.life() ? 1 : 0;
      ofEarlierSessions +=
          c.life == c.worker.life() && c.report.epoch() < c.worker.session() ? 1 : 0;
    }
    to.copy(c.worker.aged(c.report));
  }

  private void arrives(Held h) {
    heldBackAtLeader += h.to.up() && h.to.leads() && h.to.token() > h.leaderToken ? 1 : 0;
    h.arrives.run();
  }

  /** Nothing is kept or held back any more; what was held back arrives. */
  void release() {
    kept = 0;
    heldBack = 0;
    held.forEach(h -> world.after(world.random.nextLong(SOON_MS), h.arrives));
    held.clear();
  }
}
