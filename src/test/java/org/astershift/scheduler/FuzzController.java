package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.astershift.config.ClockBounds;
import org.astershift.config.OperatorSettings;
import org.astershift.coordination.TermJobs;

/**
 * A controller: a {@link Scheduler} and its {@link TermJobs}, with the few lines that carry
 * decisions out.
 */
final class FuzzController {
  private final FuzzSimulation sim;
  final int id;
  final long token;
  final Scheduler scheduler;
  final TermJobs termJobs;
  final double rate;
  final long offset;
  final Map<String, Long> cutUntil = new HashMap<>();
  final Map<String, Boolean> held = new HashMap<>();
  final List<Runnable> queued = new ArrayList<>();
  long soleUntilMs;
  boolean storeCut;
  boolean over;
  boolean paused;
  boolean resumed;
  int rentals;

  FuzzController(FuzzSimulation sim, long token) {
    this.sim = sim;
    this.rate = 1 + (sim.random.nextDouble() - 0.5) * ClockBounds.CLOCK_DRIFT_SHARE;
    this.offset = sim.random.nextInt(1_000_000);
    this.id = sim.controllers.size();
    this.token = token;
    this.scheduler = new Scheduler(sim.limits, OperatorSettings.defaults(), token);
    this.termJobs = new TermJobs(token);
  }

  long clock() {
    return offset + (long) (sim.now * rate);
  }

