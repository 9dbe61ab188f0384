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

/** Invariants and user-visible failures, checked over the whole history of a simulation. */
final class InvariantChecker {
  private static final long CONNECTIVITY_SETTLED_MS = 1500;
  private static final double TOLERANCE = 1e-6;

  /** So long after all faults are healed a job without an answer counts as forgotten. */
  private static final long NO_ANSWER_MS = 75_000;

  /**
   * So long after the cancellation of a job is confirmed no task of it may be left, nor start: less
   * than the operators ask for, and as much as a lease and the heartbeats around it take.
   */
  static final long CANCEL_DEADLINE_MS = 20_000;

  private final Map<String, Long> onCancelRequested = new HashMap<>();

  /** How long each user waited for the confirmation of a cancellation, in milliseconds. */
  final List<Long> cancelLatencyMs = new ArrayList<>();

  private final Map<String, Long> cancelConfirmedMs = new HashMap<>();

  /** By job, the end that a user was told first. */
  private final Map<String, String> reportedEnd = new HashMap<>();

  private final Map<String, String> lastState = new HashMap<>();

  private final Map<String, Long> lastAnswerMs = new HashMap<>();

  /** Questions and answers in the order in which users send and get them. */
  private long userMessageOrder;

  /** By job, the moment at which a user was first told that it is over. */
  private final Map<String, Long> endReportedOrder = new HashMap<>();

  private final Simulation simulation;
  private final Map<String, String> machineByTask = new HashMap<>();

  /** The same where a task is on two machines at once, for what a team uses. */
  private final Set<String> placements = new HashSet<>();

  /** Tasks that have completed, by name. */
  private final Set<String> completedTasks = new HashSet<>();

  /** By job, when a task of it was started last. */
  private final Map<String, Long> lastStartTimesMs = new HashMap<>();

  private final Set<String> releaseDecided = new HashSet<>();
  private final Set<String> endedJobs = new HashSet<>();
  final List<String> violations = new ArrayList<>();

  /** Machines released though they were alive and some controller reached them. */
  final List<String> healthyReleased = new ArrayList<>();

  final List<String> releasedAsSilent = new ArrayList<>();
  final List<String> termLeaders = new ArrayList<>();
  int killedOnLeaseExpiry;

  /** Tasks that started, or got their image, after their cancellation was confirmed. */
  int startedAfterConfirmation;

  /** Tasks that were on machines when their cancellation was confirmed. */
  int leftAtConfirmation;

  int started;

  /** Stops of tasks that had not ended. */
  int stopped;

  private long latestToken;

  InvariantChecker(Simulation simulation) {
    this.simulation = simulation;
  }

  /** Rules ran_twice, wrong_place and quota. */
  void onTaskStarted(String task, String machine, long attempt) {
    started++;
    simulation.digest.started(simulation.now(), task, machine, attempt);
    String job = task.substring(0, task.indexOf('/'));
    Long confirmed = cancelConfirmedMs.get(job);
    if (confirmed != null && simulation.now() > confirmed + CANCEL_DEADLINE_MS) {
      violations.add("ran_cancelled: " + task + " starts, cancelled as told at " + confirmed);
    }
    checkNotCancelled(task, machine);
    checkPlacement(job, task, machine);
    placements.add(task + " on " + machine);
    String at = machineByTask.putIfAbsent(task, machine);
    if (at != null) {
      violations.add(
          "ran_twice: " + task + " starts on " + machine + " while on " + at + " @" + attempt);
    }
    lastStartTimesMs.put(job, simulation.now());
    checkQuota(simulation.users.spec(job).team(), task);
  }

  /** Rule quota: all that is on machines counts, whether it saves, pauses or cannot be reached. */
  private void checkQuota(String name, String task) {
    Team team = simulation.teams().get(name);
    if (!team.isLimited()) {
      return;
    }
    double[] use = usage(name);
    boolean over =
        (team.maxCpus() > 0 && use[0] > team.maxCpus() + TOLERANCE)
            || (team.maxGpus() > 0 && use[1] > team.maxGpus() + TOLERANCE);
    if (over) {
      violations.add("quota: " + use[0] + ", " + use[1] + " of " + team + " with " + task);
    }
  }

  /** Processors and accelerators that the team's tasks take on machines. */
  double[] usage(String team) {
    double[] use = new double[2];
    for (String other : placements) {
      JobSpec spec = simulation.users.spec(other.substring(0, other.indexOf('/')));
      if (spec.team().equals(team)) {
        use[0] += spec.cpus();
        use[1] += spec.gpus();
      }
    }
    return use;
  }

  /** Calls this with each task that is on a machine, and that. */
  void forEachPlacement(BiConsumer<String, String> body) {
    for (String on : placements) {
      int at = on.indexOf(" on ");
      body.accept(on.substring(0, at), on.substring(at + 4));
    }
  }

