package org.astershift.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.astershift.controller.LoopTiming;
import org.astershift.coordination.TermJobs;
import org.astershift.peer.PeerClient;
import org.astershift.scheduler.Decision;
import org.astershift.scheduler.DeploymentLimits;
import org.astershift.scheduler.Heartbeat;
import org.astershift.scheduler.HeartbeatResponse;
import org.astershift.scheduler.Scheduler;
import org.astershift.scheduler.SchedulingPolicy;
import org.astershift.simulation.StoreModel.JobRow;
import org.astershift.simulation.StoreModel.MachineRow;

/**
 * Models one term of a leader: runs the program's {@link Scheduler} in passes and carries out its
 * decisions. Requests still in flight when the term ends find that the term {@linkplain #isCurrent
 * is not current}.
 */
final class LeaderTermModel {
  private static final double MS_PER_S = 1000;

  /** Bound on the lag of the cloud's machine list, in seconds. */
  private static final double LIST_LAG_S = 3;

  /**
   * Idle time, in seconds, after which a machine would be released: longer than any simulation, so
   * that each release is of a silent machine.
   */
  private static final double IDLE_RELEASE_S = 1e6;

  private final ControllerModel controller;
  private final Simulation simulation;
  private final long token;
  private final long beganMs;
  private final Scheduler scheduler;
  private final TermJobs jobs;
  private final RecordWriterModel recordWriter;
  private final CompletionWriterModel completionWriter;
  private final CommandSenderModel commandSender;
  private final CloudProvisionerModel provisioner;

  /** Machines that this leader has registered. */
  private final Set<String> registeredMachines = new HashSet<>();

  /** Completions of the heartbeat responses that wait for commands, by machine. */
  private final Map<String, Runnable> deferredResponses = new HashMap<>();

  private boolean passRequested;

  /** Whether the term has made a decision other than to probe through peers. */
  private boolean hasDecided;

  private long nextPassDueMs = Long.MAX_VALUE;

  LeaderTermModel(ControllerModel controller, long token) {
    this.controller = controller;
    this.simulation = controller.simulation;
    this.token = token;
    this.beganMs = controller.clock();
    this.scheduler = new Scheduler(limits(), policy(), token);
    this.jobs = new TermJobs(token);
    this.recordWriter = new RecordWriterModel(controller, this);
    this.completionWriter = new CompletionWriterModel(controller, this);
    this.commandSender = new CommandSenderModel(controller, this);
    this.provisioner = new CloudProvisionerModel(controller, this);
  }

  private DeploymentLimits limits() {
    return new DeploymentLimits(
        simulation.teams(),
        simulation.objectives,
        simulation.setup.heartbeatMs() / MS_PER_S,
        simulation.setup.leaseMs() / MS_PER_S,
        GangModel.GATHER_TIMEOUT_MS / MS_PER_S,
        GangModel.PEER_TIMEOUT_MS / MS_PER_S,
        InvariantChecker.CANCEL_DEADLINE_MS / MS_PER_S,
        LIST_LAG_S);
  }

  private static SchedulingPolicy policy() {
    return new SchedulingPolicy(2500, 0.9, 64, 5, IDLE_RELEASE_S);
  }

  /** Begins the term with the rows of the watch cache. */
  void begin() {
    scheduler.updateMachineTypes(simulation.cloud.types());
    if (!controller.hasMutation(Mutation.NO_INHERITED_MACHINES)) {
      inheritMachines();
    }
    controller.setTerm(this);
    controller
        .watchCache()
        .rows()
        .forEach(
            (key, row) -> {
              recordWriter.load(key, row);
              if (key.startsWith("j/")) {
                adoptJob((JobRow) row.value(), row.revision());
              }
            });
    if (!controller.hasMutation(Mutation.ADOPT_STALE_JOBS)) {
      jobs.onLoaded();
    }
    controller
        .watchCache()
        .withPrefix("i/")
        .forEach(
            (request, decision) ->
                provisioner.provision(request, (Decision.ProvisionMachines) decision));
    simulation.checker.onTermBegun(controller.name, token);
    simulation.delayedHeartbeats.onFailoverStep(
        DelayedHeartbeats.FailoverStep.TERM_BEGUN, controller);
    runPasses();
    provisioner.pollMachineList();
    saveProgress();
  }

  private void inheritMachines() {
    controller
        .watchCache()
        .withPrefix("m/")
        .forEach((machine, row) -> inheritMachine(machine, ((MachineRow) row).machine()));
  }

