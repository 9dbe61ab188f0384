package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
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
 * Which machines to rent. It follows the length of the queue, counted as the tasks that neither
 * free nor booting machines cover.
 */
final class ScaleOut {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleOut.class);
  private final ClusterState c;
  private final Map<String, Decision.ProvisionMachines> underWay = new LinkedHashMap<>();
  private final Map<CapacityPool, Long> paused = new HashMap<>();
  private final Map<String, Integer> inZone = new HashMap<>();

  /** Within a plan: zones in which a machine boots or is asked for. */
  private final Set<String> awaited = new HashSet<>();

  private boolean ready;

  /** Machines that the cloud gives or refuses together. */
  private record CapacityPool(String type, String zone, boolean spot) {
    static CapacityPool of(Decision.ProvisionMachines r) {
      return new CapacityPool(r.type(), r.zone(), r.spot());
    }
  }

  ScaleOut(ClusterState cluster) {
    this.c = cluster;
  }

  void underWay(String rental, Decision.ProvisionMachines rent) {
    underWay.put(rental, rent);
  }

  void settled(String rental) {
    ready |= underWay.remove(rental) != null;
  }

  void refused(Decision.ProvisionMachines rent, long nowMs) {
    paused.put(CapacityPool.of(rent), nowMs + Constants.NO_CAPACITY_MS);
  }

  /** Whether a call to the cloud has ended since the last plan, so that the next may go out. */
  boolean ready() {
    return ready;
  }

  /**
   * The calls to the cloud are few: while some are under way, demand gathers, and then each call
   * asks for as many machines as it may.
   */
  void plan(List<Decision> out, long nowMs) {
    ready = false;
    int calls = Constants.RENT_THREADS - underWay.size();
    if (calls <= 0) {
      return;
    }
    for (Decision.ProvisionMachines r : wanted(nowMs)) {
      if (calls-- == 0) {
        return;
      }
      int n = Math.min(r.count(), Constants.RENT_BATCH);
      out.add(new Decision.ProvisionMachines(r.type(), r.zone(), r.spot(), n));
      LOG.info("renting {} {} in {}{}", n, r.type(), r.zone(), r.spot() ? ", spot" : "");
    }
  }

  private Collection<Decision.ProvisionMachines> wanted(long nowMs) {
    List<PlannedMachine> coming = new ArrayList<>();
    List<PlannedMachine> free = new ArrayList<>();
    List<PlannedMachine> soon = new ArrayList<>();
    long soonMs = nowMs + soonMs();
    inZone.clear();
    awaited.clear();
    RemainingQuota allowance = new RemainingQuota(c);
    for (Machine m : c.all()) {
      inZone.merge(m.zone, 1, Integer::sum);
      if (m.state == Machine.State.BOOTING) {
        awaited.add(m.zone);
      }
      if (m.kind != null && m.state == Machine.State.BOOTING && !c.isCutOff(m.zone, nowMs)) {
        coming.add(new PlannedMachine(m.kind, m.zone, m.spot));
      } else if (c.usable(m, nowMs)) {
        free.add(new PlannedMachine(m));
        soon.add(PlannedMachine.soon(m, soonMs));
        for (TaskAttempt run : m.runs.values()) {
          if (run.overBy(soonMs)) {
            allowance.soonOver(run);
          }
        }
      }
    }
    for (Decision.ProvisionMachines r : underWay.values()) {
      add(r, coming);
    }
    Map<CapacityPool, Decision.ProvisionMachines> wanted = new LinkedHashMap<>();
    for (Job job : queue(nowMs)) {
      // What is free before a new machine could be up needs no new machine.
      boolean waits =
          job.spec.kind() != JobKind.GANG
              && (job.startAimS == null || job.startAimS * 1000 > soonMs - nowMs);
      int most = concurrency(job, nowMs);
      // What leaves room soon leaves as much of its team's limit. Counted as room alone, it covered
      // all that the limits still allowed: nothing was rented however many waited, with the teams
      // far below their limits (own day full-teams-hukkalampo).
      int n = waits ? allowance.takeSoon(job, most) : allowance.take(job, most);
      Demand need = new Demand(job, n);
      if (job.spec.oneZone()) {
        need.only(zone(need, free, coming, nowMs));
      }
      if (job.spec.kind() == JobKind.GANG) {
        need.fill(free);
      } else if (waits) {
        need.fill(soon);
      }
      need.fill(coming);
      for (int i = 0; need.left() > 0 && i < Constants.POOLS_A_JOB; i++) {
        Decision.ProvisionMachines r = cheapest(need, false, nowMs);
        r = r == null ? cheapest(need, true, nowMs) : r;
        if (r == null) {
          break;
        }
        int from = coming.size();
        add(r, coming);
        need.fill(coming.subList(from, coming.size()));
        wanted.merge(
            CapacityPool.of(r),
            r,
            (a, b) ->
                new Decision.ProvisionMachines(
                    a.type(), a.zone(), a.spot(), a.count() + b.count()));
      }
    }
    return wanted.values();
  }

  /** The zone that lacks least of what the job needs, among those where the rest can be had. */
  private String zone(
      Demand need, List<PlannedMachine> free, List<PlannedMachine> coming, long nowMs) {
    String best = "";
    String fallback = "";
    double bestCost = Double.MAX_VALUE;
    for (String zone : c.machineTypes.zones()) {
      int most = need.allowed(zone);
      // Of an array that is spread as well a part runs there after the other.
      boolean inParts = need.job.spec.kind() == JobKind.ARRAY && most > 0;
      if (most < need.left() && !inParts) {
        continue;
      }
      fallback = zone;
      int lacking = Math.max(0, most - need.fits(free, zone) - need.fits(coming, zone));
      double price = lacking == 0 ? 0 : lowestPrice(need.job, zone, nowMs);
      double cost = lacking * price;
      if (cost < bestCost) {
        best = zone;
        bestCost = cost;
      }
    }
    return best.isEmpty() ? fallback : best;
  }

  private double lowestPrice(Job job, String zone, long nowMs) {
    double least = Double.MAX_VALUE;
    for (String name : job.usableTypes) {
      MachineType t = c.machineTypes.all().get(name);
      for (boolean spot : job.spec.spotOrNot()) {
        if (t.zones().contains(zone) && !paused(new CapacityPool(name, zone, spot), nowMs)) {
          least = Math.min(least, t.price(spot));
        }
      }
    }
    return least;
  }

  private boolean paused(CapacityPool pool, long nowMs) {
    // What is rented in a zone that is cut off does not come up.
    return refusedLately(pool, nowMs) || c.isCutOff(pool.zone(), nowMs);
  }

  private boolean refusedLately(CapacityPool pool, long nowMs) {
    return paused.getOrDefault(pool, Long.MIN_VALUE) > nowMs;
  }

  private void add(Decision.ProvisionMachines r, List<PlannedMachine> coming) {
    MachineType t = c.machineTypes.all().get(r.type());
    for (int i = 0; t != null && i < r.count(); i++) {
      coming.add(new PlannedMachine(t, r.zone(), r.spot()));
    }
    inZone.merge(r.zone(), r.count(), Integer::sum);
    awaited.add(r.zone());
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
    queue.sort(Comparator.comparing((Job j) -> j.spec.priority()).thenComparing(j -> !j.aimed));
    return queue;
  }

  /** Room that is left before the fastest new machine could be up counts as free. */
  private long soonMs() {
    double least = Double.MAX_VALUE;
    for (MachineType t : c.machineTypes.all().values()) {
      least = Math.min(least, t.bootS());
    }
    return (long) (least * 1000);
  }

  /** How many of the waiting tasks should run at once for the job to be in time. */
  private int concurrency(Job job, long nowMs) {
    JobSpec spec = job.spec;
    if (job.suspect()) {
      // A probe needs no more; a gang that is probably broken waits for what is there.
      return spec.kind() == JobKind.GANG || job.beingProbed() ? 0 : 1;
    }
    int n = job.waitingCount();
    Double endS = job.endS();
    if (spec.kind() == JobKind.ARRAY && endS != null && spec.estimateS() > 0) {
      double left = endS - (nowMs - job.submittedMs) / 1000.0 - spec.estimateS() / 2;
      left -= job.longStart() ? notYetS(job) : 0;
      double rounds = Math.max(1, left / spec.estimateS());
      n = (int) Math.min(n, Math.ceil(n / rounds));
    }
    return n;
  }

  /** Seconds until a machine rented now could run a task of the job: its boot and its fetch. */
  private double notYetS(Job job) {
    double least = Double.MAX_VALUE;
    for (String name : job.usableTypes) {
      MachineType t = c.machineTypes.all().get(name);
      least = Math.min(least, t.bootS() + job.spec.imageGb() / t.fetchGbPerS());
    }
    return least == Double.MAX_VALUE ? 0 : least;
  }

  /**
   * The cheapest machines for what is left of the need; null if none can be had now. {@code lost}:
   * one machine in a zone that is cut off, for what may go nowhere else. It shows when the zone is
   * back: where nothing was left in it to do that, such jobs waited for a minute more.
   */
  private Decision.ProvisionMachines cheapest(Demand need, boolean lost, long nowMs) {
    JobSpec spec = need.job.spec;
    Decision.ProvisionMachines best = null;
    double bestCost = Double.MAX_VALUE;
    for (String name : need.job.usableTypes) {
      MachineType t = c.machineTypes.all().get(name);
      int per = Math.max(1, t.capacity(spec));
      int count = (need.left() + per - 1) / per;
      for (boolean spot : spec.spotOrNot()) {
        for (String zone : t.zones()) {
          int allowed = need.allowed(zone);
          CapacityPool pool = new CapacityPool(name, zone, spot);
          boolean not =
              lost
                  ? refusedLately(pool, nowMs) || !c.isCutOff(zone, nowMs) || awaited.contains(zone)
                  : paused(pool, nowMs);
          if (allowed <= 0 || not) {
            continue;
          }
          int n = Math.min(count, (allowed + per - 1) / per);
          n = spec.oneZone() ? n : Math.min(n, zoneShare(count, t));
          n = lost ? 1 : n;
          // A tie goes to the zone with the fewest machines, which spreads the fleet.
          // Its boot is paid for, too.
          double price = t.price(spot) * (1 + t.bootS() / Constants.RENTED_S);
          double cost = count * price * (1 + 0.001 * inZone.getOrDefault(zone, 0));
          if (cost < bestCost) {
            bestCost = cost;
            best = new Decision.ProvisionMachines(name, zone, spot, n);
          }
        }
      }
    }
    return best;
  }

  private static int zoneShare(int count, MachineType t) {
    return Math.max(1, (count + t.zones().size() - 1) / t.zones().size());
  }
}
