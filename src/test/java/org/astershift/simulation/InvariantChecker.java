package org.astershift.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;
import org.astershift.scheduler.JobSpec;
import org.astershift.scheduler.Scheduler;
import org.astershift.scheduler.Team;

/** Checks invariants and user-visible failures over the whole history of a simulation. */
final class InvariantChecker {
  private static final long CONNECTIVITY_SETTLED_MS = 1500;
  private static final double TOLERANCE = 1e-6;

  /** Time without an answer after which a job counts as forgotten once all faults are healed. */
  private static final long NO_ANSWER_MS = 75_000;

  /**
   * Time, in milliseconds, after the confirmation of a job's cancellation by which no task of the
   * job may be left on a machine, nor start. It is shorter than the operators require, and covers a
   * worker lease and the heartbeats around it.
   */
  static final long CANCEL_DEADLINE_MS = 20_000;

  private final Map<String, Long> cancelRequestTimesMs = new HashMap<>();

  /** How long each user waited for the confirmation of a cancellation, in milliseconds. */
  final List<Long> cancelLatencyMs = new ArrayList<>();

  private final Map<String, Long> cancelConfirmedMs = new HashMap<>();

  /** First end state that a user was told, by job. */
  private final Map<String, String> reportedEnd = new HashMap<>();

  private final Map<String, String> lastState = new HashMap<>();

  private final Map<String, Long> lastAnswerMs = new HashMap<>();

  /** Counts the questions that users send and the answers that they get, to order them. */
  private long userMessageOrder;

  /**
   * Position, in the order of questions and answers, at which a user was first told that the job is
   * over; by job.
   */
  private final Map<String, Long> endReportedOrder = new HashMap<>();

  private final Simulation simulation;
  private final Map<String, String> machineByTask = new HashMap<>();

  /**
   * Tasks with their machines ("task on machine"). A task may be on two machines at once, and both
   * count towards its team's usage.
   */
  private final Set<String> placements = new HashSet<>();

  /** Names of the tasks that have completed. */
  private final Set<String> completedTasks = new HashSet<>();

  /** When a task of the job was last started, by job. */
  private final Map<String, Long> lastStartTimesMs = new HashMap<>();

  private final Set<String> releaseDecided = new HashSet<>();
  private final Set<String> endedJobs = new HashSet<>();
  final List<String> violations = new ArrayList<>();

  /** Machines that were released although they were alive and reachable from some controller. */
  final List<String> healthyReleased = new ArrayList<>();

  final List<String> releasedAsSilent = new ArrayList<>();
  final List<String> termLeaders = new ArrayList<>();
  int killedOnLeaseExpiry;

  /** Tasks that started, or fetched their image, after their job's cancellation was confirmed. */
  int startedAfterConfirmation;

  /** Tasks that were still on machines when their job's cancellation was confirmed. */
  int leftAtConfirmation;

  int started;

  /** Stop commands executed for tasks that had not exited. */
  int stopped;

  private long latestToken;

  InvariantChecker(Simulation simulation) {
    this.simulation = simulation;
  }

  /** Checks the rules ran_twice, wrong_place and quota when a task starts. */
  void onTaskStarted(String task, String machine, long attempt) {
    started++;
    simulation.digest.taskAccepted(simulation.now(), task, machine, attempt);
    String job = task.substring(0, task.indexOf('/'));
    Long confirmedMs = cancelConfirmedMs.get(job);
    if (confirmedMs != null && simulation.now() > confirmedMs + CANCEL_DEADLINE_MS) {
      violations.add("ran_cancelled: " + task + " starts, cancellation confirmedMs=" + confirmedMs);
    }
    checkNotCancelled(task, machine);
    checkPlacement(job, task, machine);
    placements.add(task + " on " + machine);
    String otherMachine = machineByTask.putIfAbsent(task, machine);
    if (otherMachine != null) {
      violations.add(
          "ran_twice: "
              + task
              + " starts on "
              + machine
              + " while on "
              + otherMachine
              + ", attempt="
              + attempt);
    }
    lastStartTimesMs.put(job, simulation.now());
    checkQuota(simulation.users.spec(job).team(), task);
  }