  /**
   * Tasks of a job that is neither over nor cancelled which are on no machine and have not
   * completed.
   */
  List<Integer> waitingTasks(JobSpec spec) {
    List<Integer> out = new ArrayList<>();
    if (isEnded(spec.id()) || onCancelRequested.containsKey(spec.id())) {
      return out;
    }
    for (int i = 0; i < spec.tasks(); i++) {
      String task = spec.id() + "/" + i;
      if (!machineByTask.containsKey(task) && !completedTasks.contains(task)) {
        out.add(i);
      }
    }
    return out;
  }

  /** When a task of the job was started last; none yet: long ago. */
  long lastStartMs(String job) {
    return lastStartTimesMs.getOrDefault(job, Long.MIN_VALUE);
  }

  /** The task has completed somewhere. */
  void onTaskCompleted(String task) {
    completedTasks.add(task);
    simulation.digest.completed(simulation.now(), task);
  }

  /** A task has its image. */
  void onImageFetched(String task, String machine) {
    simulation.digest.begins(simulation.now(), task, machine);
    checkNotCancelled(task, machine);
  }

  /** The protocol: from a confirmation on no task of the job may be started. */
  private void checkNotCancelled(String task, String machine) {
    Long confirmed = cancelConfirmedMs.get(task.substring(0, task.indexOf('/')));
    if (confirmed != null) {
      startedAfterConfirmation++;
      violations.add("started_cancelled: " + task + " on " + machine + ", told at " + confirmed);
    }
  }

  /** Rule wrong_place: type and kind, and the zone: the job's own, one for all, half in one. */
  private void checkPlacement(String job, String task, String machine) {
    JobSpec spec = simulation.users.spec(job);
    String zone = simulation.workers.get(machine).zone;
    int here = 1;
    boolean elsewhere = false;
    for (String other : placements) {
      if (other.startsWith(job + "/") && !other.startsWith(task + " ")) {
        String at = simulation.workers.get(other.substring(other.lastIndexOf(' ') + 1)).zone;
        here += at.equals(zone) ? 1 : 0;
        elsewhere |= !at.equals(zone);
      }
    }
    CloudModel.Kind kind = simulation.workers.get(machine).kind;
    if ((spec.machineTypes() != null && !spec.machineTypes().contains(kind.type()))
        || (kind.spot() && !spec.spotAllowed())
        || (spec.zone() != null && !spec.zone().equals(zone))
        || (spec.oneZone() && elsewhere)
        || (spec.spread() && here > spec.spreadLimit())) {
      violations.add("wrong_place: " + task + " starts on " + machine + ", " + kind);
    }
  }

  void onTaskGone(String task, String machine) {
    simulation.digest.leaves(simulation.now(), task, machine);
    machineByTask.remove(task, machine);
    placements.remove(task + " on " + machine);
  }

