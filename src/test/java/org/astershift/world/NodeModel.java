package org.astershift.world;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.astershift.config.Constants;
import org.astershift.core.Decision;
import org.astershift.core.Facts;
import org.astershift.core.MachineType;
import org.astershift.core.Order;
import org.astershift.core.Policy;
import org.astershift.core.Report;
import org.astershift.core.Scheduler;
import org.astershift.core.Team;
import org.astershift.office.Candidacy;
import org.astershift.office.Election;
import org.astershift.office.Election.Act;
import org.astershift.office.WorkerReach;
import org.astershift.world.StoreModel.JobRow;
import org.astershift.world.StoreModel.MachineRow;
import org.astershift.world.StoreModel.Outcome;
import org.astershift.world.StoreModel.Row;
import org.astershift.world.StoreModel.Write;

/**
 * A controller: the program's own decisions ({@link Election}, {@link Candidacy}, {@link
 * WorkerReach}, {@link Scheduler}), carried out over the world's links as the loops of the program
 * do. It may stand still while its clock runs on, or crash and start anew.
 */
final class NodeModel {
  private static final long STORE_MS = 1500;
  private static final long CLOUD_MS = 5000;
  private static final long POLL_MS = 60;
  final String name;
  private final World world;
  private final double drift;
  private int incarnation;
  private boolean crashed;
  private long frozenUntilMs;

  /** Until then no answer to a report gets away, though orders to workers go out. */
  private long mutedUntilMs;

  /** Until then workers' reports are not even read. */
  private long fullUntilMs;

  // What a process knows; gone when it crashes.
  private Election election;
  private Candidacy candidacy;
  private WorkerReach reach;
  private Map<String, Row> mirror;
  private long mirrored;
  private long servedMs;
  private String toldLeader;
  private Term term;
  private long restMark;

  /** One time in office. */
  private static final class Term {
    final long token;
    final long beganMs;
    final Scheduler scheduler;
    final Set<String> jobs = new HashSet<>();
    final Map<String, BitSet> progress = new HashMap<>();

    /** Jobs whose end may be on record already: nothing is told of them from memory. */
    final Set<String> ending = new HashSet<>();

    /** Machines that this leader has put on record. */
    final Set<String> noted = new HashSet<>();

    int rentals;
    long dueMs = Long.MAX_VALUE;

    Term(long token, long beganMs, Scheduler scheduler) {
      this.token = token;
      this.beganMs = beganMs;
      this.scheduler = scheduler;
    }
  }

  NodeModel(World world, String name) {
    this.world = world;
    this.name = name;
    this.drift = (world.random.nextDouble() - 0.5) * Constants.CLOCK_DRIFT;
  }

  // ---- the process ----

  void start() {
    crashed = false;
    incarnation++;
    candidacy = new Candidacy();
    election = new Election(name, candidacy);
    reach = new WorkerReach();
    mirror = new TreeMap<>();
    mirrored = -1;
    servedMs = clock();
    toldLeader = null;
    term = null;
    poll();
    elect();
    every(Constants.REACH_SAMPLE_MS, this::sample);
    every(Constants.REACH_MS, this::lookAround);
  }

  void crash() {
    world.note(name, "crashes");
    crashed = true;
    incarnation++;
  }

  void freeze(long forMs) {
    world.note(name, "stands still for " + forMs + " ms");
    frozenUntilMs = world.now() + forMs;
    world.after(forMs, world::changed);
  }

  /**
   * For so long no worker gets an answer to a report, as when their connections find no place: at
   * first what they say still arrives, so that this node heard them later than they were answered.
   */
  void full(long forMs) {
    world.note(name, "has no places for workers for " + forMs + " ms");
    mutedUntilMs = world.now() + Math.min(forMs, world.setup.leaseMs()) / 2;
    fullUntilMs = world.now() + forMs;
    world.after(forMs, world::changed);
  }

  private boolean has(Mutant m) {
    return world.mutants.contains(m);
  }

