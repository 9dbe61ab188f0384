package org.astershift.simulation;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.astershift.controller.LoopTiming;
import org.astershift.coordination.Cancellation;
import org.astershift.coordination.Candidacy;
import org.astershift.coordination.Election;
import org.astershift.coordination.Election.Action;
import org.astershift.coordination.TermJobs;
import org.astershift.coordination.WorkerReachability;
import org.astershift.http.Threads;
import org.astershift.peer.PeerClient;
import org.astershift.scheduler.Command;
import org.astershift.scheduler.Decision;
import org.astershift.scheduler.DeploymentLimits;
import org.astershift.scheduler.Heartbeat;
import org.astershift.scheduler.JobSpec;
import org.astershift.scheduler.Scheduler;
import org.astershift.scheduler.SchedulingPolicy;
import org.astershift.simulation.StoreModel.EndRow;
import org.astershift.simulation.StoreModel.JobRow;
import org.astershift.simulation.StoreModel.MachineRow;
import org.astershift.simulation.StoreModel.Outcome;
import org.astershift.simulation.StoreModel.Row;
import org.astershift.simulation.StoreModel.Write;
import org.astershift.store.StoreClient;

/**
 * A controller: the program's own decisions ({@link Election}, {@link Candidacy}, {@link
 * WorkerReachability}, {@link Scheduler}), carried out over the world's links as the loops of the
 * program do. It may stand still while its clock runs on, or crash and start anew.
 */
final class ControllerModel extends ProcessModel {
  private static final long CLOUD_TIMEOUT_MS = 5000;
  private static final long WATCH_POLL_MS = 60;

  /** Until then no answer to a report gets away, though orders to workers go out. */
  private long outboundPartitionedUntilMs;

  /** Until then workers' reports are not even read. */
  private long rejectsHeartbeatsUntilMs;

  // What a process knows; gone when it crashes.
  private Election election;
  private Candidacy candidacy;
  private WorkerReachability reachability;
  private Map<String, Row> watchCache;
  private long watchedRevision;
  private String leaderFromPeers;
  private Term term;
  private long electionWait;

  /** The last round of the election is over, and the next waits for its time or for the key. */
  private boolean electionWaiting;

  /** Reports that it answered while another may have led. */
  private int answeredWithUncertainLease;

  /** Starts left out of orders since their jobs are over, or another might lead. */
  private int withheldStarts;

  /** Ends of jobs that this process knows. */
  private Map<String, EndRow> endedJobs;

  /** Questions about jobs that are under way: to the leader, and to the state service. */
  private Map<String, Batch> leaderQueries;

  private Map<String, Batch> storeReads;

  /** One time in office. */
  private static final class Term {
    final long token;
    final long beganMs;
    final Scheduler scheduler;
    final TermJobs jobs;
    final Map<String, BitSet> progress = new HashMap<>();

    /** What this leader wants on record, by key. */
    final Map<String, LeaderRecord> records = new HashMap<>();

    /** Machines that this leader has put on record. */
    final Set<String> registered = new HashSet<>();

    /** Completed jobs whose end is not on record yet, and whether a write of some is under way. */
    final List<String> completions = new ArrayList<>();

    boolean completionWriteInFlight;
    boolean passRequested;
    int provisionRequests;
    boolean acted;
    long passDueMs = Long.MAX_VALUE;

    Term(long token, long beganMs, Scheduler scheduler) {
      this.token = token;
      this.jobs = new TermJobs(token);
      this.beganMs = beganMs;
      this.scheduler = scheduler;
    }
  }

  /**
   * What a leader writes down for its successor under one key, as the program does with its pages:
   * each write is conditional on the revision known here, so that an earlier try which is applied
   * late does not bring back what has changed since.
   */
  private static final class LeaderRecord {
    Object value;
    long revision;
    boolean writing;
    boolean dirty;
    Runnable onPersisted;
  }

  ControllerModel(Simulation simulation, String name) {
    super(simulation, name);
  }

  // ---- the process ----

  void start() {
    beginIncarnation();
    candidacy = new Candidacy();
    election = new Election(name, candidacy);
    reachability = new WorkerReachability();
    watchCache = new TreeMap<>();
    watchedRevision = -1;
    leaderFromPeers = null;
    term = null;
    endedJobs = new HashMap<>();
    leaderQueries = new HashMap<>();
    storeReads = new HashMap<>();
    pollWatch();
    runElection();
    every(LoopTiming.REACHABILITY_SAMPLE_INTERVAL_MS, this::sampleReachability);
    every(LoopTiming.REACHABILITY_QUERY_INTERVAL_MS, this::queryPeers);
  }

  /**
   * For so long no worker gets an answer to a report, as when their connections find no place: at
   * first what they say still arrives, so that this node heard them later than they were answered.
   */
  void rejectHeartbeats(long forMs) {
    simulation.log(name, "has no places for workers for " + forMs + " ms");
    outboundPartitionedUntilMs = simulation.now() + Math.min(forMs, simulation.setup.leaseMs()) / 2;
    rejectsHeartbeatsUntilMs = simulation.now() + forMs;
    simulation.after(forMs, simulation::markConnectivityChanged);
  }

  /** There are places for all again. */
  void acceptHeartbeats() {
    outboundPartitionedUntilMs = 0;
    rejectsHeartbeatsUntilMs = 0;
  }

  private boolean without(Mutation mutation) {
    return simulation.mutations.contains(mutation);
  }

  // ---- the mirror ----

  private void pollWatch() {
    long from = watchedRevision;
    // A watch that hangs is given up late, and the mirror lags that long.
    storeRequest(
        watchedRevision < 0
            ? STORE_TIMEOUT_MS
            : STORE_TIMEOUT_MS + simulation.random.nextLong(StoreClient.WATCH_BLOCK_MS),
        () -> new Object[] {simulation.store.changesAfter(name, from), simulation.store.revision()},
        (Object[] got) -> {
          if (got != null) {
            @SuppressWarnings("unchecked")
            List<Row> news = (List<Row>) got[0];
            long upTo = (long) got[1];
            boolean key = false;
            for (Row row : news) {
              key |= row.key().equals(StoreModel.LEADER);
              if (row.value() == null) {
                watchCache.remove(row.key());
              } else {
                watchCache.put(row.key(), row);
              }
              if (row.value() instanceof JobRow job) {
                onJobRead(job, row.revision());
              }
            }
            watchedRevision = Math.max(watchedRevision, upTo);
            if (key && electionWaiting) {
              waitForElection(0); // one round at a time, as in the program
            }
          }
          later(got == null ? Threads.RETRY_BACKOFF_MS : WATCH_POLL_MS, this::pollWatch);
        });
  }

  // ---- leadership ----

