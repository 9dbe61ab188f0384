package org.astershift.scheduler;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.astershift.config.Constants;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Which silent machines may be given back, and whether this leader hears its fleet at all. A leader
 * that lost its way to the workers hears what a leader of a dead fleet hears, so another controller
 * has to have asked the machine itself, in vain, and to reach others. Where no such controller
 * answers, the leader's own ears are enough for a few machines; beyond that old patterns count (one
 * zone fell silent, or the leases are over), and only if it hears a part of the fleet. Whatever the
 * reasons, only a share of the fleet may go in a time.
 */
final class FailureDetector {
  private static final Logger LOG = LoggerFactory.getLogger(FailureDetector.class);

  private final ClusterState c;

  /** When machines were given up as silent, outside zones that are cut off; the oldest first. */
  private final ArrayDeque<Long> scattered = new ArrayDeque<>();

  /** When any machines were given up as silent: what bounds how many may follow. */
  private final ArrayDeque<Long> givenUp = new ArrayDeque<>();

  private Map<String, Zone> zones = new HashMap<>();
  private long surveyedMs = Long.MIN_VALUE;
  private int all;
  private int overdue;
  private boolean few;

  /** So many machines may be given up as silent within {@link Constants#GIVEN_UP_MS}. */
  private double mayGo;

  private boolean lonePattern;
  private boolean asking;

  /** When the others were last asked and none of them could tell; none yet: long ago. */
  private long nobodyMs = Long.MIN_VALUE / 2;

  /** When they were last asked and none of them answered at all. */
  private long noneMs = Long.MIN_VALUE / 2;

  /** When they were last asked and one of them could tell. */
  private long answeredMs = Long.MIN_VALUE / 2;

  private long toldMs = Long.MIN_VALUE / 2;
  private int keptAnswering;
  private int keptUnjudged;
  private int keptBeyond;

  FailureDetector(ClusterState cluster) {
    this.c = cluster;
  }

  /** Machines of one zone that should report, and what is known of those that do not. */
  private static final class Zone {
    int all;
    int overdue;
    int silent;

    /** Heard by this leader before, overdue, and asked in vain; those on their way back too. */
    int unanswered;

    /** The same of machines that this leader has never heard. */
    int unansweredNew;

    /** Silent, and another controller asked it lately in vain, or with an answer. */
    int unreached;

    int reached;

    /** Most of it is silent. */
    boolean mostlySilent() {
      return silent > Constants.SILENT_FEW && silent >= all * Constants.ZONE_CUT_SHARE;
    }

    /** Enough of its machines were asked by others, and not one answered. */
    boolean witnessed() {
      return mostlySilent()
          && reached == 0
          && unreached >= Math.min(silent, Constants.WITNESS_SAMPLE);
    }
  }

  private Map<String, Zone> look(long nowMs) {
    Map<String, Zone> out = new HashMap<>();
    for (Machine m : c.all()) {
      Zone zone = out.computeIfAbsent(m.zone, z -> new Zone());
      boolean late = c.overdue(m, nowMs);
      if (late && m.directFailures > 0) {
        zone.unanswered += m.session > 0 ? 1 : 0;
        zone.unansweredNew += m.session > 0 ? 0 : 1;
      }
      if (m.state != Machine.State.BOOTING && m.state != Machine.State.RETURNING) {
        zone.all++;
        zone.overdue += late ? 1 : 0;
        if (late && unreached(m, nowMs)) {
          zone.unreached++;
        }
        if (late && reached(m, nowMs)) {
          zone.reached++;
        }
        zone.silent += silent(m, nowMs) ? 1 : 0;
      }
    }
    return out;
  }

  private static boolean reached(Machine m, long nowMs) {
    return m.peerFindings.isReached(m.saidMs(), nowMs);
  }

  /**
   * Not before no restart explains it: a machine that restarted when both this leader and the
   * others asked it, and was then cut off from this leader, was given back.
   */
  private boolean unreached(Machine m, long nowMs) {
    return m.peerFindings.isUnreached(c.noRestartFromMs(m), nowMs);
  }

