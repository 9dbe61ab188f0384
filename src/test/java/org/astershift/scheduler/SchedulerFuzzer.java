package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.astershift.EventDigest;
import org.astershift.SeedArguments;
import org.astershift.config.ClockBounds;
import org.astershift.config.OperatorSettings;
import org.astershift.coordination.Cancellation;
import org.astershift.coordination.TermJobs;

/**
 * Tries to make the deciding core break a rule, one seed at a time: it owns all links and clocks,
 * the state service, the cloud and the workers, which do what the protocol says of them, and does
 * whatever the protocol lets happen. Controllers are here a {@link Scheduler}, a {@link TermJobs}
 * and {@link Cancellation} each; what carries decisions out is the few lines that it takes. Shares
 * nothing with the simulation in {@code world} on purpose: neither its model nor its checker.
 *
 * <p>One thing is left out, known and described in docs/design.md ("A start that no fence stops"):
 * a start that was on its way to a life of a machine does not reach the next life after its leader
 * was succeeded.
 */
final class SchedulerFuzzer {
  private static final long REPORT_MS = 2000;
  private static final long LEASE_MS = 14_000;
  private static final long GANG_WAIT_MS = 30_000;
  private static final long GANG_PEER_MS = 4000;
  private static final long ANSWER_MS = 4000;
  private static final long KEY_MS = 2000;
  private static final long CANCEL_MS = 16_000;
  private static final double LIST_LAG_S = 3;
  private static final int MOST_MACHINES = 14;

  final ReferenceRules rules;
  final Map<String, Integer> happened = new TreeMap<>();
  final Set<String> unfinished = new HashSet<>();

  private final long seed;
  private final Random random;
  private final long troublesMs;
  private final long endMs;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long now;
  private long order;

  private final DeploymentLimits facts;
  private final Map<String, MachineType> types = new LinkedHashMap<>();
  private final Map<String, Team> teams = new LinkedHashMap<>();
  private final List<Controller> controllers = new ArrayList<>();
  private final Map<String, Worker> workers = new TreeMap<>();
  private final Store store = new Store();
  private final Map<String, JobSpec> specs = new LinkedHashMap<>();
  private final Map<String, Long> durations = new HashMap<>();
  private final Set<String> wished = new HashSet<>();
  private final Map<String, Gang> gangs = new HashMap<>();
  private final List<Heartbeat> kept = new ArrayList<>();
  private final List<String> log = new ArrayList<>();
  private final EventDigest digest = new EventDigest();
  private final boolean story;
  private int machineNumber;
  private int jobNumber;
  private boolean outage;
  private boolean cloudAway;

  // How bad each trouble is, drawn for the seed: most seeds have some of them, few have all.
  private final double copies;
  private final double slow;
  private final double cuts;
  private final double deaths;
  private final double anews;
  private final double hangs;
  private final double recalls;
  private final double successions;
  private final double pauses;
  private final double refusals;
  private final double cancels;
  private final double errors;
  private final double lostWrites;

  private record Event(long atMs, long order, Runnable what) implements Comparable<Event> {
    @Override
    public int compareTo(Event o) {
      return atMs != o.atMs ? Long.compare(atMs, o.atMs) : Long.compare(order, o.order);
    }
  }

  SchedulerFuzzer(long seed, boolean story) {
    this.seed = seed;
    this.story = story;
    this.random = new Random(seed * 0x9E3779B97F4A7C15L + 1);
    copies = level(0.3);
    slow = level(0.15);
    cuts = level(0.25);
    deaths = level(0.05);
    anews = level(0.15);
    hangs = level(0.1);
    recalls = level(0.05);
    successions = level(0.12);
    pauses = level(0.1);
    refusals = level(0.1);
    cancels = level(0.4);
    errors = level(0.1);
    lostWrites = level(0.2);
    troublesMs = 30_000 + random.nextInt(60_000);
    endMs = troublesMs + 240_000;
    types.put("p", new MachineType("p", 4, 0, 16, 20, 0.5, 1, 0.3, 8, List.of("a", "b")));
    types.put("g", new MachineType("g", 8, 2, 32, 20, 0.5, 4, 1.2, 8, List.of("a", "b")));
    teams.put("tight", new Team("tight", 2, 4 + random.nextInt(5), 0, 2));
    teams.put("free", new Team("free", 0, 0, 0, 0));
    teams.put("mixed", new Team("mixed", 4, 8 + random.nextInt(8), 0, random.nextInt(2) * 3));
    facts =
        new DeploymentLimits(
            teams,
            List.of(new ServiceLevelObjective("wait", "quick", 4, 0.9, 1)),
            REPORT_MS / 1000.0,
            LEASE_MS / 1000.0,
            GANG_WAIT_MS / 1000.0,
            GANG_PEER_MS / 1000.0,
            CANCEL_MS / 1000.0,
            LIST_LAG_S);
    rules = new ReferenceRules(teams, CANCEL_MS);
  }

  private double level(double most) {
    return random.nextInt(3) == 0 ? 0 : random.nextDouble() * most;
  }

  private boolean chance(double p) {
    return now < troublesMs && random.nextDouble() < p;
  }

  private void after(long ms, Runnable what) {
    events.add(new Event(now + Math.max(0, ms), ++order, what));
  }

  private void did(String what) {
    happened.merge(what, 1, Integer::sum);
  }

  private void note(String what) {
    if (story) {
      log.add(now + " " + what);
    }
  }

  List<String> log() {
    return log;
  }

  /** Of all that happened, once it is played. */
  String digest() {
    digest.endOfPlay(now, order, rules.broken.isEmpty() && unfinished.isEmpty());
    return digest.hex();
  }

