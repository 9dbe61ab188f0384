package org.astershift.simulation;

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
import org.astershift.controller.LoopTiming;
import org.astershift.coordination.Cancellation;
import org.astershift.coordination.Candidacy;
import org.astershift.coordination.Election;
import org.astershift.coordination.Election.Action;
import org.astershift.coordination.TermJobs;
import org.astershift.coordination.WorkerReachability;
import org.astershift.http.Threads;
import org.astershift.peer.PeerClient;
import org.astershift.scheduler.Command;
import org.astershift.scheduler.Decision;
import org.astershift.scheduler.DeploymentLimits;
import org.astershift.scheduler.Heartbeat;
import org.astershift.scheduler.JobSpec;
import org.astershift.scheduler.Scheduler;
import org.astershift.scheduler.SchedulingPolicy;
import org.astershift.simulation.StoreModel.EndRow;
import org.astershift.simulation.StoreModel.JobRow;
import org.astershift.simulation.StoreModel.MachineRow;
import org.astershift.simulation.StoreModel.Outcome;
import org.astershift.simulation.StoreModel.Row;
import org.astershift.simulation.StoreModel.Write;
import org.astershift.store.StoreClient;

/**
 * A controller: the program's own decisions ({@link Election}, {@link Candidacy}, {@link
 * WorkerReachability}, {@link Scheduler}), carried out over the world's links as the loops of the
 * program do. It may stand still while its clock runs on, or crash and start anew.
 */
final class ControllerModel extends ProcessModel {
  private static final long CLOUD_MS = 5000;
  private static final long POLL_MS = 60;

  /** Until then no answer to a report gets away, though orders to workers go out. */
  private long mutedUntilMs;

  /** Until then workers' reports are not even read. */
  private long fullUntilMs;

  // What a process knows; gone when it crashes.
  private Election election;
  private Candidacy candidacy;
  private WorkerReachability reach;
  private Map<String, Row> mirror;
  private long mirrored;
  private String toldLeader;
  private Term term;
  private long restMark;

  /** The last round of the election is over, and the next waits for its time or for the key. */
  private boolean resting;

  /** Reports that it answered while another may have led. */
  private int answeredInDoubt;

  /** Starts left out of orders since their jobs are over, or another might lead. */
  private int withheld;

  /** Ends of jobs that this process knows. */
  private Map<String, EndRow> ended;

  /** Questions about jobs that are under way: to the leader, and to the state service. */
  private Map<String, Round> elsewhere;

  private Map<String, Round> reads;

  /** One time in office. */
  private static final class Term {
    final long token;
    final long beganMs;
    final Scheduler scheduler;
    final TermJobs ledger;
    final Map<String, BitSet> progress = new HashMap<>();

    /** What this leader wants on record, by key. */
    final Map<String, Note> notes = new HashMap<>();

    /** Machines that this leader has put on record. */
    final Set<String> noted = new HashSet<>();

    /** Completed jobs whose end is not on record yet, and whether a write of some is under way. */
    final List<String> ends = new ArrayList<>();

    boolean endsBusy;
    boolean stirred;
    int rentals;
    boolean acted;
    long dueMs = Long.MAX_VALUE;

    Term(long token, long beganMs, Scheduler scheduler) {
      this.token = token;
      this.ledger = new TermJobs(token);
      this.beganMs = beganMs;
      this.scheduler = scheduler;
    }
  }

  /**
   * What a leader writes down for its successor under one key, as the program does with its pages:
   * each write is conditional on the revision known here, so that an earlier try which is applied
   * late does not bring back what has changed since.
   */
  private static final class Note {
    Object value;
    long revision;
    boolean busy;
    boolean dirty;
    Runnable durable;
  }

  ControllerModel(Simulation world, String name) {
    super(world, name);
  }

  // ---- the process ----

