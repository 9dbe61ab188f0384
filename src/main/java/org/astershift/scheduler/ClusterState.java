package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.astershift.config.Constants;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What one term knows: jobs, machines, and which machine holds which attempt. It keeps the sums and
 * the sets of what changed, so that an event costs what it changes and not a walk over everything.
 *
 * <p>A {@link TaskAttempt} leaves only on proof: the machine's own newer report, the end of its
 * session, the answer to its return, the cloud's list, or a lease that ran out while only this
 * leader could have renewed it.
 */
final class ClusterState {
  private static final Logger LOG = LoggerFactory.getLogger(ClusterState.class);

  final DeploymentLimits facts;
  final SchedulingPolicy policy;
  final long token;
  final Map<String, Job> jobs = new LinkedHashMap<>();
  final Map<String, Machine> machines = new LinkedHashMap<>();

  /** Jobs with tasks that are neither done nor held. */
  final Set<Job> waiting = new LinkedHashSet<>();

  /** Machines for which a command may be due that should not wait for their next report. */
  final Set<Machine> stale = new LinkedHashSet<>();

  /** Live machines that no record lets have tasks yet. */
  final Set<Machine> unrecorded = new LinkedHashSet<>();

  /** Jobs with tasks placed that must be opened before the first start goes out. */
  final Set<Job> unopened = new LinkedHashSet<>();

  /** Services of which a replica was placed since they were opened. */
  final Set<Job> moved = new LinkedHashSet<>();

  /** Jobs that may have completed. */
  final Set<Job> completing = new LinkedHashSet<>();

  /** Jobs with done tasks that no record holds yet. */
  final Set<Job> unsaved = new LinkedHashSet<>();

  final ServiceStatistics served = new ServiceStatistics();
  final IncarnationTracker incarnations;
  final MinimumShare floor = new MinimumShare(this);
  final MachineTypeCatalog machineTypes = new MachineTypeCatalog();
  final Utilization utilization = new Utilization();
  private final UnobservedUsage hidden = new UnobservedUsage();

  /** Looks at a job for a machine, so that tests can count what a pass and a report cost. */
  long looks;

  private static final double TOLERANCE = 1e-6;
  private static final TreeSet<Job> NONE = new TreeSet<>();
  private static final Comparator<Job> EARLIER =
      Comparator.comparingLong((Job j) -> j.submittedMs).thenComparing(j -> j.spec.id());
  private final Map<String, TreeSet<Job>> teamJobs = new HashMap<>();
  private final Map<String, double[]> teamUse = new HashMap<>();
  private final List<Decision.DeregisterMachine> struck = new ArrayList<>();
  private final Map<String, DecayingRate> reuse = new HashMap<>();
  private final Map<String, Long> goneMs = new LinkedHashMap<>();
  private final Map<String, Long> cutZones = new HashMap<>();
  private long attempts;
  private long resumedMs = Long.MIN_VALUE / 2;
  private int unheard;
  private boolean restless;

  ClusterState(DeploymentLimits facts, SchedulingPolicy policy, long token) {
    this.facts = facts;
    this.policy = policy;
    this.token = token;
    this.incarnations = new IncarnationTracker(token);
  }

  // ---- what a pass has to look at ----

  /** Something happened that a pass may act on. */
  void stir() {
    restless = true;
  }

  boolean restless() {
    return restless;
  }

  void calm() {
    restless = false;
  }

  /** What machines said while this node stood still is not read yet: silence counts from now. */
  void resumed(long nowMs) {
    resumedMs = nowMs;
  }

  /** How long nothing at all has come from the machine, while this node listened. */
  long silenceMs(Machine m, long nowMs) {
    return nowMs - Math.max(resumedMs, m.saidMs());
  }

  /** Its report is overdue. */
  boolean overdue(Machine m, long nowMs) {
    return silenceMs(m, nowMs) > suspectMs();
  }

  // ---- machine types ----

  void types(Map<String, MachineType> known) {
    machineTypes.become(known);
    for (Machine m : machines.values()) {
      m.kind = known.get(m.type);
    }
    hidden.recount();
    for (Job job : jobs.values()) {
      machineTypes.fit(job);
    }
    recount();
    stir();
  }