  boolean crashed() {
    return crashed;
  }

  boolean up() {
    return !crashed && world.now() >= frozenUntilMs;
  }

  /** Its steady clock. */
  private long clock() {
    return (long) (world.now() * (1 + drift));
  }

  /** What happens in this process: not after its end, and late if it stands still. */
  private void here(int of, Runnable body) {
    if (incarnation != of) {
      return;
    }
    if (world.now() < frozenUntilMs) {
      world.after(frozenUntilMs - world.now(), () -> here(of, body));
    } else {
      body.run();
    }
  }

  private void later(long delayMs, Runnable body) {
    int of = incarnation;
    world.after(delayMs, () -> here(of, body));
  }

  private void every(long ms, Runnable body) {
    later(
        ms + world.random.nextLong(20),
        () -> {
          body.run();
          every(ms, body);
        });
  }

  /** A request of this process to another host. */
  private <A> void call(String to, long timeoutMs, World.Service<A> service, Consumer<A> done) {
    int of = incarnation;
    world.call(name, to, timeoutMs, service, a -> here(of, () -> done.accept(a)));
  }

  /** A request to the state service; null: no answer, or 503, so its effect is unknown. */
  private <A> void state(java.util.function.Supplier<A> request, Consumer<A> done) {
    state(STORE_MS, request, done);
  }

  private <A> void state(long timeoutMs, java.util.function.Supplier<A> request, Consumer<A> done) {
    call(
        "state",
        timeoutMs,
        answer -> {
          if (!world.store.isDown()) {
            answer.accept(request.get());
          }
        },
        (A a) -> {
          servedMs = a == null ? servedMs : clock();
          done.accept(a);
        });
  }

  private boolean lost() {
    return clock() - servedMs > Constants.STORE_LOST_MS;
  }

  // ---- the mirror ----

  private void poll() {
    long from = mirrored;
    // A watch that hangs is given up late, and the mirror lags that long.
    state(
        mirrored < 0 ? STORE_MS : STORE_MS + world.random.nextLong(Constants.WATCH_BLOCK_MS),
        () -> new Object[] {world.store.since(from), world.store.revision()},
        (Object[] got) -> {
          if (got != null) {
            @SuppressWarnings("unchecked")
            List<Row> news = (List<Row>) got[0];
            long upTo = (long) got[1];
            boolean key = false;
            for (Row row : news) {
              key |= row.key().equals(StoreModel.LEADER);
              if (row.value() == null) {
                mirror.remove(row.key());
              } else {
                mirror.put(row.key(), row);
              }
              if (term != null && row.value() instanceof JobRow job) {
                add(term, job);
              }
            }
            mirrored = Math.max(mirrored, upTo);
            if (key) {
              rest(0);
            }
          }
          later(got == null ? Constants.RETRY_MS : POLL_MS, this::poll);
        });
  }

  // ---- leadership ----

  private Election.View view() {
    Row row = mirror.get(StoreModel.LEADER);
    Election.Holder holder =
        row == null ? null : new Election.Holder((String) row.value(), row.revision());
    return new Election.View(
        clock(), mirrored >= 0, holder, reach.seen(clock()), clock() - servedMs);
  }

  private void rest(long ms) {
    long mark = ++restMark;
    later(
        ms,
        () -> {
          if (mark == restMark) {
            elect();
          }
        });
  }

