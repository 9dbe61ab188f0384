package org.astershift.world;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.astershift.core.Order;
import org.astershift.core.Report;

/** A worker: tokens, sessions, lease, commands; it reports to one controller at a time. */
final class WorkerModel {
  private static final long ANSWER_MS = 4000;
  private static final long NEXT_MS = 1000;
  private static final long FETCH_MS = 800;
  final String name;
  final String zone;
  private final World world;
  private boolean alive;

  /** Which of its lives this is: what was under way in an earlier one ends with it. */
  private int life;

  private long token;
  private long session = 1;
  private long seq;
  private long answeredSentMs;
  private int node;
  private final Map<String, Task> tasks = new LinkedHashMap<>();

  /** A task on the machine, exited ones until they are forgotten. */
  private static final class Task {
    final String job;
    final int index;
    final long attempt;
    Report.Phase phase = Report.Phase.FETCHING;
    String cause;

    Task(String job, int index, long attempt) {
      this.job = job;
      this.index = index;
      this.attempt = attempt;
    }

    String task() {
      return job + "/" + index;
    }
  }

  /** The answer to a report: 200 with a token, or 421 with the leader's name or null. */
  record Answer(boolean ok, long token, List<Order> orders, String leader) {}

  /** The answer to direct commands. */
  record Executed(boolean ok, Report report) {}

  WorkerModel(World world, String name, String zone) {
    this.world = world;
    this.name = name;
    this.zone = zone;
  }

  boolean alive() {
    return alive;
  }

  int life() {
    return life;
  }

  long session() {
    return session;
  }

  long token() {
    return token;
  }

  void start() {
    alive = true;
    answeredSentMs = world.now();
    watchLease();
    node = world.random.nextInt(world.nodes.size());
    report();
  }

  /** It ends and is back soon, under its name, with nothing of before: session 1, no token. */
  void beginAnew(long afterMs) {
    if (!alive) {
      return;
    }
    world.note(name, "begins anew in " + afterMs + " ms");
    die();
    token = 0;
    session = 1;
    seq = 0;
    int of = life;
    world.after(
        afterMs,
        () -> {
          if (of == life) {
            world.changed(); // nobody can know yet that it is there again
            start();
          }
        });
  }

  void die() {
    alive = false;
    life++;
    tasks.values().forEach(t -> world.checker.over(t.task(), name));
    tasks.clear();
  }

  private Report says() {
    List<Report.Item> items = new ArrayList<>();
    for (Task t : tasks.values()) {
      items.add(new Report.Item(t.job, t.index, t.attempt, t.phase, t.cause));
    }
    return new Report(name, name, CloudModel.TYPE, zone, false, session, ++seq, token, null, items);
  }

  private void here(int of, Runnable body) {
    if (alive && life == of) {
      body.run();
    }
  }

  private void reportAfter(long ms) {
    int of = life;
    world.after(ms, () -> here(of, this::report));
  }

  /** A copy of what it said, from seconds to well over a lease later, at whatever node. */
  private void copy(Report r) {
    if (world.random.nextDouble() < world.copied) {
      NodeModel to = world.nodes.get(world.random.nextInt(world.nodes.size()));
      long ms = 1000 + world.random.nextLong(3 * world.setup.leaseMs());
      world.after(ms, () -> to.report(aged(r), a -> {}));
    }
  }

  /** As it was sent, or as a leader would read it that does not order what it is told. */
  Report aged(Report r) {
    boolean news = world.mutants.contains(Mutant.COPIES_ARE_NEWS);
    boolean shows = world.mutants.contains(Mutant.COPIES_SHOW_THE_TOKEN);
    return new Report(
        r.machine(),
        r.addr(),
        r.type(),
        r.zone(),
        r.spot(),
        r.session(),
        news ? seq + 1 : r.seq(),
        news ? token : shows ? world.latestToken() : r.token(),
        null,
        r.tasks());
  }