  /** Plays the seed; what broke is in the rules, what never ended in {@link #unfinished}. */
  SchedulerFuzzer play() {
    int machines = 3 + random.nextInt(5);
    for (int i = 0; i < machines; i++) {
      String type = i % 2 == 0 || random.nextBoolean() ? "p" : "g";
      create(type, random.nextBoolean() ? "a" : "b", i % 3 == 2, 0);
    }
    begin();
    submitting();
    troubles();
    watching();
    while (!events.isEmpty() && rules.broken.isEmpty()) {
      Event e = events.poll();
      now = e.atMs();
      if (now > endMs) {
        break;
      }
      e.what().run();
    }
    if (rules.broken.isEmpty()) {
      for (String id : specs.keySet()) {
        if (!rules.over(id) && specs.get(id).kind() != JobKind.SERVICE) {
          unfinished.add(id + " " + held(id));
        }
      }
    }
    return this;
  }

  /** What the leader believes of the job's tasks. */
  private String held(String id) {
    Job job = store.holder.scheduler.job(id);
    if (job == null) {
      return "not known";
    }
    StringBuilder sb =
        new StringBuilder("waiting " + job.waitingTasks + " of " + job.spec + ", done ");
    sb.append(job.doneTasks).append(", opened ").append(job.opened);
    for (TaskAttempt run : job.attempts.values()) {
      Machine m = run.machine;
      sb.append("; ").append(run.key).append(" on ").append(m.name).append(' ').append(m.state);
      sb.append(" anew=").append(m.restartedInTerm).append(" claimed=").append(m.fenced);
      sb.append(" phase=").append(run.phase).append(" ordered=").append(run.startSent);
      sb.append(" doubtful=")
          .append(run.startUnconfirmed)
          .append(" stopping=")
          .append(run.stopping);
    }
    for (Machine m : store.holder.scheduler.cluster().allMachines()) {
      sb.append("; ").append(m.name).append(' ').append(m.typeName).append(m.zone).append(m.state);
      sb.append(" anew=").append(m.restartedInTerm).append(" enrolled=").append(m.registered);
      sb.append(" usable=")
          .append(m.usable(store.holder.clock()))
          .append(" deaf=")
          .append(m.inboundPartitioned());
      sb.append(" condemned=").append(m.quarantined).append(" hearsay=").append(m.unverified);
      sb.append(" notice=")
          .append(m.preemptionNoticeS)
          .append(" holds ")
          .append(m.attempts.keySet());
    }
    return sb.toString();
  }

  // ---- users ----

  private void submitting() {
    if (now >= troublesMs) {
      return;
    }
    submit();
    after(random.nextInt(4000), this::submitting);
  }

  private void submit() {
    String id = String.format("wk-%06d", ++jobNumber);
    int kindOf = random.nextInt(10);
    JobKind kind = kindOf < 6 ? JobKind.ARRAY : kindOf < 9 ? JobKind.GANG : JobKind.SERVICE;
    boolean accelerated = random.nextInt(4) == 0;
    int tasks = 1 + random.nextInt(kind == JobKind.ARRAY ? 6 : 3);
    String team = List.of("tight", "tight", "mixed", "free").get(random.nextInt(4));
    double gpus = accelerated ? 1 : 0;
    if (accelerated && team.equals("tight")) {
      tasks = Math.min(2, tasks);
    }
    boolean oneZone = random.nextInt(3) == 0;
    boolean spread = !oneZone && tasks > 1 && random.nextInt(3) == 0;
    boolean saves = random.nextBoolean();
    JobSpec spec =
        new JobSpec(
            id,
            random.nextInt(3) == 0 ? "quick" : "slow",
            team,
            kind,
            Priority.values()[random.nextInt(4)],
            tasks,
            random.nextInt(8) == 0 ? 0 : 0.5 + 0.5 * random.nextInt(3),
            gpus,
            1 + random.nextInt(4),
            "img-" + random.nextInt(4),
            1,
            random.nextInt(4) == 0 ? List.of(accelerated ? "g" : "p") : null,
            random.nextInt(4) == 0 ? "a" : null,
            oneZone,
            spread,
            random.nextBoolean(),
            kind == JobKind.SERVICE ? 0 : 8,
            saves ? 3 : 0,
            saves ? 1 : 0,
            random.nextInt(3) == 0 ? 60.0 : null);
    if (Eligibility.rejectionReason(spec, types.values(), teams.get(team)) != null) {
      jobNumber--;
      return;
    }
    specs.put(id, spec);
    durations.put(id, (long) (500 + random.nextInt(random.nextInt(4) == 0 ? 40_000 : 9000)));
    rules.job(spec);
    long submitted = now;
    store.accept(
        id,
        () -> {
          for (Controller ctl : new ArrayList<>(controllers)) {
            learn(ctl, id, submitted);
          }
        });
    if (chance(cancels)) {
      after(random.nextInt(40_000), () -> wish(id));
    }
    if (kind == JobKind.SERVICE) {
      after(troublesMs - now + random.nextInt(20_000), () -> wish(id));
    }
  }

  /** A controller reads a record, and takes in what it read at once or much later. */
  private void learn(Controller ctl, String id, long submitted) {
    Long revision = store.live.get(id);
    if (revision != null) {
      long ms = chance(0.2) ? random.nextInt(15_000) : random.nextInt(200);
      after(ms, () -> ctl.handle(() -> ctl.take(id, revision, false, new BitSet(), submitted)));
    }
  }

  private void wish(String id) {
    if (rules.over(id) || !wished.add(id)) {
      return;
    }
    did("wish");
    note("wish " + id);
    asking(id);
  }

  private void asking(String id) {
    if (rules.over(id)) {
      return;
    }
    for (Controller ctl : new ArrayList<>(controllers)) {
      if (ctl == store.holder || chance(0.2)) {
        long until = now + 1200;
        after(random.nextInt(30), () -> cancelling(ctl, id, until));
      }
    }
    after(1000 + random.nextInt(2000), () -> asking(id));
  }