  /** Whether the machine says nothing for longer than it may, though it was asked. */
  boolean silent(Machine m, long nowMs) {
    if (m.state == Machine.State.UNHEARD
        && m.directFailures >= Constants.CLAIM_TRIES
        && c.silenceMs(m, nowMs) > Constants.CLAIM_PATIENCE_MS
        && c.fewUnheard()) {
      return true; // all jobs opened before wait for it
    }
    // Not before it was asked: a busy node may not have come to that, and 40 healthy machines of a
    // thousand were given back after a takeover for nothing else.
    return m.state != Machine.State.BOOTING
        && c.silenceMs(m, nowMs) > c.patienceMs()
        && (asked(m, nowMs) || m.addr == null);
  }

  /**
   * Whether it was asked in vain. Where another may lead and hear it by now, an order that got no
   * answer while its reports still came is no such question: one was lost as its machine restarted,
   * and a leader that was cut off gave back a healthy machine.
   */
  private boolean asked(Machine m, long nowMs) {
    return c.incarnations.leaseUncertain(nowMs) ? m.askedInVain : m.directFailures > 0;
  }

  // ---- does this leader hear its fleet ----

  /**
   * What this leader hears of its fleet. {@code isolated}: most machines are overdue, and of those
   * that it had heard some were asked in vain; {@code deaf}: the same counting machines that it
   * never heard, most of which it has asked in vain. A busy new leader is neither: it has not asked
   * yet.
   */
  record FleetVisibility(int all, int overdue, boolean isolated, boolean deaf) {}

  FleetVisibility hearing() {
    int machines = 0;
    int late = 0;
    int unanswered = 0;
    int unansweredNew = 0;
    for (Zone zone : zones.values()) {
      machines += zone.all;
      late += zone.overdue;
      unanswered += zone.unanswered;
      unansweredNew += zone.unansweredNew;
    }
    boolean most = late > Constants.SILENT_FEW && late * 2 > machines;
    boolean isolated = most && unanswered > Constants.SILENT_FEW;
    boolean deaf = most && (unanswered + unansweredNew) * 2 > late;
    return new FleetVisibility(machines, late, isolated, deaf);
  }

  // ---- which silent machines may go ----

  /** Looks at the fleet before machines are judged one by one. */
  void survey(long nowMs) {
    if (nowMs == surveyedMs) {
      return; // a plan in the same pass as a sweep: one walk over the fleet serves both
    }
    surveyedMs = nowMs;
    forget(scattered, nowMs, Constants.SILENCE_MS);
    forget(givenUp, nowMs, Constants.GIVEN_UP_MS);
    zones = look(nowMs);
    all = scattered.size();
    overdue = scattered.size();
    int outside = scattered.size();
    int unanswered = 0;
    int reporting = 0;
    for (Map.Entry<String, Zone> e : zones.entrySet()) {
      Zone zone = e.getValue();
      reporting += zone.all;
      all += zone.all;
      overdue += zone.overdue;
      unanswered += zone.unanswered;
      if (!zone.mostlySilent()) {
        outside += zone.overdue;
      }
    }
    // What was given up may still be on its way, or gone: it counts as part of the fleet it was of.
    mayGo = Math.max(Constants.SILENT_FEW, (reporting + givenUp.size()) * Constants.GIVEN_UP_SHARE);
    few = overdue <= Math.max(Constants.SILENT_FEW, all * Constants.OWN_EARS_SHARE);
    boolean isolated =
        overdue > Constants.SILENT_FEW && overdue * 2 > all && unanswered > Constants.SILENT_FEW;
    lonePattern =
        hearsEnough()
            && !isolated
            && outside <= Math.max(Constants.SILENT_FEW, all * Constants.SILENT_SHARE);
    for (Map.Entry<String, Zone> e : zones.entrySet()) {
      if (e.getValue().mostlySilent() && (e.getValue().witnessed() || lonePattern)) {
        c.cutOff(e.getKey(), nowMs);
      }
    }
    keptAnswering = 0;
    keptUnjudged = 0;
    keptBeyond = 0;
  }

  private static void forget(ArrayDeque<Long> times, long nowMs, long keepMs) {
    while (!times.isEmpty() && nowMs - times.peekFirst() > keepMs) {
      times.removeFirst();
    }
  }

  /** A leader that hears next to nobody cannot tell dead machines from its own deafness. */
  private boolean hearsEnough() {
    return all - overdue >= all * Constants.LONE_EARS_SHARE;
  }