  private void inheritMachine(String machine, Decision.RegisterMachine record) {
    if (record.newlyProvisioned()) {
      scheduler.onMachinesProvisioned(
          "",
          List.of(machine),
          new Decision.ProvisionMachines(record.typeName(), record.zone(), record.spot(), 1),
          controller.clock());
    } else {
      scheduler.addInheritedMachine(
          machine,
          record.address(),
          record.typeName(),
          record.zone(),
          record.spot(),
          controller.clock());
    }
  }

  /** Adopts a live job, unless the term has it already or the read is older than the job's end. */
  void adoptJob(JobRow job, long revision) {
    String id = job.spec().id();
    if (jobs.adopt(id, revision)) {
      boolean opened = controller.watchCache().contains("o/" + id);
      scheduler.addJob(
          job.spec(), opened, controller.watchCache().doneTasks(id), controller.clock());
    }
  }

  private void runPasses() {
    if (!isCurrent()) {
      return;
    }
    runPass();
    nextPassDueMs = controller.clock() + LoopTiming.PASS_INTERVAL_MS;
    controller.runLater(LoopTiming.PASS_INTERVAL_MS, this::runPasses);
  }

  /** Runs one pass, which may be the first one after a pause of the process. */
  private void runPass() {
    if (controller.clock() - nextPassDueMs > LoopTiming.PROCESS_PAUSE_MS) {
      scheduler.onProcessResumed(controller.clock());
    }
    long leaseCertainUntilMs =
        controller.hasMutation(Mutation.TRUST_EXPIRY_WITH_UNCERTAIN_LEASE)
            ? Long.MAX_VALUE
            : controller.election().leaseCertainUntilMs();
    List<Decision> decisions = scheduler.runPass(controller.clock(), leaseCertainUntilMs);
    simulation.digest.pass(simulation.now(), controller.name, decisions);
    decisions.forEach(this::execute);
  }

  /** Requests a pass soon, because a user's request does not wait for the next regular pass. */
  void requestPass() {
    if (!passRequested) {
      passRequested = true;
      controller.runLater(
          LoopTiming.PASS_MIN_GAP_MS,
          () -> {
            passRequested = false;
            if (isCurrent()) {
              runPass();
            }
          });
    }
  }

  private void execute(Decision decision) {
    if (!hasDecided && !(decision instanceof Decision.ProbeThroughPeers)) {
      hasDecided = true;
      simulation.delayedHeartbeats.onFailoverStep(
          DelayedHeartbeats.FailoverStep.FIRST_DECISION, controller);
    }
    if (decision instanceof Decision.SendCommands send) {
      commandSender.send(send);
    } else if (decision instanceof Decision.SendDeferredResponse response) {
      sendDeferredResponse(response.machineName());
    } else if (decision instanceof Decision.OpenJob opening) {
      openJob(opening.jobId());
    } else if (decision instanceof Decision.FinishJob completion) {
      completionWriter.addCompleted(completion.jobId());
    } else if (decision instanceof Decision.RegisterMachine registration) {
      registerMachine(registration);
    } else if (decision instanceof Decision.DeregisterMachine removal) {
      recordWriter.persist("m/" + removal.machineName(), null, () -> {});
    } else if (decision instanceof Decision.ProvisionMachines request) {
      provisioner.startProvisioning(request);
    } else if (decision instanceof Decision.ReleaseMachines release) {
      provisioner.release(release);
    } else if (decision instanceof Decision.ProbeThroughPeers probe) {
      probeThroughPeers(probe);
    }
  }

  private void openJob(String job) {
    boolean opensEarly = controller.hasMutation(Mutation.START_BEFORE_JOB_OPENED);
    if (opensEarly) {
      scheduler.onJobOpened(job, controller.clock());
    }
    recordWriter.persist(
        "o/" + job,
        true,
        () -> {
          if (!opensEarly && jobs.manages(job)) {
            scheduler.onJobOpened(job, controller.clock());
          }
        });
  }

  private void registerMachine(Decision.RegisterMachine registration) {
    String machine = registration.machineName();
    registeredMachines.add(machine);
    if (controller.hasMutation(Mutation.TASKS_BEFORE_REGISTRATION)) {
      scheduler.onMachineRegistered(machine);
    }
    recordWriter.persist(
        "m/" + machine, new MachineRow(registration), () -> scheduler.onMachineRegistered(machine));
  }

