package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.astershift.config.Constants;
import org.astershift.scheduler.OutstandingDecisions.Kind;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What one leader is told and decides during its term. One thread at a time may use it.
 *
 * <p>Safety rests on one principle: until a machine answers to this term's token, or is provably
 * gone, everything it might hold counts as held; see {@link ClusterState}.
 */
public final class Scheduler {
  private static final Logger LOG = LoggerFactory.getLogger(Scheduler.class);

  private final ClusterState c;
  private final HeartbeatReconciler reports;
  private final CommandReconciler commands;
  private final Placement placement;
  private final FailureDetector silence;
  private final ScaleIn returning;
  private final ScaleOut renting;
  private final CostStatistics spending = new CostStatistics();
  private final OutstandingDecisions outstanding = new OutstandingDecisions();
  private long lastSweepMs = Long.MIN_VALUE / 2;
  private long lastPlanMs = Long.MIN_VALUE / 2;
  private long firstPlanMs = -1;
  private FailureDetector.FleetVisibility hearing =
      new FailureDetector.FleetVisibility(0, 0, false, false);

  /** The scheduler of one term, whose token this is. */
  public Scheduler(DeploymentLimits facts, SchedulingPolicy policy, long token) {
    this.c = new ClusterState(facts, policy, token);
    this.reports = new HeartbeatReconciler(c);
    this.commands = new CommandReconciler(c);
    this.placement = new Placement(c);
    this.silence = new FailureDetector(c);
    this.returning = new ScaleIn(c, silence);
    this.renting = new ScaleOut(c);
  }

  // ---- what the loops around it tell ----

  /** The cloud's machine types, with current prices. */
  public void types(Map<String, MachineType> known) {
    c.types(known);
  }

  /** Takes in a job; a job known already is left as it is. */
  public void addJob(JobSpec spec, boolean opened, BitSet done, long submittedMs) {
    if (c.jobs.containsKey(spec.id())) {
      return;
    }
    Job job = new Job(spec, submittedMs, opened, done, c.facts.aims(spec.jobClass()));
    job.inherited = opened;
    c.addJob(job);
  }

  /** A machine that an earlier leader named: it may hold anything until it is heard. */
  public void inherit(
      String name, String addr, String type, String zone, boolean spot, long nowMs) {
    Machine m = new Machine(name, addr, type, zone, spot, Machine.State.UNHEARD, nowMs);
    m.enrolled = true;
    m.inherited = true;
    c.addMachine(m);
  }

  /** Machines a rental brought, still booting; fewer than asked for: there are no more now. */
  public void rented(
      String rental, List<String> names, Decision.ProvisionMachines rent, long nowMs) {
    renting.settled(rental);
    if (names.size() < rent.count()) {
      renting.refused(rent, nowMs);
    }
    c.stir();
    for (String name : names) {
      if (!c.machines.containsKey(name)) {
        c.addMachine(
            new Machine(
                name, null, rent.type(), rent.zone(), rent.spot(), Machine.State.BOOTING, nowMs));
      }
    }
  }

  /** A rental was refused or failed. */
  public void notRented(
      String rental, Decision.ProvisionMachines rent, boolean noCapacity, long nowMs) {
    renting.settled(rental);
    if (noCapacity) {
      renting.refused(rent, nowMs);
    }
    c.stir();
  }

  /** A rental under this name is under way. */
  public void renting(String rental, Decision.ProvisionMachines rent) {
    renting.underWay(rental, rent);
  }

  /** Where the replicas of a service were, as an earlier leader noted: these have its image. */
  public void remembered(String id, List<String> where) {
    Job job = c.jobs.get(id);
    for (String name : where) {
      Machine m = c.machines.get(name);
      if (job != null && m != null) {
        m.touchImage(job.spec.image(), job.spec.imageGb());
      }
    }
  }