  private void cancelling(Controller ctl, String id, long untilMs) {
    ctl.handle(
        () -> {
          boolean kept = ctl.ledger.manages(id);
          Scheduler s = ctl.scheduler;
          if (kept && ctl.clock() < ctl.soleUntilMs) {
            s.requestCancellation(id);
          }
          Scheduler.JobProgress view = s.progress(id);
          Cancellation.Action act =
              Cancellation.next(
                  new Cancellation.View(
                      false,
                      false,
                      true,
                      ctl.clock() < ctl.soleUntilMs,
                      kept,
                      true,
                      kept && s.canConfirmCancellation(id),
                      kept && s.mayStart(id),
                      view != null && view.complete(),
                      now > untilMs));
          switch (act) {
            case WRITE_CANCELLED -> ctl.end(id, true);
            case WRITE_DONE -> ctl.end(id, false);
            case WAIT -> after(50, () -> cancelling(ctl, id, untilMs));
            default -> {}
          }
        });
  }

  // ---- the state service ----

  /** What is durable. Writes of notes and ends go through only for whom the key is. */
  private final class Store {
    final Map<String, Long> live = new LinkedHashMap<>();
    final Map<String, Long> submitted = new HashMap<>();
    final Map<String, Boolean> ended = new HashMap<>();
    final Set<String> opened = new HashSet<>();
    final Map<String, Decision.RegisterMachine> machines = new LinkedHashMap<>();
    final Map<String, BitSet> progress = new HashMap<>();
    final Map<String, Decision.ProvisionMachines> rentals = new LinkedHashMap<>();
    final Map<String, Long> stamps = new HashMap<>();
    Controller holder;
    long keyEndsMs;
    long revision = 10;

    void accept(String id, Runnable then) {
      if (outage) {
        after(1000, () -> accept(id, then));
        return;
      }
      live.put(id, ++revision);
      submitted.put(id, now);
      then.run();
    }

    /** {@code result}: true applied, false certainly not, null no answer. */
    void write(
        Controller by, Runnable apply, java.util.function.Consumer<Boolean> result, String key) {
      if (outage || by.storeCut) {
        after(500 + random.nextInt(1500), () -> by.handle(() -> result.accept(null)));
        return;
      }
      long stamp = ++order;
      boolean silent = chance(lostWrites);
      boolean atOnce = random.nextBoolean();
      long ms = silent && !atOnce ? 2000 + random.nextInt(10_000) : 1 + random.nextInt(20);
      after(
          ms,
          () -> {
            if (outage) {
              after(3000, () -> by.handle(() -> result.accept(null)));
              return;
            }
            boolean applies = holder == by && stamps.getOrDefault(key, 0L) < stamp;
            if (applies) {
              revision++;
              stamps.put(key, stamp);
              apply.run();
            }
            if (!silent) {
              long back = chance(slow) ? random.nextInt(3000) : 1 + random.nextInt(10);
              boolean lost = holder != by;
              after(
                  back,
                  () ->
                      by.handle(
                          () -> {
                            if (lost) {
                              by.over("a write found another leader");
                            } else {
                              result.accept(applies);
                            }
                          }));
            }
          });
      if (silent) {
        did("lost write");
        after(2500, () -> by.handle(() -> result.accept(null)));
      }
    }
  }

  // ---- controllers ----

  private final class Controller {
    final int id;
    final long token;
    final Scheduler scheduler;
    final TermJobs ledger;
    final double rate = 1 + (random.nextDouble() - 0.5) * ClockBounds.CLOCK_DRIFT_SHARE;
    final long offset = random.nextInt(1_000_000);
    final Map<String, Long> cutUntil = new HashMap<>();
    final Map<String, Boolean> held = new HashMap<>();
    final List<Runnable> queued = new ArrayList<>();
    long soleUntilMs;
    boolean storeCut;
    boolean over;
    boolean paused;
    boolean resumed;
    int rentals;

    Controller(long token) {
      this.id = controllers.size();
      this.token = token;
      this.scheduler = new Scheduler(facts, OperatorSettings.defaults(), token);
      this.ledger = new TermJobs(token);
    }

    long clock() {
      return offset + (long) (now * rate);
    }

    /** All that it is told goes through here; what comes while it stands still waits unordered. */
    void handle(Runnable input) {
      if (over) {
        return;
      }
      if (paused) {
        queued.add(input);
        return;
      }
      input.run();
      if (over) {
        return;
      }
      List<String> differences = DerivedStateCheck.differences(scheduler.cluster());
      if (!differences.isEmpty()) {
        rules.broken.add("books at " + now + ": " + differences);
      }
      if (scheduler.deposed()) {
        over("deposed");
      }
    }

    void over(String why) {
      note("controller " + id + " is over: " + why);
      over = true;
      controllers.remove(this);
    }

    void take(String job, long revision, boolean opened, BitSet done, long submitted) {
      if (ledger.adopt(job, revision)) {
        scheduler.addJob(specs.get(job), opened, done, clock() - (now - submitted));
      }
    }

    void load() {
      scheduler.updateMachineTypes(types);
      for (Decision.RegisterMachine e : store.machines.values()) {
        if (e.newlyProvisioned()) {
          Decision.ProvisionMachines r =
              new Decision.ProvisionMachines(e.typeName(), e.zone(), e.spot(), 1);
          scheduler.onMachinesProvisioned("", List.of(e.machineName()), r, clock());
        } else {
          scheduler.addInheritedMachine(
              e.machineName(), e.address(), e.typeName(), e.zone(), e.spot(), clock());
        }
      }
      store.live.forEach(
          (job, revision) ->
              take(
                  job,
                  revision,
                  store.opened.contains(job),
                  (BitSet) store.progress.getOrDefault(job, new BitSet()).clone(),
                  store.submitted.get(job)));
      ledger.onLoaded();
      store.rentals.forEach(
          (name, r) -> {
            scheduler.onProvisioningStarted(name, r);
            rent(this, name, r);
          });
      note("controller " + id + " begins with token " + token);
      pass();
      after(random.nextInt(1000), () -> list(this));
      after(300, this::save);
      renew();
    }

    void renew() {
      if (over) {
        return;
      }
      if (!outage && !storeCut && !paused && store.holder == this) {
        store.keyEndsMs = now + KEY_MS;
        long sole = clock() + (long) (KEY_MS * (1 - 2 * ClockBounds.CLOCK_DRIFT_SHARE)) - 50;
        after(random.nextInt(20), () -> handle(() -> soleUntilMs = Math.max(soleUntilMs, sole)));
      }
      after(300, this::renew);
    }

