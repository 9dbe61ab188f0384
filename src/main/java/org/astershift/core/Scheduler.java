package org.astershift.core;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.astershift.config.Constants;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What one leader knows and decides during its term. One thread at a time may use it.
 *
 * <p>Safety rests on one principle: until a machine answers to this term's token, or is provably gone,
 * everything it might hold counts as held. A {@link Run} therefore leaves only on proof: the machine's
 * own newer report, the end of its session, the answer to its return, the cloud's list, or a lease that
 * ran out while only this leader could have renewed it.
 */
public final class Scheduler {
  private static final Logger LOG = LoggerFactory.getLogger(Scheduler.class);

  final Facts facts;
  final Policy policy;
  private final long token;
  private long attempts;
  private boolean deposed;
  final Map<String, Job> jobs = new LinkedHashMap<>();
  final Map<String, Machine> machines = new TreeMap<>();
  Map<String, MachineType> types = Map.of();
  private final Map<String, double[]> teamUse = new HashMap<>();
  private final Set<String> asked = new HashSet<>();
  private final Placement placement;
  private final Fleet fleet;

  public Scheduler(Facts facts, Policy policy, long token) {
    this.facts = facts;
    this.policy = policy;
    this.token = token;
    this.placement = new Placement(this);
    this.fleet = new Fleet(this);
  }

  // ---- what the loops around it tell ----

  /** The cloud's machine types, with current prices. */
  public void types(Map<String, MachineType> known) {
    types = known;
  }

  /** Takes in a job; a job known already is left as it is. */
  public void addJob(JobSpec spec, boolean opened, BitSet done, long submittedMs) {
    if (jobs.containsKey(spec.id())) {
      return;
    }
    Job job = new Job(spec, submittedMs, opened, done);
    job.inherited = opened;
    jobs.put(spec.id(), job);
  }

  /** A machine that an earlier leader named: it may hold anything until it is heard. */
  public void inherit(String name, String addr, String type, String zone, boolean spot, long nowMs) {
    Machine m = new Machine(name, addr, type, zone, spot, Machine.State.UNHEARD, nowMs);
    m.enrolled = true;
    m.inherited = true;
    machines.put(name, m);
  }

  /** Machines a rental brought, still booting; {@code recorded}: as fresh ones. */
  public void rented(
      String rental, List<String> names, Decision.Rent rent, boolean recorded, long nowMs) {
    fleet.settled(rental);
    for (String name : names) {
      Machine m = machines.get(name);
      if (m == null) {
        m = new Machine(name, null, rent.type(), rent.zone(), rent.spot(), Machine.State.BOOTING, nowMs);
        machines.put(name, m);
      }
      m.recorded |= recorded;
    }
  }

  /** A rental was refused or failed. */
  public void notRented(String rental, Decision.Rent rent, boolean noCapacity, long nowMs) {
    fleet.settled(rental);
    if (noCapacity) {
      fleet.pause(rent, nowMs);
    }
  }

  /** A rental under this name is under way. */
  public void renting(String rental, Decision.Rent rent) {
    fleet.renting(rental, rent);
  }

  public void opened(String id) {
    asked.remove("open " + id);
    Job job = jobs.get(id);
    if (job != null) {
      job.opened = true;
    }
  }

  public void enrolled(String name) {
    asked.remove("enrol " + name);
    Machine m = machines.get(name);
    if (m != null) {
      m.enrolled = true;
    }
  }

  /** A decision could not be carried out; a later pass may repeat it. */
  public void failed(Decision decision) {
    asked.remove(key(decision));
  }

  /** The job's end is durable. */
  public void ended(String id, boolean cancelled, long nowMs) {
    asked.remove("finish " + id);
    Job job = jobs.remove(id);
    if (job == null) {
      return;
    }
    LOG.info("job {} is {}: {}", id, cancelled ? "cancelled" : "done", job.story(nowMs));
    job.state = cancelled ? Job.State.CANCELLED : Job.State.DONE;
    for (Run run : new ArrayList<>(job.runs.values())) {
      if (!run.ordered) {
        drop(run);
      }
    }
  }

  /** The user asked to cancel: nothing of it starts any more, though the end is not durable yet. */
  public void cancelWanted(String id) {
    Job job = jobs.get(id);
    if (job != null) {
      job.cancelWanted = true;
    }
  }

  /**
   * Whether a cancellation could be kept if it were promised now: no machine that might hold one of
   * the job's tasks can still be renewed by an older leader, cut off together with it.
   */
  public boolean cancelKeepable(String id) {
    Job job = jobs.get(id);
    return job == null || !((job.inherited && unheard()) || heldUnclaimed(job));
  }