  /** From now on commands for the job may go out. */
  public void opened(String id) {
    outstanding.settled(Kind.OPEN_JOB, id);
    Job job = c.jobs.get(id);
    if (job != null) {
      job.opened = true;
      c.unopened.remove(job);
      for (TaskAttempt run : job.runs.values()) {
        c.stale.add(run.machine);
      }
      c.stir();
    }
  }

  /** The machine's record is durable: the incarnation for which it was asked may get tasks. */
  public void enrolled(String name) {
    outstanding.settled(Kind.RECORD_MACHINE, name);
    Machine m = c.machines.get(name);
    if (m == null) {
      return;
    }
    c.stir();
    if (m.recordAskedFor != null && m.recordAskedFor != m.incarnation) {
      return; // it restarted while the write was under way, and is asked for anew
    }
    m.enrolled = true;
    c.unrecorded.remove(m);
  }

  /** A decision could not be carried out; a later pass repeats it. */
  public void failed(Decision decision) {
    outstanding.failed(decision);
    c.stir();
  }

  /** The job's end is durable. */
  public void ended(String id, boolean cancelled, long nowMs) {
    outstanding.jobEnded(id);
    Job job = c.jobs.get(id);
    if (job != null) {
      LOG.info("job {} is {}: {}", id, cancelled ? "cancelled" : "done", job.story(nowMs));
      c.endJob(job, cancelled);
    }
  }

  /** The user asked to cancel: nothing of it starts any more, though the end is not durable yet. */
  public void cancelWanted(String id) {
    Job job = c.jobs.get(id);
    if (job != null && !job.cancelWanted) {
      job.cancelWanted = true;
      for (TaskAttempt run : job.runs.values()) {
        run.hasten();
        c.stale.add(run.machine);
      }
      c.stir();
    }
  }

  /**
   * Whether a cancellation could be kept if it were promised now: no machine that might hold one of
   * the job's tasks can still be renewed by an older leader, cut off together with it. Whoever
   * renews one from then on stops the task in the same answer, so it lives for a lease at most;
   * where users are promised less than that, none may be left.
   */
  public boolean cancelKeepable(String id) {
    Job job = c.jobs.get(id);
    if (job == null) {
      return true;
    }
    boolean left = !leaseWithin(c.facts) && job.holdsAny();
    return !(job.inherited && c.unheard()) && !heldUnclaimed(job) && !left;
  }

  /**
   * Whether a task of the job may still start though no further command goes out: a start is on its
   * way or in doubt, or an image is being fetched. So until the machine shows what became of it, is
   * gone, or its lease has run out.
   */
  public boolean mayStart(String id) {
    Job job = c.jobs.get(id);
    return job != null && job.mayStart();
  }

  /** Whether a lease that nobody renews is over within the time promised for a cancellation. */
  public static boolean leaseWithin(DeploymentLimits facts) {
    return leaseMs(facts) <= facts.cancelS() * 1000;
  }

  private static boolean heldUnclaimed(Job job) {
    for (TaskAttempt run : job.runs.values()) {
      if (run.ordered && !run.machine.claimed && run.machine.inherited) {
        return true;
      }
    }
    return false;
  }

  /** A worker showed a higher token: another leader has taken over. */
  public boolean deposed() {
    return reports.deposed();
  }

  /**
   * Whether most machines seem to be out of this leader's reach: those that it had heard, or most
   * of all that it has asked.
   */
  public boolean isolated() {
    return hearing.isolated() || hearing.deaf();
  }

  /** Share of the machines that should report whose reports are not overdue here; 1 without any. */
  public double heardShare() {
    return hearing.all() == 0 ? 1 : 1 - (double) hearing.overdue() / hearing.all();
  }

  /** What those other controllers said that were asked and reach workers, as far as they know. */
  public void witnessed(Decision.ProbeThroughPeers witness, List<Decision.PeerProbeResult> told) {
    silence.witnessed(witness, told);
    if (!told.isEmpty()) {
      lastPlanMs = Long.MIN_VALUE / 2; // what may go now should not wait for the next plan
    }
  }