  /**
   * Checks the rule quota. All tasks on machines count, including those that are saving, on a
   * paused machine, or unreachable.
   */
  private void checkQuota(String teamName, String task) {
    Team team = simulation.teams().get(teamName);
    if (!team.hasQuota()) {
      return;
    }
    double[] teamUsage = usage(teamName);
    boolean exceeded =
        (team.maxCpus() > 0 && teamUsage[0] > team.maxCpus() + TOLERANCE)
            || (team.maxGpus() > 0 && teamUsage[1] > team.maxGpus() + TOLERANCE);
    if (exceeded) {
      violations.add(
          "quota: cpus="
              + teamUsage[0]
              + ", gpus="
              + teamUsage[1]
              + " exceed "
              + team
              + " with "
              + task);
    }
  }

  /** Returns the processors and accelerators, in this order, that the team uses on machines. */
  double[] usage(String team) {
    double[] usage = new double[2];
    for (String placement : placements) {
      JobSpec spec = simulation.users.spec(placement.substring(0, placement.indexOf('/')));
      if (spec.team().equals(team)) {
        usage[0] += spec.cpus();
        usage[1] += spec.gpus();
      }
    }
    return usage;
  }

  /** Calls the consumer with each task on a machine and the machine's name. */
  void forEachPlacement(BiConsumer<String, String> body) {
    for (String placement : placements) {
      int separator = placement.indexOf(" on ");
      body.accept(placement.substring(0, separator), placement.substring(separator + 4));
    }
  }

  /**
   * Returns the indexes of the job's tasks that are on no machine and have not completed; empty if
   * the job is over or its cancellation was requested.
   */
  List<Integer> waitingTasks(JobSpec spec) {
    List<Integer> waiting = new ArrayList<>();
    if (isEnded(spec.id()) || cancelRequestTimesMs.containsKey(spec.id())) {
      return waiting;
    }
    for (int i = 0; i < spec.tasks(); i++) {
      String task = spec.id() + "/" + i;
      if (!machineByTask.containsKey(task) && !completedTasks.contains(task)) {
        waiting.add(i);
      }
    }
    return waiting;
  }

  /** Returns when a task of the job was last started; {@code Long.MIN_VALUE} if none was. */
  long lastStartMs(String job) {
    return lastStartTimesMs.getOrDefault(job, Long.MIN_VALUE);
  }

  /** Records that the task has completed on some machine. */
  void onTaskCompleted(String task) {
    completedTasks.add(task);
    simulation.digest.taskCompleted(simulation.now(), task);
  }

  /** Records that a task has fetched its image. */
  void onImageFetched(String task, String machine) {
    simulation.digest.imageFetched(simulation.now(), task, machine);
    checkNotCancelled(task, machine);
  }

  /**
   * Checks that no task of a job starts after its cancellation is confirmed, as in the protocol.
   */
  private void checkNotCancelled(String task, String machine) {
    Long confirmedMs = cancelConfirmedMs.get(task.substring(0, task.indexOf('/')));
    if (confirmedMs != null) {
      startedAfterConfirmation++;
      violations.add(
          "started_cancelled: " + task + " on " + machine + ", confirmedMs=" + confirmedMs);
    }
  }

  /**
   * Checks the rule wrong_place: the machine's type, whether it is a spot machine, and its zone
   * (the zone that the job names, one zone for all tasks, or at most the spread limit, half of the
   * tasks, in one zone).
   */
  private void checkPlacement(String job, String task, String machine) {
    JobSpec spec = simulation.users.spec(job);
    String zone = simulation.workers.get(machine).zone;
    int tasksInZone = 1;
    boolean inOtherZones = false;
    for (String placement : placements) {
      if (placement.startsWith(job + "/") && !placement.startsWith(task + " ")) {
        String otherZone =
            simulation.workers.get(placement.substring(placement.lastIndexOf(' ') + 1)).zone;
        tasksInZone += otherZone.equals(zone) ? 1 : 0;
        inOtherZones |= !otherZone.equals(zone);
      }
    }
    CloudModel.Kind kind = simulation.workers.get(machine).kind;
    if ((spec.machineTypes() != null && !spec.machineTypes().contains(kind.type()))
        || (kind.spot() && !spec.spotAllowed())
        || (spec.zone() != null && !spec.zone().equals(zone))
        || (spec.oneZone() && inOtherZones)
        || (spec.spread() && tasksInZone > spec.spreadLimit())) {
      violations.add("wrong_place: " + task + " starts on " + machine + ", " + kind);
    }
  }