  /** Whether this silent machine may be given back; counted against what may go in a time. */
  boolean giveUp(Machine m, long nowMs) {
    boolean holdsUp = c.holdsUp(m, nowMs);
    if (reached(m, nowMs) && !holdsUp) {
      keptAnswering++;
      return false;
    }
    boolean speaks = few ? alone(m, nowMs) : hearsEnough() && judged(m, nowMs);
    if (!speaks && !holdsUp) {
      keptUnjudged++;
      return false;
    }
    if (givenUp.size() >= mayGo) {
      keptBeyond++;
      return false;
    }
    givenUp.addLast(nowMs);
    if (!c.isCutOff(m.zone, nowMs)) {
      scattered.addLast(nowMs);
    }
    return true;
  }

  /** One of a few: its silence counts, unless others can be asked and have not answered yet. */
  private boolean alone(Machine m, long nowMs) {
    return m.addr == null
        || unreached(m, nowMs)
        || nowMs - noneMs <= Constants.REACHED_FRESH_MS
        || m.peerFindings.isUntold(m.saidMs(), nowMs)
        || (nowMs - answeredMs > Constants.REACHED_FRESH_MS
            && c.silenceMs(m, nowMs) > c.patienceMs() + Constants.WITNESS_WAIT_MS);
  }

  /** Others asked it in vain; or nobody can tell, and what this leader sees speaks for it. */
  private boolean judged(Machine m, long nowMs) {
    if (unreached(m, nowMs) || zones.get(m.zone).witnessed()) {
      return true;
    }
    // Where others reach a machine of the zone, that they could not tell of this one says nothing.
    boolean nobody =
        nowMs - nobodyMs <= Constants.REACHED_FRESH_MS && zones.get(m.zone).reached == 0;
    return nobody && ((lonePattern && !maybeReached(m, nowMs)) || pastLease(m, nowMs));
  }

  /**
   * Its zone fell silent as a whole, which is more likely cut off from here than dead, and nobody
   * could tell for less time than a controller that crashed takes to be back: zones were given away
   * a moment before one that was just starting reached them (seed 5632 of the swarm).
   */
  private boolean maybeReached(Machine m, long nowMs) {
    return zones.get(m.zone).mostlySilent()
        && c.silenceMs(m, nowMs) <= c.patienceMs() + Constants.OTHERS_BACK_MS;
  }

  /** Nothing it held can be alive any more, so that giving it back loses nothing. */
  private boolean pastLease(Machine m, long nowMs) {
    return c.silenceMs(m, nowMs) > 1.5 * c.facts.leaseS() * 1000;
  }

  /** Says now and then what is held back, and why. */
  void tell(long nowMs) {
    int kept = keptAnswering + keptUnjudged + keptBeyond;
    if (kept > 0 && nowMs - toldMs > Constants.SUMMARY_MS) {
      toldMs = nowMs;
      LOG.info(
          "{} silent machines are not given back: {} answer another controller, {} nobody able to"
              + " tell has asked, {} more than may go in {} s; {} of {} are heard here",
          kept,
          keptAnswering,
          keptUnjudged,
          keptBeyond,
          Constants.GIVEN_UP_MS / 1000,
          all - overdue,
          all);
    }
  }

  // ---- witnesses ----

  /** Whether it may have to be given up soon. */
  private boolean suspect(Machine m, long nowMs) {
    if (m.state == Machine.State.BOOTING || m.state == Machine.State.RETURNING) {
      return false;
    }
    if (c.overdue(m, nowMs)) {
      return few || m.directFailures > 0;
    }
    // One of the last unheard: asked at the same time as by this leader for the second time.
    return m.state == Machine.State.UNHEARD && m.directFailures > 0 && c.fewUnheard();
  }