  /** Whether this term has no attempt numbers left, so that it has to end. */
  public boolean usedUp() {
    return c.usedUp();
  }

  /** Whether machines of earlier leaders are still to be heard or proved gone. */
  public boolean starting() {
    return c.unheard();
  }

  /** Whether something happened that a pass may act on. */
  public boolean restless() {
    return c.restless();
  }

  /** This node did nothing for a while, though clocks ran on. */
  public void resumed(long nowMs) {
    c.resumed(nowMs);
  }

  // ---- workers ----

  /**
   * Up to then no other node can lead beside this one, as far as is known now: what workers say is
   * judged by it.
   */
  public void certainUntil(long soleUntilMs) {
    c.incarnations.certainUntil(soleUntilMs);
  }

  /**
   * A report that is being answered under this token; gives the commands for the answer, or null if
   * it must not be answered, since that would renew a lease of which nothing is known.
   */
  public List<Command> report(Heartbeat r, long nowMs) {
    if (c.goneRecently(r.machine())) {
      return commands.ends(r); // a late report of a machine that is gone
    }
    Machine m = reports.from(r, nowMs);
    if (reports.deposed()) {
      return List.of();
    }
    switch (reports.worth(m, r)) {
      case NOTHING -> {
        m.older = true;
        return commands.ends(r);
      }
      case DOUBT -> {
        m.older = true;
        return null;
      }
      case LIFE -> {
        m.older = true;
        m.heardMs = nowMs;
        m.renewedMs = nowMs;
        return commands.ends(r);
      }
      default -> {}
    }
    m.inVain += !m.claimed && m.reportSession > 0 && r.token() < c.token ? 1 : 0;
    m.reportSession = r.session();
    m.reportSeq = r.seq();
    reports.identify(m, r, false, nowMs);
    reports.heard(m, r, nowMs);
    boolean wasAnswered = nowMs - m.heardMs < c.facts.leaseS() * 500;
    m.heardMs = nowMs;
    m.renewedMs = nowMs;
    int before = m.heldCount();
    if (!reports.absorb(m, r, wasAnswered, nowMs)) {
      return commands.ends(r);
    }
    placement.serve(m, nowMs);
    if (m.heldCount() < before && placement.gangWaits(m)) {
      c.stir();
    }
    return commands.answer(m, nowMs);
  }

  /** Whether a direct order whose turn has come should still go out; if not it is settled. */
  public boolean stillDue(Decision.SendCommands d, long nowMs) {
    Machine m = c.machines.get(d.machine());
    if (m == null || !d.orders().isEmpty() || commands.worthAsking(m, nowMs)) {
      return true;
    }
    CommandReconciler.settled(m, false);
    again(m);
    return false;
  }

  /**
   * The orders of one whose turn has come, over a connection that exists by now, without starts of
   * jobs that are over or to be cancelled: it may have waited behind machines that do not answer
   * while its user was told that nothing of the job starts any more. Nor with any other start
   * unless no other node can lead yet: then the machine's life that has this connection was there
   * before any later leader, who makes it show a higher token, or hears its next life, which does
   * not have the connection, before starting the task elsewhere. What is left out goes with
   * answers.
   */
  public List<Command> stillWanted(Decision.SendCommands d, boolean sole) {
    return d.orders().stream()
        .filter(o -> o.op() != Command.Kind.START || (sole && (wanted(o.job()) || stops(d, o))))
        .toList();
  }

  /** Whether a start goes with its stop, of a job that is not over: nobody was told so yet. */
  private boolean stops(Decision.SendCommands d, Command start) {
    return c.jobs.containsKey(start.job())
        && d.orders().stream()
            .filter(o -> o.op() == Command.Kind.STOP)
            .anyMatch(o -> o.job().equals(start.job()) && o.index() == start.index());
  }

