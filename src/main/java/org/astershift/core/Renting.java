package org.astershift.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.astershift.config.Constants;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Which machines to rent. It follows the length of the queue, counted as the tasks that neither
 * free nor booting machines cover.
 */
final class Renting {
  private static final Logger LOG = LoggerFactory.getLogger(Renting.class);
  private final Cluster c;
  private final Map<String, Decision.Rent> underWay = new LinkedHashMap<>();
  private final Map<Pool, Long> paused = new HashMap<>();
  private final Map<String, Integer> inZone = new HashMap<>();

  /** Machines that the cloud gives or refuses together. */
  private record Pool(String type, String zone, boolean spot) {
    static Pool of(Decision.Rent r) {
      return new Pool(r.type(), r.zone(), r.spot());
    }
  }

  Renting(Cluster cluster) {
    this.c = cluster;
  }

  void underWay(String rental, Decision.Rent rent) {
    underWay.put(rental, rent);
  }

  void settled(String rental) {
    underWay.remove(rental);
  }

  void refused(Decision.Rent rent, long nowMs) {
    paused.put(Pool.of(rent), nowMs + Constants.NO_CAPACITY_MS);
  }

  void plan(List<Decision> out, long nowMs) {
    List<Bin> coming = new ArrayList<>();
    List<Bin> soon = new ArrayList<>();
    long soonMs = soonMs();
    inZone.clear();
    for (Machine m : c.all()) {
      inZone.merge(m.zone, 1, Integer::sum);
      if (m.kind != null && m.state == Machine.State.BOOTING) {
        coming.add(new Bin(m.kind, m.zone, m.spot));
      } else if (m.usable(nowMs)) {
        soon.add(new Bin(m, soonMs, nowMs));
      }
    }
    for (Decision.Rent r : underWay.values()) {
      MachineType t = c.types().get(r.type());
      for (int i = 0; t != null && i < r.count(); i++) {
        coming.add(new Bin(t, r.zone(), r.spot()));
      }
    }
    Map<Pool, Decision.Rent> wanted = new LinkedHashMap<>();
    for (Job job : queue(nowMs)) {
      int uncovered = concurrency(job, nowMs);
      if (job.startAimS == null) {
        // What is free before a new machine could be up needs no new machine.
        uncovered = Bin.uncovered(job, soon, uncovered);
      }
      uncovered = Bin.uncovered(job, coming, uncovered);
      int guard = 0;
      while (uncovered > 0 && guard++ < Constants.POOLS_A_JOB) {
        Decision.Rent r = cheapest(job, uncovered, wanted, nowMs);
        if (r == null) {
          break;
        }
        MachineType t = c.types().get(r.type());
        for (int i = 0; i < r.count(); i++) {
          Bin bin = new Bin(t, r.zone(), r.spot());
          while (uncovered > 0 && bin.take(job.spec)) {
            uncovered--;
          }
          coming.add(bin);
        }
        wanted.put(Pool.of(r), r);
      }
    }
    for (Decision.Rent r : wanted.values()) {
      for (int left = r.count(); left > 0; left -= Constants.RENT_BATCH) {
        int n = Math.min(left, Constants.RENT_BATCH);
        out.add(new Decision.Rent(r.type(), r.zone(), r.spot(), n));
      }
      LOG.info("renting {} {} in {}{}", r.count(), r.type(), r.zone(), r.spot() ? ", spot" : "");
    }
  }

  private List<Job> queue(long nowMs) {
    List<Job> queue = new ArrayList<>();
    for (Job job : c.waiting) {
      // What may run on a machine not heard yet needs no other.
      boolean hidden = c.unheard() && job.inherited;
      if (!hidden && !job.cancelWanted && nowMs >= job.pausedUntilMs) {
        queue.add(job);
      }
    }
    queue.sort(Comparator.comparing((Job j) -> j.spec.priority()));
    return queue;
  }

  /** Room that is left before the fastest new machine could be up counts as free. */
  private long soonMs() {
    double least = Double.MAX_VALUE;
    for (MachineType t : c.types().values()) {
      least = Math.min(least, t.bootS());
    }
    return (long) (least * 1000);
  }

  /** How many of the waiting tasks should run at once for the job to be in time. */
  private int concurrency(Job job, long nowMs) {
    JobSpec spec = job.spec;
    int n = job.waitingCount();
    Team team = c.facts.teams().get(spec.team());
    if (team != null) {
      double[] use = c.teamUse(team.name());
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
  private Decision.Rent cheapest(Job job, int tasks, Map<Pool, Decision.Rent> wanted, long nowMs) {
    JobSpec spec = job.spec;
    Decision.Rent best = null;
    double bestCost = Double.MAX_VALUE;
    for (String name : job.usableTypes) {
      MachineType t = c.types().get(name);
      int per = perMachine(spec, t);
      int count = (tasks + per - 1) / per;
      for (boolean spot : spec.spot() ? new boolean[] {true, false} : new boolean[] {false}) {
        for (String zone : t.zones()) {
          Pool pool = new Pool(name, zone, spot);
          if (paused.getOrDefault(pool, Long.MIN_VALUE) > nowMs
              || !job.zoneAllowed(zone)
              || wanted.containsKey(pool)) {
            continue;
          }
          int n = spec.spread() || !spec.oneZone() ? Math.min(count, zoneShare(count, t)) : count;
          // A tie goes to the zone with the fewest machines, which spreads the fleet.
          double cost = count * t.price(spot) * (1 + 0.001 * inZone.getOrDefault(zone, 0));
          if (cost < bestCost) {
            bestCost = cost;
            best = new Decision.Rent(name, zone, spot, n);
          }
        }
      }
    }
    return best;
  }

  private static int zoneShare(int count, MachineType t) {
    return Math.max(1, (count + t.zones().size() - 1) / t.zones().size());
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