  private void elect() {
    restMark++; // one round at a time
    Act act = election.next(view());
    long restMs = election.token() == 0 ? Constants.ELECTION_POLL_MS : Constants.LEADER_RENEW_MS;
    if (act instanceof Act.Look) {
      state(() -> world.store.revision(), r -> rest(r == null ? Constants.RETRY_MS : 0));
    } else if (act instanceof Act.Remove r) {
      commit(
          Map.of(StoreModel.LEADER, r.revision()),
          List.of(new Write(StoreModel.LEADER, null, 0)),
          o -> rest(restMs));
    } else if (act instanceof Act.Grant g) {
      state(
          () -> world.store.grant(g.lifeMs()),
          lease -> {
            if (lease != null) {
              election.granted(lease);
            }
            rest(lease == null ? Constants.RETRY_MS : 0);
          });
    } else if (act instanceof Act.Claim c) {
      commit(
          Map.of(StoreModel.LEADER, 0L),
          List.of(new Write(StoreModel.LEADER, name, c.lease())),
          o -> {
            election.claimed(
                o == null
                    ? Election.Claimed.UNKNOWN
                    : o.revision() > 0 ? Election.Claimed.APPLIED : Election.Claimed.REFUSED,
                o == null ? 0 : o.revision());
            rest(0);
          });
    } else if (act instanceof Act.CatchUp c) {
      catchUp(c.revision(), clock() + Constants.LEADER_LEASE_MS);
    } else if (act instanceof Act.Begin b) {
      begin(b.token());
      rest(restMs);
    } else if (act instanceof Act.Renew r) {
      state(
          () -> world.store.renew(r.lease()),
          ok -> {
            election.renewed(ok);
            rest(ok == null ? Constants.RETRY_MS : election.token() == 0 ? 0 : restMs);
          });
    } else {
      ended(List.of(act));
      rest(restMs);
    }
  }

  private void catchUp(long revision, long untilMs) {
    boolean done = mirrored >= revision || has(Mutant.NO_CATCHING_UP);
    if (done || clock() > untilMs) {
      election.caughtUp(done);
      rest(0);
    } else {
      later(POLL_MS / 2, () -> catchUp(revision, untilMs));
    }
  }

  private void ended(List<Act> acts) {
    for (Act act : acts) {
      if (act instanceof Act.End e) {
        if (term != null && term.token == e.token()) {
          world.note(name, "leads no longer (token " + e.token() + "): " + e.why());
          term = null;
        }
      } else if (act instanceof Act.Revoke r) {
        state(
            () -> {
              world.store.revoke(r.lease());
              return true;
            },
            ok -> {});
      }
    }
  }

  // ---- what this node and the others reach ----

  private void sample() {
    List<String> roster = new ArrayList<>();
    StoreModel.below(mirror, "m/")
        .forEach(
            (machine, row) -> {
              if (!((MachineRow) row).machine().fresh()) {
                roster.add(machine);
              }
            });
    int asked = Math.min(Constants.REACH_SAMPLE, roster.size());
    long atMs = clock();
    int[] answers = new int[2];
    for (int i = 0; i < asked; i++) {
      String machine = roster.remove(world.random.nextInt(roster.size()));
      show(
          machine,
          Constants.PROBE_TIMEOUT_MS,
          yes -> {
            answers[0]++;
            answers[1] += yes ? 1 : 0;
            if (answers[0] == asked) {
              reach.sampled(asked, answers[1], atMs);
            }
          });
    }
  }

  private void show(String machine, long timeoutMs, Consumer<Boolean> done) {
    call(
        machine,
        timeoutMs,
        answer -> {
          WorkerModel w = world.workers.get(machine);
          if (w != null && w.alive()) {
            answer.accept(true);
          }
        },
        (Boolean yes) -> done.accept(yes != null));
  }

  /** What each of the others answers; those that do not are left out. */
  private <A> void others(
      java.util.function.BiConsumer<NodeModel, Consumer<A>> question,
      long timeoutMs,
      Consumer<Map<String, A>> done) {
    Map<String, A> out = new LinkedHashMap<>();
    int[] left = {world.nodes.size() - 1};
    for (NodeModel other : world.nodes) {
      if (other != this) {
        call(
            other.name,
            timeoutMs,
            answer -> {
              int of = other.incarnation;
              if (!other.crashed) {
                other.here(of, () -> question.accept(other, answer));
              }
            },
            (A a) -> {
              if (a != null) {
                out.put(other.name, a);
              }
              left[0]--;
              if (left[0] == 0) {
                done.accept(out);
              }
            });
      }
    }
    if (left[0] == 0) {
      done.accept(out);
    }
  }