  private boolean wanted(String id) {
    Job job = c.jobs.get(id);
    return job != null && job.state == Job.State.LIVE && !job.cancelWanted;
  }

  /** Sends what was decided while a direct order to the machine waited or was under way. */
  private void again(Machine m) {
    if (CommandReconciler.due(m)) {
      c.stale.add(m);
      c.stir();
    }
  }

  /** Result of a direct order. {@code report} is null without an answer. */
  public void directResult(String name, boolean unknown, Heartbeat report, long nowMs) {
    commands.budget().settled(name, report != null, nowMs);
    Machine m = c.machines.get(name);
    if (m == null) {
      return;
    }
    CommandReconciler.settled(m, unknown);
    int before = m.heldCount();
    if (report != null && report.machine().equals(name)) {
      reports.from(report, nowMs);
      if (!reports.deposed()) {
        m.unanswered = 0;
        m.older = false;
        // What it says now is younger than all that was known when it was asked.
        if (!report.newerThan(m.askedSession, m.askedSeq)) {
          c.restarted(m, nowMs);
        } else if (m.restartSuspected && !c.incarnations.provenToContinue(m, report, nowMs)) {
          c.mayHaveRestarted(m, nowMs);
        }
        m.restartSuspected = false;
        reports.identify(m, report, true, nowMs);
        reports.heard(m, report, nowMs);
        reports.absorb(m, report, false, nowMs);
        commands.dropNeverStarted(m);
      }
    } else if (m.session > 0 || m.state == Machine.State.UNHEARD) {
      m.directLost |= unknown;
      m.directFailures++;
      m.askedInVain |= m.askedWhileSilent;
      m.unanswered++;
      if (m.unanswered == Constants.DEAF_TRIES && !c.overdue(m, nowMs)) {
        LOG.info("machine {} reports and answers nothing: nothing new goes there", m.name);
      }
    }
    again(m);
    if (m.heldCount() < before) {
      c.stir();
    }
  }

  // ---- the cloud ----

  /** One machine of a list. */
  public record ListedMachine(
      String name,
      String addr,
      String type,
      String zone,
      boolean spot,
      String state,
      double ageS) {}

  /** A complete list that was asked for at {@code askedMs} and arrived at {@code nowMs}. */
  public void list(Collection<ListedMachine> listed, long askedMs, long nowMs) {
    Set<String> names = new HashSet<>();
    for (ListedMachine l : listed) {
      names.add(l.name());
      Machine m = c.machines.get(l.name());
      if (l.state().equals("failed")) {
        c.gone(l.name(), "listed as failed", nowMs);
        returning.failed(l.name());
        continue;
      }
      if (m == null) {
        if (c.goneRecently(l.name())) {
          continue;
        }
        m =
            new Machine(
                l.name(),
                l.addr(),
                l.type(),
                l.zone(),
                l.spot(),
                Machine.State.BOOTING,
                // One that is up has its time to report from now on, however old it is.
                l.state().equals("running") ? nowMs : nowMs - (long) (l.ageS() * 1000));
        c.addMachine(m);
        LOG.info(
            "machine {} ({} in {}) is listed and was not asked for: taken in",
            l.name(),
            l.type(),
            l.zone());
      }
      m.listedMs = nowMs;
      m.hearsay = false;
      if (m.addr == null) {
        m.addr = l.addr();
      }
    }
    long lag = (long) (2 * c.facts.listLagS() * 1000) + Constants.CLOCK_MARGIN_MS;
    for (Machine m : new ArrayList<>(c.all())) {
      // Once listed, a machine stays listed until it is gone, and it is listed at the latest when
      // twice the lag has passed since it was there; but a list may be older than the last.
      if (!names.contains(m.name) && askedMs > m.listedMs + lag) {
        c.gone(m.name, "no longer listed", nowMs);
      }
    }
  }

  /** The cloud answered 200 to the return of these. */
  public void returned(List<String> names, long nowMs) {
    returning.returned(names, nowMs);
  }