  private Election.View electionView() {
    Row row = watchCache.get(StoreModel.LEADER);
    Election.Holder holder =
        row == null ? null : new Election.Holder((String) row.value(), row.revision());
    return new Election.View(
        clock(),
        watchedRevision >= 0,
        holder,
        reachability.measurement(clock()),
        clock() - storeAnsweredMs());
  }

  private void waitForElection(long ms) {
    electionWaiting = true;
    long mark = ++electionWait;
    later(
        ms,
        () -> {
          if (mark == electionWait) {
            runElection();
          }
        });
  }

  private void runElection() {
    electionWaiting = false;
    electionWait++;
    Action action = election.next(electionView());
    long restMs =
        election.token() == 0
            ? LoopTiming.ELECTION_POLL_INTERVAL_MS
            : LoopTiming.LEADER_LEASE_RENEW_INTERVAL_MS;
    if (action instanceof Action.ReadKey) {
      storeRequest(
          () -> simulation.store.revision(),
          r -> waitForElection(r == null ? Threads.RETRY_BACKOFF_MS : 0));
    } else if (action instanceof Action.RemoveStaleKey r) {
      compareAndSwap(
          Map.of(StoreModel.LEADER, r.revision()),
          List.of(new Write(StoreModel.LEADER, null, 0)),
          outcome -> waitForElection(restMs));
    } else if (action instanceof Action.GrantLease g) {
      storeRequest(
          () -> simulation.store.grant(g.ttlMs()),
          lease -> {
            if (lease != null) {
              election.onLeaseGranted(lease);
            }
            waitForElection(lease == null ? Threads.RETRY_BACKOFF_MS : 0);
          });
    } else if (action instanceof Action.CreateKey c) {
      simulation.delayedHeartbeats.onMoment(DelayedHeartbeats.Moment.BEFORE_KEY_CREATION, this);
      compareAndSwap(
          Map.of(StoreModel.LEADER, 0L),
          List.of(new Write(StoreModel.LEADER, name, c.lease())),
          outcome -> {
            election.onKeyCreation(
                outcome == null
                    ? Election.KeyCreation.UNKNOWN
                    : outcome.revision() > 0
                        ? Election.KeyCreation.CREATED
                        : Election.KeyCreation.REJECTED,
                outcome == null ? 0 : outcome.revision());
            if (outcome != null && outcome.revision() > 0) {
              simulation.delayedHeartbeats.onMoment(DelayedHeartbeats.Moment.KEY_CREATED, this);
            }
            waitForElection(0);
          });
    } else if (action instanceof Action.VerifyKey v) {
      storeRequest(
          () -> {
            StoreModel.Row row =
                simulation.store.renew(v.lease()) ? simulation.store.get(StoreModel.LEADER) : null;
            return row != null && row.lease() == v.lease() ? row.revision() : 0L;
          },
          revision -> {
            election.onKeyVerified(revision == null ? 0 : revision);
            waitForElection(0);
          });
    } else if (action instanceof Action.CatchUp c) {
      catchUp(c.revision(), clock() + Election.LEADER_LEASE_MS);
    } else if (action instanceof Action.BeginTerm b) {
      beginTerm(b.token());
      waitForElection(restMs);
    } else if (action instanceof Action.RenewLease r) {
      storeRequest(
          () -> simulation.store.renew(r.lease()),
          ok -> {
            election.onLeaseRenewed(ok);
            waitForElection(
                ok == null ? Threads.RETRY_BACKOFF_MS : election.token() == 0 ? 0 : restMs);
          });
    } else {
      carryOutEnd(List.of(action));
      waitForElection(restMs);
    }
  }

  private void catchUp(long revision, long untilMs) {
    simulation.delayedHeartbeats.onMoment(DelayedHeartbeats.Moment.CATCHING_UP, this);
    boolean done = watchedRevision >= revision || without(Mutation.NO_CATCH_UP);
    if (done || clock() > untilMs) {
      election.onCaughtUp(revision, done);
      waitForElection(0);
    } else {
      later(WATCH_POLL_MS / 2, () -> catchUp(revision, untilMs));
    }
  }

  private void carryOutEnd(List<Action> acts) {
    for (Action act : acts) {
      if (act instanceof Action.EndTerm e) {
        if (term != null && term.token == e.token()) {
          simulation.log(name, "leads no longer (token " + e.token() + "): " + e.reason());
          term = null;
        }
      } else if (act instanceof Action.RevokeLease r) {
        storeRequest(
            () -> {
              simulation.store.revoke(r.lease());
              return true;
            },
            ok -> {});
      }
    }
  }

  // ---- what this node and the others reach ----

  private void sampleReachability() {
    List<String> roster = new ArrayList<>();
    StoreModel.withPrefix(watchCache, "m/")
        .forEach(
            (machine, row) -> {
              if (!((MachineRow) row).machine().newlyProvisioned()) {
                roster.add(machine);
              }
            });
    int probed = Math.min(LoopTiming.REACHABILITY_SAMPLE_MACHINES, roster.size());
    long atMs = clock();
    int[] answers = new int[2];
    for (int i = 0; i < probed; i++) {
      String machine = roster.remove(simulation.random.nextInt(roster.size()));
      probeWorker(
          machine,
          Scheduler.MACHINE_PROBE_TIMEOUT_MS,
          yes -> {
            answers[0]++;
            answers[1] += yes ? 1 : 0;
            if (answers[0] == probed) {
              reachability.onSample(probed, answers[1], atMs);
            }
          });
    }
  }

  private void probeWorker(String machine, long timeoutMs, Consumer<Boolean> done) {
    request(
        machine,
        timeoutMs,
        answer -> {
          WorkerModel worker = simulation.workers.get(machine);
          if (worker != null) {
            worker.serve(() -> answer.accept(true));
          }
        },
        (Boolean yes) -> done.accept(yes != null));
  }

  /** What each of the others answers; those that do not are left out. */
  private <A> void askPeers(
      java.util.function.BiConsumer<ControllerModel, Consumer<A>> question,
      long timeoutMs,
      Consumer<Map<String, A>> done) {
    Map<String, A> out = new LinkedHashMap<>();
    int[] left = {simulation.controllers.size() - 1};
    for (ControllerModel other : simulation.controllers) {
      if (other != this) {
        request(
            other.name,
            timeoutMs,
            answer -> {
              int startedIn = other.incarnation();
              if (!other.crashed()) {
                other.runIn(startedIn, () -> question.accept(other, answer));
              }
            },
            (A a) -> {
              if (a != null) {
                out.put(other.name, a);
              }
              left[0]--;
              if (left[0] == 0) {
                done.accept(out);
              }
            });
      }
    }
    if (left[0] == 0) {
      done.accept(out);
    }
  }