  private static boolean heldUnclaimed(Job job) {
    for (Run run : job.runs.values()) {
      if (run.ordered && !run.machine.claimed && run.machine.inherited) {
        return true;
      }
    }
    return false;
  }

  /** A worker showed a higher token: another leader has taken over. */
  public boolean deposed() {
    return deposed;
  }

  /** Whether most machines are out of this leader's reach. */
  public boolean isolated(long nowMs) {
    return fleet.isolated(nowMs);
  }

  public long token() {
    return token;
  }

  /** Whether a machine without accelerators could run a task of the job. */
  boolean plainTypeFits(JobSpec spec) {
    for (MachineType t : types.values()) {
      if (t.gpus() == 0 && spec.fits(t)) {
        return true;
      }
    }
    return false;
  }

  boolean unheard() {
    for (Machine m : machines.values()) {
      if (m.inherited && !m.claimed) {
        return true;
      }
    }
    return false;
  }

  // ---- reports ----

  /** A report that is being answered under this token; gives the commands for the answer. */
  public List<Order> report(Report r, long nowMs) {
    if (goneRecently(r.machine())) {
      return List.of(); // a late report of a machine that is gone
    }
    Machine m = heard(r, nowMs);
    if (deposed) {
      return List.of();
    }
    m.heardMs = nowMs;
    if (!absorb(m, r, nowMs)) {
      return List.of();
    }
    return answer(m);
  }

  /** Result of a direct order. {@code report} is null without an answer. */
  public void directResult(String name, boolean unknown, Report report, long nowMs) {
    Machine m = machines.get(name);
    if (m == null) {
      return;
    }
    m.orderInFlight = false;
    for (Run run : m.runs.values()) {
      if (run.inFlight) {
        run.inFlight = false;
        run.doubtful |= unknown;
      }
    }
    if (report != null && report.machine().equals(name)) {
      heard(report, nowMs);
      if (!deposed) {
        absorb(m, report, nowMs);
      }
    } else if (m.session > 0) {
      m.directFailures++;
    }
  }

  private Machine heard(Report r, long nowMs) {
    if (r.token() > token) {
      deposed = true;
    }
    Machine m = machines.get(r.machine());
    if (m == null) {
      m = new Machine(r.machine(), r.addr(), r.type(), r.zone(), r.spot(), Machine.State.LIVE, nowMs);
      machines.put(m.name, m);
      LOG.info("machine {} ({} in {}) reports and was not asked for: taken in", m.name, m.type, m.zone);
    }
    m.addr = r.addr();
    m.seenMs = nowMs;
    if (r.token() == token && !m.claimed) {
      m.claimed = true;
      if (m.inherited) {
        LOG.info("machine {} answers to token {}", m.name, token);
      }
    }
    if (m.state == Machine.State.BOOTING || m.state == Machine.State.LOST) {
      LOG.info("machine {} ({} in {}) is up after {} ms", m.name, m.type, m.zone, nowMs - m.knownMs);
      m.state = Machine.State.LIVE;
      m.idleSinceMs = nowMs;
    }
    if (m.state == Machine.State.UNHEARD && m.claimed) {
      m.state = Machine.State.LIVE;
      m.idleSinceMs = nowMs;
    }
    return m;
  }

  /** Brings what is known of the machine up to this report; false if the report is not newer. */
  private boolean absorb(Machine m, Report r, long nowMs) {
    if (!r.newerThan(m.session, m.seq)) {
      return false;
    }
    if (r.session() > m.session) {
      for (Run run : new ArrayList<>(m.runs.values())) {
        LOG.info("task {} on {} ended with its session", run.name(), m.name);
        drop(run);
      }
    }
    m.session = r.session();
    m.seq = r.seq();
    m.directFailures = 0;
    if (r.noticeS() != null && m.noticeS == null) {
      LOG.info("machine {} will be taken back in {} s", m.name, r.noticeS());
    }
    m.noticeS = r.noticeS();
    Map<String, Report.Item> items = new LinkedHashMap<>();
    for (Report.Item item : r.tasks()) {
      items.put(runKey(item.job(), item.index(), item.attempt()), item);
    }
    for (Run run : new ArrayList<>(m.runs.values())) {
      Report.Item item = items.remove(key(run));
      if (item != null) {
        update(run, item, nowMs);
      } else if (run.phase != null) {
        drop(run);
      }
    }
    for (Report.Item item : items.values()) {
      adopt(m, item, nowMs);
    }
    if (m.holdsAny()) {
      m.idleSinceMs = nowMs;
    }
    return true;
  }