  /** A return did not get its answer: it is asked for again by a later pass. */
  public void notReturned(List<String> names) {
    returning.notReturned(names);
  }

  // ---- the pass ----

  /**
   * One pass: placement, commands, records, and from time to time what is due by the clock. Up to
   * {@code soleUntilMs} no other node can have led beside this one.
   */
  public List<Decision> pass(long nowMs, long soleUntilMs) {
    c.calm();
    c.incarnations.certainUntil(soleUntilMs);
    List<Decision> out = new ArrayList<>();
    boolean sweep = nowMs - lastSweepMs >= Constants.SWEEP_MS;
    if (sweep) {
      lastSweepMs = nowMs;
      for (Machine m : c.all()) {
        expire(m, Math.min(nowMs, soleUntilMs));
        c.tellMute(m, nowMs);
      }
      silence.survey(nowMs);
      hearing = silence.hearing();
      Decision.ProbeThroughPeers witness = silence.ask(nowMs);
      if (witness != null) {
        out.add(witness);
      }
    }
    placement.pass(nowMs);
    List<Machine> due = new ArrayList<>(c.stale);
    c.stale.clear();
    for (Machine m : due) {
      if (!commands.mayGo(m)) {
        c.stale.add(m);
        continue;
      }
      Decision.SendCommands direct = commands.urgent(m, nowMs < soleUntilMs, nowMs);
      if (direct != null) {
        out.add(direct);
      } else if (m.orderInFlight) {
        c.stale.add(m);
      }
    }
    if (sweep) {
      commands.budget().tidy(nowMs);
      for (Machine m : c.all()) {
        Decision.SendCommands question = commands.question(m, nowMs < soleUntilMs, nowMs);
        if (question != null) {
          out.add(question);
        }
      }
    }
    for (Machine m : c.unrecorded) {
      if (!m.hearsay && outstanding.add(Kind.RECORD_MACHINE, m.name)) {
        out.add(new Decision.RegisterMachine(m.name, m.addr, m.type, m.zone, m.spot, false));
        m.recordAskedFor = m.incarnation;
      }
    }
    for (Job job : c.unopened) {
      if (!job.cancelWanted
          && !job.runs.isEmpty()
          && outstanding.add(Kind.OPEN_JOB, job.spec.id())) {
        out.add(new Decision.OpenJob(job.spec.id(), job.machines()));
      }
    }
    for (Job job : c.moved) {
      if (job.state == Job.State.LIVE && !job.runs.isEmpty()) {
        out.add(new Decision.PersistPlacement(job.spec.id(), job.machines()));
      }
    }
    c.moved.clear();
    c.completing.removeIf(job -> !job.complete());
    for (Job job : c.completing) {
      if (outstanding.add(Kind.FINISH_JOB, job.spec.id())) {
        out.add(new Decision.FinishJob(job.spec.id()));
      }
    }
    boolean planDue = nowMs - lastPlanMs >= Constants.RENT_PLAN_MS || renting.ready();
    if (planDue && !c.machineTypes.all().isEmpty()) {
      lastPlanMs = nowMs;
      plan(out, nowMs, nowMs < soleUntilMs);
    }
    List<Decision.DeregisterMachine> struck = c.struck();
    struck.forEach(s -> outstanding.settled(Kind.RECORD_MACHINE, s.machine()));
    out.addAll(struck);
    return out;
  }

  private void plan(List<Decision> out, long nowMs, boolean sole) {
    spending.add(c.all(), nowMs);
    returning.plan(out, sole, nowMs);
    firstPlanMs = firstPlanMs < 0 ? nowMs : firstPlanMs;
    // What is still to be heard of will take most of the queue, or runs it already.
    if (!c.unheard() || nowMs - firstPlanMs > Constants.RENT_AFTER_TAKEOVER_MS) {
      renting.plan(out, nowMs);
    }
  }