  private void lookAround() {
    if (lost()) {
      others(
          (NodeModel other, Consumer<Row> answer) -> {
            if (!other.lost()) {
              answer.accept(
                  other.mirror.getOrDefault(
                      StoreModel.LEADER, new Row(StoreModel.LEADER, "", 0, 0)));
            }
          },
          Constants.REACH_TIMEOUT_MS,
          this::told);
      return;
    }
    toldLeader = null;
    Term t = term;
    if (t == null || !t.scheduler.isolated() || has(Mutant.NO_HANDING_OVER)) {
      return;
    }
    others(
        (NodeModel other, Consumer<Candidacy.Told> answer) ->
            answer.accept(
                new Candidacy.Told(other.name, !other.lost(), other.reach.seen(other.clock()))),
        Constants.REACH_TIMEOUT_MS,
        told -> handOver(t, new ArrayList<>(told.values())));
  }

  private void told(Map<String, Row> told) {
    for (Row row : told.values()) {
      if (!"".equals(row.value())) {
        toldLeader = (String) row.value();
        WorkerReach.Seen own = reach.seen(clock());
        others(
            (NodeModel other, Consumer<WorkerReach.Seen> answer) -> {
              if (other.name.equals(row.value())) {
                answer.accept(other.reach.seen(other.clock()));
              }
            },
            Constants.REACH_TIMEOUT_MS,
            (Map<String, WorkerReach.Seen> seen) -> {
              boolean deaf = seen.values().stream().anyMatch(WorkerReach.Seen::few);
              if (!(term != null && own.able() && deaf)) {
                ended(election.told(row.revision()));
              }
            });
        return;
      }
    }
  }

  private void handOver(Term t, List<Candidacy.Told> told) {
    if (t != term) {
      return;
    }
    Candidacy.HandOver wish =
        candidacy.handsOver(
            t.scheduler.heardShare(), told, world.nodes.size() - 1, t.beganMs, clock());
    if (wish == null) {
      return;
    }
    others(
        (NodeModel other, Consumer<Boolean> answer) -> {
          if (wish.to() != null && !wish.to().equals(other.name)) {
            other.candidacy.yields(other.clock());
          }
          answer.accept(true);
        },
        Constants.REACH_TIMEOUT_MS,
        ok -> ended(election.resign(t.token, "hands over to " + wish.to(), clock())));
  }

  // ---- the term ----

  private void begin(long token) {
    if (election.token() != token) {
      return;
    }
    Facts facts =
        new Facts(
            Map.of("team", new Team("team", 0, world.teamLimit, 0, 0)),
            List.of(),
            world.setup.reportMs() / 1000.0,
            world.setup.leaseMs() / 1000.0,
            30,
            4,
            40,
            3);
    // Machines are never given back as idle here, so that each return is for silence.
    Policy policy = new Policy(2500, 0.9, 64, 5, 1e6);
    Term t = new Term(token, clock(), new Scheduler(facts, policy, token));
    MachineType type =
        new MachineType(CloudModel.TYPE, 4, 0, 16, 50, 0.5, 1, 0.3, 10, world.setup.zones());
    t.scheduler.types(Map.of(type.name(), type));
    StoreModel.below(mirror, "m/")
        .forEach(
            (machine, row) -> {
              Decision.Enrol e = ((MachineRow) row).machine();
              if (has(Mutant.NO_ROSTER)) {
                return;
              }
              if (e.fresh()) {
                t.scheduler.rented(
                    "", List.of(machine), new Decision.Rent(e.type(), e.zone(), false, 1), clock());
              } else {
                t.scheduler.inherit(machine, e.addr(), e.type(), e.zone(), false, clock());
              }
            });
    term = t;
    StoreModel.below(mirror, "j/").values().forEach(row -> add(t, (JobRow) row));
    StoreModel.below(mirror, "i/").forEach((request, r) -> rent(t, request, (Decision.Rent) r));
    world.checker.leads(name, token);
    pass(t);
    list(t);
    save(t);
  }