  void onTaskGone(String task, String machine) {
    simulation.digest.taskRemoved(simulation.now(), task, machine);
    machineByTask.remove(task, machine);
    placements.remove(task + " on " + machine);
  }

  /**
   * Checks machines that a controller releases as silent. It is a failure if one of them is alive
   * and reachable from this controller or from another one that it could have asked.
   */
  void onSilentRelease(ControllerModel leader, List<String> machines) {
    for (String machine : machines) {
      if (!releaseDecided.add(machine)) {
        continue; // a release without an answer is repeated, as it may be executed at any time
      }
      WorkerModel worker = simulation.workers.get(machine);
      for (ControllerModel controller : simulation.controllers) {
        // After that time a leader also releases a machine that it cannot fence although another
        // controller reaches it, because all inherited jobs wait for the machine.
        boolean blocksInheritedJobs =
            leader.isReconciling() && leader.leadingForMs() > Scheduler.UNFENCED_RELEASE_MS;
        boolean canAsk =
            controller == leader
                || (!blocksInheritedJobs && simulation.reaches(leader.name, controller.name));
        // Shortly after a link or process has recovered, no controller can know yet that it reaches
        // the machines again.
        boolean connectivitySettled =
            simulation.now() - simulation.connectivityChangedMs() >= CONNECTIVITY_SETTLED_MS;
        if (connectivitySettled
            && worker.isAlive()
            && !worker.isPaused()
            && controller.isUp()
            && canAsk
            && simulation.reaches(controller.name, machine)) {
          healthyReleased.add(machine + " by " + leader.name + ", reached by " + controller.name);
          simulation.log(
              leader.name,
              "releases silent machine=" + machine + ", which " + controller.name + " reaches");
          break;
        }
      }
    }
  }

  /**
   * Checks the rule not_done: a job is done only once each of its tasks completed on some machine.
   */
  void onJobEnded(String job, StoreModel.EndRow end) {
    if (!endedJobs.add(job)) {
      violations.add("a job ended twice: " + job);
    }
    String id = job.substring(job.indexOf('/') + 1);
    simulation.digest.jobEnded(simulation.now(), id, end.cancelled(), end.done());
    int tasks = simulation.users.spec(id).tasks();
    long completedCount =
        IntStream.range(0, tasks).filter(i -> completedTasks.contains(id + "/" + i)).count();
    if (!end.cancelled() && (end.done() < tasks || completedCount < tasks)) {
      violations.add(
          "not_done: "
              + job
              + " ended with "
              + end.done()
              + " of "
              + tasks
              + " tasks done, "
              + completedCount
              + " completed");
    }
  }

  /** Records a user's question and returns its position in the order of questions and answers. */
  long onQuestion() {
    return ++userMessageOrder;
  }

  /**
   * Checks the rules went_back and forgotten on a controller's answer about a job; null if there
   * was no answer. {@code askedOrder} is the position of the question: if a user had been told
   * before it that the job is over, the answer must not say otherwise. Returns whether this is the
   * first answer that says that the job is over.
   */
  boolean onAnswer(String job, String controller, String state, long askedOrder) {
    if (state == null || state.equals("503")) {
      return false;
    }
    userMessageOrder++;
    boolean isFirstEnd = false;
    lastAnswerMs.put(job + " at " + controller, simulation.now());
    lastState.put(job + " at " + controller, state);
    boolean isEnd = state.equals("done") || state.equals("withdrawn");
    if (state.equals("404")) {
      if (simulation.users.accepted().contains(job)) {
        violations.add("forgotten: " + controller + " does not know " + job);
      }
    } else if (simulation.users.spec(job) == null) {
      violations.add("invented: " + controller + " reports unknown " + job + " as " + state);
    } else if (isEnd) {
      endReportedOrder.putIfAbsent(job, userMessageOrder);
      String firstEnd = reportedEnd.putIfAbsent(job, state);
      isFirstEnd = firstEnd == null;
      if (firstEnd != null && !firstEnd.equals(state)) {
        violations.add(
            "went_back: " + controller + " reports " + job + " as " + state + ", not " + firstEnd);
      }
    } else if (endReportedOrder.getOrDefault(job, Long.MAX_VALUE) < askedOrder) {
      violations.add("went_back: " + controller + " reports ended " + job + " as " + state);
    }
    if (state.equals("withdrawn")) {
      onCancelConfirmed(job, controller);
    }
    simulation.digest.jobStateReported(simulation.now(), job, controller, isEnd, isFirstEnd);
    return isFirstEnd;
  }