    void pass() {
      if (over) {
        return;
      }
      handle(
          () -> {
            if (resumed) {
              resumed = false;
              if (random.nextBoolean()) {
                scheduler.onProcessResumed(clock());
              }
            }
            List<Decision> decisions = scheduler.pass(clock(), soleUntilMs);
            digest.pass(now, Long.toString(token), decisions);
            for (Decision d : decisions) {
              carryOut(d);
            }
          });
      after(50 + random.nextInt(scheduler.passRequested() ? 60 : 250), this::pass);
    }

    void save() {
      handle(
          () ->
              scheduler
                  .drainUnpersistedProgress()
                  .forEach(
                      (job, done) -> {
                        if (ledger.manages(job)) {
                          saveOne(job, done);
                        }
                      }));
      if (!over) {
        after(500, this::save);
      }
    }

    private void saveOne(String job, BitSet done) {
      store.write(
          this,
          () -> store.progress.computeIfAbsent(job, j -> new BitSet()).or(done),
          ok -> {
            if (ok != null && ok) {
              scheduler.onProgressPersisted(job, done);
            } else if (!over && ledger.manages(job)) {
              after(500, () -> handle(() -> saveOne(job, done)));
            }
          },
          "p" + job);
    }

    private void repeat(Runnable write) {
      after(300, () -> handle(write));
    }

    private void open(String job) {
      store.write(
          this,
          () -> store.opened.add(job),
          ok -> {
            if (ok != null && ok) {
              scheduler.onJobOpened(job);
            } else if (ledger.manages(job)) {
              repeat(() -> open(job));
            }
          },
          "o" + job);
    }

    private void enrol(Decision.RegisterMachine e) {
      store.write(
          this,
          () -> store.machines.put(e.machineName(), e),
          ok -> {
            if (ok != null && ok) {
              scheduler.onMachineRegistered(e.machineName());
            } else {
              repeat(() -> enrol(e));
            }
          },
          "m" + e.machineName());
    }

    private void strike(String name) {
      store.write(this, () -> store.machines.remove(name), ok -> {}, "m" + name);
    }

    void end(String job, boolean cancelled) {
      if (!ledger.manages(job)) {
        return;
      }
      store.write(
          this,
          () -> {
            if (store.ended.putIfAbsent(job, cancelled) == null) {
              store.live.remove(job);
              digest.jobOver(now, job, cancelled, specs.get(job).tasks());
              rules.ended(job, cancelled, wished.contains(job), now);
              note(job + " is over, cancelled " + cancelled);
            }
          },
          ok -> {
            Boolean end = ok == null ? null : store.ended.get(job);
            if (end != null && ledger.manages(job)) {
              ledger.onEnded(job);
              scheduler.onJobEnded(job, end, clock());
              store.opened.remove(job);
              store.progress.remove(job);
            } else if (!over && ledger.manages(job)) {
              scheduler.onDecisionFailed(new Decision.FinishJob(job));
            }
          },
          "d" + job + "/" + (++order));
    }

    private void carryOut(Decision d) {
      if (d instanceof Decision.SendCommands o) {
        long ms = chance(slow) ? random.nextInt(2500) : random.nextInt(30);
        after(ms, () -> direct(this, o));
      } else if (d instanceof Decision.OpenJob o) {
        open(o.jobId());
      } else if (d instanceof Decision.FinishJob f) {
        end(f.jobId(), false);
      } else if (d instanceof Decision.RegisterMachine e) {
        enrol(e);
      } else if (d instanceof Decision.DeregisterMachine s) {
        strike(s.machineName());
      } else if (d instanceof Decision.ProvisionMachines r) {
        String name = token + "-" + ++rentals;
        scheduler.onProvisioningStarted(name, r);
        store.write(
            this,
            () -> store.rentals.put(name, r),
            ok -> {
              if (ok != null && ok) {
                rent(this, name, r);
              } else {
                scheduler.onProvisioningFailed(name, r, false, clock());
              }
            },
            "i" + name);
      } else if (d instanceof Decision.ReleaseMachines r) {
        giveBack(this, r.machineNames());
      } else if (d instanceof Decision.ProbeThroughPeers w) {
        after(200, () -> handle(() -> scheduler.onPeerProbeResults(w, testimony(w))));
      }
    }

    private List<Decision.PeerProbeResult> testimony(Decision.ProbeThroughPeers w) {
      if (random.nextInt(3) == 0) {
        return List.of();
      }
      Set<String> reached = new HashSet<>();
      Set<String> unreached = new HashSet<>();
      List<Decision.MachineAddress> all = new ArrayList<>(w.suspects());
      all.addAll(w.controls());
      for (Decision.MachineAddress n : all) {
        Worker m = workers.get(n.machineName());
        (m != null && m.alive && !m.hung ? reached : unreached).add(n.machineName());
      }
      return List.of(new Decision.PeerProbeResult(reached, unreached));
    }

    /** When what goes on the way between it and a machine arrives; -1: never. */
    long way(String machine, String direction) {
      long ms = 1 + random.nextInt(20);
      if (chance(slow)) {
        ms += random.nextInt(6000);
      }
      Long until = cutUntil.get(machine + direction);
      if (until != null && until > now) {
        if (!held.get(machine + direction)) {
          return -1;
        }
        ms += until - now;
      }
      return ms;
    }
  }

  private void begin() {
    Controller ctl = new Controller(++store.revision);
    store.holder = ctl;
    store.keyEndsMs = now + KEY_MS;
    controllers.add(ctl);
    did("leaders");
    digest.term(now, Long.toString(ctl.token), ctl.token);
    ctl.handle(ctl::load);
    for (Heartbeat r : kept) {
      after(random.nextInt(300), () -> ctl.handle(() -> ctl.scheduler.onHeartbeat(r, ctl.clock())));
    }
    kept.clear();
    // What another thread of it had read before.
    for (String id : new ArrayList<>(store.live.keySet())) {
      learn(ctl, id, store.submitted.get(id));
    }
  }