  /** Marks a machine as registered by this leader; returns false if it already was. */
  boolean markRegistered(String machine) {
    return registeredMachines.add(machine);
  }

  private void probeThroughPeers(Decision.ProbeThroughPeers probe) {
    controller
        .peers()
        .probeThroughPeers(
            probe,
            PeerClient.PEER_TIMEOUT_MS,
            results -> {
              if (isCurrent()) {
                scheduler.onPeerProbeResults(probe, results);
              }
            });
  }

  private void saveProgress() {
    if (!isCurrent()) {
      return;
    }
    scheduler
        .drainUnpersistedProgress()
        .forEach(
            (job, done) ->
                recordWriter.persist(
                    "p/" + job, done, () -> scheduler.onProgressPersisted(job, done)));
    controller.runLater(LoopTiming.PROGRESS_SAVE_INTERVAL_MS, this::saveProgress);
  }

  /** Returns whether the process still leads in this term. */
  boolean isCurrent() {
    return controller.term() == this;
  }

  long token() {
    return token;
  }

  long beganMs() {
    return beganMs;
  }

  Scheduler scheduler() {
    return scheduler;
  }

  TermJobs jobs() {
    return jobs;
  }

  RecordWriterModel recordWriter() {
    return recordWriter;
  }

  CompletionWriterModel completionWriter() {
    return completionWriter;
  }

  /** Returns whether no other controller can lead now. */
  boolean isLeaseCertain() {
    return controller.election().isLeaseCertain(token);
  }

  /** Returns the scheduler after telling it until when no other controller can lead. */
  Scheduler schedulerWithLease() {
    boolean trustsUnproven = controller.hasMutation(Mutation.TRUST_UNPROVEN_INCARNATIONS);
    scheduler.extendLeaseCertainty(
        trustsUnproven ? Long.MAX_VALUE : controller.election().leaseCertainUntilMs());
    return scheduler;
  }

  /** Ends the term if the scheduler has seen a higher fencing token, reported by this machine. */
  void stepDownIfDeposed(String machine) {
    if (scheduler.isDeposed()) {
      stepDown(machine + " reported a higher fencing token");
    }
  }

  void stepDown(String reason) {
    controller.election().stepDown(this, reason);
  }

  /** Answers a heartbeat with the scheduler's response, at once or after deferring it. */
  void answerHeartbeat(
      Heartbeat heartbeat,
      HeartbeatResponse response,
      Consumer<WorkerModel.HeartbeatAnswer> answer) {
    if (response == null || response.maxDelayMs() == 0) {
      sendResponse(heartbeat, response, answer);
      return;
    }
    scheduler.deferResponse(heartbeat);
    Runnable completion =
        () -> sendResponse(heartbeat, isCurrent() ? completeResponse(heartbeat) : null, answer);
    deferredResponses.put(heartbeat.machineName(), completion);
    controller.runLater(
        response.maxDelayMs(),
        () -> {
          if (deferredResponses.remove(heartbeat.machineName(), completion)) {
            completion.run();
          }
        });
  }

  private HeartbeatResponse completeResponse(Heartbeat heartbeat) {
    return schedulerWithLease().completeDeferredResponse(heartbeat, controller.clock());
  }

  private void sendResponse(
      Heartbeat heartbeat,
      HeartbeatResponse response,
      Consumer<WorkerModel.HeartbeatAnswer> answer) {
    if (response != null && controller.hasMutation(Mutation.DIRECT_STARTS)) {
      commandSender.sendStartsDirectly(heartbeat, response);
    }
    answer.accept(heartbeatAnswer(response));
  }

  private void sendDeferredResponse(String machine) {
    Optional.ofNullable(deferredResponses.remove(machine)).ifPresent(Runnable::run);
  }

  /** Returns the answer to a heartbeat; null {@code wanted} means that it is not accepted. */
  private WorkerModel.HeartbeatAnswer heartbeatAnswer(HeartbeatResponse wanted) {
    return wanted == null
        ? new WorkerModel.HeartbeatAnswer(false, token, null, null)
        : new WorkerModel.HeartbeatAnswer(
            true, wanted.fencingToken(), commandSender.permitted(wanted.commands()), null);
  }

  /** Returns conditions that hold only while this leader's key exists. */
  Map<String, Long> leaderCondition() {
    Map<String, Long> conditions = new HashMap<>();
    if (!controller.hasMutation(Mutation.UNFENCED_WRITES)) {
      conditions.put(StoreModel.LEADER_KEY, token);
    }
    return conditions;
  }
}
