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

/** What must never happen, and what users would call a failure, over the whole history. */
final class InvariantChecker {
  private static final long JUST_NOW_MS = 1500;
  private static final double TOLERANCE = 1e-6;

  /** The operators' letter: so long after all troubles a job without an answer is forgotten. */
  private static final long FORGOTTEN_MS = 75_000;

  /**
   * So long after its user was told that a job is cancelled no task of it may be left, nor start:
   * less than the operators ask for, and as much as a lease and the reports around it take.
   */
  static final long CANCEL_MS = 20_000;

  private final Map<String, Long> cancelAsked = new HashMap<>();

  /** How long each user who called a job off waited until he was told, milliseconds. */
  final List<Long> confirmedAfterMs = new ArrayList<>();

  private final Map<String, Long> confirmedMs = new HashMap<>();

  /** By job, how it ended as its user was told first. */
  private final Map<String, String> toldEnd = new HashMap<>();

  private final Map<String, String> lastTold = new HashMap<>();

  private final Map<String, Long> answeredMs = new HashMap<>();

  /** Questions and answers in the order in which users send and get them. */
  private long moment;

  /** By job, the moment at which a user was first told that it is over. */
  private final Map<String, Long> toldOver = new HashMap<>();

  private final Simulation world;
  private final Map<String, String> running = new HashMap<>();

  /** The same where a task is on two machines at once, for what a team uses. */
  private final Set<String> onMachines = new HashSet<>();

  /** Tasks that have completed, by name. */
  private final Set<String> completed = new HashSet<>();

  /** By job, when a task of it was started last. */
  private final Map<String, Long> lastStartMs = new HashMap<>();

  private final Set<String> decided = new HashSet<>();
  private final Set<String> called = new HashSet<>();
  final List<String> broken = new ArrayList<>();

  /** Machines given back though they lived and some controller reached them. */
  final List<String> healthyReturned = new ArrayList<>();

  final List<String> returned = new ArrayList<>();
  final List<String> leaders = new ArrayList<>();
  int killedByLease;

  /** Tasks that started, or got their image, after a user was told that their job is cancelled. */
  int startedAfterConfirmation;

  /** Tasks that were on machines when a user was told that their job is cancelled. */
  int leftAtConfirmation;

  int started;

  /** Stops of tasks that had not ended. */
  int halted;

  private long latestToken;

  InvariantChecker(Simulation world) {
    this.world = world;
  }

  /** Rules ran_twice, wrong_place and quota. */
  void started(String task, String machine, long attempt) {
    started++;
    world.digest.started(world.now(), task, machine, attempt);
    String job = task.substring(0, task.indexOf('/'));
    Long confirmed = confirmedMs.get(job);
    if (confirmed != null && world.now() > confirmed + CANCEL_MS) {
      broken.add("ran_cancelled: " + task + " starts, cancelled as told at " + confirmed);
    }
    afterConfirmation(task, machine);
    rightPlace(job, task, machine);
    onMachines.add(task + " on " + machine);
    String at = running.putIfAbsent(task, machine);
    if (at != null) {
      broken.add(
          "ran_twice: " + task + " starts on " + machine + " while on " + at + " @" + attempt);
    }
    lastStartMs.put(job, world.now());
    quota(world.users.spec(job).team(), task);
  }

  /** Rule quota: all that is on machines counts, whether it saves, hangs or cannot be reached. */
  private void quota(String name, String task) {
    Team team = world.teams().get(name);
    if (!team.isLimited()) {
      return;
    }
    double[] use = use(name);
    boolean over =
        (team.maxCpus() > 0 && use[0] > team.maxCpus() + TOLERANCE)
            || (team.maxGpus() > 0 && use[1] > team.maxGpus() + TOLERANCE);
    if (over) {
      broken.add("quota: " + use[0] + ", " + use[1] + " of " + team + " with " + task);
    }
  }

  /** Processors and accelerators that the team's tasks take on machines. */
  double[] use(String team) {
    double[] use = new double[2];
    for (String other : onMachines) {
      JobSpec s = world.users.spec(other.substring(0, other.indexOf('/')));
      if (s.team().equals(team)) {
        use[0] += s.cpus();
        use[1] += s.gpus();
      }
    }
    return use;
  }

  /** Calls this with each task that is on a machine, and that. */
  void eachOnMachine(BiConsumer<String, String> body) {
    for (String on : onMachines) {
      int at = on.indexOf(" on ");
      body.accept(on.substring(0, at), on.substring(at + 4));
    }
  }