  // ---- the cloud ----

  private Worker create(String type, String zone, boolean spot, long bootMs) {
    String name = String.format("vm-%06d", ++machineNumber);
    Worker w = new Worker(name, type, zone, spot);
    w.createdMs = now;
    workers.put(name, w);
    after(bootMs, w::up);
    return w;
  }

  private final Map<String, List<String>> rentalAnswers = new HashMap<>();

  private void rent(Controller ctl, String name, Decision.ProvisionMachines r) {
    after(
        20 + random.nextInt(chance(slow) ? 8000 : 200),
        () -> {
          if (cloudAway) {
            rent(ctl, name, r);
            return;
          }
          List<String> names =
              rentalAnswers.computeIfAbsent(
                  name,
                  n -> {
                    List<String> out = new ArrayList<>();
                    long there = workers.values().stream().filter(w -> w.goneMs < 0).count();
                    for (int i = 0; i < r.count() && there + i < MOST_MACHINES; i++) {
                      boolean quick = random.nextInt(4) == 0;
                      long ms = quick ? random.nextInt(2000) : 5000 + random.nextInt(9000);
                      long boot = random.nextInt(20) == 0 ? 1_000_000 : ms;
                      out.add(create(r.typeName(), r.zone(), r.spot(), boot).name);
                    }
                    return out;
                  });
          after(
              5,
              () ->
                  ctl.handle(
                      () -> {
                        for (String m : names) {
                          Decision.RegisterMachine e =
                              new Decision.RegisterMachine(
                                  m, null, r.typeName(), r.zone(), r.spot(), true);
                          store.write(
                              ctl, () -> store.machines.putIfAbsent(m, e), ok -> {}, "f" + m);
                        }
                        if (names.isEmpty()) {
                          ctl.scheduler.onProvisioningFailed(name, r, true, ctl.clock());
                        } else {
                          ctl.scheduler.onMachinesProvisioned(name, names, r, ctl.clock());
                        }
                        store.write(ctl, () -> store.rentals.remove(name), ok -> {}, "i" + name);
                      }));
        });
  }

  private void giveBack(Controller ctl, List<String> names) {
    boolean lost = chance(slow) || cloudAway;
    after(
        10 + random.nextInt(chance(slow) ? 8000 : 100),
        () -> {
          if (!lost) {
            for (String n : names) {
              Worker w = workers.get(n);
              if (w != null && w.goneMs < 0) {
                note(n + " is given back");
                w.die(0);
                w.deleted = true;
              }
            }
          }
          after(
              5 + random.nextInt(50),
              () ->
                  ctl.handle(
                      () -> {
                        if (lost) {
                          ctl.scheduler.onReleaseFailed(names);
                        } else {
                          ctl.scheduler.onMachinesReleased(names, ctl.clock());
                        }
                      }));
        });
  }

  /** A list as of some moment within twice the lag, which may be before that of the last one. */
  private void list(Controller ctl) {
    if (ctl.over) {
      return;
    }
    if (!cloudAway && !ctl.paused) {
      long asked = ctl.clock();
      after(
          random.nextInt(100),
          () -> {
            long asOf = now - (long) (random.nextDouble() * 2 * LIST_LAG_S * 1000);
            List<Scheduler.ListedMachine> out = new ArrayList<>();
            for (Worker w : workers.values()) {
              boolean gone = w.goneMs >= 0 && (w.deleted || w.taken) && w.goneMs <= asOf;
              if (w.createdMs <= asOf && !gone) {
                boolean failed = w.goneMs >= 0 && !w.deleted && !w.taken && w.goneMs < asOf - 30000;
                String state = failed ? "failed" : w.upMs < 0 ? "starting" : "running";
                double age = (asOf - w.createdMs) / 1000.0;
                out.add(
                    new Scheduler.ListedMachine(
                        w.name, w.name, w.type, w.zone, w.spot, state, age));
              }
            }
            after(
                random.nextInt(chance(slow) ? 4000 : 50),
                () -> ctl.handle(() -> ctl.scheduler.onMachineList(out, asked, ctl.clock())));
          });
    }
    after(1500 + random.nextInt(1500), () -> list(ctl));
  }

  // ---- orders ----

  private void direct(Controller ctl, Decision.SendCommands d) {
    ctl.handle(
        () -> {
          if (!ctl.scheduler.directCommandsStillDue(d, ctl.clock())) {
            return;
          }
          List<Command> orders =
              ctl.scheduler.commandsStillWanted(d, ctl.clock() < ctl.soleUntilMs);
          Worker w = workers.get(d.machineName());
          boolean[] settled = {false};
          if (w == null || !w.alive) {
            after(
                random.nextInt(d.timeoutMs()),
                () ->
                    ctl.handle(
                        () ->
                            ctl.scheduler.onCommandResult(
                                d.machineName(), false, null, ctl.clock())));
            return;
          }
          int life = w.life;
          long sentMs = now;
          after(
              d.timeoutMs(),
              () -> {
                if (!settled[0]) {
                  settled[0] = true;
                  did("order in vain");
                  ctl.handle(
                      () ->
                          ctl.scheduler.onCommandResult(d.machineName(), true, null, ctl.clock()));
                }
              });
          long ms = ctl.way(w.name, "down");
          if (ms < 0) {
            return;
          }
          boolean again = chance(0.5);
          after(
              ms,
              () -> {
                // One that was held on its way may meet the next life of the machine.
                if (!w.alive || (w.life != life && (!again || store.holder != ctl))) {
                  return;
                }
                w.serve(
                    () -> {
                      if (now - sentMs > d.timeoutMs()) {
                        did("late order");
                      }
                      Heartbeat r = w.orders(ctl.token, d.epoch(), orders);
                      long back = ctl.way(w.name, "up");
                      if (back >= 0) {
                        after(
                            back,
                            () -> {
                              if (!settled[0]) {
                                settled[0] = true;
                                ctl.handle(
                                    () ->
                                        ctl.scheduler.onCommandResult(
                                            d.machineName(), false, r, ctl.clock()));
                              }
                            });
                      }
                    });
              });
        });
  }