  private void update(Run run, Report.Item item, long nowMs) {
    if (run.exited()) {
      return;
    }
    Job job = run.job;
    Machine m = run.machine;
    run.ordered = true;
    if (item.phase() != Report.Phase.FETCHING && item.phase() != Report.Phase.EXITED) {
      if (run.phase == null || run.phase == Report.Phase.FETCHING) {
        m.touchImage(job.spec.image(), job.spec.imageGb(), cacheGb(m));
      }
      if (item.phase() == Report.Phase.RUNNING && run.runningSinceMs < 0) {
        run.runningSinceMs = nowMs;
        job.gangRan = true;
        LOG.debug("task {} runs on {}, {} ms after it was placed", run.name(), m.name,
            nowMs - run.placedMs);
      }
    }
    if (item.phase() != Report.Phase.EXITED) {
      run.phase = item.phase();
      return;
    }
    release(run);
    if (!"done".equals(item.cause())) {
      job.restarts++;
    }
    run.phase = Report.Phase.EXITED;
    run.cause = item.cause();
    exited(run, nowMs);
  }

  private void exited(Run run, long nowMs) {
    Job job = run.job;
    Machine m = run.machine;
    String cause = run.cause == null ? "?" : run.cause;
    if (job.state != Job.State.LIVE) {
      return;
    }
    switch (cause) {
      case "done" -> {
        m.failures = 0;
        if (job.spec.kind() != JobKind.SERVICE) {
          job.everRan = true;
          job.done.set(run.index);
          job.waiting.clear(run.index);
        }
      }
      case "error" -> {
        LOG.info("task {} failed on {}", run.name(), m.name);
        failure(job, m, nowMs);
      }
      case "no_room", "in_use", "unknown" -> {
        LOG.info("start of {} refused by {}: {}", run.name(), m.name, cause);
        m.holdUntilMs = nowMs + Constants.REFUSED_HOLD_MS;
        if (cause.equals("unknown")) {
          job.pausedUntilMs = nowMs + Constants.ERROR_PAUSE_MS;
        }
      }
      default -> LOG.debug("task {} on {} exited: {}", run.name(), m.name, cause);
    }
  }

  /**
   * A job submitted with a mistake fails on every machine, a faulty machine fails every job. A job
   * that has failed on several machines and never finished a task convicts nobody and is retried with
   * growing pauses; otherwise repeated failures convict the machine.
   */
  private void failure(Job job, Machine m, long nowMs) {
    job.failedOn.add(m.name);
    boolean suspectJob = !job.everRan && job.failedOn.size() >= 3;
    if (suspectJob) {
      int step = Math.min(job.failedOn.size(), 6);
      job.pausedUntilMs = nowMs + (Constants.ERROR_PAUSE_MS << step);
      return;
    }
    m.failures++;
    m.holdUntilMs = nowMs + Constants.FAILED_HOLD_MS;
    if (m.failures >= Constants.FAILURES_TO_CONDEMN && !m.condemned) {
      m.condemned = true;
      LOG.info("machine {} fails its tasks: no more work, to be returned", m.name);
    }
  }

  private void adopt(Machine m, Report.Item item, long nowMs) {
    Job job = jobs.get(item.job());
    if (job == null || item.index() >= job.spec.tasks()) {
      job = stub(item);
    }
    Run run = new Run(job, item.index(), item.attempt(), m, nowMs);
    run.ordered = true;
    run.phase = item.phase();
    run.cause = item.cause();
    m.runs.put(key(run), run);
    if (run.exited()) {
      exited(run, nowMs);
      return;
    }
    if (item.phase() == Report.Phase.RUNNING) {
      run.runningSinceMs = nowMs;
    }
    if (item.phase() != Report.Phase.FETCHING) {
      m.touchImage(job.spec.image(), job.spec.imageGb(), cacheGb(m));
    }
    use(run, 1);
    Run other = job.runs.get(run.index);
    if (other != null && !other.ordered) {
      drop(other);
      other = null;
    }
    if (job.state != Job.State.LIVE || job.done.get(run.index) || other != null) {
      LOG.info("task {} attempt {} on {} is not wanted: stopped", run.name(), run.attempt, m.name);
      run.stopping = true;
      return;
    }
    job.runs.put(run.index, run);
    job.waiting.clear(run.index);
    job.opened = true;
    if (job.spec.kind() == JobKind.GANG) {
      job.gangAttempt = run.attempt;
      job.gangRan |= item.phase() == Report.Phase.RUNNING;
    }
  }