  /**
   * A controller releases machines as silent. A failure if one of them is alive and this
   * controller, or another that it could have asked, reaches it.
   */
  void onSilentRelease(ControllerModel leader, List<String> machines) {
    for (String machine : machines) {
      if (!releaseDecided.add(machine)) {
        continue; // a return without an answer may be executed any time, so it is repeated
      }
      WorkerModel worker = simulation.workers.get(machine);
      for (ControllerModel controller : simulation.controllers) {
        // Nor one that the leader cannot make listen while everything opened before waits for it.
        boolean holdsUp =
            leader.isReconciling() && leader.leadingForMs() > Scheduler.UNFENCED_RELEASE_MS;
        boolean mayAsk =
            controller == leader || (!holdsUp && simulation.reaches(leader.name, controller.name));
        // Not just after a path came back: nobody can know yet that it reaches them again.
        boolean settled =
            simulation.now() - simulation.connectivityChangedMs() >= CONNECTIVITY_SETTLED_MS;
        if (settled
            && worker.isAlive()
            && !worker.isPaused()
            && controller.isUp()
            && mayAsk
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

  /** Rule not_done: a job is over only when each of its tasks has completed somewhere. */
  void onJobEnded(String job, StoreModel.EndRow end) {
    if (!endedJobs.add(job)) {
      violations.add("a job ended twice: " + job);
    }
    String id = job.substring(job.indexOf('/') + 1);
    simulation.digest.jobOver(simulation.now(), id, end.cancelled(), end.done());
    int tasks = simulation.users.spec(id).tasks();
    long all = IntStream.range(0, tasks).filter(i -> completedTasks.contains(id + "/" + i)).count();
    if (!end.cancelled() && (end.done() < tasks || all < tasks)) {
      violations.add(
          "not_done: " + job + " with " + end.done() + " of " + tasks + ", " + all + " completed");
    }
  }

  /** A user asks something now: the moment of it. */
  long onQuestion() {
    return ++userMessageOrder;
  }

  /**
   * Rules went_back and forgotten: what a controller answered about an accepted job; null: nothing.
   * {@code askedOrder}: the moment of the question; an answer to one that was sent after another
   * had been told that the job is over must not be older than that. Says whether it is news that
   * the job is over.
   */
  boolean onAnswer(String job, String controller, String state, long askedOrder) {
    if (state == null || state.equals("503")) {
      return false;
    }
    userMessageOrder++;
    boolean news = false;
    lastAnswerMs.put(job + " at " + controller, simulation.now());
    lastState.put(job + " at " + controller, state);
    boolean end = state.equals("done") || state.equals("withdrawn");
    if (state.equals("404")) {
      if (simulation.users.accepted().contains(job)) {
        violations.add("forgotten: " + controller + " does not know " + job);
      }
    } else if (simulation.users.spec(job) == null) {
      violations.add("invented: " + controller + " says that " + job + " is " + state);
    } else if (end) {
      endReportedOrder.putIfAbsent(job, userMessageOrder);
      String first = reportedEnd.putIfAbsent(job, state);
      news = first == null;
      if (first != null && !first.equals(state)) {
        violations.add(
            "went_back: " + controller + " says that " + job + " is " + state + ", not " + first);
      }
    } else if (endReportedOrder.getOrDefault(job, Long.MAX_VALUE) < askedOrder) {
      violations.add("went_back: " + controller + " says that " + job + " is " + state);
    }
    if (state.equals("withdrawn")) {
      onCancelConfirmed(job, controller);
    }
    simulation.digest.told(simulation.now(), job, controller, end, news);
    return news;
  }

  /** A user wants the job to be cancelled. */
  void onCancelRequested(String job) {
    onCancelRequested.put(job, simulation.now());
  }

  /** Invariant ran_cancelled, from the first confirmation on. */
  private void onCancelConfirmed(String job, String controller) {
    if (!onCancelRequested.containsKey(job)) {
      violations.add(
          "went_back: " + controller + " calls " + job + " cancelled, and its user did not");
    }
    if (cancelConfirmedMs.putIfAbsent(job, simulation.now()) == null) {
      cancelLatencyMs.add(simulation.now() - onCancelRequested.getOrDefault(job, simulation.now()));
      leftAtConfirmation += placementsOf(job).size();
      simulation.log(
          controller, "confirms that " + job + " is cancelled; tasks left: " + placementsOf(job));
      simulation.after(
          CANCEL_DEADLINE_MS,
          () -> {
            if (!placementsOf(job).isEmpty()) {
              violations.add(
                  "ran_cancelled: "
                      + placementsOf(job)
                      + ", told at "
                      + cancelConfirmedMs.get(job));
            }
          });
    }
  }

  private List<String> placementsOf(String job) {
    return placements.stream().filter(task -> task.startsWith(job + "/")).toList();
  }

  /** Tasks of the job that are on machines. */
  int tasksOnMachines(String job) {
    return placementsOf(job).size();
  }

  boolean hasConfirmedCancels() {
    return !cancelConfirmedMs.isEmpty();
  }

  /** Jobs whose cancellation was confirmed. */
  int cancelsConfirmed() {
    return cancelConfirmedMs.size();
  }

  /** What the controller said of the job last; null: nothing. */
  String lastState(String job, String controller) {
    return lastState.get(job + " at " + controller);
  }

  /** Whether its end is on record. */
  boolean isEnded(String job) {
    return endedJobs.contains("d/" + job);
  }

  /** When the cancellation was first confirmed; null: not yet. */
  Long cancelConfirmedMs(String job) {
    return cancelConfirmedMs.get(job);
  }

  /** All faults were over at {@code healedMs}: no job may be without an answer for 75 s. */
  void checkAllAnswered(long healedMs) {
    for (String job : simulation.users.accepted()) {
      for (ControllerModel controller : simulation.controllers) {
        long last = lastAnswerMs.getOrDefault(job + " at " + controller.name, 0L);
        if (simulation.now() - Math.max(last, healedMs) >= NO_ANSWER_MS) {
          violations.add("forgotten: " + controller.name + " answers nothing about " + job);
        }
      }
    }
  }

  /** Jobs that are over. */
  int jobsEnded() {
    return endedJobs.size();
  }

  /** Whether the task is on this machine. */
  boolean isOn(String task, String machine) {
    return placements.contains(task + " on " + machine);
  }

  long latestToken() {
    return latestToken;
  }

  void onTermBegun(String controller, long token) {
    simulation.digest.term(simulation.now(), controller, token);
    latestToken = Math.max(latestToken, token);
    termLeaders.add(controller);
    simulation.log(controller, "begins a term token=" + token);
  }
}