  /** All inputs go through here; what comes while the process is paused is handled in any order. */
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
      sim.rules.broken.add("books at " + sim.now + ": " + differences);
    }
    if (scheduler.deposed()) {
      over("deposed");
    }
  }

  void over(String why) {
    sim.note("controller " + id + " is over: " + why);
    over = true;
    sim.controllers.remove(this);
  }

  void take(String job, long revision, boolean opened, BitSet done, long submitted) {
    if (termJobs.adopt(job, revision)) {
      scheduler.addJob(sim.specs.get(job), opened, done, clock() - (sim.now - submitted));
    }
  }

  void load() {
    scheduler.updateMachineTypes(sim.types);
    for (Decision.RegisterMachine e : sim.store.machines.values()) {
      if (e.newlyProvisioned()) {
        Decision.ProvisionMachines r =
            new Decision.ProvisionMachines(e.typeName(), e.zone(), e.spot(), 1);
        scheduler.onMachinesProvisioned("", List.of(e.machineName()), r, clock());
      } else {
        scheduler.addInheritedMachine(
            e.machineName(), e.address(), e.typeName(), e.zone(), e.spot(), clock());
      }
    }
    sim.store.live.forEach(
        (job, revision) ->
            take(
                job,
                revision,
                sim.store.opened.contains(job),
                (BitSet) sim.store.progress.getOrDefault(job, new BitSet()).clone(),
                sim.store.submitted.get(job)));
    termJobs.onLoaded();
    sim.store.rentals.forEach(
        (name, r) -> {
          scheduler.onProvisioningStarted(name, r);
          sim.cloud.rent(this, name, r);
        });
    sim.note("controller " + id + " begins with token " + token);
    pass();
    sim.after(sim.random.nextInt(1000), () -> sim.cloud.list(this));
    sim.after(300, this::save);
    renew();
  }

  void renew() {
    if (over) {
      return;
    }
    if (!sim.outage && !storeCut && !paused && sim.store.holder == this) {
      sim.store.keyEndsMs = sim.now + FuzzSimulation.KEY_MS;
      long sole =
          clock() + (long) (FuzzSimulation.KEY_MS * (1 - 2 * ClockBounds.CLOCK_DRIFT_SHARE)) - 50;
      sim.after(
          sim.random.nextInt(20), () -> handle(() -> soleUntilMs = Math.max(soleUntilMs, sole)));
    }
    sim.after(300, this::renew);
  }

  void pass() {
    if (over) {
      return;
    }
    handle(
        () -> {
          if (resumed) {
            resumed = false;
            if (sim.random.nextBoolean()) {
              scheduler.onProcessResumed(clock());
            }
          }
          List<Decision> decisions = scheduler.pass(clock(), soleUntilMs);
          sim.digest.pass(sim.now, Long.toString(token), decisions);
          for (Decision d : decisions) {
            carryOut(d);
          }
        });
    sim.after(50 + sim.random.nextInt(scheduler.passRequested() ? 60 : 250), this::pass);
  }

  void save() {
    handle(
        () ->
            scheduler
                .drainUnpersistedProgress()
                .forEach(
                    (job, done) -> {
                      if (termJobs.manages(job)) {
                        saveOne(job, done);
                      }
                    }));
    if (!over) {
      sim.after(500, this::save);
    }
  }

  private void saveOne(String job, BitSet done) {
    sim.store.write(
        this,
        () -> sim.store.progress.computeIfAbsent(job, j -> new BitSet()).or(done),
        ok -> {
          if (ok != null && ok) {
            scheduler.onProgressPersisted(job, done);
          } else if (!over && termJobs.manages(job)) {
            sim.after(500, () -> handle(() -> saveOne(job, done)));
          }
        },
        "p" + job);
  }

  private void repeat(Runnable write) {
    sim.after(300, () -> handle(write));
  }

  private void open(String job) {
    sim.store.write(
        this,
        () -> sim.store.opened.add(job),
        ok -> {
          if (ok != null && ok) {
            scheduler.onJobOpened(job);
          } else if (termJobs.manages(job)) {
            repeat(() -> open(job));
          }
        },
        "o" + job);
  }

  private void enrol(Decision.RegisterMachine e) {
    sim.store.write(
        this,
        () -> sim.store.machines.put(e.machineName(), e),
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
    sim.store.write(this, () -> sim.store.machines.remove(name), ok -> {}, "m" + name);
  }

  void end(String job, boolean cancelled) {
    if (!termJobs.manages(job)) {
      return;
    }
    sim.store.write(
        this,
        () -> {
          if (sim.store.ended.putIfAbsent(job, cancelled) == null) {
            sim.store.live.remove(job);
            sim.digest.jobOver(sim.now, job, cancelled, sim.specs.get(job).tasks());
            sim.rules.ended(job, cancelled, sim.wished.contains(job), sim.now);
            sim.note(job + " is over, cancelled " + cancelled);
          }
        },
        ok -> {
          Boolean end = ok == null ? null : sim.store.ended.get(job);
          if (end != null && termJobs.manages(job)) {
            termJobs.onEnded(job);
            scheduler.onJobEnded(job, end, clock());
            sim.store.opened.remove(job);
            sim.store.progress.remove(job);
          } else if (!over && termJobs.manages(job)) {
            scheduler.onDecisionFailed(new Decision.FinishJob(job));
          }
        },
        "d" + job + "/" + (++sim.order));
  }

  private void carryOut(Decision d) {
    if (d instanceof Decision.SendCommands o) {
      long ms = sim.chance(sim.slow) ? sim.random.nextInt(2500) : sim.random.nextInt(30);
      sim.after(ms, () -> sim.network.direct(this, o));
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
      sim.store.write(
          this,
          () -> sim.store.rentals.put(name, r),
          ok -> {
            if (ok != null && ok) {
              sim.cloud.rent(this, name, r);
            } else {
              scheduler.onProvisioningFailed(name, r, false, clock());
            }
          },
          "i" + name);
    } else if (d instanceof Decision.ReleaseMachines r) {
      sim.cloud.giveBack(this, r.machineNames());
    } else if (d instanceof Decision.ProbeThroughPeers w) {
      sim.after(200, () -> handle(() -> scheduler.onPeerProbeResults(w, testimony(w))));
    }
  }

  private List<Decision.PeerProbeResult> testimony(Decision.ProbeThroughPeers w) {
    if (sim.random.nextInt(3) == 0) {
      return List.of();
    }
    Set<String> reached = new HashSet<>();
    Set<String> unreached = new HashSet<>();
    List<Decision.MachineAddress> all = new ArrayList<>(w.suspects());
    all.addAll(w.controls());
    for (Decision.MachineAddress n : all) {
      FuzzWorker m = sim.workers.get(n.machineName());
      (m != null && m.alive && !m.hung ? reached : unreached).add(n.machineName());
    }
    return List.of(new Decision.PeerProbeResult(reached, unreached));
  }

  /** When what goes on the way between it and a machine arrives; -1: never. */
  long way(String machine, String direction) {
    long ms = 1 + sim.random.nextInt(20);
    if (sim.chance(sim.slow)) {
      ms += sim.random.nextInt(6000);
    }
    Long until = cutUntil.get(machine + direction);
    if (until != null && until > sim.now) {
      if (!held.get(machine + direction)) {
        return -1;
      }
      ms += until - sim.now;
    }
    return ms;
  }
}
