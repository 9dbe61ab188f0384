package org.astershift.simulation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.astershift.scheduler.Command;
import org.astershift.scheduler.Heartbeat;
import org.astershift.scheduler.JobSpec;
import org.astershift.scheduler.Scheduler;
import org.astershift.simulation.StoreModel.EndRow;
import org.astershift.simulation.StoreModel.JobRow;
import org.astershift.simulation.StoreModel.Outcome;
import org.astershift.simulation.StoreModel.Write;

/**
 * One controller process: the program's own decisions, carried out over the simulation's links as
 * the program's loops do. This class holds what a process knows and loses in a crash; each concern
 * has a class of its own: {@link WatchCacheModel}, {@link ElectionModel}, {@link PeerModel}, {@link
 * LeaderTermModel} and {@link JobServiceModel}.
 */
final class ControllerModel extends ProcessModel {
  /** Until then no answer to a heartbeat gets out, while commands to workers do. */
  private long outboundPartitionedUntilMs;

  /** Until then heartbeats are refused. */
  private long rejectsHeartbeatsUntilMs;

  private WatchCacheModel watchCache;
  private PeerModel peers;
  private ElectionModel election;
  private JobServiceModel jobService;

  /** Ends of jobs that this process knows. */
  private Map<String, EndRow> endedJobs;

  /** Null while it does not lead. */
  private LeaderTermModel term;

  private int answeredWithUncertainLease;
  private int withheldStarts;

  ControllerModel(Simulation simulation, String name) {
    super(simulation, name);
  }

  /** A new process of this controller, with nothing of what an earlier one knew. */
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
   * Workers get no answer to heartbeats for so long. In the first part of it heartbeats still
   * arrive, so that this controller has seen machines later than they got an answer.
   */
  void rejectHeartbeats(long forMs) {
    simulation.log(name, "rejects heartbeats for " + forMs + " ms");
    outboundPartitionedUntilMs = simulation.now() + Math.min(forMs, simulation.setup.leaseMs()) / 2;
    rejectsHeartbeatsUntilMs = simulation.now() + forMs;
    simulation.after(forMs, simulation::markConnectivityChanged);
  }

  /** Heartbeats are answered again. */
  void acceptHeartbeats() {
    outboundPartitionedUntilMs = 0;
    rejectsHeartbeatsUntilMs = 0;
  }

  /** Whether this safety measure is taken away. */
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

  /** The current term; null while it does not lead. */
  LeaderTermModel term() {
    return term;
  }

  void setTerm(LeaderTermModel newTerm) {
    term = newTerm;
  }

  Map<String, EndRow> endedJobs() {
    return endedJobs;
  }

  /** A live job was read from the store, possibly some time ago. */
  void onJobRead(JobRow job, long revision) {
    if (term != null && !endedJobs.containsKey(job.spec().id())) {
      term.adoptJob(job, revision);
    }
  }

  /** {@code done} gets null where the effect is unknown. */
  void compareAndSwap(Map<String, Long> conditions, List<Write> writes, Consumer<Outcome> done) {
    double drawn = simulation.random.nextDouble();
    boolean late = drawn < simulation.store.lateShare;
    boolean unanswered =
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
   * A delayed or duplicated heartbeat. Where duplicates are accepted as new, the leader believes it
   * like the answer to a command.
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

  /** A heartbeat arrives; {@code answer} is not called where none gets out. */
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
      List<Command> commands =
          current.schedulerWithLease().onHeartbeat(heartbeat, clock(), clock());
      current.stepDownIfDeposed(heartbeat.machineName());
      if (current == term) {
        if (!rejecting) {
          answeredWithUncertainLease += current.isLeaseCertain() ? 0 : 1;
          answer.accept(current.heartbeatAnswer(commands));
        }
        return;
      }
    }
    String leader = knownLeader();
    boolean other = leader != null && !leader.equals(name);
    answer.accept(new WorkerModel.HeartbeatAnswer(false, 0, List.of(), other ? leader : null));
  }

  /** Who leads as far as known here, maybe this controller; null: unknown. */
  private String knownLeader() {
    return peers.reportedLeader() != null ? peers.reportedLeader() : watchCache.leader();
  }

  /** The other controller that leads as far as known here; null: none, or this one. */
  ControllerModel otherLeader() {
    String leader = knownLeader();
    return leader == null || leader.equals(name)
        ? null
        : simulation.controllers.stream()
            .filter(controller -> controller.name.equals(leader))
            .findFirst()
            .orElseThrow();
  }

  /** A user submits a job. */
  void submit(JobSpec spec, Consumer<String> answer) {
    jobService.submit(spec, answer);
  }

  /** A user cancels a job; {@code forward}: may be passed on to the leader. */
  void cancel(String job, boolean forward, Consumer<String> answer) {
    jobService.cancel(job, forward, answer);
  }

  /** A user asks for the state of a job; {@code forward}: the leader may be asked. */
  void jobState(String job, boolean forward, Consumer<String> answer) {
    jobService.jobState(job, forward, answer);
  }

  void onStartsWithheld(int starts) {
    withheldStarts += starts;
  }

  boolean leads() {
    return term != null;
  }

  /** The fencing token of its term; 0 if it does not lead. */
  long token() {
    return term == null ? 0 : term.token();
  }

  /** Whether it leads and has not reconciled all machines of earlier terms yet. */
  boolean isReconciling() {
    return term != null && term.scheduler().isReconciling();
  }

  /** For how long it has led. */
  long leadingForMs() {
    return term == null ? 0 : clock() - term.beganMs();
  }

  /** Heartbeats answered while another controller may have led. */
  int answeredWithUncertainLease() {
    return answeredWithUncertainLease;
  }

  /** Starts left out over a connection: their jobs had ended, or another might lead. */
  int withheldStarts() {
    return withheldStarts;
  }

  /** Whether its term manages the job. */
  boolean manages(String job) {
    return term != null && term.jobs().manages(job);
  }

  /** Tasks of the job that it knows to be done. */
  int doneTasks(String job) {
    Scheduler.JobProgress progress = term == null ? null : term.scheduler().progress(job);
    return progress == null ? 0 : progress.doneTasks();
  }

  /** It resigns, as a leader does that reaches too few workers. */
  void resign() {
    if (term != null) {
      election.resign(term, "lets another lead");
    }
  }

  Scheduler scheduler() {
    return term == null ? null : term.scheduler();
  }
}