  private void queryPeers() {
    if (storeLost()) {
      askPeers(
          (ControllerModel other, Consumer<Row> answer) -> {
            if (!other.storeLost()) {
              answer.accept(
                  other.watchCache.getOrDefault(
                      StoreModel.LEADER, new Row(StoreModel.LEADER, "", 0, 0)));
            }
          },
          LoopTiming.REACHABILITY_QUERY_TIMEOUT_MS,
          this::onLeaderReported);
      return;
    }
    leaderFromPeers = null;
    Term leaderTerm = term;
    if (leaderTerm == null
        || !leaderTerm.scheduler.isolated()
        || without(Mutation.NO_LEADERSHIP_TRANSFER)) {
      return;
    }
    askPeers(
        (ControllerModel other, Consumer<Candidacy.PeerStatus> answer) ->
            answer.accept(
                new Candidacy.PeerStatus(
                    other.name, !other.storeLost(), other.reachability.measurement(other.clock()))),
        LoopTiming.REACHABILITY_QUERY_TIMEOUT_MS,
        answers -> transferLeadership(leaderTerm, new ArrayList<>(answers.values())));
  }

  private void onLeaderReported(Map<String, Row> answers) {
    for (Row row : answers.values()) {
      if (!"".equals(row.value())) {
        leaderFromPeers = (String) row.value();
        WorkerReachability.Measurement own = reachability.measurement(clock());
        askPeers(
            (ControllerModel other, Consumer<WorkerReachability.Measurement> answer) -> {
              if (other.name.equals(row.value())) {
                answer.accept(other.reachability.measurement(other.clock()));
              }
            },
            LoopTiming.REACHABILITY_QUERY_TIMEOUT_MS,
            (Map<String, WorkerReachability.Measurement> seen) -> {
              boolean inboundPartitioned =
                  seen.values().stream().anyMatch(WorkerReachability.Measurement::reachesFew);
              if (!(term != null && own.reachesEnough() && inboundPartitioned)) {
                carryOutEnd(election.onLeaderObserved(row.revision()));
              }
            });
        return;
      }
    }
  }

  private void transferLeadership(Term leaderTerm, List<Candidacy.PeerStatus> statuses) {
    if (leaderTerm != term) {
      return;
    }
    Candidacy.LeadershipTransfer transfer =
        candidacy.handOverTarget(
            leaderTerm.scheduler.observedShare(),
            statuses,
            simulation.controllers.size() - 1,
            leaderTerm.beganMs,
            clock());
    if (transfer == null) {
      return;
    }
    askPeers(
        (ControllerModel other, Consumer<Boolean> answer) -> {
          if (transfer.successor() != null && !transfer.successor().equals(other.name)) {
            other.candidacy.deferToSuccessor(other.clock());
          }
          answer.accept(true);
        },
        LoopTiming.REACHABILITY_QUERY_TIMEOUT_MS,
        ok ->
            carryOutEnd(
                election.resign(
                    leaderTerm.token, "hands over to " + transfer.successor(), clock())));
  }

  // ---- the term ----

  private void beginTerm(long token) {
    if (election.token() != token) {
      return;
    }
    DeploymentLimits limits =
        new DeploymentLimits(
            simulation.teams(),
            simulation.objectives,
            simulation.setup.heartbeatMs() / 1000.0,
            simulation.setup.leaseMs() / 1000.0,
            GangModel.GATHER_TIMEOUT_MS / 1000.0,
            GangModel.PEER_TIMEOUT_MS / 1000.0,
            InvariantChecker.CANCEL_MS / 1000.0,
            3);
    // Machines are never given back as idle here, so that each return is for silence.
    SchedulingPolicy policy = new SchedulingPolicy(2500, 0.9, 64, 5, 1e6);
    Term leaderTerm = new Term(token, clock(), new Scheduler(limits, policy, token));
    leaderTerm.scheduler.updateMachineTypes(simulation.cloud.types());
    StoreModel.withPrefix(watchCache, "m/")
        .forEach(
            (machine, row) -> {
              Decision.RegisterMachine registration = ((MachineRow) row).machine();
              if (without(Mutation.NO_INHERITED_MACHINES)) {
                return;
              }
              if (registration.newlyProvisioned()) {
                leaderTerm.scheduler.onMachinesProvisioned(
                    "",
                    List.of(machine),
                    new Decision.ProvisionMachines(
                        registration.typeName(), registration.zone(), registration.spot(), 1),
                    clock());
              } else {
                leaderTerm.scheduler.addInheritedMachine(
                    machine,
                    registration.address(),
                    registration.typeName(),
                    registration.zone(),
                    registration.spot(),
                    clock());
              }
            });
    term = leaderTerm;
    watchCache.forEach(
        (key, row) -> {
          LeaderRecord note = new LeaderRecord();
          note.value = row.value();
          note.revision = row.revision();
          leaderTerm.records.put(key, note);
          if (key.startsWith("j/")) {
            adoptJob(leaderTerm, (JobRow) row.value(), row.revision());
          }
        });
    if (!without(Mutation.ADOPT_STALE_JOBS)) {
      leaderTerm.jobs.onLoaded();
    }
    StoreModel.withPrefix(watchCache, "i/")
        .forEach((request, r) -> provision(leaderTerm, request, (Decision.ProvisionMachines) r));
    simulation.checker.onTermBegun(name, token);
    simulation.delayedHeartbeats.onMoment(DelayedHeartbeats.Moment.TERM_BEGUN, this);
    runPasses(leaderTerm);
    pollMachineList(leaderTerm);
    saveProgress(leaderTerm);
  }

  /** A live job was read, maybe some time ago. */
  private void onJobRead(JobRow job, long revision) {
    if (term != null && !endedJobs.containsKey(job.spec().id())) {
      adoptJob(term, job, revision);
    }
  }

  private void adoptJob(Term leaderTerm, JobRow job, long revision) {
    if (leaderTerm.jobs.adopt(job.spec().id(), revision)) {
      Row done = watchCache.get("p/" + job.spec().id());
      BitSet bits = StoreModel.bits(done == null ? null : done.value());
      boolean opened = watchCache.containsKey("o/" + job.spec().id());
      leaderTerm.scheduler.addJob(job.spec(), opened, bits, clock());
    }
  }

  private void runPasses(Term leaderTerm) {
    if (leaderTerm != term) {
      return;
    }
    runPass(leaderTerm);
    leaderTerm.passDueMs = clock() + LoopTiming.PASS_INTERVAL_MS;
    later(LoopTiming.PASS_INTERVAL_MS, () -> runPasses(leaderTerm));
  }

  /** As in the program, whatever brought the pass about: it may come after a standstill. */
  private void runPass(Term leaderTerm) {
    if (clock() - leaderTerm.passDueMs > LoopTiming.PROCESS_PAUSE_MS) {
      leaderTerm.scheduler.onProcessResumed(clock());
    }
    long leaseCertainUntilMs =
        without(Mutation.TRUST_EXPIRY_WITH_UNCERTAIN_LEASE)
            ? Long.MAX_VALUE
            : election.leaseCertainUntilMs();
    List<Decision> decisions = leaderTerm.scheduler.pass(clock(), leaseCertainUntilMs);
    simulation.digest.pass(simulation.now(), name, decisions);
    for (Decision decision : decisions) {
      execute(leaderTerm, decision);
    }
  }