  /** Stands for a job this leader does not look after (any more): its tasks are only stopped. */
  private static Job stub(Report.Item item) {
    Job job =
        new Job(
            new JobSpec(
                item.job(), "", "", JobKind.ARRAY, Priority.LOW, 0, 0, 0, 0, "", 0, null, null, false,
                false, true, 0, 0, 0, null),
            0,
            true,
            new BitSet());
    job.state = Job.State.CANCELLED;
    return job;
  }

  /** What to say in the answer to the newest report: everything still wanted and not yet so. */
  private List<Order> answer(Machine m) {
    List<Order> orders = new ArrayList<>();
    for (Run run : new ArrayList<>(m.runs.values())) {
      if (run.exited()) {
        // Forgetting an attempt whose start may still arrive would let that start run it again.
        if (!run.doubtful && !run.inFlight && forgettable(run)) {
          orders.add(Order.forget(run));
        }
      } else if (unwanted(run)) {
        if (run.phase == null) {
          if (!run.doubtful && !run.inFlight) {
            drop(run); // the newer report shows that no start was executed, and none can be any more
            continue;
          }
          // Make the worker remember the attempt, so that the late start has no effect.
          orders.add(Order.start(run));
        }
        orders.add(Order.stop(run, run.stopGraceS));
      } else if (run.phase == null && run.job.opened) {
        run.ordered = true;
        orders.add(Order.start(run));
      }
    }
    return orders;
  }

  private static boolean forgettable(Run run) {
    return run.job.state != Job.State.LIVE
        || !"done".equals(run.cause)
        || run.job.doneDurable.get(run.index);
  }

  static boolean unwanted(Run run) {
    return run.stopping || run.job.state != Job.State.LIVE || run.job.cancelWanted;
  }

  // ---- holding and releasing ----

  Run place(Job job, int index, Machine m, long attempt, long nowMs) {
    Run run = new Run(job, index, attempt, m, nowMs);
    m.runs.put(key(run), run);
    job.runs.put(index, run);
    job.waiting.clear(index);
    job.lastPlacedMs = nowMs;
    use(run, 1);
    return run;
  }

  long nextAttempt() {
    return (token << Constants.ATTEMPT_BITS) | ++attempts;
  }

  private void use(Run run, int sign) {
    JobSpec s = run.job.spec;
    run.machine.usedCpus += sign * s.cpus();
    run.machine.usedGpus += sign * s.gpus();
    run.machine.usedMemory += sign * s.memoryGb();
    double[] u = teamUse.computeIfAbsent(s.team(), t -> new double[2]);
    u[0] += sign * s.cpus();
    u[1] += sign * s.gpus();
  }

  double[] teamUse(String team) {
    return teamUse.getOrDefault(team, new double[2]);
  }

  /** The task is off its machine; its entry there may stay until the worker has forgotten it. */
  private void release(Run run) {
    use(run, -1);
    Job job = run.job;
    if (job.runs.get(run.index) == run) {
      job.runs.remove(run.index);
      if (!job.done.get(run.index)) {
        job.waiting.set(run.index);
      }
    }
    if (job.runs.isEmpty()) {
      job.gangRan = false;
    }
  }

  /** Proof that the machine does not have the attempt, nor will. */
  void drop(Run run) {
    if (!run.exited()) {
      release(run);
      run.job.restarts += run.ordered ? 1 : 0;
    }
    run.machine.runs.remove(key(run));
  }

  /** Proof that the machine and all on it are gone. */
  public void gone(String name, String why) {
    Machine m = machines.remove(name);
    if (m == null) {
      return;
    }
    LOG.info("machine {} is gone ({}), with {} tasks", name, why, m.runs.size());
    for (Run run : new ArrayList<>(m.runs.values())) {
      drop(run);
    }
    if (m.enrolled || m.recorded || asked.remove("enrol " + name)) {
      struck.add(new Decision.Strike(name, m.addr));
    }
  }

  private final List<Decision.Strike> struck = new ArrayList<>();

  private double cacheGb(Machine m) {
    MachineType t = types.get(m.type);
    return t == null ? Double.MAX_VALUE : t.cacheGb();
  }

  static String runKey(String job, int index, long attempt) {
    return job + "/" + index + "@" + attempt;
  }