  // ---- jobs ----

  void addJob(Job job) {
    machineTypes.fit(job);
    job.group = floor.group(job.spec);
    jobs.put(job.spec.id(), job);
    if (!job.waiting.isEmpty()) {
      waiting.add(job);
    }
    teamJobs.computeIfAbsent(job.spec.team(), t -> new TreeSet<>(EARLIER)).add(job);
    job.guaranteed = guaranteed(job);
    completing.add(job);
    served.accepted(job);
    stir();
  }

  /** The job's end is durable: what was placed and never sent is let go, the rest is stopped. */
  void endJob(Job job, boolean cancelled) {
    jobs.remove(job.spec.id());
    teamJobs.get(job.spec.team()).remove(job);
    waiting.remove(job);
    unopened.remove(job);
    completing.remove(job);
    unsaved.remove(job);
    served.ended(job, cancelled);
    if (!cancelled) {
      MinimumShare.finished(job);
    }
    job.state = cancelled ? Job.State.CANCELLED : Job.State.DONE;
    for (TaskAttempt run : new ArrayList<>(job.runs.values())) {
      if (run.ordered) {
        run.hasten();
        stale.add(run.machine);
      } else {
        drop(run);
      }
    }
    stir();
  }

  /** The team's unfinished jobs in the order of their submission. */
  Set<Job> unfinished(String team) {
    return teamJobs.getOrDefault(team, NONE);
  }

  /**
   * Whether the job lies within its team's guarantee: it fits there together with the team's
   * earlier unfinished jobs. What the team uses at the moment says something else: of a long queue
   * it gave the guarantee to whichever job was next, before other teams' jobs that could still be
   * in time.
   */
  private boolean guaranteed(Job job) {
    Team team = facts.teams().get(job.spec.team());
    if (team == null) {
      return false;
    }
    double left = job.spec.gpus() > 0 ? team.gpus() : team.cpus();
    for (Job earlier : teamJobs.get(team.name()).headSet(job, true)) {
      JobSpec s = earlier.spec;
      left -= (job.spec.gpus() > 0 ? s.gpus() : s.cpus()) * team.atOnce(s);
      if (left < -TOLERANCE) {
        return false;
      }
    }
    return true;
  }

  void markDone(Job job, int index) {
    job.markDone(index);
    if (job.waiting.isEmpty()) {
      waiting.remove(job);
    }
    unsaved.add(job);
    if (job.complete()) {
      completing.add(job);
      stir();
    }
  }

  // ---- machines ----

  void addMachine(Machine m) {
    m.kind = machineTypes.all().get(m.type);
    machines.put(m.name, m);
    unheard += m.inherited && !m.claimed ? 1 : 0;
    hidden.look(m, true);
    enter(m, m.state);
  }

  /**
   * The machine now belongs to this term's token. Up to now an older leader may have answered its
   * reports, so its lease counts from here.
   */
  void claim(Machine m, long nowMs) {
    if (m.claimed) {
      return;
    }
    m.claimed = true;
    m.heardMs = nowMs;
    m.renewedMs = nowMs;
    m.unanswered = 0;
    m.hearsay = false;
    hidden.look(m, true);
    if (m.inherited) {
      LOG.debug("machine {} answers to token {}", m.name, token);
      heard(m, nowMs);
    }
    stir();
  }

  private void heard(Machine m, long nowMs) {
    unheard--;
    if (unheard == 0) {
      LOG.info(
          "all machines of earlier leaders answer to token {} or are gone, {} ms after its begin",
          token,
          nowMs - m.knownMs);
    }
  }

  void enter(Machine m, Machine.State state) {
    m.state = state;
    if (state == Machine.State.LIVE) {
      if (!m.enrolled) {
        unrecorded.add(m);
      }
      stir();
    } else {
      unrecorded.remove(m);
    }
  }

  /** Whether some machine may still hold what an earlier leader started. */
  boolean unheard() {
    return unheard > 0;
  }

  /** Whether only so few machines are left to be heard that the trouble is theirs. */
  boolean fewUnheard() {
    return unheard <= Math.max(Constants.SILENT_FEW, machines.size() * Constants.UNHEARD_SHARE);
  }