  /** A user's wish is not left to the next pass. */
  private void requestPass(Term leaderTerm) {
    if (!leaderTerm.passRequested) {
      leaderTerm.passRequested = true;
      later(
          LoopTiming.PASS_MIN_GAP_MS,
          () -> {
            leaderTerm.passRequested = false;
            if (leaderTerm == term) {
              runPass(leaderTerm);
            }
          });
    }
  }

  private void execute(Term leaderTerm, Decision decision) {
    if (!leaderTerm.acted && !(decision instanceof Decision.ProbeThroughPeers)) {
      leaderTerm.acted = true;
      simulation.delayedHeartbeats.onMoment(DelayedHeartbeats.Moment.FIRST_DECISION, this);
    }
    if (decision instanceof Decision.SendCommands commands) {
      sendCommands(leaderTerm, commands);
    } else if (decision instanceof Decision.OpenJob commands) {
      boolean early = without(Mutation.START_BEFORE_JOB_OPENED);
      if (early) {
        leaderTerm.scheduler.onJobOpened(commands.jobId());
      }
      persist(
          leaderTerm,
          "o/" + commands.jobId(),
          true,
          () -> {
            if (!early && leaderTerm.jobs.manages(commands.jobId())) {
              leaderTerm.scheduler.onJobOpened(commands.jobId());
            }
          });
    } else if (decision instanceof Decision.FinishJob completion) {
      leaderTerm.completions.add(completion.jobId());
      writeCompletions(leaderTerm);
    } else if (decision instanceof Decision.RegisterMachine registration) {
      leaderTerm.registered.add(registration.machineName());
      if (without(Mutation.TASKS_BEFORE_REGISTRATION)) {
        leaderTerm.scheduler.onMachineRegistered(registration.machineName());
      }
      persist(
          leaderTerm,
          "m/" + registration.machineName(),
          new MachineRow(registration),
          () -> leaderTerm.scheduler.onMachineRegistered(registration.machineName()));
    } else if (decision instanceof Decision.DeregisterMachine removal) {
      persist(leaderTerm, "m/" + removal.machineName(), null, () -> {});
    } else if (decision instanceof Decision.ProvisionMachines provisioning) {
      String request = "as-" + leaderTerm.token + "-" + ++leaderTerm.provisionRequests;
      leaderTerm.scheduler.onProvisioningStarted(request, provisioning);
      persist(
          leaderTerm,
          "i/" + request,
          provisioning,
          () -> provision(leaderTerm, request, provisioning));
    } else if (decision instanceof Decision.ReleaseMachines provisioning) {
      releaseMachines(leaderTerm, provisioning);
    } else if (decision instanceof Decision.ProbeThroughPeers probe) {
      askPeers(
          (ControllerModel other, Consumer<Decision.PeerProbeResult> answer) ->
              other.probeForPeer(probe, answer),
          PeerClient.PEER_TIMEOUT_MS,
          (Map<String, Decision.PeerProbeResult> answers) -> {
            if (leaderTerm == term) {
              leaderTerm.scheduler.onPeerProbeResults(probe, new ArrayList<>(answers.values()));
            }
          });
    }
  }

  private void probeForPeer(
      Decision.ProbeThroughPeers probe, Consumer<Decision.PeerProbeResult> answer) {
    List<Decision.MachineAddress> all = new ArrayList<>(probe.suspects());
    all.addAll(probe.controls());
    Set<String> yes = new HashSet<>();
    Set<String> no = new HashSet<>();
    for (Decision.MachineAddress m : all) {
      probeWorker(
          m.address(),
          Scheduler.PEER_PROBE_TIMEOUT_MS,
          answers -> {
            boolean control = probe.controls().contains(m);
            boolean state = without(Mutation.PEER_PROBES_ALWAYS_FAIL) ? control : answers;
            (state ? yes : no).add(m.machineName());
            if (yes.size() + no.size() == all.size()) {
              answer.accept(new Decision.PeerProbeResult(yes, no));
            }
          });
    }
  }

  private void sendCommands(Term leaderTerm, Decision.SendCommands decision) {
    if (!simulation.connectionOriented) {
      deliverCommands(leaderTerm, decision, decision.commands(), null, decision.timeoutMs());
      return;
    }
    long untilMs = clock() + decision.timeoutMs();
    openConnection(
        decision.address(),
        decision.timeoutMs(),
        workerIncarnation -> {
          if (workerIncarnation == null && leaderTerm == term) {
            leaderTerm.scheduler.onCommandResult(decision.machineName(), false, null, clock());
          } else if (workerIncarnation != null) {
            boolean sole =
                election.leaseCertain(leaderTerm.token, clock())
                    || without(Mutation.STARTS_WITH_UNCERTAIN_LEASE);
            List<Command> commands = leaderTerm.scheduler.commandsStillWanted(decision, sole);
            withheldStarts += decision.commands().size() - commands.size();
            deliverCommands(
                leaderTerm, decision, commands, workerIncarnation, Math.max(1, untilMs - clock()));
          }
        });
  }

  /**
   * A connection to a life of the machine; null: none came about in time. One that came about while
   * this node stood still it finds as it goes on, whatever the time.
   */
  private void openConnection(String machine, long timeoutMs, Consumer<Integer> done) {
    int startedIn = incarnation();
    Integer[] workerIncarnation = new Integer[1];
    boolean[] over = new boolean[1];
    Runnable look =
        () ->
            runIn(
                startedIn,
                () -> {
                  if (!over[0]) {
                    over[0] = true;
                    done.accept(workerIncarnation[0]);
                  }
                });
    simulation.send(
        name,
        machine,
        () -> {
          WorkerModel worker = simulation.workers.get(machine);
          if (worker != null && worker.alive()) {
            int accepted = worker.incarnation();
            simulation.send(
                machine,
                name,
                () -> {
                  workerIncarnation[0] = accepted;
                  look.run();
                });
          }
        });
    simulation.after(timeoutMs, look);
  }

  /** {@code workerIncarnation}: the only one that may get it; null: whichever is there. */
  private void deliverCommands(
      Term leaderTerm,
      Decision.SendCommands decision,
      List<Command> wanted,
      Integer workerIncarnation,
      long timeoutMs) {
    List<Command> commands = permittedCommands(leaderTerm, wanted);
    request(
        decision.address(),
        timeoutMs,
        answer -> {
          WorkerModel worker = simulation.workers.get(decision.machineName());
          if (worker != null
              && (workerIncarnation == null || workerIncarnation == worker.incarnation())) {
            worker.serve(
                () ->
                    answer.accept(worker.onCommands(leaderTerm.token, decision.epoch(), commands)));
          }
        },
        (WorkerModel.CommandAnswer answer) -> {
          if (leaderTerm != term) {
            return;
          }
          Heartbeat heartbeat = answer == null ? null : answer.heartbeat();
          schedulerWithLease(leaderTerm)
              .onCommandResult(decision.machineName(), answer == null, heartbeat, clock());
          if (heartbeat != null && without(Mutation.COMMAND_ANSWERS_RENEW_LEASES)) {
            leaderTerm.scheduler.onHeartbeat(heartbeat, clock());
          }
          stepDownIfDeposed(leaderTerm, decision.machineName());
        });
  }

