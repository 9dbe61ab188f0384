package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.astershift.config.ClockBounds;

/** A machine and its worker, which does what the protocol says. */
final class FuzzWorker {
  private final FuzzSimulation sim;
  final String name;
  final String type;
  final boolean spot;
  final double rate;
  final String zone;
  boolean faulty;
  long createdMs;
  long upMs = -1;
  long goneMs = -1;
  boolean deleted;
  boolean taken;
  boolean alive;
  boolean hung;
  int life;
  long token;
  long session = 1;
  long tick;
  long leaseFromMs;
  Double recallS;
  boolean changed;
  final Map<String, FuzzTask> tasks = new LinkedHashMap<>();
  final List<Runnable> pending = new ArrayList<>();
  private final FuzzHeartbeats heartbeats;

  FuzzWorker(FuzzSimulation sim, String name, String type, String zone, boolean spot) {
    this.sim = sim;
    this.heartbeats = new FuzzHeartbeats(sim, this);
    this.rate = 1 + (sim.random.nextDouble() - 0.5) * ClockBounds.CLOCK_DRIFT_SHARE;
    this.name = name;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
  }

  void up() {
    if (goneMs >= 0) {
      return;
    }
    alive = true;
    upMs = upMs < 0 ? sim.now : upMs;
    faulty = sim.chance(sim.errors);
    leaseFromMs = sim.now;
    beat(life);
  }

  void die(long backMs) {
    if (goneMs >= 0) {
      return;
    }
    alive = false;
    hung = false;
    life++;
    pending.clear();
    kill();
    tasks.clear();
    if (backMs > 0) {
      token = 0;
      session = 1;
      tick = 0;
      heartbeats.reset();
      recallS = null;
      int of = life;
      sim.after(
          backMs,
          () -> {
            if (of == life) {
              up();
            }
          });
    } else {
      goneMs = sim.now;
    }
  }

  private void kill() {
    for (FuzzTask t : tasks.values()) {
      off(t);
    }
  }

  private void off(FuzzTask t) {
    if (t.on) {
      t.on = false;
      sim.rules.over(t.job, t.index, name);
      sim.digest.leaves(sim.now, t.task(), name);
    }
    FuzzGang g = sim.gangs.get(t.job + "@" + t.attempt);
    if (g != null && g.members.remove(t) != null && g.running && !g.broken) {
      broken(g);
    }
  }

  /** The others of a gang that runs notice that one of them is gone. */
  private void broken(FuzzGang g) {
    g.broken = true;
    for (Map.Entry<FuzzTask, FuzzWorker> e : g.members.entrySet()) {
      FuzzWorker w = e.getValue();
      w.later(
          sim.random.nextInt((int) FuzzSimulation.GANG_PEER_MS),
          () -> {
            if (w.tasks.containsValue(e.getKey())) {
              w.exit(e.getKey(), "peers");
            }
          });
    }
  }

  /** Does something some time later in this life, and after a hang if it hangs then. */
  void later(long ms, Runnable what) {
    int of = life;
    sim.after(
        ms,
        () -> {
          if (alive && of == life) {
            serve(what);
          }
        });
  }

  void serve(Runnable what) {
    if (hung) {
      pending.add(what);
    } else {
      expire();
      what.run();
    }
  }

  void hang(long ms) {
    if (!alive || hung) {
      return;
    }
    hung = true;
    sim.note(name + " hangs for " + ms);
    int of = life;
    sim.after(
        ms,
        () -> {
          if (alive && of == life && hung) {
            hung = false;
            expire();
            List<Runnable> all = new ArrayList<>(pending);
            pending.clear();
            Collections.shuffle(all, sim.random);
            all.forEach(this::serve);
          }
        });
  }

  /** Looks at its lease, also as one who sees it hang: beyond it nothing there can go on. */
  void expire() {
    if (!alive || (sim.now - leaseFromMs) * rate <= FuzzSimulation.LEASE_MS) {
      return;
    }
    kill();
    if (hung) {
      return;
    }
    if (!tasks.isEmpty()) {
      sim.did("lease over with tasks");
    }
    sim.note(name + " loses its lease, session " + (session + 1));
    tasks.clear();
    session++;
    leaseFromMs = sim.now;
    changed = true;
  }

  /** Its status now, as the next message of this session. */
  Heartbeat heartbeat() {
    List<Heartbeat.TaskStatus> items = new ArrayList<>();
    for (FuzzTask t : tasks.values()) {
      items.add(new Heartbeat.TaskStatus(t.job, t.index, t.attempt, t.phase, t.cause));
    }
    return new Heartbeat(
        name, name, type, zone, spot, session, ++tick, token, recallS, List.copyOf(items));
  }

  private void beat(int of) {
    if (!alive || of != life) {
      return;
    }
    expire();
    heartbeats.sendIfDue();
    sim.after(50 + sim.random.nextInt(100), () -> beat(of));
  }

  /** The answer to a heartbeat that was sent at this time, under this leader's fencing token. */
  void onAnswer(long fencingToken, List<Command> commands, long sentMs) {
    changed |= fencingToken > token;
    token = fencingToken;
    leaseFromMs = Math.max(leaseFromMs, sentMs);
    commands.forEach(this::execute);
  }

  Heartbeat orders(long helm, long ofSession, List<Command> orders) {
    if (helm >= token && ofSession == session) {
      changed |= helm > token;
      token = helm;
      orders.forEach(this::execute);
    } else if (helm < token) {
      sim.did("order of a deposed leader");
    }
    return heartbeat();
  }