  // ---- workers ----

  private static final class Task {
    final String job;
    final int index;
    final long attempt;
    Heartbeat.TaskPhase phase = Heartbeat.TaskPhase.FETCHING;
    String cause;
    boolean on;
    boolean stopped;
    long waitsSinceMs;

    Task(String job, int index, long attempt) {
      this.job = job;
      this.index = index;
      this.attempt = attempt;
    }

    String task() {
      return job + "/" + index;
    }

    boolean exited() {
      return phase == Heartbeat.TaskPhase.EXITED;
    }
  }

  /** Tasks of one attempt of a gang that wait for one another, or run together. */
  private static final class Gang {
    final Map<Task, Worker> members = new LinkedHashMap<>();
    boolean running;
    boolean broken;
    long endMs;
  }

  private final class Worker {
    final String name;
    final String type;
    final boolean spot;
    final double rate = 1 + (random.nextDouble() - 0.5) * ClockBounds.CLOCK_DRIFT_SHARE;
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
    Controller target;
    int outstanding;
    boolean waits;
    boolean changed;
    long reportedMs = -1000;
    final Map<String, Task> tasks = new LinkedHashMap<>();
    final List<Runnable> pending = new ArrayList<>();

    Worker(String name, String type, String zone, boolean spot) {
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
      upMs = upMs < 0 ? now : upMs;
      faulty = chance(errors);
      leaseFromMs = now;
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
        outstanding++;
        waits = false;
        recallS = null;
        int of = life;
        after(
            backMs,
            () -> {
              if (of == life) {
                up();
              }
            });
      } else {
        goneMs = now;
      }
    }

    private void kill() {
      for (Task t : tasks.values()) {
        off(t);
      }
    }

    private void off(Task t) {
      if (t.on) {
        t.on = false;
        rules.over(t.job, t.index, name);
        digest.leaves(now, t.task(), name);
      }
      Gang g = gangs.get(t.job + "@" + t.attempt);
      if (g != null && g.members.remove(t) != null && g.running && !g.broken) {
        broken(g);
      }
    }