  private List<Command> permittedCommands(Term leaderTerm, List<Command> commands) {
    boolean stopsWithheld =
        without(Mutation.NO_STOPS_WITH_UNCERTAIN_LEASE)
            && !election.leaseCertain(leaderTerm.token, clock());
    boolean over = without(Mutation.NO_STOPS_FOR_ENDED_JOBS);
    return commands.stream()
        .filter(
            command ->
                command.kind() != Command.Kind.STOP
                    || !(stopsWithheld || (over && !leaderTerm.jobs.manages(command.jobId()))))
        .toList();
  }

  /** The scheduler, told up to when no other node can lead. */
  private Scheduler schedulerWithLease(Term leaderTerm) {
    boolean unproven = without(Mutation.TRUST_UNPROVEN_INCARNATIONS);
    leaderTerm.scheduler.extendLeaseCertainty(
        unproven ? Long.MAX_VALUE : election.leaseCertainUntilMs());
    return leaderTerm.scheduler;
  }

  private void stepDownIfDeposed(Term leaderTerm, String machine) {
    if (leaderTerm.scheduler.deposed()) {
      carryOutEnd(election.stepDown(leaderTerm.token, machine + " has seen a higher token"));
    }
  }

  /**
   * A copy of an old report; a leader that takes copies for news believes it as it believes the
   * answer to a question, whatever else speaks against it.
   */
  void onDuplicateHeartbeat(Heartbeat heartbeat) {
    if (!without(Mutation.ACCEPT_DUPLICATE_HEARTBEATS)) {
      onHeartbeat(heartbeat, answer -> {});
      return;
    }
    runIn(
        incarnation(),
        () -> {
          if (!crashed() && term != null) {
            schedulerWithLease(term)
                .onCommandResult(heartbeat.machineName(), false, heartbeat, clock());
          }
        });
  }

  /** A worker's report. */
  void onHeartbeat(Heartbeat heartbeat, Consumer<WorkerModel.HeartbeatAnswer> answer) {
    boolean full = simulation.now() < rejectsHeartbeatsUntilMs;
    if (crashed() || (full && simulation.now() >= outboundPartitionedUntilMs)) {
      return;
    }
    runIn(
        incarnation(),
        () -> {
          Term leaderTerm = term;
          if (leaderTerm != null) {
            List<Command> commands = schedulerWithLease(leaderTerm).onHeartbeat(heartbeat, clock());
            stepDownIfDeposed(leaderTerm, heartbeat.machineName());
            if (leaderTerm == term && full) {
              return;
            }
            if (leaderTerm == term) {
              boolean ok = commands != null;
              answeredWithUncertainLease +=
                  election.leaseCertain(leaderTerm.token, clock()) ? 0 : 1;
              answer.accept(
                  new WorkerModel.HeartbeatAnswer(
                      ok,
                      leaderTerm.token,
                      ok ? permittedCommands(leaderTerm, commands) : null,
                      null));
              return;
            }
          }
          Row row = watchCache.get(StoreModel.LEADER);
          String leader =
              leaderFromPeers != null ? leaderFromPeers : row == null ? null : (String) row.value();
          boolean other = leader != null && !leader.equals(name);
          answer.accept(
              new WorkerModel.HeartbeatAnswer(false, 0, List.of(), other ? leader : null));
        });
  }

  private void provision(Term leaderTerm, String request, Decision.ProvisionMachines provisioning) {
    request(
        "cloud",
        CLOUD_TIMEOUT_MS,
        (Consumer<List<String>> answer) ->
            simulation.cloud.provision(request, provisioning, answer),
        (List<String> names) -> {
          if (leaderTerm != term) {
            return;
          }
          if (names == null) {
            later(
                LoopTiming.CLOUD_RETRY_BACKOFF_MS,
                () -> provision(leaderTerm, request, provisioning));
            return;
          }
          int[] left = {1};
          Runnable onPersisted =
              () -> {
                left[0]--;
                if (left[0] == 0) {
                  persist(
                      leaderTerm,
                      "i/" + request,
                      null,
                      () -> {}); // not before its machines are noted
                }
              };
          for (String m : names) {
            if (!leaderTerm.registered.add(m) || watchCache.containsKey("m/" + m)) {
              continue; // it may have tasks already, and is no longer fresh
            }
            left[0]++;
            Decision.RegisterMachine registration =
                new Decision.RegisterMachine(
                    m,
                    null,
                    provisioning.typeName(),
                    provisioning.zone(),
                    provisioning.spot(),
                    true);
            persist(leaderTerm, "m/" + m, new MachineRow(registration), onPersisted);
          }
          leaderTerm.scheduler.onMachinesProvisioned(request, names, provisioning, clock());
          onPersisted.run();
        });
  }

  private void releaseMachines(Term leaderTerm, Decision.ReleaseMachines decision) {
    if (decision.silent()) {
      simulation.checker.onSilentRelease(this, decision.machineNames());
    }
    request(
        "cloud",
        CLOUD_TIMEOUT_MS,
        answer -> {
          simulation.cloud.release(decision.machineNames(), decision.silent());
          answer.accept(true);
        },
        (Boolean ok) -> {
          if (leaderTerm == term && ok != null) {
            leaderTerm.scheduler.onMachinesReleased(decision.machineNames(), clock());
          } else if (leaderTerm == term) {
            later(
                LoopTiming.CLOUD_RETRY_BACKOFF_MS,
                () -> leaderTerm.scheduler.onReleaseFailed(decision.machineNames()));
          }
        });
  }

  private void pollMachineList(Term leaderTerm) {
    if (leaderTerm != term) {
      return;
    }
    long requestedMs = clock();
    request(
        "cloud",
        CLOUD_TIMEOUT_MS,
        answer -> answer.accept(simulation.cloud.listMachines()),
        (List<Scheduler.ListedMachine> listed) -> {
          if (leaderTerm == term && listed != null) {
            leaderTerm.scheduler.onMachineList(listed, requestedMs, clock());
          }
          later(LoopTiming.MACHINE_LIST_INTERVAL_MS, () -> pollMachineList(leaderTerm));
        });
  }