  /** Records that a user wants the job to be cancelled. */
  void onCancelRequested(String job) {
    cancelRequestTimesMs.put(job, simulation.now());
  }

  /** Checks the rule ran_cancelled from the first confirmation of the job's cancellation. */
  private void onCancelConfirmed(String job, String controller) {
    if (!cancelRequestTimesMs.containsKey(job)) {
      violations.add(
          "went_back: "
              + controller
              + " reports "
              + job
              + " as withdrawn, but its user did not cancel it");
    }
    if (cancelConfirmedMs.putIfAbsent(job, simulation.now()) == null) {
      cancelLatencyMs.add(
          simulation.now() - cancelRequestTimesMs.getOrDefault(job, simulation.now()));
      leftAtConfirmation += placementsOf(job).size();
      simulation.log(
          controller, "confirms the cancellation of " + job + " tasks_left=" + placementsOf(job));
      simulation.after(
          CANCEL_DEADLINE_MS,
          () -> {
            if (!placementsOf(job).isEmpty()) {
              violations.add(
                  "ran_cancelled: "
                      + placementsOf(job)
                      + ", confirmedMs="
                      + cancelConfirmedMs.get(job));
            }
          });
    }
  }

  private List<String> placementsOf(String job) {
    return placements.stream().filter(task -> task.startsWith(job + "/")).toList();
  }

  /** Returns how many tasks of the job are on machines. */
  int tasksOnMachines(String job) {
    return placementsOf(job).size();
  }

  boolean hasConfirmedCancels() {
    return !cancelConfirmedMs.isEmpty();
  }

  /** Returns how many jobs have had their cancellation confirmed. */
  int cancelsConfirmed() {
    return cancelConfirmedMs.size();
  }

  /** Returns the controller's last answer about the job; null if it gave none. */
  String lastState(String job, String controller) {
    return lastState.get(job + " at " + controller);
  }

  /** Returns whether the job's end is durable. */
  boolean isEnded(String job) {
    return endedJobs.contains("d/" + job);
  }

  /** Returns when the job's cancellation was first confirmed; null if it was not. */
  Long cancelConfirmedMs(String job) {
    return cancelConfirmedMs.get(job);
  }

  /**
   * Checks that no controller has gone 75 s without an answer about an accepted job; the time
   * counts from {@code healedMs}, when all faults were healed, at the earliest.
   */
  void checkAllAnswered(long healedMs) {
    for (String job : simulation.users.accepted()) {
      for (ControllerModel controller : simulation.controllers) {
        long answeredMs = lastAnswerMs.getOrDefault(job + " at " + controller.name, 0L);
        if (simulation.now() - Math.max(answeredMs, healedMs) >= NO_ANSWER_MS) {
          violations.add("forgotten: " + controller.name + " does not answer about " + job);
        }
      }
    }
  }

  /** Returns how many jobs are over. */
  int jobsEnded() {
    return endedJobs.size();
  }

  /** Returns whether the task is on this machine. */
  boolean isOn(String task, String machine) {
    return placements.contains(task + " on " + machine);
  }

  long latestToken() {
    return latestToken;
  }

  void onTermBegun(String controller, long token) {
    simulation.digest.termStarted(simulation.now(), controller, token);
    latestToken = Math.max(latestToken, token);
    termLeaders.add(controller);
    simulation.log(controller, "begins a term token=" + token);
  }
}