  private void execute(Command o) {
    sim.digest.command(sim.now, name, o);
    String key = o.jobId() + "/" + o.index() + "@" + o.attemptNumber();
    FuzzTask t = tasks.get(key);
    switch (o.kind()) {
      case START -> {
        if (t == null) {
          start(key, new FuzzTask(o.jobId(), o.index(), o.attemptNumber()));
        }
      }
      case STOP -> {
        if (t != null && !t.exited()) {
          stop(t, o.graceS());
        }
      }
      case FORGET -> {
        if (t != null && t.exited()) {
          tasks.remove(key);
        }
      }
      default -> throw new IllegalArgumentException(o.toString());
    }
  }

  private void start(String key, FuzzTask t) {
    JobSpec spec = sim.specs.get(t.job);
    sim.note(name + " starts " + key);
    sim.digest.started(sim.now, t.task(), name, t.attempt);
    tasks.put(key, t);
    double cpus = sim.types.get(type).cpus();
    double gpus = sim.types.get(type).gpus();
    double memory = sim.types.get(type).memoryGb();
    for (FuzzTask other : tasks.values()) {
      if (other == t || other.exited()) {
        continue;
      }
      if (other.job.equals(t.job) && other.index == t.index) {
        sim.did("in use");
        exit(t, "in_use");
        return;
      }
      JobSpec s = sim.specs.get(other.job);
      cpus -= s.cpus();
      gpus -= s.gpus();
      memory -= s.memoryGb();
    }
    if (cpus < spec.cpus() - 1e-6 || gpus < spec.gpus() - 1e-6 || memory < spec.memoryGb() - 1e-6) {
      sim.did("no room");
      exit(t, "no_room");
      return;
    }
    changed = true;
    later(sim.random.nextInt(sim.random.nextInt(5) == 0 ? 8000 : 1200), () -> fetched(t));
  }

  private void fetched(FuzzTask t) {
    if (t.phase != Heartbeat.TaskPhase.FETCHING || !tasks.containsValue(t)) {
      return;
    }
    JobSpec spec = sim.specs.get(t.job);
    t.on = true;
    changed = true;
    sim.digest.begins(sim.now, t.task(), name);
    sim.note(name + " begins " + t.job + "/" + t.index + "@" + t.attempt);
    sim.rules.begins(t.job, t.index, new ReferenceRules.Place(name, type, zone, spot), sim.now);
    if (sim.rules.isCompleted(t.job, t.index)) {
      sim.did("done again");
      exit(t, "done");
      return;
    }
    if (faulty) {
      t.phase = Heartbeat.TaskPhase.RUNNING;
      later(sim.random.nextInt(300), () -> exit(t, "error"));
      return;
    }
    if (spec.kind() != JobKind.GANG) {
      t.phase = Heartbeat.TaskPhase.RUNNING;
      if (spec.kind() == JobKind.ARRAY) {
        later(sim.durations.get(t.job), () -> complete(t));
      }
      return;
    }
    t.phase = Heartbeat.TaskPhase.WAITING;
    t.waitsSinceMs = sim.now;
    FuzzGang g = sim.gangs.computeIfAbsent(t.job + "@" + t.attempt, k -> new FuzzGang());
    g.members.put(t, this);
    later(
        FuzzSimulation.GANG_WAIT_MS,
        () -> {
          if (t.phase == Heartbeat.TaskPhase.WAITING) {
            exit(t, "incomplete");
          }
        });
    long here = g.members.keySet().stream().map(m -> m.index).distinct().count();
    if (!g.running && here == spec.tasks()) {
      g.running = true;
      sim.did("gangs run");
      for (Map.Entry<FuzzTask, FuzzWorker> e : g.members.entrySet()) {
        e.getKey().phase = Heartbeat.TaskPhase.RUNNING;
        e.getValue().changed = true;
      }
      sim.after(sim.durations.get(t.job), () -> g.complete(sim));
    }
  }

  private void complete(FuzzTask t) {
    if (t.phase == Heartbeat.TaskPhase.RUNNING && !t.stopped && tasks.containsValue(t)) {
      sim.rules.completed(t.job, t.index);
      sim.digest.completed(sim.now, t.task());
      exit(t, "done");
    }
  }

  private void stop(FuzzTask t, double graceS) {
    JobSpec spec = sim.specs.get(t.job);
    boolean saves = spec.checkpointIntervalS() > 0 && graceS >= spec.checkpointSaveS();
    if (saves && t.phase == Heartbeat.TaskPhase.RUNNING) {
      if (!t.stopped) {
        t.stopped = true;
        t.phase = Heartbeat.TaskPhase.SAVING;
        changed = true;
        later((long) (spec.checkpointSaveS() * 1000), () -> exit(t, "halted"));
      }
    } else if (!saves || t.phase != Heartbeat.TaskPhase.SAVING) {
      exit(t, "halted");
    }
  }

  /** The task ends, once; the next heartbeat shows it. */
  void exit(FuzzTask t, String cause) {
    if (t.exited() || !tasks.containsValue(t)) {
      return;
    }
    sim.note(name + " ends " + t.job + "/" + t.index + "@" + t.attempt + " " + cause);
    sim.digest.phase(sim.now, t.task(), name, Heartbeat.TaskPhase.EXITED, cause);
    t.phase = Heartbeat.TaskPhase.EXITED;
    t.cause = cause;
    changed = true;
    off(t);
  }
}