  private void saveProgress(Term leaderTerm) {
    if (leaderTerm != term) {
      return;
    }
    leaderTerm
        .scheduler
        .drainUnpersistedProgress()
        .forEach(
            (job, done) ->
                persist(
                    leaderTerm,
                    "p/" + job,
                    done,
                    () -> leaderTerm.scheduler.onProgressPersisted(job, done)));
    later(LoopTiming.PROGRESS_SAVE_INTERVAL_MS, () -> saveProgress(leaderTerm));
  }

  // ---- writes, each conditional on the leader's key ----

  private Map<String, Long> leaderCondition(Term leaderTerm) {
    Map<String, Long> conditions = new HashMap<>();
    if (!without(Mutation.UNFENCED_WRITES)) {
      conditions.put(StoreModel.LEADER, leaderTerm.token);
    }
    return conditions;
  }

  /** The key should hold this, or nothing; {@code onPersisted}: what waits for that. */
  private void persist(Term leaderTerm, String key, Object value, Runnable durable) {
    LeaderRecord record = leaderTerm.records.computeIfAbsent(key, k -> new LeaderRecord());
    record.value = value;
    record.onPersisted = durable;
    record.dirty = true;
    writeRecord(leaderTerm, key, record);
  }

  private void writeRecord(Term leaderTerm, String key, LeaderRecord record) {
    if (record.writing || !record.dirty || leaderTerm != term) {
      return;
    }
    record.writing = true;
    record.dirty = false;
    Object value = record.value;
    Runnable durable = record.onPersisted;
    Map<String, Long> conditions = leaderCondition(leaderTerm);
    if (!without(Mutation.UNCONDITIONAL_RECORD_WRITES)) {
      conditions.put(key, record.revision);
    }
    compareAndSwap(
        conditions,
        List.of(new Write(key, value, 0)),
        outcome -> {
          if (simulation.recordAnswerDelayMs > 0) {
            later(
                simulation.recordAnswerDelayMs,
                () -> onRecordWritten(leaderTerm, key, record, value, durable, outcome));
          } else {
            onRecordWritten(leaderTerm, key, record, value, durable, outcome);
          }
        });
  }

  private void onRecordWritten(
      Term leaderTerm,
      String key,
      LeaderRecord record,
      Object value,
      Runnable durable,
      Outcome outcome) {
    if (leaderTerm != term) {
      return;
    }
    record.writing = false;
    if (outcome != null && outcome.revision() > 0) {
      record.revision = value == null ? 0 : outcome.revision();
      durable.run();
      writeRecord(leaderTerm, key, record);
    } else if (outcome != null && outcome.failed().contains(StoreModel.LEADER)) {
      carryOutEnd(election.stepDown(leaderTerm.token, "a write found another leader"));
    } else {
      record.dirty = true;
      later(Threads.RETRY_BACKOFF_MS, () -> rereadRecord(leaderTerm, key, record, outcome));
    }
  }

  /** An earlier try without an answer was applied after all: its revision is news. */
  private void rereadRecord(Term leaderTerm, String key, LeaderRecord record, Outcome outcome) {
    if (outcome == null || !outcome.failed().contains(key)) {
      writeRecord(leaderTerm, key, record);
      return;
    }
    storeRequest(
        () -> new Row[] {simulation.store.get(key)},
        (Row[] found) -> {
          if (found != null) {
            record.revision = found[0] == null ? 0 : found[0].revision();
          }
          writeRecord(leaderTerm, key, record);
        });
  }

  /** {@code done} gets null where nothing is known of the effect. */
  private void compareAndSwap(
      Map<String, Long> conditions, List<Write> writes, Consumer<Outcome> done) {
    double drawn = simulation.random.nextDouble();
    boolean late = drawn < simulation.store.lateShare;
    boolean unreconciled =
        !late && drawn < simulation.store.lateShare + simulation.store.unansweredShare;
    request(
        "state",
        STORE_TIMEOUT_MS,
        answer -> {
          if (simulation.store.isUnavailable() || simulation.store.refuses(name)) {
            answer.accept(StoreModel.REFUSED);
          } else if (late) {
            simulation.store.commitLate(name, conditions, writes);
          } else {
            Outcome outcome = simulation.store.commit(name, conditions, writes);
            if (unreconciled) {
              simulation.store.loseAnswer(name, writes, outcome);
              return;
            }
            simulation.after(storeDelayMs(), () -> answer.accept(outcome));
          }
        },
        (Outcome outcome) -> {
          if (outcome != null && outcome != StoreModel.REFUSED) {
            onStoreAnswered();
          }
          done.accept(outcome);
        });
  }

  // ---- users ----

  /** As the program's desk accepts: durable before it is told, read back where that is unknown. */
  void submit(JobSpec spec, Consumer<String> answer) {
    runIn(
        incarnation(),
        () -> {
          EndRow end = endedJobs.get(spec.id());
          if (crashed() || end != null || storeLost()) {
            answer.accept(crashed() || end == null ? "503" : endState(end));
            return;
          }
          JobRow job = new JobRow(spec, simulation.now());
          Write row = new Write("j/" + spec.id(), job, 0);
          compareAndSwap(
              Map.of("j/" + spec.id(), 0L, "d/" + spec.id(), 0L),
              List.of(row),
              outcome -> {
                if (outcome == StoreModel.REFUSED) {
                  answer.accept("503");
                } else if (outcome != null && outcome.revision() > 0) {
                  afterThreadStall(
                      () -> {
                        onJobRead(job, outcome.revision());
                        answer.accept("queued");
                      });
                } else {
                  jobState(
                      spec.id(), true, state -> answer.accept(state.equals("404") ? "503" : state));
                }
              });
        });
  }

  private static String endState(EndRow end) {
    return end.cancelled() ? "withdrawn" : "done";
  }

  /** A user wants the job cancelled: what to do next is the program's decision. */
  void cancel(String job, boolean forward, Consumer<String> answer) {
    runIn(
        incarnation(),
        () -> {
          if (!crashed()) {
            long untilMs = clock() + LoopTiming.CANCEL_WAIT_MS;
            advanceCancellation(new CancelRequest(job, term, forward, untilMs, answer), false);
          }
        });
  }

  private record CancelRequest(
      String job, Term term, boolean forward, long deadlineMs, Consumer<String> answer) {}

