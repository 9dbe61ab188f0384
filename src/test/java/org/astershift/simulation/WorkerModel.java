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
  private static final long ANSWER_MS = 4000;
  private static final long NEXT_MS = 1000;
  private static final long FETCH_MS = 800;
  static final long FAILS_MS = 300;
  final String name;
  final String zone;
  final CloudModel.Kind kind;
  private final Simulation world;
  private boolean alive;

  /** Which of its lives this is: what was under way in an earlier one ends with it. */
  private int life;

  private long token;
  private long session = 1;
  private long seq;
  private long answeredSentMs;
  private int node;

  /** Since when it hangs, or -1; until when; and for how long it did before, in this life. */
  private long hungSinceMs = -1;

  private long hungUntilMs;
  private long hungBeforeMs;
  private long wentOnMs = -1;
  private long hangNextMs;

  /** What waits for it to go on. */
  private final List<Runnable> waiting = new ArrayList<>();

  /** Until then it reaches no controller, while orders to it and their answers work. */
  private long muteUntilMs;

  /** The connection that it had as it became mute keeps what is sent last, and delivers it then. */
  private boolean keptLast;

  private final Map<String, Task> tasks = new LinkedHashMap<>();

  // What happened here, for tests that have to see that it did.

  /** When the last task was started. */
  long startedMs = -1;

  /** Tasks started while it was mute. */
  int startedMute;

  /** Reports that reached no controller. */
  int unsaid;

  /** Orders that waited for it to go on, and were executed then. */
  int executedLate;

  /** Answers to reports that waited for it to go on, and were in time. */
  int answeredLate;

  /** Tasks that went on after it hung. */
  int wentOn;

  /** The same of tasks whose user had been told meanwhile that they are cancelled. */
  int wentOnCancelled;

  /** Whatever runs on it fails. */
  boolean faulty;

  /** Tasks started while it was known here that the cloud will take it back. */
  int startedRecalled;

  /** How often it has hung. */
  private int hangs;

  /** When the cloud takes it back, as it was told; -1: it was told nothing. */
  private long recalledMs = -1;

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

    String task() {
      return job + "/" + index;
    }

    boolean ofGang(Simulation world) {
      JobSpec spec = world.users.spec(job);
      return spec != null && spec.kind() == JobKind.GANG;
    }
  }

  /** The answer to a report: 200 with a token, or 421 with the leader's name or null. */
  record Answer(boolean ok, long token, List<Command> orders, String leader) {}

  /** The answer to direct commands. */
  record Executed(boolean ok, Heartbeat report) {}

  WorkerModel(Simulation world, String name, CloudModel.Kind kind) {
    this.world = world;
    this.name = name;
    this.zone = kind.zone();
    this.kind = kind;
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

  /** It does nothing for a while, and then goes on as if no time had passed for it. */
  void hang(long forMs) {
    if (!alive) {
      return;
    }
    world.note(name, "hangs for " + forMs + " ms");
    hungUntilMs = Math.max(hungUntilMs, world.now() + forMs);
    if (!hung()) {
      hungSinceMs = world.now();
      hangs++;
      world.gangs.hangs(this);
    }
    int of = life;
    world.after(forMs, () -> goOn(of));
  }

  /** It hangs as soon as its next report is on its way, so that the answer waits for it. */
  void hangNext(long forMs) {
    hangNextMs = forMs;
  }

  boolean hung() {
    return hungSinceMs >= 0;
  }

  int hangs() {
    return hangs;
  }

  private void goOn(int of) {
    if (!alive || life != of || !hung() || world.now() < hungUntilMs) {
      return;
    }
    world.note(name, "goes on");
    hungBeforeMs += world.now() - hungSinceMs;
    hungSinceMs = -1;
    wentOnMs = world.now();
    world.changed(); // nobody can know yet
    expire();
    for (String task : holds()) {
      wentOn++;
      String job = task.substring(0, task.indexOf('/'));
      wentOnCancelled += world.checker.confirmedMs(job) == null ? 0 : 1;
    }
    List<Runnable> all = new ArrayList<>(waiting);
    waiting.clear();
    all.forEach(r -> world.after(0, () -> here(of, r)));
  }

  /** It reaches no controller; its last report may arrive when it does again. */
  void mute(long forMs) {
    world.note(name, "is mute for " + forMs + " ms");
    muteUntilMs = Math.max(muteUntilMs, world.now() + forMs);
    keptLast = world.random.nextBoolean();
    world.after(forMs, world::changed);
  }

  boolean mute() {
    return world.now() < muteUntilMs;
  }

  /** It reaches the controllers again. */
  void unmute() {
    muteUntilMs = 0;
  }

  /** A request to it, maybe held up on its way: served at once, when it goes on, or never. */
  void serve(Runnable request) {
    here(life, request);
  }

  void die() {
    alive = false;
    hungSinceMs = -1;
    hungUntilMs = 0;
    hungBeforeMs = 0;
    hangNextMs = 0;
    waiting.clear();
    life++;
    recalledMs = -1;
    List<Task> all = tasks();
    tasks.clear();
    all.forEach(this::gone);
  }

  private void gone(Task t) {
    if (t.phase != Heartbeat.TaskPhase.EXITED) {
      world.checker.over(t.task(), name);
      world.gangs.left(t);
    }
  }

  /** The cloud will take it back; its next report says so, as will all after that. */
  void recalled(long inMs) {
    world.note(name, "is told that it will be taken back in " + inMs + " ms");
    recalledMs = world.now() + inMs;
  }

  /** All tasks here, exited ones too. */
  List<Task> tasks() {
    return new ArrayList<>(tasks.values());
  }

  private Heartbeat says() {
    List<Heartbeat.TaskStatus> items = new ArrayList<>();
    for (Task t : tasks.values()) {
      items.add(new Heartbeat.TaskStatus(t.job, t.index, t.attempt, t.phase, t.cause));
    }
    return new Heartbeat(
        name, name, kind.type(), zone, kind.spot(), session, ++seq, token, recall(), items);
  }

  private Double recall() {
    return recalledMs < 0 ? null : (Double) (Math.max(0, recalledMs - world.now()) / 1000.0);
  }

  /** As soon as it is not hung, if the task is still there. */
  void when(Task t, Runnable body) {
    here(
        life,
        () -> {
          if (tasks.containsValue(t)) {
            body.run();
          }
        });
  }

  private void here(int of, Runnable body) {
    if (alive && life == of) {
      if (hung()) {
        waiting.add(body);
      } else {
        body.run();
      }
    }
  }

  /** How long it has been at work in this life: what its tasks' run time is counted by. */
  private long workedMs() {
    return world.now() - hungBeforeMs - (hung() ? world.now() - hungSinceMs : 0);
  }

  void afterWork(long ms, Runnable body) {
    whenWorked(life, workedMs() + ms, body);
  }

  private void whenWorked(int of, long atMs, Runnable body) {
    world.after(
        atMs - workedMs(),
        () ->
            here(
                of,
                () -> {
                  if (workedMs() < atMs) {
                    whenWorked(of, atMs, body); // it hung meanwhile
                  } else {
                    body.run();
                  }
                }));
  }

  private void reportAfter(long ms) {
    int of = life;
    world.after(ms, () -> here(of, this::report));
  }

  /** A copy of what it said, from seconds to well over a lease later, at whatever node. */
  private void copy(Heartbeat r) {
    if (world.random.nextDouble() < world.copied) {
      ControllerModel to = world.nodes.get(world.random.nextInt(world.nodes.size()));
      long ms = 1000 + world.random.nextLong(3 * world.setup.leaseMs());
      world.after(ms, () -> to.copy(aged(r)));
    }
  }

  /** As it was sent, or as a leader would read it that does not order what it is told. */
  Heartbeat aged(Heartbeat r) {
    boolean news = world.mutants.contains(Mutation.COPIES_ARE_NEWS);
    boolean shows = world.mutants.contains(Mutation.COPIES_SHOW_THE_TOKEN);
    return new Heartbeat(
        r.machineName(),
        r.address(),
        r.typeName(),
        r.zone(),
        r.spot(),
        r.epoch(),
        news ? seq + 1 : r.sequence(),
        news ? token : shows ? world.latestToken() : r.fencingToken(),
        r.preemptionNoticeS(),
        r.tasks());
  }

  private void report() {
    expire();
    long sentMs = world.now();
    long sentIn = session;
    Heartbeat r = says();
    copy(r);
    world.lateReports.said(this, r);
    int of = life;
    ControllerModel to = world.nodes.get(node);
    if (mute()) {
      noWay(r, to);
      return;
    }
    world.call(
        name,
        to.name,
        ANSWER_MS,
        world.lateReports.way(to, answer -> arrives(to, r, answer)),
        (Answer a) -> here(of, () -> answered(a, sentMs, sentIn)));
    if (hangNextMs > 0) {
      hang(hangNextMs);
      hangNextMs = 0;
    }
  }

  /** A report that arrives after newer ones is as a copy of it. */
  private void arrives(ControllerModel to, Heartbeat r, Consumer<Answer> answer) {
    if (seq > r.sequence() && world.mutants.contains(Mutation.COPIES_ARE_NEWS)) {
      to.copy(aged(r));
    } else {
      to.report(seq > r.sequence() ? aged(r) : r, answer);
    }
  }

  /** It is refused at once, or waits in vain for a connection. */
  private void noWay(Heartbeat r, ControllerModel to) {
    if (keptLast) {
      keptLast = false;
      world.after(muteUntilMs - world.now() + 1, () -> to.report(r, a -> {}));
    }
    int of = life;
    long sentMs = world.now();
    long sentIn = session;
    unsaid++;
    long ms = world.random.nextBoolean() ? 1 : ANSWER_MS;
    world.after(ms, () -> here(of, () -> answered(null, sentMs, sentIn)));
  }

  private void answered(Answer a, long sentMs, long sentIn) {
    boolean late = world.now() - sentMs > ANSWER_MS; // it hung, and no longer waits for that
    if (a == null || late || (!a.ok() && a.leader() == null)) {
      node = (node + 1) % world.nodes.size();
      reportAfter(NEXT_MS);
    } else if (!a.ok()) {
      int named = Integer.parseInt(a.leader().substring(1));
      boolean same = named == node;
      node = same ? (node + 1) % world.nodes.size() : named;
      reportAfter(same ? NEXT_MS : world.random.nextLong(500));
    } else {
      if (a.token() >= token && sentIn == session) {
        answeredLate += wentOnMs == world.now() ? 1 : 0;
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
    for (Task t : tasks()) {
      if (t.phase != Heartbeat.TaskPhase.EXITED) {
        world.checker.killedByLease++;
        world.note(name, t.task() + " is killed by the lease");
        gone(t);
      }
    }
    if (hung()) {
      return; // nothing of it can go on any more; it will do this itself, first of all
    }
    tasks.clear();
    session++;
    answeredSentMs = world.now();
    watchLease();
  }

  private void watchLease() {
    int of = life;
    world.after(
        answeredSentMs + world.setup.leaseMs() + 1 - world.now(),
        () -> {
          if (alive && life == of) {
            expire();
          }
        });
  }

  /** Commands sent straight to it, maybe minutes ago. */
  Executed orders(long helm, long ofSession, List<Command> orders) {
    expire();
    if (helm < token || ofSession != session) {
      return new Executed(false, says());
    }
    token = helm;
    executedLate += wentOnMs == world.now() ? orders.size() : 0;
    orders.forEach(this::execute);
    return new Executed(true, says());
  }

  private void execute(Command o) {
    world.digest.command(world.now(), name, o);
    String key = o.jobId() + "/" + o.index() + "@" + o.attemptNumber();
    Task t = tasks.get(key);
    switch (o.kind()) {
      case START -> {
        if (t == null) {
          Task fresh = new Task(this, o.jobId(), o.index(), o.attemptNumber());
          tasks.put(key, fresh);
          startedMs = world.now();
          startedMute += mute() ? 1 : 0;
          startedRecalled += recalledMs < 0 ? 0 : 1;
          world.checker.started(fresh.task(), name, o.attemptNumber());
          if (fresh.ofGang(world)) {
            afterWork(FETCH_MS, () -> when(fresh, () -> fetched(fresh)));
            return;
          }
          afterWork(FETCH_MS, () -> phase(fresh, Heartbeat.TaskPhase.RUNNING, null));
          fails(fresh, FETCH_MS + FAILS_MS);
          Long runMs = world.users.runMsOf(o.jobId(), o.index());
          if (runMs != null) {
            world.users.started(o.jobId(), o.index(), FETCH_MS + runMs);
            afterWork(FETCH_MS + runMs, () -> phase(fresh, Heartbeat.TaskPhase.EXITED, "done"));
          }
        }
      }
      case STOP -> {
        if (t != null) {
          world.checker.halted += t.phase == Heartbeat.TaskPhase.EXITED ? 0 : 1;
          stop(t, o.graceS());
        }
      }
      case FORGET -> {
        if (t != null && t.phase == Heartbeat.TaskPhase.EXITED) {
          tasks.remove(key);
        }
      }
      default -> throw new IllegalArgumentException(o.toString());
    }
  }

  /** On a faulty machine the task fails so long from now. */
  void fails(Task t, long ms) {
    if (faulty) {
      afterWork(ms, () -> phase(t, Heartbeat.TaskPhase.EXITED, "error"));
    }
  }

  private void fetched(Task t) {
    if (t.phase == Heartbeat.TaskPhase.FETCHING) {
      world.gangs.arrives(t);
    }
  }

  /** One that may save does so first, if it is given the time for it. */
  private void stop(Task t, double graceS) {
    JobSpec spec = world.users.spec(t.job);
    boolean saves =
        spec != null && spec.checkpointIntervalS() > 0 && graceS >= spec.checkpointSaveS();
    if (t.ofGang(world)
        && (t.phase == Heartbeat.TaskPhase.RUNNING || t.phase == Heartbeat.TaskPhase.SAVING)) {
      world.gangs.stop(t, saves);
      return;
    }
    if (saves && t.phase == Heartbeat.TaskPhase.RUNNING) {
      t.phase = Heartbeat.TaskPhase.SAVING;
      long ms = Math.round(spec.checkpointSaveS() * 1000);
      afterWork(ms, () -> phase(t, Heartbeat.TaskPhase.EXITED, "halted"));
    } else if (!saves || t.phase != Heartbeat.TaskPhase.SAVING) {
      phase(t, Heartbeat.TaskPhase.EXITED, "halted");
    }
  }

  /** The task moves on, unless it has ended or its lease is over. */
  void phase(Task t, Heartbeat.TaskPhase phase, String cause) {
    boolean here = alive && tasks.containsValue(t) && t.phase != Heartbeat.TaskPhase.EXITED;
    if (here && world.now() - answeredSentMs > world.setup.leaseMs()) {
      expire();
      return;
    }
    if (here) {
      t.phase = phase;
      t.cause = cause;
      world.digest.phase(world.now(), t.task(), name, phase, cause);
      if (phase == (t.ofGang(world) ? Heartbeat.TaskPhase.WAITING : Heartbeat.TaskPhase.RUNNING)) {
        world.checker.begins(t.task(), name);
      } else if ("done".equals(cause)) {
        world.users.completed(t.job, t.index);
      }
      if (phase == Heartbeat.TaskPhase.EXITED) {
        world.checker.over(t.task(), name);
        world.gangs.left(t);
        if ("done".equals(cause)) {
          world.checker.completed(t.task());
        }
      }
    }
  }

  /** Tasks on it, exited ones not, as "job/index". */
  List<String> holds() {
    return tasks.values().stream()
        .filter(t -> t.phase != Heartbeat.TaskPhase.EXITED)
        .map(Task::task)
        .toList();
  }

  int running() {
    int n = 0;
    for (Task t : tasks.values()) {
      n += t.phase == Heartbeat.TaskPhase.RUNNING ? 1 : 0;
    }
    return n;
  }
}