  private void add(Term t, JobRow job) {
    if (t.jobs.add(job.spec().id())) {
      Row done = mirror.get("p/" + job.spec().id());
      BitSet bits = StoreModel.bits(done == null ? null : done.value());
      t.scheduler.addJob(job.spec(), job.opened(), bits, clock());
    }
  }

  private void pass(Term t) {
    if (t != term) {
      return;
    }
    if (clock() - t.dueMs > Constants.STOOD_STILL_MS) {
      t.scheduler.resumed(clock());
    }
    long soleMs = has(Mutant.LEASES_PROVE_IN_DOUBT) ? Long.MAX_VALUE : election.soleUntilMs();
    for (Decision d : t.scheduler.pass(clock(), soleMs)) {
      carryOut(t, d);
    }
    t.dueMs = clock() + Constants.PASS_MS;
    later(Constants.PASS_MS, () -> pass(t));
  }

  private void carryOut(Term t, Decision d) {
    if (d instanceof Decision.Direct o) {
      direct(t, o);
    } else if (d instanceof Decision.OpenJob o && mirror.containsKey("j/" + o.job())) {
      JobRow job = (JobRow) mirror.get("j/" + o.job()).value();
      Object opened = new JobRow(job.spec(), true, job.atMs());
      boolean early = has(Mutant.STARTS_BEFORE_OPENED);
      if (early) {
        t.scheduler.opened(o.job());
      }
      write(
          t,
          new Write("j/" + o.job(), opened, 0),
          () -> {
            if (!early) {
              t.scheduler.opened(o.job());
            }
          });
    } else if (d instanceof Decision.FinishJob f && mirror.containsKey("j/" + f.job())) {
      JobRow job = (JobRow) mirror.get("j/" + f.job()).value();
      Scheduler.JobView view = t.scheduler.view(f.job());
      int[] doneOf = {view.done(), job.spec().tasks()};
      t.ending.add(f.job());
      // If absent: an earlier try without an answer may have been applied.
      write(
          t,
          Map.of("d/" + f.job(), 0L),
          List.of(
              new Write("j/" + f.job(), null, 0),
              new Write("p/" + f.job(), null, 0),
              new Write("d/" + f.job(), doneOf, 0)),
          () -> t.scheduler.ended(f.job(), false, clock()));
    } else if (d instanceof Decision.Enrol e) {
      t.noted.add(e.machine());
      write(
          t,
          new Write("m/" + e.machine(), new MachineRow(e), 0),
          () -> t.scheduler.enrolled(e.machine()));
    } else if (d instanceof Decision.Strike s) {
      write(t, new Write("m/" + s.machine(), null, 0), () -> {});
    } else if (d instanceof Decision.Rent r) {
      String request = "as-" + t.token + "-" + ++t.rentals;
      t.scheduler.renting(request, r);
      write(t, new Write("i/" + request, r, 0), () -> rent(t, request, r));
    } else if (d instanceof Decision.Return r) {
      giveBack(t, r);
    } else if (d instanceof Decision.Witness w) {
      others(
          (NodeModel other, Consumer<Decision.Testimony> answer) -> other.witness(w, answer),
          Constants.PEER_TIMEOUT_MS,
          (Map<String, Decision.Testimony> told) -> {
            if (t == term) {
              t.scheduler.witnessed(w, new ArrayList<>(told.values()));
            }
          });
    }
  }

