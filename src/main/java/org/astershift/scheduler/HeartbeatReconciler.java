package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import org.astershift.config.Constants;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Brings what is known of machines and tasks up to what workers say of themselves. */
final class HeartbeatReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatReconciler.class);
  private final ClusterState c;
  private final FaultAttribution blame;
  private boolean deposed;

  HeartbeatReconciler(ClusterState cluster) {
    this.c = cluster;
    this.blame = new FaultAttribution(cluster);
  }

  /** A worker showed a higher token: another leader has taken over. */
  boolean deposed() {
    return deposed;
  }

  /**
   * Whose report it is, whatever its age. A token is never taken back, so a higher one counts from
   * any copy; a machine that nobody knows is taken in, and used once more than hearsay speaks for
   * it.
   */
  Machine from(Heartbeat r, long nowMs) {
    if (r.token() > c.token) {
      deposed = true;
    }
    Machine m = c.machines.get(r.machine());
    if (m == null) {
      m =
          new Machine(
              r.machine(), r.addr(), r.type(), r.zone(), r.spot(), Machine.State.LIVE, nowMs);
      m.hearsay = true;
      c.addMachine(m);
      LOG.info(
          "machine {} ({} in {}) reports and was not asked for: taken in", m.name, m.type, m.zone);
    }
    return m;
  }

  /** What a message that came as a report proves. */
  enum Evidence {
    /** The machine said this, and after all that is known of it. */
    ALL,
    /**
     * A copy, or what the worker gave up: one report is under way at a time, and a newer one came.
     * No answer to it reaches anybody, so it renews no lease.
     */
    NOTHING,
    /** Of this life of the machine or of an earlier one: only its answer to a question tells. */
    LIFE,
    /**
     * The same, and it says that what is held there is gone. It is not answered: if the machine is
     * asked in vain, its lease runs out by this leader's clock.
     */
    DOUBT
  }

  /**
   * Session and tick order what a machine says within one life, but it may begin anew under its
   * name, from session 1, and copies of what it said before come for minutes. Taken for news, a
   * copy with a higher session dropped tasks that ran, which then ran twice (seeds 516 and 3143 of
   * the swarm).
   */
  Evidence worth(Machine m, Heartbeat r) {
    boolean lostToken = m.claimed && r.token() < c.token;
    boolean lostSession = m.claimed && r.session() > m.session && m.session > 0 && m.holdsAny();
    boolean lostTask = !m.restartedInTerm && r.session() == m.session && lacksTask(m, r);
    m.restartSuspected |= lostToken || lostTask;
    if (lostToken || lostSession || lostTask) {
      return Evidence.DOUBT;
    }
    if (!r.newerThan(m.reportSession, m.reportSeq) || r.session() < m.session) {
      return Evidence.NOTHING;
    }
    return m.restartedInTerm ? Evidence.LIFE : Evidence.ALL;
  }

  /** Notes of which incarnation a message is; {@code answer}: to a direct order of this leader. */
  void identify(Machine m, Heartbeat r, boolean answer, long nowMs) {
    if (!r.newerThan(m.session, m.seq)) {
      return;
    }
    boolean uncertain = c.incarnations.leaseUncertain(nowMs);
    if (uncertain && !c.incarnations.continues(m, r, answer, nowMs)) {
      c.incarnationUnproven(m);
    }
    c.incarnations.seen(m, r, answer, nowMs);
  }

  /**
   * Whether the report lacks a task that was shown and has not ended. Within a session a task stays
   * in its machine's reports until it is cleared, so this one is of another incarnation: it was
   * held back on its way, or the machine restarted and has sent more by now than before.
   */
  private static boolean lacksTask(Machine m, Heartbeat r) {
    if (!r.newerThan(m.session, m.seq)) {
      return false;
    }
    for (TaskAttempt run : m.runs.values()) {
      if (run.phase != null && !run.exited() && !r.shows(run.key)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Notes that the machine spoke. A copy of an old report may come any time later, from before its
   * return, its loss or a change of leaders: what is not newer moves no clock and revives nothing.
   */
  void heard(Machine m, Heartbeat r, long nowMs) {
    if (!r.newerThan(m.session, m.seq)) {
      return;
    }
    m.addr = r.addr();
    m.seenMs = nowMs;
    m.firstSaidMs = m.firstSaidMs < 0 ? nowMs : m.firstSaidMs;
    c.heardFrom(m.zone);
    if (r.token() == c.token) {
      c.claim(m, nowMs);
    }
    if (m.state == Machine.State.BOOTING || m.state == Machine.State.LOST) {
      LOG.info(
          "machine {} ({} in {}) is up after {} ms", m.name, m.type, m.zone, nowMs - m.knownMs);
      m.idleSinceMs = nowMs;
      c.enter(m, Machine.State.LIVE);
    } else if (m.state == Machine.State.UNHEARD && m.claimed) {
      m.idleSinceMs = nowMs;
      c.enter(m, Machine.State.LIVE);
    }
  }

  /**
   * Brings what is known of the machine up to this report; false if the report is not newer. {@code
   * wasAnswered}: the one before it was answered well within a lease.
   */
  boolean absorb(Machine m, Heartbeat r, boolean wasAnswered, long nowMs) {
    if (!r.newerThan(m.session, m.seq)) {
      return false;
    }
    if (r.session() > m.session) {
      if (m.session > 0 && wasAnswered) {
        m.older = true; // its lease ran out all the same: do answers reach it?
      }
      for (TaskAttempt run : new ArrayList<>(m.runs.values())) {
        if (run.pending() && run.orderedIn >= r.session()) {
          continue; // of a life before: the order may be meant for this session, too
        }
        LOG.info("task {} on {} ended with its session", run.name(), m.name);
        c.drop(run);
      }
      // A session's lease counts from its own beginning, which may be long after the last report
      // that found its way here: told by the answer to an order, it was taken for run out by that
      // report's time, and what had been started in it ran twice.
      m.heardMs = Math.max(m.heardMs, nowMs);
    }
    m.session = r.session();
    m.seq = r.seq();
    m.directFailures = m.deafAnew() ? m.directFailures : 0;
    m.askedInVain &= m.deafAnew();
    if (r.noticeS() != null && m.noticeS == null) {
      LOG.info("machine {} will be taken back in {} s", m.name, r.noticeS());
      c.stir();
    }
    m.noticeS = r.noticeS();
    List<Heartbeat.TaskStatus> strange = new ArrayList<>(0);
    for (Heartbeat.TaskStatus item : r.tasks()) {
      TaskAttempt run = m.runs.get(new TaskAttempt.Key(item.job(), item.index(), item.attempt()));
      if (run == null) {
        strange.add(item);
      } else {
        run.shownSeq = r.seq();
        update(run, item, nowMs);
      }
    }
    List<TaskAttempt> absent = new ArrayList<>(0);
    for (TaskAttempt run : m.runs.values()) {
      if (run.phase != null && run.shownSeq != r.seq()) {
        absent.add(run);
      }
    }
    for (TaskAttempt run : absent) {
      c.drop(run);
    }
    for (Heartbeat.TaskStatus item : strange) {
      adopt(m, item, r.seq(), nowMs);
    }
    if (!m.idle()) {
      m.idleSinceMs = nowMs;
    }
    return true;
  }

  private void update(TaskAttempt run, Heartbeat.TaskStatus item, long nowMs) {
    if (run.exited() || run.phase == item.phase()) {
      return;
    }
    Job job = run.job;
    Machine m = run.machine;
    run.ordered = true;
    if (item.begun()) {
      job.begun(run.attempt);
    }
    if (run.phase == null) {
      m.unanswered = 0; // an order of ours has reached it
    }
    if (item.phase() != Heartbeat.TaskPhase.FETCHING
        && item.phase() != Heartbeat.TaskPhase.EXITED) {
      if (run.phase == null || run.phase == Heartbeat.TaskPhase.FETCHING) {
        m.touchImage(job.spec.image(), job.spec.imageGb());
      }
      if (item.phase() == Heartbeat.TaskPhase.RUNNING && run.runningSinceMs < 0) {
        run.runningSinceMs = nowMs;
        c.served.started(job, nowMs);
        LOG.debug(
            "task {} runs on {}, {} ms after it was placed",
            run.name(),
            m.name,
            nowMs - run.placedMs);
      }
    }
    if (item.phase() != Heartbeat.TaskPhase.EXITED) {
      job.phase(run, item.phase());
      completeStop(run);
      return;
    }
    c.release(run);
    if (!"done".equals(item.cause())) {
      job.restarts++;
    }
    run.phase = Heartbeat.TaskPhase.EXITED;
    run.cause = item.cause();
    exited(run, nowMs);
  }

  private void exited(TaskAttempt run, long nowMs) {
    Job job = run.job;
    Machine m = run.machine;
    String cause = run.cause == null ? "?" : run.cause;
    if (job.state != Job.State.LIVE) {
      return;
    }
    switch (cause) {
      case "done" -> {
        blame.succeeded(job, m);
        if (job.spec.kind() != JobKind.SERVICE) {
          c.markDone(job, run.index);
        }
      }
      case "error" -> {
        LOG.info("task {} failed on {}", run.name(), m.name);
        blame.failed(run, nowMs);
      }
      case "no_room", "in_use", "unknown" -> {
        LOG.info("start of {} refused by {}: {}", run.name(), m.name, cause);
        m.holdUntilMs = nowMs + Constants.REFUSED_HOLD_MS;
        if (cause.equals("unknown")) {
          job.pausedUntilMs = nowMs + Constants.UNKNOWN_PAUSE_MS;
        }
      }
      case "incomplete" -> {
        LOG.info("gang task {} on {} gave up waiting for the others", run.name(), m.name);
        c.stopAttempt(job, run.attempt);
      }
      default -> {
        LOG.debug("task {} on {} exited: {}", run.name(), m.name, cause);
        c.stir();
      }
    }
  }

  private void adopt(Machine m, Heartbeat.TaskStatus item, long seq, long nowMs) {
    Job job = c.jobs.get(item.job());
    if (job == null || item.index() >= job.spec.tasks()) {
      job = stub(item);
    }
    TaskAttempt run = new TaskAttempt(job, item.index(), item.attempt(), m, nowMs);
    run.ordered = true;
    run.phase = item.phase();
    run.cause = item.cause();
    run.shownSeq = seq;
    c.adopt(run);
    if (item.begun()) {
      job.begun(run.attempt);
    }
    if (run.exited()) {
      exited(run, nowMs);
      return;
    }
    if (item.phase() == Heartbeat.TaskPhase.RUNNING) {
      run.runningSinceMs = nowMs;
    }
    if (item.phase() != Heartbeat.TaskPhase.FETCHING) {
      m.touchImage(job.spec.image(), job.spec.imageGb());
    }
    TaskAttempt other = job.runs.get(run.index);
    if (other != null && !other.ordered && !other.pending()) {
      c.drop(other);
      other = null;
    }
    if (other != null && m.claimed && !other.machine.claimed && job.state == Job.State.LIVE) {
      // What the other said may be a copy of an old report, this leader's first word of it. This
      // one shows the token, so it has the task now, and a task is never on two machines.
      LOG.info("task {} is on {} and not on {}", run.name(), m.name, other.machine.name);
      job.release(other);
      job.extras.add(other);
      other.stopping = true;
      other = null;
    }
    if (job.state != Job.State.LIVE || job.done.get(run.index) || other != null) {
      LOG.info("task {} attempt {} on {} is not wanted: stopped", run.name(), run.attempt, m.name);
      run.stopping = true;
      if (other != null) {
        job.extras.add(run);
      }
      return;
    }
    c.recognise(run);
    completeStop(run);
    job.opened = true;
    if (item.phase() == Heartbeat.TaskPhase.RUNNING) {
      c.served.started(job, nowMs);
    }
  }

  /**
   * An earlier leader began to stop this gang. Tasks that are not told within {@code gang_peer_s}
   * of the first fail its save, and those told end all the same: so the others are told at once.
   */
  private void completeStop(TaskAttempt run) {
    Job job = run.job;
    if (job.spec.kind() != JobKind.GANG || job.state != Job.State.LIVE) {
      return;
    }
    boolean begun = false;
    boolean left = false;
    for (TaskAttempt other : job.runs.values()) {
      boolean same = other.attempt == run.attempt && !other.exited();
      begun |= same && other.phase == Heartbeat.TaskPhase.SAVING;
      left |= same && !other.stopping;
    }
    if (begun && left) {
      c.stop(run);
      c.stir();
    }
  }

  /** Stands for a job this leader does not look after (any more): its tasks are only stopped. */
  private static Job stub(Heartbeat.TaskStatus item) {
    Job job =
        new Job(
            new JobSpec(
                item.job(),
                "",
                "",
                JobKind.ARRAY,
                Priority.LOW,
                0,
                0,
                0,
                0,
                "",
                0,
                null,
                null,
                false,
                false,
                true,
                0,
                0,
                0,
                null),
            0,
            true,
            new BitSet(),
            ClassObjectives.NONE);
    job.state = Job.State.CANCELLED;
    job.stranger = true;
    return job;
  }
}