  private void advanceCancellation(CancelRequest request, boolean read) {
    Term leaderTerm = request.term();
    boolean managed = leaderTerm != null && leaderTerm.jobs.manages(request.job());
    Scheduler.JobProgress view = managed ? leaderTerm.scheduler.progress(request.job()) : null;
    boolean unreconciled = without(Mutation.CONFIRM_CANCEL_UNRECONCILED);
    Cancellation.Action act =
        Cancellation.next(
            new Cancellation.View(
                endedJobs.containsKey(request.job()),
                request.forward(),
                leaderTerm != null,
                leaderTerm != null
                    && leaderTerm == term
                    && election.leaseCertain(leaderTerm.token, clock()),
                managed,
                read,
                managed
                    && (unreconciled || leaderTerm.scheduler.canConfirmCancellation(request.job())),
                managed
                    && !without(Mutation.CONFIRM_CANCEL_WHILE_STARTING)
                    && leaderTerm.scheduler.mayStart(request.job()),
                view != null && view.complete(),
                clock() >= request.deadlineMs()));
    if (act.needsTerm()) {
      leaderTerm.scheduler.requestCancellation(request.job());
      requestPass(leaderTerm);
    }
    if (act == Cancellation.Action.WRITE_CANCELLED
        && without(Mutation.CONFIRM_CANCEL_BEFORE_WRITE)) {
      request.answer().accept("withdrawn");
    }
    switch (act) {
      case REPLY_WITH_END -> request.answer().accept(endState(endedJobs.get(request.job())));
      case FORWARD -> forwardCancellation(request);
      case READ_STORE ->
          readJobState(
              request.job(),
              state -> {
                if (state.equals("queued")) {
                  advanceCancellation(request, true);
                } else {
                  request.answer().accept(state);
                }
              });
      case WRITE_CANCELLED, WRITE_DONE ->
          writeEnd(
              leaderTerm,
              request.job(),
              act == Cancellation.Action.WRITE_CANCELLED,
              end -> {
                if (end != null) {
                  request.answer().accept(endState(end));
                } else {
                  later(
                      LoopTiming.CANCEL_POLL_INTERVAL_MS, () -> advanceCancellation(request, read));
                }
              });
      case WAIT ->
          later(LoopTiming.CANCEL_POLL_INTERVAL_MS, () -> advanceCancellation(request, read));
      default -> request.answer().accept("503");
    }
  }

  private void forwardCancellation(CancelRequest request) {
    ControllerModel other = otherLeader();
    if (other == null) {
      request.answer().accept("503");
      return;
    }
    request(
        other.name,
        PeerClient.PEER_TIMEOUT_MS,
        (Consumer<String> reply) -> other.cancel(request.job(), false, reply),
        (String state) -> {
          String known = state == null ? "503" : state;
          rememberEnd(request.job(), known);
          request.answer().accept(known);
        });
  }

  /** The other controller that leads, as far as known here; null: none, or this one. */
  private ControllerModel otherLeader() {
    Row row = watchCache.get(StoreModel.LEADER);
    String leader = leaderFromPeers != null || row == null ? leaderFromPeers : (String) row.value();
    return leader == null || leader.equals(name)
        ? null
        : simulation.controllers.stream()
            .filter(controller -> controller.name.equals(leader))
            .findFirst()
            .orElseThrow();
  }

  /**
   * Makes a job's end durable before anybody is told of it; null if that is not certain yet. Done
   * and cancelled exclude each other: the first that is on record stays.
   */
  private void writeEnd(Term leaderTerm, String job, boolean cancelled, Consumer<EndRow> then) {
    if (!leaderTerm.jobs.manages(job)) {
      then.accept(endedJobs.get(job));
      return;
    }
    Scheduler.JobProgress view = leaderTerm.scheduler.progress(job);
    EndRow end = new EndRow(cancelled, view.doneTasks());
    leaderTerm.jobs.onEndWriteStarted(job);
    Map<String, Long> conditions = leaderCondition(leaderTerm);
    if (!without(Mutation.OVERWRITE_JOB_END)) {
      conditions.put("d/" + job, 0L);
    }
    compareAndSwap(
        conditions,
        List.of(new Write("j/" + job, null, 0), new Write("d/" + job, end, 0)),
        outcome -> {
          if (outcome != null && outcome.revision() > 0) {
            onJobEnded(leaderTerm, job, end); // on record, whoever leads by now
            then.accept(end);
          } else if (outcome == null) {
            then.accept(null);
          } else {
            leaderTerm.jobs.onEndWriteRejected(job);
            if (outcome.failed().contains(StoreModel.LEADER)) {
              carryOutEnd(election.stepDown(leaderTerm.token, "a write found another leader"));
              then.accept(null);
            } else if (outcome == StoreModel.REFUSED) {
              then.accept(null);
            } else {
              readEnd(leaderTerm, job, then);
            }
          }
        });
  }

  /** Writes the ends of completed jobs, as many in a transaction as it may have. */
  private void writeCompletions(Term leaderTerm) {
    if (leaderTerm.completionWriteInFlight
        || leaderTerm.completions.isEmpty()
        || leaderTerm != term) {
      return;
    }
    List<String> some =
        leaderTerm.completions.subList(
            0, Math.min(LoopTiming.COMPLETION_BATCH_JOBS, leaderTerm.completions.size()));
    List<String> jobs = some.stream().filter(leaderTerm.jobs::manages).toList();
    some.clear();
    if (jobs.isEmpty()) {
      writeCompletions(leaderTerm);
      return;
    }
    leaderTerm.completionWriteInFlight = true;
    Map<String, EndRow> ends = new LinkedHashMap<>();
    Map<String, Long> conditions = leaderCondition(leaderTerm);
    List<Write> writes = new ArrayList<>();
    for (String job : jobs) {
      EndRow end = new EndRow(false, leaderTerm.scheduler.progress(job).doneTasks());
      ends.put(job, end);
      if (!without(Mutation.OVERWRITE_JOB_END)) {
        conditions.put("d/" + job, 0L);
      }
      writes.add(new Write("j/" + job, null, 0));
      writes.add(new Write("d/" + job, end, 0));
      leaderTerm.jobs.onEndWriteStarted(job);
    }
    compareAndSwap(
        conditions,
        writes,
        outcome -> {
          leaderTerm.completionWriteInFlight = false;
          if (outcome != null && outcome.revision() > 0) {
            ends.forEach((job, end) -> onJobEnded(leaderTerm, job, end));
          } else if (outcome == null || outcome == StoreModel.REFUSED) {
            jobs.forEach(outcome == null ? job -> {} : leaderTerm.jobs::onEndWriteRejected);
            jobs.forEach(job -> retryCompletion(leaderTerm, job));
          } else if (outcome.failed().contains(StoreModel.LEADER)) {
            carryOutEnd(election.stepDown(leaderTerm.token, "a write found another leader"));
          } else {
            // One of them was cancelled meanwhile, or an earlier try without an answer applied.
            jobs.forEach(leaderTerm.jobs::onEndWriteRejected);
            for (String job : jobs) {
              writeEnd(
                  leaderTerm,
                  job,
                  false,
                  end -> retryCompletion(end == null ? leaderTerm : null, job));
            }
          }
          writeCompletions(leaderTerm);
        });
  }

  private void retryCompletion(Term leaderTerm, String job) {
    if (leaderTerm != null && leaderTerm == term) {
      later(
          Threads.RETRY_BACKOFF_MS,
          () -> leaderTerm.scheduler.onDecisionFailed(new Decision.FinishJob(job)));
    }
  }

