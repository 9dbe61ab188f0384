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
 * A controller in its term as leader: a {@link Scheduler} and its {@link TermJobs}, with a minimal
 * execution of the decisions.
 */
final class FuzzController {
  private final FuzzSimulation sim;
  final int id;
  final long token;
  final Scheduler scheduler;
  final TermJobs termJobs;
  final double clockRate;
  final long clockOffsetMs;
  final Map<String, Long> cutUntilMs = new HashMap<>();
  final Map<String, Boolean> cutHoldsMessages = new HashMap<>();
  final List<Runnable> queuedInputs = new ArrayList<>();

  /** Completions of the heartbeat responses that wait for commands, by machine. */
  private final Map<String, Runnable> deferredResponses = new HashMap<>();

  long leaseCertainUntilMs;
  boolean storeCut;
  boolean terminated;
  boolean paused;
  boolean resumed;
  int provisionRequests;

  FuzzController(FuzzSimulation sim, long token) {
    this.sim = sim;
    this.clockRate = 1 + (sim.random.nextDouble() - 0.5) * ClockBounds.CLOCK_DRIFT_SHARE;
    this.clockOffsetMs = sim.random.nextInt(1_000_000);
    this.id = sim.controllers.size();
    this.token = token;
    this.scheduler = new Scheduler(sim.limits, OperatorSettings.defaults(), token);
    this.termJobs = new TermJobs(token);
  }

  long clock() {
    return clockOffsetMs + (long) (sim.nowMs * clockRate);
  }

  /**
   * Handles an input of the controller. Inputs that arrive while the process is paused are queued
   * and handled in random order after it resumes.
   */
  void handle(Runnable input) {
    if (terminated) {
      return;
    }
    if (paused) {
      queuedInputs.add(input);
      return;
    }
    input.run();
    if (terminated) {
      return;
    }
    List<String> differences = DerivedStateCheck.differences(scheduler.cluster());
    if (!differences.isEmpty()) {
      sim.rules.violations.add("derived state at " + sim.nowMs + ": " + differences);
    }
    if (scheduler.isDeposed()) {
      terminated("deposed");
    }
  }

  void terminated(String why) {
    sim.logEvent("controller " + id + " ends its term: " + why);
    terminated = true;
    sim.controllers.remove(this);
  }

  void adopt(String job, long revision, boolean opened, BitSet done, long submittedMs) {
    if (termJobs.adopt(job, revision)) {
      scheduler.addJob(sim.specs.get(job), opened, done, clock() - (sim.nowMs - submittedMs));
    }
  }

  void load() {
    scheduler.updateMachineTypes(sim.types);
    for (Decision.RegisterMachine registration : sim.store.machines.values()) {
      if (registration.newlyProvisioned()) {
        Decision.ProvisionMachines request =
            new Decision.ProvisionMachines(
                registration.typeName(), registration.zone(), registration.spot(), 1);
        scheduler.onMachinesProvisioned("", List.of(registration.machineName()), request, clock());
      } else {
        scheduler.addInheritedMachine(
            registration.machineName(),
            registration.address(),
            registration.typeName(),
            registration.zone(),
            registration.spot(),
            clock());
      }
    }
    sim.store.liveJobRevisions.forEach(
        (job, revision) ->
            adopt(
                job,
                revision,
                sim.store.openedJobs.contains(job),
                (BitSet) sim.store.progress.getOrDefault(job, new BitSet()).clone(),
                sim.store.submittedMs.get(job)));
    termJobs.onLoaded();
    sim.store.provisionRequests.forEach(
        (name, request) -> {
          scheduler.onProvisioningStarted(name, request);
          sim.cloud.provision(this, name, request);
        });
    sim.logEvent("controller " + id + " begins its term, token=" + token);
    pass();
    sim.after(sim.random.nextInt(1000), () -> sim.cloud.listRepeatedly(this));
    sim.after(300, this::persistProgress);
    renewLease();
  }