  /**
   * Tasks of a job that is neither over nor called off which are on no machine and have not
   * completed.
   */
  List<Integer> waiting(JobSpec spec) {
    List<Integer> out = new ArrayList<>();
    if (isOver(spec.id()) || cancelAsked.containsKey(spec.id())) {
      return out;
    }
    for (int i = 0; i < spec.tasks(); i++) {
      String task = spec.id() + "/" + i;
      if (!running.containsKey(task) && !completed.contains(task)) {
        out.add(i);
      }
    }
    return out;
  }

  /** When a task of the job was started last; none yet: long ago. */
  long lastStart(String job) {
    return lastStartMs.getOrDefault(job, Long.MIN_VALUE);
  }

  /** The task has completed somewhere. */
  void completed(String task) {
    completed.add(task);
    world.digest.completed(world.now(), task);
  }

  /** A task has its image, and goes on from there. */
  void begins(String task, String machine) {
    world.digest.begins(world.now(), task, machine);
    afterConfirmation(task, machine);
  }

  /** The protocol: from a confirmation on no task of the job may be started. */
  private void afterConfirmation(String task, String machine) {
    Long confirmed = confirmedMs.get(task.substring(0, task.indexOf('/')));
    if (confirmed != null) {
      startedAfterConfirmation++;
      broken.add("started_cancelled: " + task + " on " + machine + ", told at " + confirmed);
    }
  }

  /** Rule wrong_place: type and kind, and the zone: the job's own, one for all, half in one. */
  private void rightPlace(String job, String task, String machine) {
    JobSpec spec = world.users.spec(job);
    String zone = world.workers.get(machine).zone;
    int here = 1;
    boolean elsewhere = false;
    for (String other : onMachines) {
      if (other.startsWith(job + "/") && !other.startsWith(task + " ")) {
        String at = world.workers.get(other.substring(other.lastIndexOf(' ') + 1)).zone;
        here += at.equals(zone) ? 1 : 0;
        elsewhere |= !at.equals(zone);
      }
    }
    CloudModel.Kind kind = world.workers.get(machine).kind;
    if ((spec.machineTypes() != null && !spec.machineTypes().contains(kind.type()))
        || (kind.spot() && !spec.spotAllowed())
        || (spec.zone() != null && !spec.zone().equals(zone))
        || (spec.oneZone() && elsewhere)
        || (spec.spread() && here > spec.spreadLimit())) {
      broken.add("wrong_place: " + task + " starts on " + machine + ", " + kind);
    }
  }

  void over(String task, String machine) {
    world.digest.leaves(world.now(), task, machine);
    running.remove(task, machine);
    onMachines.remove(task + " on " + machine);
  }

  /**
   * A controller decides to give machines back for silence. A failure if one of them lives and this
   * controller, or another that it could have asked, reaches it.
   */
  void givesUp(ControllerModel leader, List<String> machines) {
    for (String machine : machines) {
      if (!decided.add(machine)) {
        continue; // a return without an answer may be executed any time, so it is repeated
      }
      WorkerModel w = world.workers.get(machine);
      for (ControllerModel n : world.nodes) {
        // Nor one that the leader cannot make listen while everything opened before waits for it.
        boolean holdsUp = leader.starting() && leader.ledMs() > Scheduler.UNFENCED_RELEASE_MS;
        boolean asked = n == leader || (!holdsUp && world.reaches(leader.name, n.name));
        // Not just after a path came back: nobody can know yet that it reaches them again.
        boolean settled = world.now() - world.changedMs() >= JUST_NOW_MS;
        if (settled
            && w.alive()
            && !w.hung()
            && n.up()
            && asked
            && world.reaches(n.name, machine)) {
          healthyReturned.add(machine + " by " + leader.name + ", reached by " + n.name);
          world.note(leader.name, "gives up " + machine + ", which " + n.name + " reaches");
          break;
        }
      }
    }
  }

  /** Rule not_done: a job is over only when each of its tasks has completed somewhere. */
  void ended(String job, StoreModel.EndRow end) {
    if (!called.add(job)) {
      broken.add("a job ended twice: " + job);
    }
    String id = job.substring(job.indexOf('/') + 1);
    world.digest.jobOver(world.now(), id, end.cancelled(), end.done());
    int tasks = world.users.spec(id).tasks();
    long all = IntStream.range(0, tasks).filter(i -> completed.contains(id + "/" + i)).count();
    if (!end.cancelled() && (end.done() < tasks || all < tasks)) {
      broken.add(
          "not_done: " + job + " with " + end.done() + " of " + tasks + ", " + all + " completed");
    }
  }