  /**
   * The machine may have restarted, and nothing shows whether: what it had shown is taken from its
   * next message, and what is on its way to it stays held.
   */
  void mayHaveRestarted(Machine m, long nowMs) {
    for (TaskAttempt run : m.runs.values()) {
      if (run.phase == null && run.answered) {
        run.doubtful = true;
        run.orderedIn = Math.max(1, m.session);
      }
    }
    restarted(m, nowMs);
  }

  /**
   * A message may be of an incarnation that began while the lease was uncertain. Where none was
   * known in this term, the record is of an earlier one, too: it is written anew.
   */
  void incarnationUnproven(Machine m) {
    if (m.incarnation.isKnown()) {
      LOG.debug("machine {} may have restarted while the lease is uncertain", m.name);
      m.incarnation = new MachineIncarnation();
    } else {
      LOG.debug("machine {} is first heard while the lease is uncertain", m.name);
      m.enrolled = false;
      enter(m, m.state);
    }
  }

  /** The machine began anew: what it held is gone, and it has to be heard as any other. */
  void restarted(Machine m, long nowMs) {
    LOG.info("machine {} began anew: its {} tasks are gone", m.name, m.heldCount());
    dropShown(m);
    for (TaskAttempt run : m.runs.values()) {
      run.ordered = false; // it is repeated, once the machine may have tasks again
      run.lapsed = false; // and fits the new life
      run.answered = false; // an answer ends with the connection of the life before
    }
    boolean counted = m.inherited && !m.claimed;
    m.restarted();
    m.heardMs = nowMs;
    m.unheardMs = nowMs;
    unheard += counted ? 0 : 1;
    hidden.look(m, true);
    enter(m, Machine.State.UNHEARD);
  }

  /**
   * Whether the machine is one of a few that this leader cannot make listen, for so long that all
   * that waits for it is worth more than the machine, though other controllers may reach it.
   */
  boolean holdsUp(Machine m, long nowMs) {
    return m.state == Machine.State.UNHEARD
        && fewUnheard()
        && nowMs - Math.max(resumedMs, m.unheardMs) > Constants.HOLD_UP_MS;
  }

  /** Proof that the machine and all on it are gone. */
  void gone(String name, String why, long nowMs) {
    Machine m = machines.remove(name);
    if (m == null) {
      return;
    }
    LOG.info("machine {} is gone ({}), with {} tasks", name, why, m.heldCount());
    long keep = (long) (4 * facts.listLagS() * 1000) + Constants.LATE_REPORTS_MS;
    goneMs.values().removeIf(at -> at + keep < nowMs);
    goneMs.put(name, nowMs);
    if (m.inherited && !m.claimed) {
      heard(m, nowMs);
    }
    dropAll(m);
    hidden.look(m, false);
    stale.remove(m);
    unrecorded.remove(m);
    struck.add(new Decision.DeregisterMachine(name, m.addr));
    stir();
  }

  /** Whether the machine is known to be gone: old lists and late reports may still speak of it. */
  boolean goneRecently(String name) {
    return goneMs.containsKey(name);
  }

  /** Machines gone since the last call. */
  List<Decision.DeregisterMachine> struck() {
    List<Decision.DeregisterMachine> out = new ArrayList<>(struck);
    struck.clear();
    return out;
  }

  /** Whether new tasks may go there: not to a machine whose report is overdue. */
  boolean usable(Machine m, long nowMs) {
    return m.usable(nowMs)
        && incarnations.usable(m, nowMs)
        && !overdue(m, nowMs)
        && !mute(m, nowMs);
  }

  /**
   * Its reports find no way here, though it may answer orders. These renew no lease, so what starts
   * there now ends with the lease that is half over.
   */
  boolean mute(Machine m, long nowMs) {
    long sinceMs = nowMs - Math.max(resumedMs, m.renewedMs);
    return sinceMs > facts.leaseS() * 1000 * Constants.MUTE_LEASES;
  }