  void renewLease() {
    if (terminated) {
      return;
    }
    if (!sim.storeDown && !storeCut && !paused && sim.store.leaseHolder == this) {
      sim.store.leaseEndsMs = sim.nowMs + FuzzSimulation.LEADER_LEASE_MS;
      long leaseCertainMs =
          clock()
              + (long) (FuzzSimulation.LEADER_LEASE_MS * (1 - 2 * ClockBounds.CLOCK_DRIFT_SHARE))
              - 50;
      sim.after(
          sim.random.nextInt(20),
          () -> handle(() -> leaseCertainUntilMs = Math.max(leaseCertainUntilMs, leaseCertainMs)));
    }
    sim.after(300, this::renewLease);
  }

  void pass() {
    if (terminated) {
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
          List<Decision> decisions = scheduler.runPass(clock(), leaseCertainUntilMs);
          sim.digest.pass(sim.nowMs, Long.toString(token), decisions);
          for (Decision decision : decisions) {
            execute(decision);
          }
        });
    sim.after(50 + sim.random.nextInt(scheduler.isPassRequested() ? 60 : 250), this::pass);
  }

  void persistProgress() {
    handle(
        () ->
            scheduler
                .drainUnpersistedProgress()
                .forEach(
                    (job, done) -> {
                      if (termJobs.manages(job)) {
                        persistJobProgress(job, done);
                      }
                    }));
    if (!terminated) {
      sim.after(500, this::persistProgress);
    }
  }

  private void persistJobProgress(String job, BitSet done) {
    sim.store.write(
        this,
        () -> sim.store.progress.computeIfAbsent(job, j -> new BitSet()).or(done),
        ok -> {
          if (ok != null && ok) {
            scheduler.onProgressPersisted(job, done);
          } else if (!terminated && termJobs.manages(job)) {
            sim.after(500, () -> handle(() -> persistJobProgress(job, done)));
          }
        },
        "p" + job);
  }

  private void retry(Runnable write) {
    sim.after(300, () -> handle(write));
  }

  private void persistJobOpened(String job) {
    sim.store.write(
        this,
        () -> sim.store.openedJobs.add(job),
        ok -> {
          if (ok != null && ok) {
            scheduler.onJobOpened(job, clock());
          } else if (termJobs.manages(job)) {
            retry(() -> persistJobOpened(job));
          }
        },
        "o" + job);
  }

  private void register(Decision.RegisterMachine registration) {
    sim.store.write(
        this,
        () -> sim.store.machines.put(registration.machineName(), registration),
        ok -> {
          if (ok != null && ok) {
            scheduler.onMachineRegistered(registration.machineName());
          } else {
            retry(() -> register(registration));
          }
        },
        "m" + registration.machineName());
  }

  private void deregister(String name) {
    sim.store.write(this, () -> sim.store.machines.remove(name), ok -> {}, "m" + name);
  }

  void persistJobEnd(String job, boolean cancelled) {
    if (!termJobs.manages(job)) {
      return;
    }
    sim.store.write(
        this,
        () -> {
          if (sim.store.endedJobs.putIfAbsent(job, cancelled) == null) {
            sim.store.liveJobRevisions.remove(job);
            sim.digest.jobEnded(sim.nowMs, job, cancelled, sim.specs.get(job).tasks());
            sim.rules.onJobEnded(
                job, cancelled, sim.cancellationRequested.contains(job), sim.nowMs);
            sim.logEvent(job + " has ended, cancelled=" + cancelled);
          }
        },
        ok -> {
          Boolean end = ok == null ? null : sim.store.endedJobs.get(job);
          if (end != null && termJobs.manages(job)) {
            termJobs.onEnded(job);
            scheduler.onJobEnded(job, end, clock());
            sim.store.openedJobs.remove(job);
            sim.store.progress.remove(job);
          } else if (!terminated && termJobs.manages(job)) {
            scheduler.onDecisionFailed(new Decision.FinishJob(job));
          }
        },
        "d" + job + "/" + (++sim.lastEventNumber));
  }

  /** Receives the response to a heartbeat, null if there is none, and whether it is accepted. */
  interface HeartbeatAnswer {
    void accept(HeartbeatResponse response, boolean accepted);
  }

  /** Answers a heartbeat at once, or after deferring the response. */
  void answerHeartbeat(Heartbeat heartbeat, HeartbeatAnswer answer) {
    HeartbeatResponse response = scheduler.onHeartbeat(heartbeat, clock(), clock());
    if (response == null || scheduler.isDeposed() || response.maxDelayMs() == 0) {
      answer.accept(response, response != null && !scheduler.isDeposed());
      return;
    }
    scheduler.deferResponse(heartbeat);
    Runnable completion =
        () -> {
          HeartbeatResponse completed = scheduler.completeDeferredResponse(heartbeat, clock());
          answer.accept(completed, completed != null && !scheduler.isDeposed());
        };
    deferredResponses.put(heartbeat.machineName(), completion);
    sim.after(
        response.maxDelayMs(),
        () ->
            handle(
                () -> {
                  if (deferredResponses.remove(heartbeat.machineName(), completion)) {
                    completion.run();
                  }
                }));
  }

  private void sendDeferredResponse(String machineName) {
    Runnable completion = deferredResponses.remove(machineName);
    if (completion != null) {
      sim.count("deferred response sent for a command");
      completion.run();
    }
  }

  private void execute(Decision decision) {
    if (decision instanceof Decision.SendDeferredResponse response) {
      sendDeferredResponse(response.machineName());
    } else if (decision instanceof Decision.SendCommands commands) {
      long delayMs = sim.chance(sim.slow) ? sim.random.nextInt(2500) : sim.random.nextInt(30);
      sim.after(delayMs, () -> sim.network.sendDirect(this, commands));
    } else if (decision instanceof Decision.OpenJob opening) {
      persistJobOpened(opening.jobId());
    } else if (decision instanceof Decision.FinishJob end) {
      persistJobEnd(end.jobId(), false);
    } else if (decision instanceof Decision.RegisterMachine registration) {
      register(registration);
    } else if (decision instanceof Decision.DeregisterMachine removal) {
      deregister(removal.machineName());
    } else if (decision instanceof Decision.ProvisionMachines request) {
      String name = token + "-" + ++provisionRequests;
      scheduler.onProvisioningStarted(name, request);
      sim.store.write(
          this,
          () -> sim.store.provisionRequests.put(name, request),
          ok -> {
            if (ok != null && ok) {
              sim.cloud.provision(this, name, request);
            } else {
              scheduler.onProvisioningFailed(name, request, false, clock());
            }
          },
          "i" + name);
    } else if (decision instanceof Decision.ReleaseMachines release) {
      sim.cloud.release(this, release.machineNames());
    } else if (decision instanceof Decision.ProbeThroughPeers probe) {
      sim.after(
          200, () -> handle(() -> scheduler.onPeerProbeResults(probe, peerProbeResults(probe))));
    }
  }

  private List<Decision.PeerProbeResult> peerProbeResults(Decision.ProbeThroughPeers probe) {
    if (sim.random.nextInt(3) == 0) {
      return List.of();
    }
    Set<String> reached = new HashSet<>();
    Set<String> unreached = new HashSet<>();
    List<Decision.MachineAddress> addresses = new ArrayList<>(probe.suspects());
    addresses.addAll(probe.controls());
    for (Decision.MachineAddress address : addresses) {
      FuzzWorker worker = sim.workers.get(address.machineName());
      (worker != null && worker.alive && !worker.hung ? reached : unreached)
          .add(address.machineName());
    }
    return List.of(new Decision.PeerProbeResult(reached, unreached));
  }

  /**
   * Returns the delay in milliseconds of a message between this controller and the machine, or -1
   * if the message is lost.
   */
  long linkDelayMs(String machine, String direction) {
    long delayMs = 1 + sim.random.nextInt(20);
    if (sim.chance(sim.slow)) {
      delayMs += sim.random.nextInt(6000);
    }
    Long untilMs = cutUntilMs.get(machine + direction);
    if (untilMs != null && untilMs > sim.nowMs) {
      if (!cutHoldsMessages.get(machine + direction)) {
        return -1;
      }
      delayMs += untilMs - sim.nowMs;
    }
    return delayMs;
  }
}
