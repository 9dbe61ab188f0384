package org.astershift.simulation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.astershift.scheduler.Heartbeat;
import org.astershift.scheduler.HeartbeatResponse;
import org.astershift.scheduler.JobSpec;
import org.astershift.scheduler.Scheduler;
import org.astershift.simulation.StoreModel.EndRow;
import org.astershift.simulation.StoreModel.JobRow;
import org.astershift.simulation.StoreModel.Outcome;
import org.astershift.simulation.StoreModel.Write;

/**
 * Models one controller process: the program's own decisions, carried out over the simulation's
 * links as the program's loops do. This class holds the state that the process loses in a crash;
 * each concern has its own class: {@link WatchCacheModel}, {@link ElectionModel}, {@link
 * PeerModel}, {@link LeaderTermModel} and {@link JobServiceModel}.
 */
final class ControllerModel extends ProcessModel {
  /** Until when answers to heartbeats are lost; commands to workers still pass. */
  private long outboundPartitionedUntilMs;

  /** Until when heartbeats are rejected. */
  private long rejectsHeartbeatsUntilMs;

  private WatchCacheModel watchCache;
  private PeerModel peers;
  private ElectionModel election;
  private JobServiceModel jobService;

  /** Ends of jobs that this process has learned of, by job. */
  private Map<String, EndRow> endedJobs;

  /** The current term; null while this controller does not lead. */
  private LeaderTermModel term;

  private int answeredWithUncertainLease;

  ControllerModel(Simulation simulation, String name) {
    super(simulation, name);
  }

  /** Starts a new process of this controller, without the state of the previous one. */
  void start() {
    beginIncarnation();
    peers = new PeerModel(this);
    watchCache = new WatchCacheModel(this);
    election = new ElectionModel(this);
    jobService = new JobServiceModel(this);
    endedJobs = new HashMap<>();
    term = null;
    watchCache.poll();
    election.runRound();
    peers.start();
  }

  /**
   * Leaves heartbeats unanswered for this time. In its first part heartbeats still arrive, so that
   * this controller has seen machines later than they last got an answer.
   */
  void rejectHeartbeats(long durationMs) {
    simulation.log(name, "rejects heartbeats for " + durationMs + " ms");
    outboundPartitionedUntilMs =
        simulation.now() + Math.min(durationMs, simulation.setup.leaseMs()) / 2;
    rejectsHeartbeatsUntilMs = simulation.now() + durationMs;
    simulation.after(durationMs, simulation::markConnectivityChanged);
  }

  /** Answers heartbeats again. */
  void acceptHeartbeats() {
    outboundPartitionedUntilMs = 0;
    rejectsHeartbeatsUntilMs = 0;
  }

  /** Returns whether this safety measure is disabled. */
  boolean hasMutation(Mutation mutation) {
    return simulation.mutations.contains(mutation);
  }

  WatchCacheModel watchCache() {
    return watchCache;
  }

  ElectionModel election() {
    return election;
  }

  PeerModel peers() {
    return peers;
  }

  /** Returns the current term; null while this controller does not lead. */
  LeaderTermModel term() {
    return term;
  }

  void setTerm(LeaderTermModel newTerm) {
    term = newTerm;
  }

  Map<String, EndRow> endedJobs() {
    return endedJobs;
  }

  /** Handles a live job that was read from the store, possibly some time ago. */
  void onJobRead(JobRow job, long revision) {
    if (term != null && !endedJobs.containsKey(job.spec().id())) {
      term.adoptJob(job, revision);
    }
  }

