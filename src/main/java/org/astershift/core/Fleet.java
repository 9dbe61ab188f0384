package org.astershift.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.astershift.config.Constants;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Which machines to rent and to give back. Renting follows the length of the queue, counted as the
 * tasks that neither free nor booting machines cover.
 */
final class Fleet {
  private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);
  private final Scheduler s;
  private final Map<String, Decision.Rent> underWay = new LinkedHashMap<>();
  private final Map<String, Long> paused = new HashMap<>();
  private final ArrayDeque<Long> silentReturns = new ArrayDeque<>();
  private final Set<String> failedNames = new HashSet<>();
  private long lastPlanMs = Long.MIN_VALUE / 2;
  private long firstPlanMs = -1;

  Fleet(Scheduler s) {
    this.s = s;
  }

  void renting(String rental, Decision.Rent rent) {
    underWay.put(rental, rent);
  }

  void settled(String rental) {
    underWay.remove(rental);
  }

  void pause(Decision.Rent rent, long nowMs) {
    paused.put(pool(rent.type(), rent.zone(), rent.spot()), nowMs + Constants.NO_CAPACITY_MS);
  }

  /** A failed machine stays listed until it is deleted. */
  void discard(String name) {
    failedNames.add(name);
  }

  void discarded(String name) {
    failedNames.remove(name);
  }

  private static String pool(String type, String zone, boolean spot) {
    return type + "/" + zone + "/" + spot;
  }

  List<Decision> plan(long nowMs) {
    List<Decision> out = new ArrayList<>();
    if (nowMs - lastPlanMs < Constants.RENT_PLAN_MS || s.types.isEmpty()) {
      return out;
    }
    lastPlanMs = nowMs;
    giveBack(out, nowMs);
    firstPlanMs = firstPlanMs < 0 ? nowMs : firstPlanMs;
    // What is still to be heard of will take most of the queue, or runs it already.
    if (!s.unheard() || nowMs - firstPlanMs > Constants.RENT_AFTER_TAKEOVER_MS) {
      rent(out, nowMs);
    }
    return out;
  }

  // ---- giving back ----

  private void giveBack(List<Decision> out, long nowMs) {
    List<String> names = new ArrayList<>(failedNames);
    boolean believe = believable(nowMs);
    for (Machine m : s.machines.values()) {
      String why = whyReturn(m, believe, nowMs);
      if (why != null && m.state != Machine.State.RETURNING) {
        LOG.info("machine {} ({} in {}) is returned: {}", m.name, m.type, m.zone, why);
        m.state = Machine.State.RETURNING;
        if (silent(m, nowMs)) {
          silentReturns.addLast(nowMs);
          believe = believable(nowMs);
        }
      }
      if (m.state == Machine.State.RETURNING) {
        names.add(m.name);
      }
    }
    for (int i = 0; i < names.size(); i += 100) {
      out.add(new Decision.Return(names.subList(i, Math.min(names.size(), i + 100))));
    }
  }

  /**
   * Whether silence may be put down to the machines. If many fall silent at once the trouble is more
   * likely between them and this leader, which must not give a healthy fleet away.
   */
  private boolean believable(long nowMs) {
    while (!silentReturns.isEmpty() && nowMs - silentReturns.peekFirst() > Constants.SILENCE_MS) {
      silentReturns.removeFirst();
    }
    int[] n = silentAndAll(nowMs);
    int all = n[1] + silentReturns.size();
    return n[0] + silentReturns.size()
        <= Math.max(Constants.SILENT_FEW, all * Constants.SILENT_SHARE);
  }

  private int[] silentAndAll(long nowMs) {
    int silent = 0;
    int all = 0;
    for (Machine m : s.machines.values()) {
      if (m.state != Machine.State.BOOTING && m.state != Machine.State.RETURNING) {
        all++;
        silent += silent(m, nowMs) ? 1 : 0;
      }
    }
    return new int[] {silent, all};
  }

  /** Whether most machines do not answer: another controller may reach them better. */
  boolean isolated(long nowMs) {
    int[] n = silentAndAll(nowMs);
    return n[0] > Constants.SILENT_FEW && n[0] * 2 > n[1];
  }

  private boolean silent(Machine m, long nowMs) {
    long silence = nowMs - Math.max(m.seenMs, m.heardMs);
    return silence > s.suspectMs() + Constants.SILENT_MS
        && (m.directFailures > 0 || m.addr == null || m.session == 0);
  }

  private String whyReturn(Machine m, boolean believe, long nowMs) {
    MachineType t = s.types.get(m.type);
    switch (m.state) {
      case BOOTING -> {
        double limit =
            t == null ? 60_000 : t.bootS() * 1000 * Constants.BOOT_PATIENCE + Constants.BOOT_PATIENCE_MS;
        return nowMs - m.knownMs > limit ? "not up after " + (nowMs - m.knownMs) + " ms" : null;
      }
      case UNHEARD, LOST -> {
        return (believe || pastLease(m, nowMs)) && silent(m, nowMs) ? "silent" : null;
      }
      case LIVE -> {
        if ((believe || pastLease(m, nowMs)) && silent(m, nowMs)) {
          return "silent with " + m.held().size() + " tasks";
        }
        if (m.condemned) {
          for (Run run : m.held()) {
            Placement.stop(run);
          }
          return m.holdsAny() ? null : "faulty";
        }
        if (!m.holdsAny()
            && nowMs - m.idleSinceMs > idleReleaseMs(m, t)
            && nowMs - m.knownMs > Constants.CHARGED_LEAST_MS) {
          return "idle";
        }
        return null;
      }
      default -> {
        return null;
      }
    }
  }

  /**
   * How long an idle machine is kept: about as long as one takes to come back, since that is what
   * giving it back too early costs; longer where it is spot and its replacement may not be.
   */
  private double idleReleaseMs(Machine m, MachineType t) {
    double boot = t == null ? 0 : t.bootS() * Constants.IDLE_BOOTS;
    double keep = Math.max(s.policy.idleReleaseS(), boot);
    return keep * (m.spot ? Constants.IDLE_SPOT : 1) * 1000;
  }

  /** Nothing it held can be alive any more, so that giving it back loses nothing. */
  private boolean pastLease(Machine m, long nowMs) {
    return nowMs - Math.max(m.seenMs, m.heardMs) > 1.5 * s.facts.leaseS() * 1000;
  }

  // ---- renting ----

  /** Room that is on its way, by machine. */
  private static final class Bin {
    final MachineType type;
    final String zone;
    final boolean spot;
    double cpus;
    double gpus;
    double memory;

    Bin(MachineType type, String zone, boolean spot) {
      this.type = type;
      this.zone = zone;
      this.spot = spot;
      this.cpus = type.cpus();
      this.gpus = type.gpus();
      this.memory = type.memoryGb();
    }

    /**
     * What is free on a machine now, and with {@code soonMs} also what its array tasks will have left
     * by then, as far as their estimates tell.
     */
    Bin(Machine m, MachineType type, long soonMs, long nowMs) {
      this(type, m.zone, m.spot);
      for (Run run : m.runs.values()) {
        JobSpec spec = run.job.spec;
        boolean ends =
            soonMs > 0
                && spec.kind() == JobKind.ARRAY
                && run.placedMs + spec.estimateS() * 1000 < nowMs + soonMs;
        if (!run.exited() && !ends) {
          cpus -= spec.cpus();
          gpus -= spec.gpus();
          memory -= spec.memoryGb();
        }
      }
    }

    int fits(JobSpec spec) {
      Bin copy = new Bin(type, zone, spot);
      copy.cpus = cpus;
      copy.gpus = gpus;
      copy.memory = memory;
      int n = 0;
      while (n < spec.tasks() && copy.take(spec)) {
        n++;
      }
      return n;
    }

    boolean take(JobSpec spec) {
      if ((spot && !spec.spot())
          || (spec.types() != null && !spec.types().contains(type.name()))
          || (spec.zone() != null && !spec.zone().equals(zone))
          || (type.gpus() > 0 && spec.gpus() == 0)
          || cpus + 1e-6 < spec.cpus()
          || gpus + 1e-6 < spec.gpus()
          || memory + 1e-6 < spec.memoryGb()) {
        return false;
      }
      cpus -= spec.cpus();
      gpus -= spec.gpus();
      memory -= spec.memoryGb();
      return true;
    }
  }

  private void rent(List<Decision> out, long nowMs) {
    List<Bin> bins = new ArrayList<>();
    List<Bin> soon = new ArrayList<>();
    long soonMs = soonMs();
    for (Machine m : s.machines.values()) {
      MachineType t = s.types.get(m.type);
      if (t != null && m.state == Machine.State.BOOTING) {
        bins.add(new Bin(t, m.zone, m.spot));
      } else if (t != null && m.usable(nowMs)) {
        soon.add(new Bin(m, t, soonMs, nowMs));
      }
    }
    for (Decision.Rent r : underWay.values()) {
      MachineType t = s.types.get(r.type());
      for (int i = 0; t != null && i < r.count(); i++) {
        bins.add(new Bin(t, r.zone(), r.spot()));
      }
    }
    List<Job> queue = new ArrayList<>();
    boolean unheard = s.unheard();
    for (Job job : s.jobs.values()) {
      // What may run on a machine not heard yet needs no other.
      boolean hidden = unheard && job.inherited;
      if (!job.waiting.isEmpty() && !hidden && !job.cancelWanted && nowMs >= job.pausedUntilMs) {
        queue.add(job);
      }
    }
    queue.sort(java.util.Comparator.comparing((Job j) -> j.spec.priority()));
    Map<String, Decision.Rent> wanted = new LinkedHashMap<>();
    for (Job job : queue) {
      int uncovered = concurrency(job, nowMs);
      if (s.facts.startAim(job.spec.jobClass()) == null) {
        // What is free before a new machine could be up needs no new machine.
        uncovered = uncovered(job, soon, uncovered);
      }
      uncovered = uncovered(job, bins, uncovered);
      int guard = 0;
      while (uncovered > 0 && guard++ < 20) {
        Decision.Rent r = cheapest(job, uncovered, wanted, nowMs);
        if (r == null) {
          break;
        }
        MachineType t = s.types.get(r.type());
        for (int i = 0; i < r.count(); i++) {
          Bin bin = new Bin(t, r.zone(), r.spot());
          while (uncovered > 0 && bin.take(job.spec)) {
            uncovered--;
          }
          bins.add(bin);
        }
        wanted.merge(
            pool(r.type(), r.zone(), r.spot()),
            r,
            (a, b) -> new Decision.Rent(a.type(), a.zone(), a.spot(), a.count() + b.count()));
      }
    }
    for (Decision.Rent r : wanted.values()) {
      for (int left = r.count(); left > 0; left -= s.facts.rentBatch()) {
        int n = Math.min(left, s.facts.rentBatch());
        out.add(new Decision.Rent(r.type(), r.zone(), r.spot(), n));
      }
      LOG.info("renting {} {} in {}{}", r.count(), r.type(), r.zone(), r.spot() ? ", spot" : "");
    }
  }

  /**
   * How many of the tasks find no place in this room. What has to be in one zone is covered only by
   * one zone's room, and what is spread by no more of a zone than it may use: else such a job would
   * wait for ever beside room that it cannot take.
   */
  private static int uncovered(Job job, List<Bin> bins, int tasks) {
    JobSpec spec = job.spec;
    String only = null;
    if (spec.oneZone()) {
      Map<String, Integer> fits = new HashMap<>();
      for (Bin bin : bins) {
        if (job.zoneAllowed(bin.zone)) {
          fits.merge(bin.zone, bin.fits(spec), Integer::sum);
        }
      }
      for (Map.Entry<String, Integer> e : fits.entrySet()) {
        only = e.getValue() >= tasks ? e.getKey() : only;
      }
      if (only == null) {
        return tasks;
      }
    }
    Map<String, Integer> taken = new HashMap<>();
    int left = tasks;
    for (Bin bin : bins) {
      while (left > 0
          && (only == null || only.equals(bin.zone))
          && (!spec.spread()
              || job.inZone(bin.zone) + taken.getOrDefault(bin.zone, 0) < spec.spreadLimit())
          && bin.take(spec)) {
        taken.merge(bin.zone, 1, Integer::sum);
        left--;
      }
    }
    return left;
  }

  /** Room that is left before the fastest new machine could be up counts as free. */
  private long soonMs() {
    double least = Double.MAX_VALUE;
    for (MachineType t : s.types.values()) {
      least = Math.min(least, t.bootS());
    }
    return (long) (least * 1000);
  }

  /** How many of the waiting tasks should run at once for the job to be in time. */
  private int concurrency(Job job, long nowMs) {
    JobSpec spec = job.spec;
    int n = job.waiting.cardinality();
    Team team = s.facts.teams().get(spec.team());
    if (team != null) {
      double[] use = s.teamUse(team.name());
      if (team.cpusMax() > 0 && spec.cpus() > 0) {
        n = (int) Math.min(n, Math.max(0, (team.cpusMax() - use[0]) / spec.cpus() + 1e-6));
      }
      if (team.gpusMax() > 0 && spec.gpus() > 0) {
        n = (int) Math.min(n, Math.max(0, (team.gpusMax() - use[1]) / spec.gpus() + 1e-6));
      }
    }
    if (spec.kind() == JobKind.ARRAY && spec.deadlineS() != null && spec.estimateS() > 0) {
      double left = spec.deadlineS() - (nowMs - job.submittedMs) / 1000.0 - spec.estimateS() / 2;
      double rounds = Math.max(1, left / spec.estimateS());
      n = (int) Math.min(n, Math.ceil(n / rounds));
    }
    return n;
  }

  /** The cheapest machines for this many tasks of the job; null if none can be had now. */
  private Decision.Rent cheapest(
      Job job, int tasks, Map<String, Decision.Rent> wanted, long nowMs) {
    JobSpec spec = job.spec;
    Decision.Rent best = null;
    double bestCost = Double.MAX_VALUE;
    for (MachineType t : s.types.values()) {
      if (!spec.fits(t) || (t.gpus() > 0 && spec.gpus() == 0 && s.plainTypeFits(spec))) {
        continue;
      }
      int per = perMachine(spec, t);
      int count = (tasks + per - 1) / per;
      for (boolean spot : spec.spot() ? new boolean[] {true, false} : new boolean[] {false}) {
        for (String zone : t.zones()) {
          String pool = pool(t.name(), zone, spot);
          if ((spec.zone() != null && !spec.zone().equals(zone))
              || paused.getOrDefault(pool, Long.MIN_VALUE) > nowMs
              || (spec.oneZone() && !job.zoneAllowed(zone))
              || (spec.spread() && !job.zoneAllowed(zone))
              || wanted.containsKey(pool)) {
            continue;
          }
          int n = spec.spread() || !spec.oneZone() ? Math.min(count, zoneShare(count, t)) : count;
          // A tie goes to the zone with the fewest machines, which spreads the fleet.
          double cost = count * t.price(spot) * (1 + 0.001 * inZone(zone));
          if (cost < bestCost) {
            bestCost = cost;
            best = new Decision.Rent(t.name(), zone, spot, n);
          }
        }
      }
    }
    return best;
  }

  private static int zoneShare(int count, MachineType t) {
    return Math.max(1, (count + t.zones().size() - 1) / t.zones().size());
  }

  private int inZone(String zone) {
    int n = 0;
    for (Machine m : s.machines.values()) {
      n += m.zone.equals(zone) ? 1 : 0;
    }
    return n;
  }

  private static int perMachine(JobSpec spec, MachineType t) {
    double per = t.memoryGb() / Math.max(spec.memoryGb(), 1e-9);
    if (spec.cpus() > 0) {
      per = Math.min(per, t.cpus() / spec.cpus());
    }
    if (spec.gpus() > 0) {
      per = Math.min(per, t.gpus() / spec.gpus());
    }
    return Math.max(1, (int) Math.floor(per + 1e-6));
  }
}