  void start() {
    begin();
    candidacy = new Candidacy();
    election = new Election(name, candidacy);
    reach = new WorkerReachability();
    mirror = new TreeMap<>();
    mirrored = -1;
    toldLeader = null;
    term = null;
    ended = new HashMap<>();
    elsewhere = new HashMap<>();
    reads = new HashMap<>();
    poll();
    elect();
    every(LoopTiming.REACHABILITY_SAMPLE_INTERVAL_MS, this::sample);
    every(LoopTiming.REACHABILITY_QUERY_INTERVAL_MS, this::lookAround);
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

  /** There are places for all again. */
  void hasPlaces() {
    mutedUntilMs = 0;
    fullUntilMs = 0;
  }

  private boolean has(Mutation m) {
    return world.mutants.contains(m);
  }

  // ---- the mirror ----

  private void poll() {
    long from = mirrored;
    // A watch that hangs is given up late, and the mirror lags that long.
    state(
        mirrored < 0 ? STORE_MS : STORE_MS + world.random.nextLong(StoreClient.WATCH_BLOCK_MS),
        () -> new Object[] {world.store.since(name, from), world.store.revision()},
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
              if (row.value() instanceof JobRow job) {
                learnt(job, row.revision());
              }
            }
            mirrored = Math.max(mirrored, upTo);
            if (key && resting) {
              rest(0); // one round at a time, as in the program
            }
          }
          later(got == null ? Threads.RETRY_BACKOFF_MS : POLL_MS, this::poll);
        });
  }

  // ---- leadership ----

  private Election.View view() {
    Row row = mirror.get(StoreModel.LEADER);
    Election.Holder holder =
        row == null ? null : new Election.Holder((String) row.value(), row.revision());
    return new Election.View(
        clock(), mirrored >= 0, holder, reach.measurement(clock()), clock() - servedMs());
  }

  private void rest(long ms) {
    resting = true;
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
    resting = false;
    restMark++;
    Action act = election.next(view());
    long restMs =
        election.token() == 0
            ? LoopTiming.ELECTION_POLL_INTERVAL_MS
            : LoopTiming.LEADER_LEASE_RENEW_INTERVAL_MS;
    if (act instanceof Action.ReadKey) {
      state(() -> world.store.revision(), r -> rest(r == null ? Threads.RETRY_BACKOFF_MS : 0));
    } else if (act instanceof Action.RemoveStaleKey r) {
      commit(
          Map.of(StoreModel.LEADER, r.revision()),
          List.of(new Write(StoreModel.LEADER, null, 0)),
          o -> rest(restMs));
    } else if (act instanceof Action.GrantLease g) {
      state(
          () -> world.store.grant(g.ttlMs()),
          lease -> {
            if (lease != null) {
              election.onLeaseGranted(lease);
            }
            rest(lease == null ? Threads.RETRY_BACKOFF_MS : 0);
          });
    } else if (act instanceof Action.CreateKey c) {
      world.lateReports.at(DelayedHeartbeats.Moment.STANDS, this);
      commit(
          Map.of(StoreModel.LEADER, 0L),
          List.of(new Write(StoreModel.LEADER, name, c.lease())),
          o -> {
            election.onKeyCreation(
                o == null
                    ? Election.KeyCreation.UNKNOWN
                    : o.revision() > 0
                        ? Election.KeyCreation.CREATED
                        : Election.KeyCreation.REJECTED,
                o == null ? 0 : o.revision());
            if (o != null && o.revision() > 0) {
              world.lateReports.at(DelayedHeartbeats.Moment.WINS, this);
            }
            rest(0);
          });
    } else if (act instanceof Action.VerifyKey v) {
      state(
          () -> {
            StoreModel.Row row =
                world.store.renew(v.lease()) ? world.store.get(StoreModel.LEADER) : null;
            return row != null && row.lease() == v.lease() ? row.revision() : 0L;
          },
          revision -> {
            election.onKeyVerified(revision == null ? 0 : revision);
            rest(0);
          });
    } else if (act instanceof Action.CatchUp c) {
      catchUp(c.revision(), clock() + Election.LEADER_LEASE_MS);
    } else if (act instanceof Action.BeginTerm b) {
      begin(b.token());
      rest(restMs);
    } else if (act instanceof Action.RenewLease r) {
      state(
          () -> world.store.renew(r.lease()),
          ok -> {
            election.onLeaseRenewed(ok);
            rest(ok == null ? Threads.RETRY_BACKOFF_MS : election.token() == 0 ? 0 : restMs);
          });
    } else {
      ended(List.of(act));
      rest(restMs);
    }
  }

  private void catchUp(long revision, long untilMs) {
    world.lateReports.at(DelayedHeartbeats.Moment.CATCHES_UP, this);
    boolean done = mirrored >= revision || has(Mutation.NO_CATCHING_UP);
    if (done || clock() > untilMs) {
      election.onCaughtUp(revision, done);
      rest(0);
    } else {
      later(POLL_MS / 2, () -> catchUp(revision, untilMs));
    }
  }

  private void ended(List<Action> acts) {
    for (Action act : acts) {
      if (act instanceof Action.EndTerm e) {
        if (term != null && term.token == e.token()) {
          world.note(name, "leads no longer (token " + e.token() + "): " + e.reason());
          term = null;
        }
      } else if (act instanceof Action.RevokeLease r) {
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
              if (!((MachineRow) row).machine().newlyProvisioned()) {
                roster.add(machine);
              }
            });
    int asked = Math.min(LoopTiming.REACHABILITY_SAMPLE_MACHINES, roster.size());
    long atMs = clock();
    int[] answers = new int[2];
    for (int i = 0; i < asked; i++) {
      String machine = roster.remove(world.random.nextInt(roster.size()));
      show(
          machine,
          Scheduler.MACHINE_PROBE_TIMEOUT_MS,
          yes -> {
            answers[0]++;
            answers[1] += yes ? 1 : 0;
            if (answers[0] == asked) {
              reach.onSample(asked, answers[1], atMs);
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
          if (w != null) {
            w.serve(() -> answer.accept(true));
          }
        },
        (Boolean yes) -> done.accept(yes != null));
  }

  /** What each of the others answers; those that do not are left out. */
  private <A> void others(
      java.util.function.BiConsumer<ControllerModel, Consumer<A>> question,
      long timeoutMs,
      Consumer<Map<String, A>> done) {
    Map<String, A> out = new LinkedHashMap<>();
    int[] left = {world.nodes.size() - 1};
    for (ControllerModel other : world.nodes) {
      if (other != this) {
        call(
            other.name,
            timeoutMs,
            answer -> {
              int of = other.incarnation();
              if (!other.crashed()) {
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
          (ControllerModel other, Consumer<Row> answer) -> {
            if (!other.lost()) {
              answer.accept(
                  other.mirror.getOrDefault(
                      StoreModel.LEADER, new Row(StoreModel.LEADER, "", 0, 0)));
            }
          },
          LoopTiming.REACHABILITY_QUERY_TIMEOUT_MS,
          this::told);
      return;
    }
    toldLeader = null;
    Term t = term;
    if (t == null || !t.scheduler.isolated() || has(Mutation.NO_HANDING_OVER)) {
      return;
    }
    others(
        (ControllerModel other, Consumer<Candidacy.PeerStatus> answer) ->
            answer.accept(
                new Candidacy.PeerStatus(
                    other.name, !other.lost(), other.reach.measurement(other.clock()))),
        LoopTiming.REACHABILITY_QUERY_TIMEOUT_MS,
        told -> handOver(t, new ArrayList<>(told.values())));
  }

  private void told(Map<String, Row> told) {
    for (Row row : told.values()) {
      if (!"".equals(row.value())) {
        toldLeader = (String) row.value();
        WorkerReachability.Measurement own = reach.measurement(clock());
        others(
            (ControllerModel other, Consumer<WorkerReachability.Measurement> answer) -> {
              if (other.name.equals(row.value())) {
                answer.accept(other.reach.measurement(other.clock()));
              }
            },
            LoopTiming.REACHABILITY_QUERY_TIMEOUT_MS,
            (Map<String, WorkerReachability.Measurement> seen) -> {
              boolean deaf =
                  seen.values().stream().anyMatch(WorkerReachability.Measurement::reachesFew);
              if (!(term != null && own.reachesEnough() && deaf)) {
                ended(election.onLeaderObserved(row.revision()));
              }
            });
        return;
      }
    }
  }

  private void handOver(Term t, List<Candidacy.PeerStatus> told) {
    if (t != term) {
      return;
    }
    Candidacy.LeadershipTransfer wish =
        candidacy.handOverTarget(
            t.scheduler.observedShare(), told, world.nodes.size() - 1, t.beganMs, clock());
    if (wish == null) {
      return;
    }
    others(
        (ControllerModel other, Consumer<Boolean> answer) -> {
          if (wish.successor() != null && !wish.successor().equals(other.name)) {
            other.candidacy.deferToSuccessor(other.clock());
          }
          answer.accept(true);
        },
        LoopTiming.REACHABILITY_QUERY_TIMEOUT_MS,
        ok -> ended(election.resign(t.token, "hands over to " + wish.successor(), clock())));
  }

  // ---- the term ----

  private void begin(long token) {
    if (election.token() != token) {
      return;
    }
    DeploymentLimits facts =
        new DeploymentLimits(
            world.teams(),
            world.objectives,
            world.setup.reportMs() / 1000.0,
            world.setup.leaseMs() / 1000.0,
            GangModel.WAIT_MS / 1000.0,
            GangModel.PEER_MS / 1000.0,
            InvariantChecker.CANCEL_MS / 1000.0,
            3);
    // Machines are never given back as idle here, so that each return is for silence.
    SchedulingPolicy policy = new SchedulingPolicy(2500, 0.9, 64, 5, 1e6);
    Term t = new Term(token, clock(), new Scheduler(facts, policy, token));
    t.scheduler.updateMachineTypes(world.cloud.types());
    StoreModel.below(mirror, "m/")
        .forEach(
            (machine, row) -> {
              Decision.RegisterMachine e = ((MachineRow) row).machine();
              if (has(Mutation.NO_ROSTER)) {
                return;
              }
              if (e.newlyProvisioned()) {
                t.scheduler.onMachinesProvisioned(
                    "",
                    List.of(machine),
                    new Decision.ProvisionMachines(e.typeName(), e.zone(), e.spot(), 1),
                    clock());
              } else {
                t.scheduler.addInheritedMachine(
                    machine, e.address(), e.typeName(), e.zone(), e.spot(), clock());
              }
            });
    term = t;
    mirror.forEach(
        (key, row) -> {
          Note note = new Note();
          note.value = row.value();
          note.revision = row.revision();
          t.notes.put(key, note);
          if (key.startsWith("j/")) {
            add(t, (JobRow) row.value(), row.revision());
          }
        });
    if (!has(Mutation.LATE_NEWS_OF_JOBS)) {
      t.ledger.onLoaded();
    }
    StoreModel.below(mirror, "i/")
        .forEach((request, r) -> rent(t, request, (Decision.ProvisionMachines) r));
    world.checker.leads(name, token);
    world.lateReports.at(DelayedHeartbeats.Moment.BEGINS, this);
    pass(t);
    list(t);
    save(t);
  }

  /** A live job was read, maybe some time ago. */
  private void learnt(JobRow job, long revision) {
    if (term != null && !ended.containsKey(job.spec().id())) {
      add(term, job, revision);
    }
  }

  private void add(Term t, JobRow job, long revision) {
    if (t.ledger.adopt(job.spec().id(), revision)) {
      Row done = mirror.get("p/" + job.spec().id());
      BitSet bits = StoreModel.bits(done == null ? null : done.value());
      boolean opened = mirror.containsKey("o/" + job.spec().id());
      t.scheduler.addJob(job.spec(), opened, bits, clock());
    }
  }

  private void pass(Term t) {
    if (t != term) {
      return;
    }
    decide(t);
    t.dueMs = clock() + LoopTiming.PASS_INTERVAL_MS;
    later(LoopTiming.PASS_INTERVAL_MS, () -> pass(t));
  }

  /** As in the program, whatever brought the pass about: it may come after a standstill. */
  private void decide(Term t) {
    if (clock() - t.dueMs > LoopTiming.PROCESS_PAUSE_MS) {
      t.scheduler.onProcessResumed(clock());
    }
    long soleMs =
        has(Mutation.LEASES_PROVE_IN_DOUBT) ? Long.MAX_VALUE : election.leaseCertainUntilMs();
    List<Decision> decisions = t.scheduler.pass(clock(), soleMs);
    world.digest.pass(world.now(), name, decisions);
    for (Decision d : decisions) {
      carryOut(t, d);
    }
  }

  /** A user's wish is not left to the next pass. */
  private void stir(Term t) {
    if (!t.stirred) {
      t.stirred = true;
      later(
          LoopTiming.PASS_MIN_GAP_MS,
          () -> {
            t.stirred = false;
            if (t == term) {
              decide(t);
            }
          });
    }
  }

  private void carryOut(Term t, Decision d) {
    if (!t.acted && !(d instanceof Decision.ProbeThroughPeers)) {
      t.acted = true;
      world.lateReports.at(DelayedHeartbeats.Moment.ACTED, this);
    }
    if (d instanceof Decision.SendCommands o) {
      direct(t, o);
    } else if (d instanceof Decision.OpenJob o) {
      boolean early = has(Mutation.STARTS_BEFORE_OPENED);
      if (early) {
        t.scheduler.onJobOpened(o.jobId());
      }
      note(
          t,
          "o/" + o.jobId(),
          true,
          () -> {
            if (!early && t.ledger.manages(o.jobId())) {
              t.scheduler.onJobOpened(o.jobId());
            }
          });
    } else if (d instanceof Decision.FinishJob f) {
      t.ends.add(f.jobId());
      writeEnds(t);
    } else if (d instanceof Decision.RegisterMachine e) {
      t.noted.add(e.machineName());
      if (has(Mutation.TASKS_BEFORE_THE_RECORD)) {
        t.scheduler.onMachineRegistered(e.machineName());
      }
      note(
          t,
          "m/" + e.machineName(),
          new MachineRow(e),
          () -> t.scheduler.onMachineRegistered(e.machineName()));
    } else if (d instanceof Decision.DeregisterMachine s) {
      note(t, "m/" + s.machineName(), null, () -> {});
    } else if (d instanceof Decision.ProvisionMachines r) {
      String request = "as-" + t.token + "-" + ++t.rentals;
      t.scheduler.onProvisioningStarted(request, r);
      note(t, "i/" + request, r, () -> rent(t, request, r));
    } else if (d instanceof Decision.ReleaseMachines r) {
      giveBack(t, r);
    } else if (d instanceof Decision.ProbeThroughPeers w) {
      others(
          (ControllerModel other, Consumer<Decision.PeerProbeResult> answer) ->
              other.witness(w, answer),
          PeerClient.PEER_TIMEOUT_MS,
          (Map<String, Decision.PeerProbeResult> told) -> {
            if (t == term) {
              t.scheduler.onPeerProbeResults(w, new ArrayList<>(told.values()));
            }
          });
    }
  }

  private void witness(Decision.ProbeThroughPeers w, Consumer<Decision.PeerProbeResult> answer) {
    List<Decision.MachineAddress> all = new ArrayList<>(w.suspects());
    all.addAll(w.controls());
    Set<String> yes = new HashSet<>();
    Set<String> no = new HashSet<>();
    for (Decision.MachineAddress m : all) {
      show(
          m.address(),
          Scheduler.PEER_PROBE_TIMEOUT_MS,
          answers -> {
            boolean control = w.controls().contains(m);
            boolean said = has(Mutation.DEAF_WITNESSES) ? control : answers;
            (said ? yes : no).add(m.machineName());
            if (yes.size() + no.size() == all.size()) {
              answer.accept(new Decision.PeerProbeResult(yes, no));
            }
          });
    }
  }

  private void direct(Term t, Decision.SendCommands d) {
    if (!world.connections) {
      order(t, d, d.commands(), null, d.timeoutMs());
      return;
    }
    long untilMs = clock() + d.timeoutMs();
    connect(
        d.address(),
        d.timeoutMs(),
        life -> {
          if (life == null && t == term) {
            t.scheduler.onCommandResult(d.machineName(), false, null, clock());
          } else if (life != null) {
            boolean sole =
                election.leaseCertain(t.token, clock()) || has(Mutation.STARTS_WHOEVER_LEADS);
            List<Command> orders = t.scheduler.commandsStillWanted(d, sole);
            withheld += d.commands().size() - orders.size();
            order(t, d, orders, life, Math.max(1, untilMs - clock()));
          }
        });
  }

  /**
   * A connection to a life of the machine; null: none came about in time. One that came about while
   * this node stood still it finds as it goes on, whatever the time.
   */
  private void connect(String machine, long timeoutMs, Consumer<Integer> done) {
    int of = incarnation();
    Integer[] life = new Integer[1];
    boolean[] over = new boolean[1];
    Runnable look =
        () ->
            here(
                of,
                () -> {
                  if (!over[0]) {
                    over[0] = true;
                    done.accept(life[0]);
                  }
                });
    world.send(
        name,
        machine,
        () -> {
          WorkerModel w = world.workers.get(machine);
          if (w != null && w.alive()) {
            int accepted = w.life();
            world.send(
                machine,
                name,
                () -> {
                  life[0] = accepted;
                  look.run();
                });
          }
        });
    world.after(timeoutMs, look);
  }

  /** {@code life}: the only one that may get it; null: whichever is there. */
  private void order(
      Term t, Decision.SendCommands d, List<Command> wanted, Integer life, long timeoutMs) {
    List<Command> orders = said(t, wanted);
    call(
        d.address(),
        timeoutMs,
        answer -> {
          WorkerModel w = world.workers.get(d.machineName());
          if (w != null && (life == null || life == w.life())) {
            w.serve(() -> answer.accept(w.orders(t.token, d.epoch(), orders)));
          }
        },
        (WorkerModel.Executed e) -> {
          if (t != term) {
            return;
          }
          Heartbeat r = e == null ? null : e.report();
          judged(t).onCommandResult(d.machineName(), e == null, r, clock());
          if (r != null && has(Mutation.ANSWERS_RENEW_LEASES)) {
            t.scheduler.onHeartbeat(r, clock());
          }
          deposed(t, d.machineName());
        });
  }

  private List<Command> said(Term t, List<Command> orders) {
    boolean silent =
        has(Mutation.IN_DOUBT_STOPS_NOTHING) && !election.leaseCertain(t.token, clock());
    boolean over = has(Mutation.WHAT_IS_OVER_GOES_ON);
    return orders.stream()
        .filter(
            o ->
                o.kind() != Command.Kind.STOP
                    || !(silent || (over && !t.ledger.manages(o.jobId()))))
        .toList();
  }

  /** The scheduler, told up to when no other node can lead. */
  private Scheduler judged(Term t) {
    boolean unproven = has(Mutation.USES_UNPROVEN_INCARNATIONS);
    t.scheduler.extendLeaseCertainty(unproven ? Long.MAX_VALUE : election.leaseCertainUntilMs());
    return t.scheduler;
  }

  private void deposed(Term t, String machine) {
    if (t.scheduler.deposed()) {
      ended(election.stepDown(t.token, machine + " has seen a higher token"));
    }
  }

  /**
   * A copy of an old report; a leader that takes copies for news believes it as it believes the
   * answer to a question, whatever else speaks against it.
   */
  void copy(Heartbeat r) {
    if (!has(Mutation.COPIES_ARE_NEWS)) {
      report(r, a -> {});
      return;
    }
    here(
        incarnation(),
        () -> {
          if (!crashed() && term != null) {
            judged(term).onCommandResult(r.machineName(), false, r, clock());
          }
        });
  }

  /** A worker's report. */
  void report(Heartbeat r, Consumer<WorkerModel.Answer> answer) {
    boolean full = world.now() < fullUntilMs;
    if (crashed() || (full && world.now() >= mutedUntilMs)) {
      return;
    }
    here(
        incarnation(),
        () -> {
          Term t = term;
          if (t != null) {
            List<Command> orders = judged(t).onHeartbeat(r, clock());
            deposed(t, r.machineName());
            if (t == term && full) {
              return;
            }
            if (t == term) {
              boolean ok = orders != null;
              answeredInDoubt += election.leaseCertain(t.token, clock()) ? 0 : 1;
              answer.accept(new WorkerModel.Answer(ok, t.token, ok ? said(t, orders) : null, null));
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

  private void rent(Term t, String request, Decision.ProvisionMachines r) {
    call(
        "cloud",
        CLOUD_MS,
        (Consumer<List<String>> answer) -> world.cloud.rent(request, r, answer),
        (List<String> names) -> {
          if (t != term) {
            return;
          }
          if (names == null) {
            later(LoopTiming.CLOUD_RETRY_BACKOFF_MS, () -> rent(t, request, r));
            return;
          }
          int[] left = {1};
          Runnable noted =
              () -> {
                left[0]--;
                if (left[0] == 0) {
                  note(t, "i/" + request, null, () -> {}); // not before its machines are noted
                }
              };
          for (String m : names) {
            if (!t.noted.add(m) || mirror.containsKey("m/" + m)) {
              continue; // it may have tasks already, and is no longer fresh
            }
            left[0]++;
            Decision.RegisterMachine e =
                new Decision.RegisterMachine(m, null, r.typeName(), r.zone(), r.spot(), true);
            note(t, "m/" + m, new MachineRow(e), noted);
          }
          t.scheduler.onMachinesProvisioned(request, names, r, clock());
          noted.run();
        });
  }

  private void giveBack(Term t, Decision.ReleaseMachines r) {
    if (r.silent()) {
      world.checker.givesUp(this, r.machineNames());
    }
    call(
        "cloud",
        CLOUD_MS,
        answer -> {
          world.cloud.giveBack(r.machineNames(), r.silent());
          answer.accept(true);
        },
        (Boolean ok) -> {
          if (t == term && ok != null) {
            t.scheduler.onMachinesReleased(r.machineNames(), clock());
          } else if (t == term) {
            later(
                LoopTiming.CLOUD_RETRY_BACKOFF_MS,
                () -> t.scheduler.onReleaseFailed(r.machineNames()));
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
        (List<Scheduler.ListedMachine> listed) -> {
          if (t == term && listed != null) {
            t.scheduler.onMachineList(listed, asked, clock());
          }
          later(LoopTiming.MACHINE_LIST_INTERVAL_MS, () -> list(t));
        });
  }

  private void save(Term t) {
    if (t != term) {
      return;
    }
    t.scheduler
        .drainUnpersistedProgress()
        .forEach(
            (job, done) ->
                note(t, "p/" + job, done, () -> t.scheduler.onProgressPersisted(job, done)));
    later(LoopTiming.PROGRESS_SAVE_INTERVAL_MS, () -> save(t));
  }

  // ---- writes, each conditional on the leader's key ----

  private Map<String, Long> fenced(Term t) {
    Map<String, Long> when = new HashMap<>();
    if (!has(Mutation.WRITES_WITHOUT_THE_KEY)) {
      when.put(StoreModel.LEADER, t.token);
    }
    return when;
  }

  /** The key should hold this, or nothing; {@code durable}: what waits for that. */
  private void note(Term t, String key, Object value, Runnable durable) {
    Note n = t.notes.computeIfAbsent(key, k -> new Note());
    n.value = value;
    n.durable = durable;
    n.dirty = true;
    push(t, key, n);
  }

  private void push(Term t, String key, Note n) {
    if (n.busy || !n.dirty || t != term) {
      return;
    }
    n.busy = true;
    n.dirty = false;
    Object value = n.value;
    Runnable durable = n.durable;
    Map<String, Long> when = fenced(t);
    if (!has(Mutation.NOTES_WITHOUT_REVISIONS)) {
      when.put(key, n.revision);
    }
    commit(
        when,
        List.of(new Write(key, value, 0)),
        o -> {
          if (world.slowRecordsMs > 0) {
            later(world.slowRecordsMs, () -> written(t, key, n, value, durable, o));
          } else {
            written(t, key, n, value, durable, o);
          }
        });
  }

  private void written(Term t, String key, Note n, Object value, Runnable durable, Outcome o) {
    if (t != term) {
      return;
    }
    n.busy = false;
    if (o != null && o.revision() > 0) {
      n.revision = value == null ? 0 : o.revision();
      durable.run();
      push(t, key, n);
    } else if (o != null && o.failed().contains(StoreModel.LEADER)) {
      ended(election.stepDown(t.token, "a write found another leader"));
    } else {
      n.dirty = true;
      later(Threads.RETRY_BACKOFF_MS, () -> reread(t, key, n, o));
    }
  }

  /** An earlier try without an answer was applied after all: its revision is news. */
  private void reread(Term t, String key, Note n, Outcome o) {
    if (o == null || !o.failed().contains(key)) {
      push(t, key, n);
      return;
    }
    state(
        () -> new Row[] {world.store.get(key)},
        (Row[] found) -> {
          if (found != null) {
            n.revision = found[0] == null ? 0 : found[0].revision();
          }
          push(t, key, n);
        });
  }

  /** {@code done} gets null where nothing is known of the effect. */
  private void commit(Map<String, Long> when, List<Write> writes, Consumer<Outcome> done) {
    double drawn = world.random.nextDouble();
    boolean late = drawn < world.store.lateShare;
    boolean unheard = !late && drawn < world.store.lateShare + world.store.unheardShare;
    call(
        "state",
        STORE_MS,
        answer -> {
          if (world.store.isDown() || world.store.refuses(name)) {
            answer.accept(StoreModel.REFUSED);
          } else if (late) {
            world.store.commitLate(name, when, writes);
          } else {
            Outcome o = world.store.commit(name, when, writes);
            if (unheard) {
              world.store.unheard(name, writes, o);
              return;
            }
            world.after(slow(), () -> answer.accept(o));
          }
        },
        (Outcome o) -> {
          if (o != null && o != StoreModel.REFUSED) {
            served();
          }
          done.accept(o);
        });
  }

  // ---- users ----

  /** As the program's desk accepts: durable before it is told, read back where that is unknown. */
  void submit(JobSpec spec, Consumer<String> answer) {
    here(
        incarnation(),
        () -> {
          EndRow end = ended.get(spec.id());
          if (crashed() || end != null || lost()) {
            answer.accept(crashed() || end == null ? "503" : phase(end));
            return;
          }
          JobRow job = new JobRow(spec, world.now());
          Write row = new Write("j/" + spec.id(), job, 0);
          commit(
              Map.of("j/" + spec.id(), 0L, "d/" + spec.id(), 0L),
              List.of(row),
              o -> {
                if (o == StoreModel.REFUSED) {
                  answer.accept("503");
                } else if (o != null && o.revision() > 0) {
                  desk(
                      () -> {
                        learnt(job, o.revision());
                        answer.accept("queued");
                      });
                } else {
                  ask(spec.id(), true, said -> answer.accept(said.equals("404") ? "503" : said));
                }
              });
        });
  }

  private static String phase(EndRow end) {
    return end.cancelled() ? "withdrawn" : "done";
  }

  /** A user wants the job cancelled: what to do next is the program's decision. */
  void cancel(String job, boolean forward, Consumer<String> answer) {
    here(
        incarnation(),
        () -> {
          if (!crashed()) {
            long untilMs = clock() + LoopTiming.CANCEL_WAIT_MS;
            cancelOn(new Wish(job, term, forward, untilMs, answer), false);
          }
        });
  }

  private record Wish(
      String job, Term term, boolean forward, long untilMs, Consumer<String> answer) {}

  private void cancelOn(Wish w, boolean read) {
    Term t = w.term();
    boolean kept = t != null && t.ledger.manages(w.job());
    Scheduler.JobProgress view = kept ? t.scheduler.progress(w.job()) : null;
    boolean unheard = has(Mutation.CANCELS_UNHEARD);
    Cancellation.Action act =
        Cancellation.next(
            new Cancellation.View(
                ended.containsKey(w.job()),
                w.forward(),
                t != null,
                t != null && t == term && election.leaseCertain(t.token, clock()),
                kept,
                read,
                kept && (unheard || t.scheduler.canConfirmCancellation(w.job())),
                kept && !has(Mutation.CONFIRMS_WHILE_STARTING) && t.scheduler.mayStart(w.job()),
                view != null && view.complete(),
                clock() >= w.untilMs()));
    if (act.needsTerm()) {
      t.scheduler.requestCancellation(w.job());
      stir(t);
    }
    if (act == Cancellation.Action.WRITE_CANCELLED && has(Mutation.CANCELS_UNWRITTEN)) {
      w.answer().accept("withdrawn");
    }
    switch (act) {
      case REPLY_WITH_END -> w.answer().accept(phase(ended.get(w.job())));
      case FORWARD -> forward(w);
      case READ_STORE ->
          read(
              w.job(),
              said -> {
                if (said.equals("queued")) {
                  cancelOn(w, true);
                } else {
                  w.answer().accept(said);
                }
              });
      case WRITE_CANCELLED, WRITE_DONE ->
          finish(
              t,
              w.job(),
              act == Cancellation.Action.WRITE_CANCELLED,
              end -> {
                if (end != null) {
                  w.answer().accept(phase(end));
                } else {
                  later(LoopTiming.CANCEL_POLL_INTERVAL_MS, () -> cancelOn(w, read));
                }
              });
      case WAIT -> later(LoopTiming.CANCEL_POLL_INTERVAL_MS, () -> cancelOn(w, read));
      default -> w.answer().accept("503");
    }
  }

  private void forward(Wish w) {
    ControllerModel other = otherLeader();
    if (other == null) {
      w.answer().accept("503");
      return;
    }
    call(
        other.name,
        PeerClient.PEER_TIMEOUT_MS,
        (Consumer<String> a) -> other.cancel(w.job(), false, a),
        (String said) -> {
          String known = said == null ? "503" : said;
          remember(w.job(), known);
          w.answer().accept(known);
        });
  }

  /** The other controller that leads, as far as known here; null: none, or this one. */
  private ControllerModel otherLeader() {
    Row row = mirror.get(StoreModel.LEADER);
    String leader = toldLeader != null || row == null ? toldLeader : (String) row.value();
    return leader == null || leader.equals(name)
        ? null
        : world.nodes.stream().filter(n -> n.name.equals(leader)).findFirst().orElseThrow();
  }

  /**
   * Makes a job's end durable before anybody is told of it; null if that is not certain yet. Done
   * and cancelled exclude each other: the first that is on record stays.
   */
  private void finish(Term t, String job, boolean cancelled, Consumer<EndRow> then) {
    if (!t.ledger.manages(job)) {
      then.accept(ended.get(job));
      return;
    }
    Scheduler.JobProgress view = t.scheduler.progress(job);
    EndRow end = new EndRow(cancelled, view.doneTasks());
    t.ledger.onEndWriteStarted(job);
    Map<String, Long> when = fenced(t);
    if (!has(Mutation.ENDS_REPLACE_ENDS)) {
      when.put("d/" + job, 0L);
    }
    commit(
        when,
        List.of(new Write("j/" + job, null, 0), new Write("d/" + job, end, 0)),
        o -> {
          if (o != null && o.revision() > 0) {
            over(t, job, end); // on record, whoever leads by now
            then.accept(end);
          } else if (o == null) {
            then.accept(null);
          } else {
            t.ledger.onEndWriteRejected(job);
            if (o.failed().contains(StoreModel.LEADER)) {
              ended(election.stepDown(t.token, "a write found another leader"));
              then.accept(null);
            } else if (o == StoreModel.REFUSED) {
              then.accept(null);
            } else {
              endOnRecord(t, job, then);
            }
          }
        });
  }

  /** Writes the ends of completed jobs, as many in a transaction as it may have. */
  private void writeEnds(Term t) {
    if (t.endsBusy || t.ends.isEmpty() || t != term) {
      return;
    }
    List<String> some =
        t.ends.subList(0, Math.min(LoopTiming.COMPLETION_BATCH_JOBS, t.ends.size()));
    List<String> jobs = some.stream().filter(t.ledger::manages).toList();
    some.clear();
    if (jobs.isEmpty()) {
      writeEnds(t);
      return;
    }
    t.endsBusy = true;
    Map<String, EndRow> ends = new LinkedHashMap<>();
    Map<String, Long> when = fenced(t);
    List<Write> writes = new ArrayList<>();
    for (String job : jobs) {
      EndRow end = new EndRow(false, t.scheduler.progress(job).doneTasks());
      ends.put(job, end);
      if (!has(Mutation.ENDS_REPLACE_ENDS)) {
        when.put("d/" + job, 0L);
      }
      writes.add(new Write("j/" + job, null, 0));
      writes.add(new Write("d/" + job, end, 0));
      t.ledger.onEndWriteStarted(job);
    }
    commit(
        when,
        writes,
        o -> {
          t.endsBusy = false;
          if (o != null && o.revision() > 0) {
            ends.forEach((job, end) -> over(t, job, end));
          } else if (o == null || o == StoreModel.REFUSED) {
            jobs.forEach(o == null ? job -> {} : t.ledger::onEndWriteRejected);
            jobs.forEach(job -> endAgain(t, job));
          } else if (o.failed().contains(StoreModel.LEADER)) {
            ended(election.stepDown(t.token, "a write found another leader"));
          } else {
            // One of them was cancelled meanwhile, or an earlier try without an answer applied.
            jobs.forEach(t.ledger::onEndWriteRejected);
            for (String job : jobs) {
              finish(t, job, false, end -> endAgain(end == null ? t : null, job));
            }
          }
          writeEnds(t);
        });
  }

  private void endAgain(Term t, String job) {
    if (t != null && t == term) {
      later(
          Threads.RETRY_BACKOFF_MS,
          () -> t.scheduler.onDecisionFailed(new Decision.FinishJob(job)));
    }
  }

  private void endOnRecord(Term t, String job, Consumer<EndRow> then) {
    state(
        () -> new Row[] {world.store.get("d/" + job)},
        (Row[] found) -> {
          EndRow end = found == null || found[0] == null ? null : (EndRow) found[0].value();
          if (end != null) {
            over(t, job, end);
          }
          then.accept(end);
        });
  }

  private void over(Term t, String job, EndRow end) {
    ended.put(job, end);
    t.ledger.onEnded(job);
    t.scheduler.onJobEnded(job, end.cancelled(), clock());
    note(t, "o/" + job, null, () -> {});
    note(t, "p/" + job, null, () -> {});
  }

  /**
   * A user's question about a job, in the order in which the program answers it: the leader from
   * memory while it is certainly one, others by asking it, and all else by a read of the state
   * service, the live record first. 503 where none of these says anything.
   */
  void ask(String job, boolean forward, Consumer<String> answer) {
    if (crashed()) {
      return;
    }
    here(
        incarnation(),
        () -> {
          if (has(Mutation.ONE_JOB_IS_FORGOTTEN) && name.equals("n1") && job.equals("wk-7")) {
            answer.accept("503");
            return;
          }
          if (ended.containsKey(job)) {
            answer.accept(phase(ended.get(job)));
            return;
          }
          Term t = term;
          boolean told =
              t != null && (has(Mutation.TOLD_WHILE_ENDING) || !t.ledger.mayHaveEnded(job));
          Scheduler.JobProgress view = told ? t.scheduler.progress(job) : null;
          if (view != null && election.leaseCertain(t.token, clock())) {
            answer.accept(view.running() ? "running" : "queued");
            return;
          }
          if (has(Mutation.TOLD_FROM_THE_MIRROR) && mirror.containsKey("j/" + job)) {
            answer.accept("queued");
            return;
          }
          if (t == null && forward) {
            share(elsewhere, job, answer, this::askLeader);
          } else {
            share(reads, job, answer, this::read);
          }
        });
  }

  private void askLeader(String job, Consumer<String> answer) {
    ControllerModel other = otherLeader();
    if (other == null) {
      read(job, answer);
      return;
    }
    call(
        other.name,
        PeerClient.PEER_TIMEOUT_MS,
        (Consumer<String> a) -> other.ask(job, false, a),
        (String said) -> {
          if (said == null || said.equals("503")) {
            read(job, answer);
          } else {
            remember(job, said);
            answer.accept(said);
          }
        });
  }

  private void remember(String job, String said) {
    if (said.equals("withdrawn") || said.equals("done")) {
      ended.put(job, new EndRow(said.equals("withdrawn"), 0));
    }
  }

  /** Who waits for an answer that others wait for, too. */
  private static final class Round {
    final List<Consumer<String>> working = new ArrayList<>();
    final List<Consumer<String>> next = new ArrayList<>();
  }

  /**
   * As the program's desk lets those share an answer who ask at the same time: who comes while one
   * is worked out shares the next.
   */
  private void share(
      Map<String, Round> rounds,
      String job,
      Consumer<String> answer,
      java.util.function.BiConsumer<String, Consumer<String>> find) {
    Round r = rounds.computeIfAbsent(job, j -> new Round());
    boolean joins = has(Mutation.SHARES_THE_ROUND_IN_WORK) && !r.working.isEmpty();
    (joins ? r.working : r.next).add(answer);
    if (r.working.isEmpty()) {
      nextRound(rounds, job, find);
    }
  }

  private void nextRound(
      Map<String, Round> rounds,
      String job,
      java.util.function.BiConsumer<String, Consumer<String>> find) {
    Round r = rounds.get(job);
    r.working.addAll(r.next);
    r.next.clear();
    find.accept(
        job,
        said -> {
          List<Consumer<String>> told = new ArrayList<>(r.working);
          r.working.clear();
          told.forEach(a -> a.accept(said));
          if (r.working.isEmpty() && !r.next.isEmpty()) {
            nextRound(rounds, job, find);
          }
        });
  }

  /** On a node short of processor time what a thread has read is told late. */
  private void desk(Runnable body) {
    later(world.stuckMs == 0 ? 0 : world.random.nextLong(world.stuckMs), body);
  }

  private void read(String job, Consumer<String> answer) {
    if (lost()) {
      answer.accept("503");
      return;
    }
    state(
        () -> new Row[] {world.store.get(name, "j/" + job)},
        (Row[] live) -> {
          if (live == null) {
            answer.accept("503");
          } else if (live[0] != null) {
            desk(
                () -> {
                  learnt((JobRow) live[0].value(), live[0].revision());
                  answer.accept("queued");
                });
          } else {
            state(
                () -> new Row[] {world.store.get(name, "d/" + job)},
                (Row[] over) -> {
                  if (over == null) {
                    answer.accept("503");
                  } else if (over[0] == null) {
                    answer.accept("404");
                  } else {
                    desk(
                        () -> {
                          ended.put(job, (EndRow) over[0].value());
                          answer.accept(phase((EndRow) over[0].value()));
                        });
                  }
                });
          }
        });
  }

  // ---- for tests ----

  boolean leads() {
    return term != null;
  }

  /** Of its term; 0 if it does not lead. */
  long token() {
    return term == null ? 0 : term.token;
  }

  /** Whether it leads and has not heard all machines of earlier leaders yet. */
  boolean starting() {
    return term != null && term.scheduler.reconciling();
  }

  /** For how long it has led. */
  long ledMs() {
    return term == null ? 0 : clock() - term.beganMs;
  }

  int answeredInDoubt() {
    return answeredInDoubt;
  }

  int withheld() {
    return withheld;
  }

  /** Whether its leader's work includes the job. */
  boolean keeps(String job) {
    return term != null && term.ledger.manages(job);
  }

  /** Tasks of the job that it knows to be done. */
  int done(String job) {
    Scheduler.JobProgress view = term == null ? null : term.scheduler.progress(job);
    return view == null ? 0 : view.doneTasks();
  }

  /** It lets another lead, as a leader does that reaches too few workers. */
  void handOver() {
    if (term != null) {
      ended(election.resign(term.token, "lets another lead", clock()));
    }
  }

  Scheduler scheduler() {
    return term == null ? null : term.scheduler;
  }
}