  /**
   * Sends a conditional transaction to the store; {@code done} gets null if its effect is unknown.
   */
  void compareAndSwap(Map<String, Long> conditions, List<Write> writes, Consumer<Outcome> done) {
    double fraction = simulation.random.nextDouble();
    boolean late = fraction < simulation.store.lateShare;
    boolean unanswered =
        !late && fraction < simulation.store.lateShare + simulation.store.unansweredShare;
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
            if (unanswered) {
              simulation.store.loseAnswer(name, writes, outcome);
              return;
            }
            simulation.after(drawStoreDelayMs(), () -> answer.accept(outcome));
          }
        },
        (Outcome outcome) -> {
          if (outcome != null && outcome != StoreModel.REFUSED) {
            onStoreAnswered();
          }
          done.accept(outcome);
        });
  }

  /**
   * Handles a delayed or duplicate heartbeat. If duplicates are accepted as new, the leader trusts
   * it like the answer to a command.
   */
  void onDuplicateHeartbeat(Heartbeat heartbeat) {
    if (!hasMutation(Mutation.ACCEPT_DUPLICATE_HEARTBEATS)) {
      onHeartbeat(heartbeat, answer -> {});
      return;
    }
    runIn(
        incarnation(),
        () -> {
          if (!isCrashed() && term != null) {
            term.schedulerWithLease()
                .onCommandResult(heartbeat.machineName(), false, heartbeat, clock(), clock());
          }
        });
  }

  /** Handles a heartbeat; {@code answer} is not called if the answer is lost. */
  void onHeartbeat(Heartbeat heartbeat, Consumer<WorkerModel.HeartbeatAnswer> answer) {
    boolean rejecting = simulation.now() < rejectsHeartbeatsUntilMs;
    if (isCrashed() || (rejecting && simulation.now() >= outboundPartitionedUntilMs)) {
      return;
    }
    runIn(
        incarnation(),
        () ->
            simulation.messageQueueing.handleInTurn(
                this, () -> answerHeartbeat(heartbeat, rejecting, answer)));
  }

  private void answerHeartbeat(
      Heartbeat heartbeat, boolean rejecting, Consumer<WorkerModel.HeartbeatAnswer> answer) {
    LeaderTermModel current = term;
    if (current != null) {
      simulation.messageQueueing.onHandled(name, heartbeat, false);
      HeartbeatResponse response =
          current.schedulerWithLease().onHeartbeat(heartbeat, clock(), clock());
      current.stepDownIfDeposed(heartbeat.machineName());
      if (current == term) {
        if (!rejecting) {
          answeredWithUncertainLease += current.isLeaseCertain() ? 0 : 1;
          current.answerHeartbeat(heartbeat, response, answer);
        }
        return;
      }
    }
    String leader = knownLeader();
    boolean isOther = leader != null && !leader.equals(name);
    answer.accept(new WorkerModel.HeartbeatAnswer(false, 0, List.of(), isOther ? leader : null));
  }

  /** Returns the leader's name as far as known here, possibly its own; null if unknown. */
  private String knownLeader() {
    return peers.reportedLeader() != null ? peers.reportedLeader() : watchCache.leader();
  }

  /** Returns the other controller that leads as far as known here; null if unknown or itself. */
  ControllerModel otherLeader() {
    String leader = knownLeader();
    return leader == null || leader.equals(name)
        ? null
        : simulation.controllers.stream()
            .filter(controller -> controller.name.equals(leader))
            .findFirst()
            .orElseThrow();
  }

  /** Handles a user's submission of a job. */
  void submit(JobSpec spec, Consumer<String> answer) {
    jobService.submit(spec, answer);
  }

  /** Handles a user's cancellation of a job; {@code forward} allows forwarding it to the leader. */
  void cancel(String job, boolean forward, Consumer<String> answer) {
    jobService.cancel(job, forward, answer);
  }

  /** Handles a user's question about a job's state; {@code forward} allows asking the leader. */
  void jobState(String job, boolean forward, Consumer<String> answer) {
    jobService.jobState(job, forward, answer);
  }

  boolean leads() {
    return term != null;
  }

  /** Returns the fencing token of the current term; 0 if this controller does not lead. */
  long token() {
    return term == null ? 0 : term.token();
  }

  /** Returns whether this controller leads and has unreconciled machines of earlier terms. */
  boolean isReconciling() {
    return term != null && term.scheduler().isReconciling();
  }

  /** Returns for how long the current term has lasted, in milliseconds; 0 without a term. */
  long leadingForMs() {
    return term == null ? 0 : clock() - term.beganMs();
  }

  /** Returns how many heartbeats were answered while another controller might have led. */
  int answeredWithUncertainLease() {
    return answeredWithUncertainLease;
  }

  /** Returns whether the current term manages the job. */
  boolean manages(String job) {
    return term != null && term.jobs().manages(job);
  }

  /** Returns how many tasks of the job this controller knows to be done. */
  int doneTasks(String job) {
    Scheduler.JobProgress progress = term == null ? null : term.scheduler().progress(job);
    return progress == null ? 0 : progress.doneTasks();
  }

  /** Resigns, as a leader does that reaches too few workers. */
  void resign() {
    if (term != null) {
      election.resign(term, "resigns so that another controller may lead");
    }
  }

  Scheduler scheduler() {
    return term == null ? null : term.scheduler();
  }
}