  /**
   * The machines that other controllers should ask, or null: as soon as reports are overdue, so
   * that the answer is there when patience ends. First a sample of each zone, which is enough where
   * a zone is cut off as a whole.
   */
  Decision.ProbeThroughPeers ask(long nowMs) {
    // Who hears next to nobody gives nothing back whatever the others say, and need not ask.
    if (asking || !(few || hearsEnough())) {
      return null;
    }
    Map<String, Integer> sampled = new HashMap<>();
    List<Machine> sample = new ArrayList<>();
    List<Machine> rest = new ArrayList<>();
    for (Machine m : c.all()) {
      if (m.addr == null || !suspect(m, nowMs) || known(m, nowMs)) {
        continue;
      }
      Zone zone = zones.get(m.zone);
      int before = zone == null ? 0 : zone.unreached + zone.reached;
      if (before + sampled.merge(m.zone, 1, Integer::sum) <= Constants.WITNESS_SAMPLE) {
        sample.add(m);
      } else if (zone == null || !zone.witnessed()) {
        rest.add(m);
      }
    }
    sample.addAll(rest);
    if (sample.isEmpty()) {
      return null;
    }
    asking = true;
    List<Machine> heard = new ArrayList<>(c.all());
    heard.removeIf(m -> m.addr == null || m.seenMs == m.knownMs || c.overdue(m, nowMs));
    // What reports and answers nothing would make each of the others look cut off.
    heard.sort(
        Comparator.comparing((Machine m) -> m.unanswered > 0).thenComparingLong(m -> -m.seenMs));
    List<Decision.MachineAddress> suspects = named(sample, Constants.WITNESS_BATCH);
    return new Decision.ProbeThroughPeers(
        suspects, named(heard, Constants.WITNESS_CONTROLS), nowMs);
  }

  /**
   * Whether the others can tell nothing new of it. They are asked again before what is known grows
   * old: where one of them was slow to answer healthy machines were given back between the one
   * answer and the next. And once more when a restart does not explain any more that they failed.
   */
  private boolean known(Machine m, long nowMs) {
    boolean askedTooEarly = m.peerFindings.isUnreached(m.saidMs(), nowMs);
    return unreached(m, nowMs)
        || (askedTooEarly && nowMs < c.noRestartFromMs(m))
        || m.peerFindings.isReachedForLong(m.saidMs(), nowMs);
  }

  private static List<Decision.MachineAddress> named(List<Machine> machines, int most) {
    List<Decision.MachineAddress> out = new ArrayList<>();
    for (Machine m : machines.subList(0, Math.min(machines.size(), most))) {
      out.add(new Decision.MachineAddress(m.name, m.addr));
    }
    return out;
  }

  /**
   * What the others said that answered. One that was cut off a moment ago, maybe together with this
   * leader, does not know it yet; the controls show it. What somebody reached stays; what nobody
   * reached, and somebody asked, is gone.
   */
  void witnessed(Decision.ProbeThroughPeers w, List<Decision.PeerProbeResult> told) {
    asking = false;
    Set<String> reached = new HashSet<>();
    Set<String> unreached = new HashSet<>();
    int able = 0;
    for (Decision.PeerProbeResult t : told) {
      reached.addAll(t.reached());
      if (reachesControls(w, t)) {
        able++;
        unreached.addAll(t.unreached());
      }
    }
    answeredMs = able == 0 ? answeredMs : w.askedMs();
    nobodyMs = able == 0 ? w.askedMs() : Long.MIN_VALUE / 2;
    noneMs = told.isEmpty() ? w.askedMs() : Long.MIN_VALUE / 2;
    int answering = 0;
    for (Decision.MachineAddress s : w.suspects()) {
      Machine m = c.machines.get(s.machine());
      if (m == null) {
        continue;
      }
      if (reached.contains(s.machine())) {
        m.peerFindings.reached(w.askedMs());
        answering++;
      } else if (unreached.contains(s.machine())) {
        m.peerFindings.unreached(w.askedMs(), m.saidMs());
      } else if (able == 0 && !told.isEmpty()) {
        // Nobody could tell of this one. Of those that were not among the asked they may: one was
        // given back a moment before its turn came to be asked.
        m.peerFindings.untold(w.askedMs());
      }
    }
    LOG.debug(
        "of {} machines not heard here {} answer another controller; {} of {} could tell",
        w.suspects().size(),
        answering,
        able,
        told.size());
    c.stir();
  }

  private static boolean reachesControls(Decision.ProbeThroughPeers w, Decision.PeerProbeResult t) {
    int answered = 0;
    for (Decision.MachineAddress control : w.controls()) {
      answered += t.reached().contains(control.machine()) ? 1 : 0;
    }
    return answered * 2 >= w.controls().size();
  }
}