  /** Says in the log when a machine becomes mute, and when its reports come again. */
  void tellMute(Machine m, long nowMs) {
    boolean mute = mute(m, nowMs);
    if (m.state == Machine.State.LIVE && mute != m.toldMute && !overdue(m, nowMs)) {
      m.toldMute = mute;
      LOG.info(
          mute
              ? "machine {} answers orders and its reports do not come: nothing new goes there"
              : "machine {} reports again",
          m.name);
    }
  }

  /** Silence after which a machine is asked directly: its report is overdue. */
  private long suspectMs() {
    return latestReportMs() + Constants.SUSPECT_MS;
  }

  /** Milliseconds from one report of a machine to the next, at most. */
  private long latestReportMs() {
    return (long) (facts.reportS() * 1000 * Constants.REPORT_LATEST);
  }

  /**
   * From when on a question in vain cannot have met a restart: one that began after its last word.
   * Where no report was to be expected after that, since this leader is cut off from the machine or
   * hears its answers alone, it may also have begun until the others first failed to reach it.
   */
  long noRestartFromMs(Machine m) {
    if (m.saidMs() - m.renewedMs > latestReportMs() || m.peerFindings.reachedSince(m.saidMs())) {
      return m.peerFindings.firstUnreachedMs()
          + Constants.WITNESS_TIMEOUT_MS
          + Constants.RESTART_MS;
    }
    return Math.max(resumedMs, m.saidMs()) + latestReportMs() + Constants.RESTART_MS;
  }

  /** Silence after which a machine that does not answer either is given back. */
  long patienceMs() {
    return suspectMs() + Constants.SILENT_MS;
  }

  /** So many machines of the zone fell silent that it must be cut off. */
  void cutOff(String zone, long nowMs) {
    if (cutZones.put(zone, nowMs) == null) {
      LOG.info("zone {} is taken to be cut off: its machines have fallen silent", zone);
    }
  }

  /** Whether nothing can be expected from the zone now. */
  boolean isCutOff(String zone, long nowMs) {
    Long at = cutZones.get(zone);
    return at != null && nowMs - at < Constants.ZONE_CUT_MS;
  }

  /** A machine of the zone has spoken. */
  void heardFrom(String zone) {
    if (cutZones.remove(zone) != null) {
      LOG.info("zone {} is heard again", zone);
    }
  }

  // ---- holding and releasing ----

  /** Attempt numbers are about to run out: only a new token brings new ones. */
  boolean usedUp() {
    return attempts >= (1L << Constants.ATTEMPT_BITS) - Constants.ATTEMPTS_LEFT;
  }

  long nextAttempt() {
    return (token << Constants.ATTEMPT_BITS) | ++attempts;
  }

  TaskAttempt place(Job job, int index, Machine m, long attempt, long nowMs) {
    if (m.idle()) {
      reuse.computeIfAbsent(m.type, t -> new DecayingRate(Constants.REUSE_WINDOW_S)).add(nowMs);
    }
    TaskAttempt run = new TaskAttempt(job, index, attempt, m, nowMs);
    m.add(run);
    hold(run);
    job.lastPlacedMs = nowMs;
    stale.add(m);
    if (!job.opened) {
      unopened.add(job);
    } else if (job.spec.kind() == JobKind.SERVICE) {
      moved.add(job);
    }
    stir();
    return run;
  }

  /** How many machines of a type are taken from idleness in a second, lately. */
  double reusedPerS(String type, long nowMs) {
    DecayingRate d = reuse.get(type);
    return d == null ? 0 : d.perS(nowMs);
  }

  /** A task found on a machine; it is the job's unless another attempt is, or nobody wants it. */
  void adopt(TaskAttempt run) {
    run.machine.add(run);
    if (!run.exited()) {
      use(run, 1);
    }
  }

  /** Makes an adopted run the one that holds its task. */
  void recognise(TaskAttempt run) {
    run.job.hold(run);
    if (run.job.waiting.isEmpty()) {
      waiting.remove(run.job);
    }
  }

  private void hold(TaskAttempt run) {
    use(run, 1);
    recognise(run);
  }