  private void witness(Decision.Witness w, Consumer<Decision.Testimony> answer) {
    List<Decision.Named> all = new ArrayList<>(w.suspects());
    all.addAll(w.controls());
    Set<String> yes = new HashSet<>();
    Set<String> no = new HashSet<>();
    for (Decision.Named m : all) {
      show(
          m.addr(),
          Constants.WITNESS_TIMEOUT_MS,
          answers -> {
            boolean control = w.controls().contains(m);
            boolean said = has(Mutant.DEAF_WITNESSES) ? control : answers;
            (said ? yes : no).add(m.machine());
            if (yes.size() + no.size() == all.size()) {
              answer.accept(new Decision.Testimony(yes, no));
            }
          });
    }
  }

  private void direct(Term t, Decision.Direct d) {
    call(
        d.addr(),
        d.timeoutMs(),
        answer -> {
          WorkerModel w = world.workers.get(d.machine());
          if (w != null && w.alive()) {
            answer.accept(w.orders(t.token, d.session(), d.orders()));
          }
        },
        (WorkerModel.Executed e) -> {
          if (t != term) {
            return;
          }
          Report r = e == null ? null : e.report();
          t.scheduler.directResult(d.machine(), e == null, r, clock());
          deposed(t, d.machine());
        });
  }

  private void deposed(Term t, String machine) {
    if (t.scheduler.deposed()) {
      ended(election.stepDown(t.token, machine + " has seen a higher token"));
    }
  }

  /** A worker's report. */
  void report(Report r, Consumer<WorkerModel.Answer> answer) {
    boolean full = world.now() < fullUntilMs;
    if (crashed || (full && world.now() >= mutedUntilMs)) {
      return;
    }
    here(
        incarnation,
        () -> {
          Term t = term;
          if (t != null) {
            List<Order> orders = t.scheduler.report(r, clock());
            deposed(t, r.machine());
            if (t == term && full) {
              return;
            }
            if (t == term) {
              boolean ok = orders != null;
              answer.accept(new WorkerModel.Answer(ok, t.token, orders, null));
              return;
            }
          }
          Row row = mirror.get(StoreModel.LEADER);
          String leader =
              toldLeader != null ? toldLeader : row == null ? null : (String) row.value();
          boolean other = leader != null && !leader.equals(name);
          answer.accept(new WorkerModel.Answer(false, 0, List.of(), other ? leader : null));
        });
  }

  private void rent(Term t, String request, Decision.Rent r) {
    call(
        "cloud",
        CLOUD_MS,
        answer -> answer.accept(world.cloud.rent(request, r)),
        (List<String> names) -> {
          if (t != term) {
            return;
          }
          if (names == null) {
            later(Constants.CLOUD_RETRY_MS, () -> rent(t, request, r));
            return;
          }
          List<Write> writes = new ArrayList<>();
          for (String m : names) {
            if (!t.noted.add(m) || mirror.containsKey("m/" + m)) {
              continue; // it may have tasks already, and is no longer fresh
            }
            writes.add(
                new Write(
                    "m/" + m,
                    new MachineRow(new Decision.Enrol(m, null, r.type(), r.zone(), false, true)),
                    0));
          }
          writes.add(new Write("i/" + request, null, 0));
          t.scheduler.rented(request, names, r, clock());
          write(t, writes, () -> {});
        });
  }

  private void giveBack(Term t, Decision.Return r) {
    if (r.silent()) {
      world.checker.givesUp(this, r.machines());
    }
    call(
        "cloud",
        CLOUD_MS,
        answer -> {
          world.cloud.giveBack(r.machines(), r.silent());
          answer.accept(true);
        },
        (Boolean ok) -> {
          if (t == term && ok != null) {
            t.scheduler.returned(r.machines(), clock());
          } else if (t == term) {
            later(Constants.CLOUD_RETRY_MS, () -> t.scheduler.notReturned(r.machines()));
          }
        });
  }

  private void list(Term t) {
    if (t != term) {
      return;
    }
    long asked = clock();
    call(
        "cloud",
        CLOUD_MS,
        answer -> answer.accept(world.cloud.list()),
        (List<Scheduler.Listed> listed) -> {
          if (t == term && listed != null) {
            t.scheduler.list(listed, asked, clock());
          }
          later(Constants.LIST_MS, () -> list(t));
        });
  }