  /** A user asks something now: the moment of it. */
  long asked() {
    return ++moment;
  }

  /**
   * Rules went_back and forgotten: what a node answered about an accepted job; null: nothing.
   * {@code asked}: the moment of the question; an answer to one that was sent after another had
   * been told that the job is over must not be older than that. Says whether it is news that the
   * job is over.
   */
  boolean told(String job, String node, String said, long asked) {
    if (said == null || said.equals("503")) {
      return false;
    }
    moment++;
    boolean news = false;
    answeredMs.put(job + " at " + node, world.now());
    lastTold.put(job + " at " + node, said);
    boolean end = said.equals("done") || said.equals("withdrawn");
    if (said.equals("404")) {
      if (world.users.accepted().contains(job)) {
        broken.add("forgotten: " + node + " does not know " + job);
      }
    } else if (world.users.spec(job) == null) {
      broken.add("invented: " + node + " says that " + job + " is " + said);
    } else if (end) {
      toldOver.putIfAbsent(job, moment);
      String first = toldEnd.putIfAbsent(job, said);
      news = first == null;
      if (first != null && !first.equals(said)) {
        broken.add("went_back: " + node + " says that " + job + " is " + said + ", not " + first);
      }
    } else if (toldOver.getOrDefault(job, Long.MAX_VALUE) < asked) {
      broken.add("went_back: " + node + " says that " + job + " is " + said);
    }
    if (said.equals("withdrawn")) {
      confirmed(job, node);
    }
    world.digest.told(world.now(), job, node, end, news);
    return news;
  }

  /** A user wants the job to be cancelled. */
  void cancelAsked(String job) {
    cancelAsked.put(job, world.now());
  }

  /** Rule ran_cancelled, from the first time that its user is told, whatever was asked. */
  private void confirmed(String job, String node) {
    if (!cancelAsked.containsKey(job)) {
      broken.add("went_back: " + node + " calls " + job + " cancelled, and its user did not");
    }
    if (confirmedMs.putIfAbsent(job, world.now()) == null) {
      confirmedAfterMs.add(world.now() - cancelAsked.getOrDefault(job, world.now()));
      leftAtConfirmation += left(job).size();
      world.note(node, "confirms that " + job + " is cancelled; tasks left: " + left(job));
      world.after(
          CANCEL_MS,
          () -> {
            if (!left(job).isEmpty()) {
              broken.add("ran_cancelled: " + left(job) + ", told at " + confirmedMs.get(job));
            }
          });
    }
  }

  private List<String> left(String job) {
    return onMachines.stream().filter(t -> t.startsWith(job + "/")).toList();
  }

  /** Tasks of the job that are on machines. */
  int on(String job) {
    return left(job).size();
  }

  boolean anyConfirmed() {
    return !confirmedMs.isEmpty();
  }

  /** Jobs of which a user was told that they are cancelled. */
  int confirmed() {
    return confirmedMs.size();
  }

  /** What the node said of the job last; null: nothing. */
  String lastTold(String job, String node) {
    return lastTold.get(job + " at " + node);
  }

  /** Whether its end is on record. */
  boolean isOver(String job) {
    return called.contains("d/" + job);
  }

  /** When the user was first told that it is cancelled; null: not yet. */
  Long confirmedMs(String job) {
    return confirmedMs.get(job);
  }

  /** All troubles were over at {@code healedMs}: no job may be without an answer for 75 s. */
  void allAnswered(long healedMs) {
    for (String job : world.users.accepted()) {
      for (ControllerModel n : world.nodes) {
        long last = answeredMs.getOrDefault(job + " at " + n.name, 0L);
        if (world.now() - Math.max(last, healedMs) >= FORGOTTEN_MS) {
          broken.add("forgotten: " + n.name + " answers nothing about " + job);
        }
      }
    }
  }

  /** Jobs that are over. */
  int ended() {
    return called.size();
  }

  /** Whether the task is on this machine. */
  boolean isOn(String task, String machine) {
    return onMachines.contains(task + " on " + machine);
  }

  long latestToken() {
    return latestToken;
  }

  void leads(String node, long token) {
    world.digest.term(world.now(), node, token);
    latestToken = Math.max(latestToken, token);
    leaders.add(node);
    world.note(node, "leads with token " + token);
  }
}