  private void use(TaskAttempt run, int sign) {
    JobSpec s = run.job.spec;
    run.machine.use(s, sign);
    if (run.job.stranger) {
      run.machine.strangers(sign);
      hidden.look(run.machine, machines.get(run.machine.name) == run.machine);
    }
    utilization.use(run.machine, sign * s.cpus());
    double[] u = teamUse.computeIfAbsent(s.team(), t -> new double[2]);
    u[0] += sign * s.cpus();
    u[1] += sign * s.gpus();
  }

  double[] teamUse(String team) {
    return teamUse.getOrDefault(team, new double[2]);
  }

  /** Whether the team may have one more task of the job. */
  boolean teamAllows(Job job) {
    return teamAllows(job, 1);
  }

  /** Whether the team may have so many more tasks of the job, whatever the unheard hold of it. */
  boolean teamAllows(Job job, int tasks) {
    Team team = facts.teams().get(job.spec.team());
    if (team == null) {
      return false;
    }
    double[] use = teamUse(team.name());
    JobSpec s = job.spec;
    return team.allows(
        use[0] + (s.cpus() > 0 ? tasks * s.cpus() + hidden.cpus() : 0),
        use[1] + (s.gpus() > 0 ? tasks * s.gpus() + hidden.gpus() : 0));
  }

  /** Processors and accelerators that the team may still take, whatever the unheard hold of it. */
  double[] teamLeft(String name) {
    Team team = facts.teams().get(name);
    if (team == null) {
      return new double[2];
    }
    double[] use = teamUse(name);
    return new double[] {
      team.cpusMax() > 0 ? team.cpusMax() - use[0] - hidden.cpus() : Double.MAX_VALUE,
      team.gpusMax() > 0 ? team.gpusMax() - use[1] - hidden.gpus() : Double.MAX_VALUE
    };
  }

  /** The task is off its machine; its entry there may stay until the worker has forgotten it. */
  void release(TaskAttempt run) {
    use(run, -1);
    Job job = run.job;
    job.extras.remove(run);
    if (job.release(run)) {
      for (TaskAttempt extra : job.extras) {
        if (extra.index == run.index) {
          job.extras.remove(extra);
          recognise(extra);
          break;
        }
      }
      if (job.state == Job.State.LIVE && !job.waiting.isEmpty()) {
        waiting.add(job);
      }
    }
  }

  /** Proof that the machine does not have the attempt, nor will. */
  void drop(TaskAttempt run) {
    if (!run.exited()) {
      release(run);
      run.job.restarts += run.ordered ? 1 : 0;
      stir();
    }
    run.machine.remove(run);
  }

  /**
   * Proof that nothing of what the machine held is left there, though what is on its way may still
   * start: that stays held until the machine is heard in a later session, or is gone. Says how many
   * were dropped.
   */
  int dropShown(Machine m) {
    int dropped = 0;
    for (TaskAttempt run : new ArrayList<>(m.runs.values())) {
      if (!run.pending()) {
        drop(run);
        dropped++;
      }
    }
    return dropped;
  }

  /** Proof that nothing of what the machine held is left there, nor on its way. */
  void dropAll(Machine m) {
    for (TaskAttempt run : new ArrayList<>(m.runs.values())) {
      drop(run);
    }
  }

  /** Stops a task in the way that saves most: a gang as a whole, with time to save. */
  void stop(TaskAttempt run) {
    if (run.job.spec.kind() == JobKind.GANG) {
      for (TaskAttempt other : run.job.runs.values()) {
        mark(other);
      }
    } else {
      mark(run);
    }
  }

  /** The attempt will never be complete: what waits under its number waits in vain. */
  void stopAttempt(Job job, long attempt) {
    for (TaskAttempt run : job.runs.values()) {
      if (run.attempt == attempt) {
        mark(run);
      }
    }
    stir();
  }

  private void mark(TaskAttempt run) {
    run.stopping = true;
    run.machine.stoppable = null;
    run.stopGraceS = run.job.spec.checkpointS() > 0 ? run.job.spec.saveS() + 1 : 0;
    stale.add(run.machine);
  }

  /** Sums up what is used anew; in between, holding and releasing keep it up. */
  void recount() {
    utilization.recount(machines.values());
  }

  Collection<Machine> all() {
    return machines.values();
  }
}