    /** The others of a gang that runs notice that one of them is gone. */
    private void broken(Gang g) {
      g.broken = true;
      for (Map.Entry<Task, Worker> e : g.members.entrySet()) {
        Worker w = e.getValue();
        w.later(
            random.nextInt((int) GANG_PEER_MS),
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
      after(
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
      note(name + " hangs for " + ms);
      int of = life;
      after(
          ms,
          () -> {
            if (alive && of == life && hung) {
              hung = false;
              expire();
              List<Runnable> all = new ArrayList<>(pending);
              pending.clear();
              Collections.shuffle(all, random);
              all.forEach(this::serve);
            }
          });
    }

    /** Looks at its lease, also as one who sees it hang: beyond it nothing there can go on. */
    void expire() {
      if (!alive || (now - leaseFromMs) * rate <= LEASE_MS) {
        return;
      }
      kill();
      if (hung) {
        return;
      }
      if (!tasks.isEmpty()) {
        did("lease over with tasks");
      }
      note(name + " loses its lease, session " + (session + 1));
      tasks.clear();
      session++;
      leaseFromMs = now;
      changed = true;
    }

    private Heartbeat says() {
      List<Heartbeat.TaskStatus> items = new ArrayList<>();
      for (Task t : tasks.values()) {
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
      boolean due = now - reportedMs >= REPORT_MS * 3 / 4 + random.nextInt((int) REPORT_MS / 2);
      if (!hung && !waits && (due || (changed && now - reportedMs >= 500))) {
        report();
      }
      after(50 + random.nextInt(100), () -> beat(of));
    }

    private void report() {
      changed = false;
      reportedMs = now;
      if (target == null || target.over) {
        target = controllers.isEmpty() ? null : controllers.get(random.nextInt(controllers.size()));
      }
      long sentMs = now;
      long sentIn = session;
      Heartbeat r = says();
      if (chance(copies)) {
        did("copies");
        if (random.nextInt(3) == 0) {
          kept.add(r);
        } else {
          after(500 + random.nextInt(30_000), () -> anywhere(r));
        }
      }
      int mine = ++outstanding;
      waits = true;
      later(ANSWER_MS, () -> gaveUp(mine));
      Controller to = target;
      if (to == null) {
        return;
      }
      long ms = to.way(name, "up");
      if (ms < 0) {
        return;
      }
      int of = life;
      after(
          ms,
          () ->
              to.handle(
                  () -> {
                    List<Command> orders = to.scheduler.onHeartbeat(r, to.clock());
                    boolean ok = orders != null && !to.scheduler.deposed();
                    long back = to.way(name, "down");
                    if (back >= 0) {
                      after(
                          back,
                          () -> {
                            if (alive && of == life) {
                              serve(() -> answered(mine, ok, to.token, orders, sentMs, sentIn));
                            }
                          });
                    }
                  }));
    }

    private void anywhere(Heartbeat r) {
      if (!controllers.isEmpty()) {
        Controller to = controllers.get(random.nextInt(controllers.size()));
        to.handle(() -> to.scheduler.onHeartbeat(r, to.clock()));
      }
    }

    private void gaveUp(int mine) {
      if (waits && outstanding == mine) {
        next();
      }
    }

    private void next() {
      target = null;
      outstanding++;
      int mine = outstanding;
      later(
          1000,
          () -> {
            if (outstanding == mine) {
              waits = false;
              changed = true;
            }
          });
    }

    private void answered(
        int mine, boolean ok, long helm, List<Command> orders, long sentMs, long sentIn) {
      if (!waits || outstanding != mine) {
        return;
      }
      if (now - sentMs > ANSWER_MS || !ok) {
        next();
        return;
      }
      waits = false;
      if (helm < token || sentIn != session) {
        return;
      }
      changed |= helm > token;
      token = helm;
      leaseFromMs = Math.max(leaseFromMs, sentMs);
      orders.forEach(this::execute);
    }

    Heartbeat orders(long helm, long ofSession, List<Command> orders) {
      if (helm >= token && ofSession == session) {
        changed |= helm > token;
        token = helm;
        orders.forEach(this::execute);
      } else if (helm < token) {
        did("order of a deposed leader");
      }
      return says();
    }

    private void execute(Command o) {
      digest.command(now, name, o);
      String key = o.jobId() + "/" + o.index() + "@" + o.attemptNumber();
      Task t = tasks.get(key);
      switch (o.kind()) {
        case START -> {
          if (t == null) {
            start(key, new Task(o.jobId(), o.index(), o.attemptNumber()));
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

    private void start(String key, Task t) {
      JobSpec spec = specs.get(t.job);
      note(name + " starts " + key);
      digest.started(now, t.task(), name, t.attempt);
      tasks.put(key, t);
      double cpus = types.get(type).cpus();
      double gpus = types.get(type).gpus();
      double memory = types.get(type).memoryGb();
      for (Task other : tasks.values()) {
        if (other == t || other.exited()) {
          continue;
        }
        if (other.job.equals(t.job) && other.index == t.index) {
          did("in use");
          exit(t, "in_use");
          return;
        }
        JobSpec s = specs.get(other.job);
        cpus -= s.cpus();
        gpus -= s.gpus();
        memory -= s.memoryGb();
      }
      if (cpus < spec.cpus() - 1e-6
          || gpus < spec.gpus() - 1e-6
          || memory < spec.memoryGb() - 1e-6) {
        did("no room");
        exit(t, "no_room");
        return;
      }
      changed = true;
      later(random.nextInt(random.nextInt(5) == 0 ? 8000 : 1200), () -> fetched(t));
    }

    private void fetched(Task t) {
      if (t.phase != Heartbeat.TaskPhase.FETCHING || !tasks.containsValue(t)) {
        return;
      }
      JobSpec spec = specs.get(t.job);
      t.on = true;
      changed = true;
      digest.begins(now, t.task(), name);
      note(name + " begins " + t.job + "/" + t.index + "@" + t.attempt);
      rules.begins(t.job, t.index, new ReferenceRules.Place(name, type, zone, spot), now);
      if (rules.isCompleted(t.job, t.index)) {
        did("done again");
        exit(t, "done");
        return;
      }
      if (faulty) {
        t.phase = Heartbeat.TaskPhase.RUNNING;
        later(random.nextInt(300), () -> exit(t, "error"));
        return;
      }
      if (spec.kind() != JobKind.GANG) {
        t.phase = Heartbeat.TaskPhase.RUNNING;
        if (spec.kind() == JobKind.ARRAY) {
          later(durations.get(t.job), () -> complete(t));
        }
        return;
      }
      t.phase = Heartbeat.TaskPhase.WAITING;
      t.waitsSinceMs = now;
      Gang g = gangs.computeIfAbsent(t.job + "@" + t.attempt, k -> new Gang());
      g.members.put(t, this);
      later(
          GANG_WAIT_MS,
          () -> {
            if (t.phase == Heartbeat.TaskPhase.WAITING) {
              exit(t, "incomplete");
            }
          });
      long here = g.members.keySet().stream().map(m -> m.index).distinct().count();
      if (!g.running && here == spec.tasks()) {
        g.running = true;
        did("gangs run");
        for (Map.Entry<Task, Worker> e : g.members.entrySet()) {
          e.getKey().phase = Heartbeat.TaskPhase.RUNNING;
          e.getValue().changed = true;
        }
        after(durations.get(t.job), () -> together(g));
      }
    }

    private void complete(Task t) {
      if (t.phase == Heartbeat.TaskPhase.RUNNING && !t.stopped && tasks.containsValue(t)) {
        rules.completed(t.job, t.index);
        digest.completed(now, t.task());
        exit(t, "done");
      }
    }

    private void stop(Task t, double graceS) {
      JobSpec spec = specs.get(t.job);
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

    private void exit(Task t, String cause) {
      if (t.exited() || !tasks.containsValue(t)) {
        return;
      }
      note(name + " ends " + t.job + "/" + t.index + "@" + t.attempt + " " + cause);
      digest.phase(now, t.task(), name, Heartbeat.TaskPhase.EXITED, cause);
      t.phase = Heartbeat.TaskPhase.EXITED;
      t.cause = cause;
      changed = true;
      off(t);
    }
  }

  /** A gang that still runs, undisturbed, completes as a whole. */
  private void together(Gang g) {
    for (Worker member : List.copyOf(g.members.values())) {
      member.expire(); // takes what its lease no longer covers out of the gang
    }
    boolean fine = !g.broken;
    for (Map.Entry<Task, Worker> e : g.members.entrySet()) {
      fine &= !e.getKey().stopped && !e.getValue().hung && e.getValue().alive;
    }
    if (!fine) {
      // Whoever hangs is gone for the others; these exit, and the last leases end the rest.
      for (Map.Entry<Task, Worker> e : new LinkedHashMap<>(g.members).entrySet()) {
        e.getValue().later(0, () -> e.getValue().exit(e.getKey(), "peers"));
      }
      return;
    }
    g.broken = true;
    Map<Task, Worker> all = new LinkedHashMap<>(g.members);
    all.keySet().forEach(t -> rules.completed(t.job, t.index));
    all.keySet().forEach(t -> digest.completed(now, t.task()));
    all.forEach((t, w) -> w.exit(t, "done"));
  }

  // ---- troubles ----

  private void watching() {
    for (Worker w : workers.values()) {
      w.expire();
    }
    rules.look(now);
    succession();
    if (now > troublesMs && jobsOver()) {
      events.clear();
      return;
    }
    after(100, this::watching);
  }

  private boolean jobsOver() {
    for (String id : specs.keySet()) {
      if (!rules.over(id)) {
        return false;
      }
    }
    return true;
  }

  /** A key that nobody renews ends, and the next leader begins. */
  private void succession() {
    if (outage) {
      store.keyEndsMs = Math.max(store.keyEndsMs, now + KEY_MS);
      return;
    }
    if (now > store.keyEndsMs) {
      begin();
    }
  }

  private Worker anyWorker() {
    List<Worker> up = new ArrayList<>();
    for (Worker w : workers.values()) {
      if (w.alive) {
        up.add(w);
      }
    }
    return up.isEmpty() ? null : up.get(random.nextInt(up.size()));
  }

  private void troubles() {
    if (now >= troublesMs) {
      calm();
      return;
    }
    Worker w = anyWorker();
    if (w != null) {
      if (chance(deaths)) {
        did("deaths");
        note(w.name + " dies");
        w.die(0);
      } else if (chance(anews)) {
        did("anew");
        note(w.name + " begins anew");
        w.die(1 + random.nextInt(4000));
      } else if (chance(hangs)) {
        did("hangs");
        w.hang(random.nextInt(3) == 0 ? 8000 + random.nextInt(12_000) : random.nextInt(6000));
      } else if (w.spot && chance(recalls)) {
        did("recalls");
        recall(w);
      }
      if (chance(cuts)) {
        cut();
      }
    }
    Controller holder = store.holder;
    if (chance(successions)) {
      did("succession");
      switch (random.nextInt(4)) {
        case 0 -> holder.over("crash");
        case 1, 2 -> holder.storeCut = true;
        default -> {
          holder.over("resigns");
          store.keyEndsMs = now - 1;
        }
      }
    }
    if (!controllers.isEmpty() && chance(pauses)) {
      did("pauses");
      pause(controllers.get(random.nextInt(controllers.size())));
    }
    if (chance(refusals)) {
      did("outage");
      if (random.nextInt(3) == 0) {
        cloudAway = true;
        after(1000 + random.nextInt(10_000), () -> cloudAway = false);
      } else {
        outage = true;
        after(1000 + random.nextInt(random.nextInt(4) == 0 ? 20_000 : 4000), () -> outage = false);
      }
    }
    after(random.nextInt(1500), this::troubles);
  }

  private void recall(Worker w) {
    double s = 2 + random.nextInt(6);
    if (random.nextInt(3) > 0) {
      w.recallS = s;
      w.changed = true;
    }
    int of = w.life;
    after(
        (long) (s * 1000),
        () -> {
          if (w.life == of) {
            note(w.name + " is taken");
            w.die(0);
            w.taken = true;
          }
        });
  }

  /** Of one machine, or a zone, towards one controller or all, one way or both, held or lost. */
  private void cut() {
    did("cuts");
    if (controllers.isEmpty()) {
      return;
    }
    Worker one = anyWorker();
    boolean zone = one == null || random.nextInt(3) == 0;
    String which = random.nextBoolean() ? "a" : "b";
    boolean all = random.nextInt(3) == 0;
    Controller only = controllers.get(random.nextInt(controllers.size()));
    int ways = random.nextInt(3);
    boolean hold = random.nextBoolean();
    long until = now + 500 + random.nextInt(random.nextInt(3) == 0 ? 30_000 : 6000);
    note("cut of " + (zone ? which : one.name) + " ways " + ways + " until " + until);
    for (Worker w : workers.values()) {
      if (zone ? !w.zone.equals(which) : w != one) {
        continue;
      }
      for (Controller ctl : controllers) {
        if (all || ctl == only) {
          for (String direction : List.of("up", "down")) {
            if (ways == 2 || direction.equals(ways == 0 ? "up" : "down")) {
              ctl.cutUntil.put(w.name + direction, until);
              ctl.held.put(w.name + direction, hold);
            }
          }
        }
      }
    }
  }

  private void pause(Controller ctl) {
    if (ctl.paused) {
      return;
    }
    ctl.paused = true;
    note("controller " + ctl.id + " stands still");
    after(
        200 + random.nextInt(random.nextInt(3) == 0 ? 20_000 : 4000),
        () -> {
          ctl.paused = false;
          ctl.resumed = true;
          List<Runnable> all = new ArrayList<>(ctl.queued);
          ctl.queued.clear();
          Collections.shuffle(all, random);
          all.forEach(r -> after(random.nextInt(300), () -> ctl.handle(r)));
        });
  }

  private void calm() {
    for (Controller ctl : new ArrayList<>(controllers)) {
      ctl.cutUntil.clear();
      ctl.storeCut &= ctl != store.holder;
      if (ctl != store.holder) {
        ctl.over("ends");
      }
    }
    for (Worker w : workers.values()) {
      w.faulty = false;
    }
  }

  /** Plays seeds FIRST to LAST, and prints what failed; with a third word, the story of each. */
  public static void main(String[] args) {
    SeedArguments arguments = SeedArguments.parseOrExit(args, Set.of("story"));
    boolean story = !arguments.options().isEmpty();
    Map<String, Integer> all = new TreeMap<>();
    int[] failed = {0};
    java.util.stream.LongStream.rangeClosed(arguments.first(), arguments.last())
        .parallel()
        .forEach(
            seed -> {
              SchedulerFuzzer a = new SchedulerFuzzer(seed, story);
              try {
                a.play();
              } catch (RuntimeException e) {
                a.rules.broken.add(e.toString() + " " + List.of(e.getStackTrace()).subList(0, 4));
              }
              synchronized (all) {
                a.happened.forEach((what, n) -> all.merge(what, n, Integer::sum));
                all.merge("starts", a.rules.starts, Integer::sum);
                all.merge("completions", a.rules.completions, Integer::sum);
                if (!a.rules.broken.isEmpty() || !a.unfinished.isEmpty()) {
                  failed[0]++;
                  System.out.println(a);
                  a.log.forEach(System.out::println);
                }
              }
            });
    System.out.println(all + " failed: " + failed[0]);
    System.exit(failed[0] == 0 ? 0 : 1);
  }

  @Override
  public String toString() {
    return "seed " + seed + ": " + rules.broken + (unfinished.isEmpty() ? "" : " " + unfinished);
  }
}