  private void save(Term t) {
    if (t != term) {
      return;
    }
    t.scheduler
        .unsaved()
        .forEach(
            (job, done) ->
                write(t, new Write("p/" + job, done, 0), () -> t.scheduler.saved(job, done)));
    later(Constants.SAVE_MS, () -> save(t));
  }

  // ---- writes, each conditional on the leader's key ----

  private void write(Term t, Write w, Runnable durable) {
    write(t, List.of(w), durable);
  }

  private void write(Term t, List<Write> writes, Runnable durable) {
    write(t, Map.of(), writes, durable);
  }

  private void write(Term t, Map<String, Long> also, List<Write> writes, Runnable durable) {
    Map<String, Long> when = new HashMap<>(also);
    if (!has(Mutant.WRITES_WITHOUT_THE_KEY)) {
      when.put(StoreModel.LEADER, t.token);
    }
    commit(
        when,
        writes,
        o -> {
          if (t != term) {
            return;
          }
          if (o == null) {
            later(Constants.RETRY_MS, () -> write(t, also, writes, durable));
          } else if (o.failed().contains(StoreModel.LEADER)) {
            ended(election.stepDown(t.token, "a write found another leader"));
          } else {
            durable.run();
          }
        });
  }

  private void commit(Map<String, Long> when, List<Write> writes, Consumer<Outcome> done) {
    state(() -> world.store.commit(when, writes), done);
  }

  // ---- users ----

  /**
   * A user's question about a job, in the order in which the program answers it: the leader from
   * memory while it is certainly one, others by asking it, and all else by a read of the state
   * service, the live record first. 503 where none of these says anything.
   */
  void ask(String job, boolean forward, Consumer<String> answer) {
    if (crashed) {
      return;
    }
    here(
        incarnation,
        () -> {
          if (has(Mutant.ONE_JOB_IS_FORGOTTEN) && name.equals("n1") && job.equals("wk-7")) {
            answer.accept("503");
            return;
          }
          Term t = term;
          boolean told = t != null && !t.ending.contains(job);
          Scheduler.JobView view = told ? t.scheduler.view(job) : null;
          if (view != null && election.valid(t.token, clock())) {
            answer.accept(view.running() ? "running" : "queued");
            return;
          }
          Row row = mirror.get(StoreModel.LEADER);
          String leader = toldLeader != null || row == null ? toldLeader : (String) row.value();
          if (t != null || !forward || leader == null || leader.equals(name)) {
            read(job, answer);
            return;
          }
          NodeModel other =
              world.nodes.stream().filter(n -> n.name.equals(leader)).findFirst().orElseThrow();
          call(
              leader,
              Constants.PEER_TIMEOUT_MS,
              (Consumer<String> a) -> other.ask(job, false, a),
              (String said) -> {
                if (said == null || said.equals("503")) {
                  read(job, answer);
                } else {
                  answer.accept(said);
                }
              });
        });
  }

  private void read(String job, Consumer<String> answer) {
    if (lost()) {
      answer.accept("503");
      return;
    }
    state(
        () -> world.store.get("j/" + job) != null,
        (Boolean live) -> {
          if (live == null) {
            answer.accept("503");
          } else if (live) {
            answer.accept("queued");
          } else {
            state(
                () -> world.store.get("d/" + job) != null,
                (Boolean over) -> answer.accept(over == null ? "503" : over ? "done" : "404"));
          }
        });
  }

  // ---- for tests ----

  boolean leads() {
    return term != null;
  }

  /** Whether it leads and has not heard all machines of earlier leaders yet. */
  boolean starting() {
    return term != null && term.scheduler.starting();
  }

  /** For how long it has led. */
  long ledMs() {
    return term == null ? 0 : clock() - term.beganMs;
  }

  Scheduler scheduler() {
    return term == null ? null : term.scheduler;
  }
}