  private void report() {
    expire();
    long sentMs = world.now();
    long sentIn = session;
    Report r = says();
    copy(r);
    world.lateReports.said(this, r);
    int of = life;
    NodeModel to = world.nodes.get(node);
    world.call(
        name,
        to.name,
        ANSWER_MS,
        world.lateReports.way(to, answer -> to.report(seq > r.seq() ? aged(r) : r, answer)),
        (Answer a) -> here(of, () -> answered(a, sentMs, sentIn)));
  }

  private void answered(Answer a, long sentMs, long sentIn) {
    if (a == null || (!a.ok() && a.leader() == null)) {
      node = (node + 1) % world.nodes.size();
      reportAfter(NEXT_MS);
    } else if (!a.ok()) {
      int named = Integer.parseInt(a.leader().substring(1));
      boolean same = named == node;
      node = same ? (node + 1) % world.nodes.size() : named;
      reportAfter(same ? NEXT_MS : world.random.nextLong(500));
    } else {
      if (a.token() >= token && sentIn == session) {
        token = a.token();
        answeredSentMs = Math.max(answeredSentMs, sentMs);
        watchLease();
        a.orders().forEach(this::execute);
      }
      long gap = world.setup.reportMs();
      reportAfter(gap * 3 / 4 + world.random.nextLong(gap / 2));
    }
  }

  /** Without an answer for the length of the lease it kills and forgets all of its tasks. */
  private void expire() {
    if (world.now() - answeredSentMs <= world.setup.leaseMs()) {
      return;
    }
    for (Task t : tasks.values()) {
      if (t.phase != Report.Phase.EXITED) {
        world.checker.killedByLease++;
        world.note(name, t.task() + " is killed by the lease");
        world.checker.over(t.task(), name);
      }
    }
    tasks.clear();
    session++;
    answeredSentMs = world.now();
    watchLease();
  }

  private void watchLease() {
    int of = life;
    world.after(
        answeredSentMs + world.setup.leaseMs() + 1 - world.now(), () -> here(of, this::expire));
  }

  /** Commands sent straight to it, maybe minutes ago. */
  Executed orders(long helm, long ofSession, List<Order> orders) {
    expire();
    if (helm < token || ofSession != session) {
      return new Executed(false, says());
    }
    token = helm;
    orders.forEach(this::execute);
    return new Executed(true, says());
  }

  private void execute(Order o) {
    String key = o.job() + "/" + o.index() + "@" + o.attempt();
    Task t = tasks.get(key);
    switch (o.op()) {
      case START -> {
        if (t == null) {
          Task fresh = new Task(o.job(), o.index(), o.attempt());
          tasks.put(key, fresh);
          world.checker.started(fresh.task(), name, o.attempt());
          world.after(FETCH_MS, () -> phase(fresh, Report.Phase.RUNNING, null));
          Long runMs = world.runMsOf(o.job(), o.index());
          if (runMs != null) {
            world.after(FETCH_MS + runMs, () -> phase(fresh, Report.Phase.EXITED, "done"));
          }
        }
      }
      case STOP -> {
        if (t != null) {
          phase(t, Report.Phase.EXITED, "halted");
        }
      }
      case FORGET -> {
        if (t != null && t.phase == Report.Phase.EXITED) {
          tasks.remove(key);
        }
      }
      default -> throw new IllegalArgumentException(o.toString());
    }
  }

  private void phase(Task t, Report.Phase phase, String cause) {
    boolean here = alive && tasks.containsValue(t) && t.phase != Report.Phase.EXITED;
    if (here && world.now() - answeredSentMs > world.setup.leaseMs()) {
      expire();
      return;
    }
    if (here) {
      t.phase = phase;
      t.cause = cause;
      if (phase == Report.Phase.EXITED) {
        world.checker.over(t.task(), name);
      }
    }
  }

  int running() {
    int n = 0;
    for (Task t : tasks.values()) {
      n += t.phase == Report.Phase.RUNNING ? 1 : 0;
    }
    return n;
  }
}