  private static String key(Run run) {
    return runKey(run.job.spec.id(), run.index, run.attempt);
  }

  // ---- the cloud's list ----

  /** One machine of a list. */
  public record Listed(
      String name, String addr, String type, String zone, boolean spot, String state, double ageS) {}

  /** A complete list that was asked for at {@code askedMs} and arrived at {@code nowMs}. */
  public void list(Collection<Listed> listed, long askedMs, long nowMs) {
    Set<String> names = new HashSet<>();
    for (Listed l : listed) {
      names.add(l.name());
      Machine m = machines.get(l.name());
      if (l.state().equals("failed")) {
        if (m != null) {
          gone(l.name(), "listed as failed");
        }
        fleet.discard(l.name());
        continue;
      }
      if (m == null) {
        if (goneRecently(l.name())) {
          continue;
        }
        m = new Machine(l.name(), l.addr(), l.type(), l.zone(), l.spot(), Machine.State.BOOTING,
            nowMs - (long) (l.ageS() * 1000));
        machines.put(l.name(), m);
        LOG.info("machine {} ({} in {}) is listed and was not asked for: taken in",
            l.name(), l.type(), l.zone());
      }
      m.listedMs = nowMs;
      if (m.addr == null) {
        m.addr = l.addr();
      }
    }
    long lag = (long) (2 * facts.listLagS() * 1000) + Constants.CLOCK_MARGIN_MS;
    for (Machine m : new ArrayList<>(machines.values())) {
      // Once listed, a machine stays listed until it is gone; but a list may be older than the last.
      if (m.listedMs >= 0 && !names.contains(m.name) && askedMs > m.listedMs + lag) {
        gone(m.name, "no longer listed");
      }
    }
  }

  private final Map<String, Long> returned = new HashMap<>();

  private boolean goneRecently(String name) {
    return returned.containsKey(name);
  }

  /** The cloud answered 200 to the return of these. */
  public void returned(List<String> names, long nowMs) {
    long keep = (long) (4 * facts.listLagS() * 1000) + 60_000;
    returned.values().removeIf(at -> at + keep < nowMs);
    for (String name : names) {
      asked.remove("return " + name);
      returned.put(name, nowMs);
      gone(name, "returned");
      fleet.discarded(name);
    }
  }

  // ---- the pass ----

  /** One pass over everything: what is held too long, placement, commands, records, machines. */
  public List<Decision> pass(long nowMs) {
    List<Decision> out = new ArrayList<>();
    expire(nowMs);
    spending.add(machines.values(), types, nowMs);
    placement.pass(nowMs);
    for (Machine m : machines.values()) {
      Decision.Direct direct = direct(m, nowMs);
      if (direct != null) {
        out.add(direct);
      }
      if (!m.enrolled && m.state == Machine.State.LIVE) {
        ask(out, new Decision.Enrol(m.name, m.addr, m.type, m.zone, m.spot, false));
      }
    }
    for (Job job : jobs.values()) {
      if (!job.opened && !job.cancelWanted && !job.runs.isEmpty()) {
        ask(out, new Decision.OpenJob(job.spec.id()));
      }
      if (job.complete()) {
        ask(out, new Decision.FinishJob(job.spec.id()));
      }
    }
    for (Decision d : fleet.plan(nowMs)) {
      ask(out, d);
    }
    out.addAll(struck);
    struck.clear();
    return out;
  }

  private void ask(List<Decision> out, Decision d) {
    if (d instanceof Decision.Return r) {
      List<String> names = new ArrayList<>();
      for (String name : r.machines()) {
        if (asked.add("return " + name)) {
          names.add(name);
        }
      }
      if (!names.isEmpty()) {
        out.add(new Decision.Return(names));
      }
    } else if (d instanceof Decision.Rent || asked.add(key(d))) {
      out.add(d);
    }
  }

  private static String key(Decision d) {
    if (d instanceof Decision.OpenJob o) {
      return "open " + o.job();
    } else if (d instanceof Decision.FinishJob f) {
      return "finish " + f.job();
    } else if (d instanceof Decision.Enrol e) {
      return "enrol " + e.machine();
    }
    return d.toString();
  }

  /** A return did not get its answer: it is asked for again by a later pass. */
  public void notReturned(List<String> names) {
    for (String name : names) {
      asked.remove("return " + name);
    }
  }