  private void readEnd(Term leaderTerm, String job, Consumer<EndRow> then) {
    storeRequest(
        () -> new Row[] {simulation.store.get("d/" + job)},
        (Row[] found) -> {
          EndRow end = found == null || found[0] == null ? null : (EndRow) found[0].value();
          if (end != null) {
            onJobEnded(leaderTerm, job, end);
          }
          then.accept(end);
        });
  }

  private void onJobEnded(Term leaderTerm, String job, EndRow end) {
    endedJobs.put(job, end);
    leaderTerm.jobs.onEnded(job);
    leaderTerm.scheduler.onJobEnded(job, end.cancelled(), clock());
    persist(leaderTerm, "o/" + job, null, () -> {});
    persist(leaderTerm, "p/" + job, null, () -> {});
  }

  /**
   * A user's question about a job, in the order in which the program answers it: the leader from
   * memory while it is certainly one, others by asking it, and all else by a read of the state
   * service, the live record first. 503 where none of these says anything.
   */
  void jobState(String job, boolean forward, Consumer<String> answer) {
    if (crashed()) {
      return;
    }
    runIn(
        incarnation(),
        () -> {
          if (without(Mutation.FORGET_ONE_JOB) && name.equals("n1") && job.equals("wk-7")) {
            answer.accept("503");
            return;
          }
          if (endedJobs.containsKey(job)) {
            answer.accept(endState(endedJobs.get(job)));
            return;
          }
          Term leaderTerm = term;
          boolean mayAnswer =
              leaderTerm != null
                  && (without(Mutation.ANSWER_WHILE_ENDING) || !leaderTerm.jobs.mayHaveEnded(job));
          Scheduler.JobProgress view = mayAnswer ? leaderTerm.scheduler.progress(job) : null;
          if (view != null && election.leaseCertain(leaderTerm.token, clock())) {
            answer.accept(view.running() ? "running" : "queued");
            return;
          }
          if (without(Mutation.ANSWER_FROM_WATCH_CACHE) && watchCache.containsKey("j/" + job)) {
            answer.accept("queued");
            return;
          }
          if (leaderTerm == null && forward) {
            coalesce(leaderQueries, job, answer, this::askLeader);
          } else {
            coalesce(storeReads, job, answer, this::readJobState);
          }
        });
  }

  private void askLeader(String job, Consumer<String> answer) {
    ControllerModel other = otherLeader();
    if (other == null) {
      readJobState(job, answer);
      return;
    }
    request(
        other.name,
        PeerClient.PEER_TIMEOUT_MS,
        (Consumer<String> reply) -> other.jobState(job, false, reply),
        (String state) -> {
          if (state == null || state.equals("503")) {
            readJobState(job, answer);
          } else {
            rememberEnd(job, state);
            answer.accept(state);
          }
        });
  }

  private void rememberEnd(String job, String state) {
    if (state.equals("withdrawn") || state.equals("done")) {
      endedJobs.put(job, new EndRow(state.equals("withdrawn"), 0));
    }
  }

  /** Who waits for an answer that others wait for, too. */
  private static final class Batch {
    final List<Consumer<String>> answering = new ArrayList<>();
    final List<Consumer<String>> next = new ArrayList<>();
  }

  /**
   * As the program's desk lets those share an answer who ask at the same time: who comes while one
   * is worked out shares the next.
   */
  private void coalesce(
      Map<String, Batch> rounds,
      String job,
      Consumer<String> answer,
      java.util.function.BiConsumer<String, Consumer<String>> find) {
    Batch batch = rounds.computeIfAbsent(job, j -> new Batch());
    boolean joins = without(Mutation.JOIN_REQUEST_IN_FLIGHT) && !batch.answering.isEmpty();
    (joins ? batch.answering : batch.next).add(answer);
    if (batch.answering.isEmpty()) {
      nextBatch(rounds, job, find);
    }
  }

  private void nextBatch(
      Map<String, Batch> rounds,
      String job,
      java.util.function.BiConsumer<String, Consumer<String>> find) {
    Batch batch = rounds.get(job);
    batch.answering.addAll(batch.next);
    batch.next.clear();
    find.accept(
        job,
        state -> {
          List<Consumer<String>> waiting = new ArrayList<>(batch.answering);
          batch.answering.clear();
          waiting.forEach(answer -> answer.accept(state));
          if (batch.answering.isEmpty() && !batch.next.isEmpty()) {
            nextBatch(rounds, job, find);
          }
        });
  }

  /** On a node short of processor time what a thread has read is told late. */
  private void afterThreadStall(Runnable body) {
    later(
        simulation.threadStallMs == 0 ? 0 : simulation.random.nextLong(simulation.threadStallMs),
        body);
  }

  private void readJobState(String job, Consumer<String> answer) {
    if (storeLost()) {
      answer.accept("503");
      return;
    }
    storeRequest(
        () -> new Row[] {simulation.store.get(name, "j/" + job)},
        (Row[] live) -> {
          if (live == null) {
            answer.accept("503");
          } else if (live[0] != null) {
            afterThreadStall(
                () -> {
                  onJobRead((JobRow) live[0].value(), live[0].revision());
                  answer.accept("queued");
                });
          } else {
            storeRequest(
                () -> new Row[] {simulation.store.get(name, "d/" + job)},
                (Row[] over) -> {
                  if (over == null) {
                    answer.accept("503");
                  } else if (over[0] == null) {
                    answer.accept("404");
                  } else {
                    afterThreadStall(
                        () -> {
                          endedJobs.put(job, (EndRow) over[0].value());
                          answer.accept(endState((EndRow) over[0].value()));
                        });
                  }
                });
          }
        });
  }

  // ---- for tests ----

  boolean leads() {
    return term != null;
  }

  /** Of its term; 0 if it does not lead. */
  long token() {
    return term == null ? 0 : term.token;
  }

  /** Whether it leads and has not heard all machines of earlier leaders yet. */
  boolean reconciling() {
    return term != null && term.scheduler.reconciling();
  }

  /** For how long it has led. */
  long leadingForMs() {
    return term == null ? 0 : clock() - term.beganMs;
  }

  int answeredWithUncertainLease() {
    return answeredWithUncertainLease;
  }

  int withheldStarts() {
    return withheldStarts;
  }

  /** Whether its leader's work includes the job. */
  boolean manages(String job) {
    return term != null && term.jobs.manages(job);
  }

  /** Tasks of the job that it knows to be done. */
  int doneTasks(String job) {
    Scheduler.JobProgress view = term == null ? null : term.scheduler.progress(job);
    return view == null ? 0 : view.doneTasks();
  }

  /** It lets another lead, as a leader does that reaches too few workers. */
  void resign() {
    if (term != null) {
      carryOutEnd(election.resign(term.token, "lets another lead", clock()));
    }
  }

  Scheduler scheduler() {
    return term == null ? null : term.scheduler;
  }
}