  /**
   * A lease that has run out proves that the machine's tasks are gone, but only for the time in
   * which this node alone can have answered its reports: a leader that was cut off or stood still
   * must not take its own silence for the silence of all.
   */
  private void expire(Machine m, long soleMs) {
    boolean counts = m.state == Machine.State.LIVE || m.state == Machine.State.RETURNING;
    long silentMs = soleMs - m.heardMs;
    if (!counts || !m.claimed || silentMs <= leaseMs(c.facts)) {
      return;
    }
    int dropped = c.dropShown(m);
    for (TaskAttempt run : m.runs.values()) {
      run.lapsed = true;
    }
    if (m.state == Machine.State.LIVE || dropped > 0) {
      LOG.info("machine {} was not heard for {} ms: its lease has run out", m.name, silentMs);
    }
    // A machine that is being returned is no more to be used, also while the cloud is away.
    if (m.state == Machine.State.LIVE) {
      c.enter(m, Machine.State.LOST);
    }
  }

  /**
   * Counted from the receipt of the last report answered, which is later than its sending, or of
   * the first word of a new session, which is later than its beginning, plus the drift between
   * steady clocks and a margin.
   */
  private static long leaseMs(DeploymentLimits facts) {
    return (long) (facts.leaseS() * 1000 * (1 + 2 * Constants.CLOCK_DRIFT))
        + Constants.CLOCK_MARGIN_MS;
  }

  // ---- what users and operators see ----

  /** State of a live job for its user; null if this leader does not look after it. */
  public JobProgress view(String id) {
    Job job = c.jobs.get(id);
    if (job == null) {
      return null;
    }
    int running = job.running();
    return new JobProgress(running > 0, job.doneCount(), running, job.complete());
  }

  /** A live job as its user sees it. */
  public record JobProgress(boolean running, int done, int runningTasks, boolean complete) {}

  /** The done tasks of jobs whose record lags behind. */
  public Map<String, BitSet> unsaved() {
    Map<String, BitSet> out = new LinkedHashMap<>();
    for (Job job : c.unsaved) {
      if (!job.complete()) {
        out.put(job.spec.id(), (BitSet) job.done.clone());
      }
    }
    c.unsaved.clear();
    return out;
  }

  /** These tasks of the job are done on record. */
  public void saved(String id, BitSet done) {
    Job job = c.jobs.get(id);
    if (job != null) {
      job.doneDurable.or(done);
    }
  }

  /** One line for the log. */
  public String summary() {
    int live = 0;
    int booting = 0;
    int waiting = 0;
    for (Machine m : c.all()) {
      live += m.state == Machine.State.LIVE ? 1 : 0;
      booting += m.state == Machine.State.BOOTING ? 1 : 0;
    }
    for (Job job : c.waiting) {
      waiting += job.waitingCount();
    }
    return c.jobs.size()
        + " jobs, "
        + waiting
        + " tasks wait, "
        + live
        + " machines live, "
        + booting
        + " booting, "
        + (c.machines.size() - live - booting)
        + " other, "
        + c.utilization.summary()
        + ", "
        + commands.budget()
        + "; "
        + spending;
  }

  /** A line for the log: what each class and team got; warns of one that gets nothing. */
  public String served(long nowMs) {
    // What runs on machines not heard yet seems to wait.
    if (!c.unheard()) {
      c.served.unbegun(c.waiting, c::teamAllows, nowMs);
    }
    return c.served.summary(c.jobs.values(), nowMs);
  }

  /** For tests: looks at a job for a machine so far. */
  long looks() {
    return c.looks;
  }

  /** For tests: decisions asked for once that have not been carried out yet. */
  int outstanding() {
    return outstanding.size();
  }

  /** For tests, which sum its books up anew. */
  ClusterState cluster() {
    return c;
  }

  /** For traces: a job as it stands. */
  Job job(String id) {
    return c.jobs.get(id);
  }
}