  private void expire(long nowMs) {
    long lease = leaseMs();
    for (Machine m : machines.values()) {
      boolean counts = m.state == Machine.State.LIVE || m.state == Machine.State.RETURNING;
      if (counts && m.claimed && nowMs - m.heardMs > lease) {
        if (m.state == Machine.State.LIVE || !m.runs.isEmpty()) {
          LOG.info("machine {} was not heard for {} ms: its lease has run out", m.name,
              nowMs - m.heardMs);
        }
        for (Run run : new ArrayList<>(m.runs.values())) {
          drop(run);
        }
        // A machine that is being returned is no more to be used, also while the cloud is away.
        m.state = m.state == Machine.State.LIVE ? Machine.State.LOST : m.state;
      }
    }
  }

  /**
   * Counted from the receipt of the last report answered, which is later than its sending, plus the
   * drift between steady clocks and a margin.
   */
  private long leaseMs() {
    return (long) (facts.leaseS() * 1000 * (1 + 2 * Constants.CLOCK_DRIFT)) + Constants.CLOCK_MARGIN_MS;
  }

  /** Silence after which a machine is asked directly: its report is overdue. */
  long suspectMs() {
    return (long) (facts.reportS() * 1000 * Constants.REPORT_LATEST) + Constants.SUSPECT_MS;
  }

  /**
   * Commands that should not wait for the next report, the claim of an inherited machine, or the
   * question whether a machine whose report is overdue is still there.
   */
  private Decision.Direct direct(Machine m, long nowMs) {
    if (m.orderInFlight || m.addr == null || m.state == Machine.State.BOOTING
        || m.state == Machine.State.LOST || m.state == Machine.State.RETURNING) {
      return null;
    }
    boolean claim = !m.claimed && m.inherited;
    boolean probe = m.session > 0 && nowMs - Math.max(m.seenMs, m.heardMs) > suspectMs();
    List<Order> orders = new ArrayList<>();
    List<Run> starts = new ArrayList<>();
    if (m.session > 0 && m.state == Machine.State.LIVE) {
      for (Run run : m.runs.values()) {
        if (!run.exited() && unwanted(run)) {
          if (run.ordered && !run.stopSent && run.phase != null) {
            orders.add(Order.stop(run, run.stopGraceS));
            run.stopSent = true;
          }
        } else if (run.phase == null && !run.ordered && run.job.opened) {
          orders.add(Order.start(run));
          starts.add(run);
        }
      }
    }
    if (orders.isEmpty()
        && (!(claim || probe) || nowMs - m.lastDirectMs < Constants.CLAIM_RETRY_MS)) {
      return null;
    }
    for (Run run : starts) {
      run.ordered = true;
      run.inFlight = true;
    }
    m.orderInFlight = true;
    m.lastDirectMs = nowMs;
    return new Decision.Direct(
        m.name, m.addr, Math.max(1, m.session), orders,
        orders.isEmpty() ? Constants.PROBE_TIMEOUT_MS : Constants.ORDER_TIMEOUT_MS);
  }

  // ---- what users and operators see ----

  /** State of a live job for its user; null if this leader does not look after it. */
  public JobView view(String id) {
    Job job = jobs.get(id);
    if (job == null) {
      return null;
    }
    int running = job.running();
    return new JobView(running > 0, job.done.cardinality(), running, job.complete());
  }

  /** A live job as its user sees it. */
  public record JobView(boolean running, int done, int runningTasks, boolean complete) {}

  /** The done tasks of jobs whose record lags behind, at most {@code most} of them. */
  public Map<String, BitSet> unsaved(int most) {
    Map<String, BitSet> out = new LinkedHashMap<>();
    for (Job job : jobs.values()) {
      if (out.size() < most && !job.complete() && !job.done.equals(job.doneDurable)) {
        out.put(job.spec.id(), (BitSet) job.done.clone());
      }
    }
    return out;
  }

  /** The done tasks of this job are durable up to here. */
  public void saved(String id, BitSet done) {
    Job job = jobs.get(id);
    if (job != null) {
      job.doneDurable.or(done);
    }
  }

  private final Spending spending = new Spending();

  /** One line for the log. */
  public String summary() {
    int live = 0;
    int booting = 0;
    int waiting = 0;
    for (Machine m : machines.values()) {
      live += m.state == Machine.State.LIVE ? 1 : 0;
      booting += m.state == Machine.State.BOOTING ? 1 : 0;
    }
    for (Job job : jobs.values()) {
      waiting += job.waiting.cardinality();
    }
    return jobs.size() + " jobs, " + waiting + " tasks wait, " + live + " machines live, " + booting
        + " booting, " + (machines.size() - live - booting) + " other; " + spending;
  }
}
