package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.astershift.config.Constants;

/** A machine as the leader knows it. */
final class Machine {
  /** What this leader may do with it. */
  enum State {
    /** Rented, its worker has not reported yet, and it was never given a task. */
    BOOTING,
    /** Named by an earlier leader; may hold anything until it answers to this token. */
    UNHEARD,
    /** Answers to this leader's token. */
    LIVE,
    /** Its lease with this leader has run out: it holds nothing, but may come back. */
    LOST,
    /** To be given back; repeated until the cloud says it is gone. */
    RETURNING
  }

  private static final double TOLERANCE = 1e-6;

  final String name;
  final String type;
  final String zone;
  final boolean spot;
  String addr;
  State state;

  /** Its type, once that is known. */
  MachineType kind;

  /** Its name is durable, so tasks may be placed on it. */
  boolean enrolled;

  /** It has shown this leader's token in {@link #session}: no older leader can renew its lease. */
  boolean claimed;

  /** Named by an earlier leader: until it is claimed it may hold that leader's tasks. */
  boolean inherited;

  /** Tasks here, not exited, of jobs that this leader does not look after. */
  private int strangers;

  long session;
  long seq;
  final long knownMs;

  /**
   * From when its lease with this leader counts: a report answered, the first sight of its token,
   * or of a new session, whichever came last. What came later may be alive for a whole lease.
   */
  long heardMs;

  /** When it last said anything, be it in answer to an order. */
  long seenMs;

  /** When a report of it was last answered, or since when this leader may do that. */
  long renewedMs;

  /** It was said in the log that it is mute. */
  boolean toldMute;

  int directFailures;

  /** The direct order under way was sent while its report was overdue, or it was never heard. */
  boolean askedWhileSilent;

  /** Such an order got no answer, and nothing was heard since. */
  boolean askedInVain;

  /**
   * Direct orders and questions in a row that it left unanswered, whatever it reported meanwhile;
   * none once something shows that it receives.
   */
  int unanswered;

  /**
   * Since when it may hold what this leader does not know of: the begin of the term, or of its
   * life.
   */
  long unheardMs;

  /** When it was first said to be there since then; -1: it was not yet. */
  long firstSaidMs = -1;

  /** Reports without this leader's token that came after another one was answered with it. */
  int inVain;

  /** Position of the newest message that came as a report, which an answer may have renewed. */
  long reportSession;

  long reportSeq;

  /** What is known of its present incarnation. */
  MachineIncarnation incarnation = new MachineIncarnation();

  /** The incarnation for which the record was asked that is being written; null: none was. */
  MachineIncarnation recordAskedFor;

  /**
   * A report showed a lower token than it had, or lacked a task that was there: it may have
   * restarted, or this is an old copy.
   */
  boolean restartSuspected;

  /** A direct order got no answer in this term, so it may reach a later incarnation. */
  boolean directLost;

  /** It began anew in this term: of which life a report is nobody can tell any more. */
  boolean restartedInTerm;

  /** What was known of it when the question under way was decided: its answer is younger. */
  long askedSession;

  long askedSeq;

  /** A message came that is older than what it said before: only its own answer tells why. */
  boolean older;

  /**
   * Nothing but a report speaks for it, which may be as old as any: neither record nor list, nor a
   * report that shows this leader's token.
   */
  boolean hearsay;

  /** What other controllers found when they were asked to reach it. */
  final PeerProbeResults peerFindings = new PeerProbeResults();

  /**
   * When it was last known to exist for the cloud: listed, rented, reported, or on record when the
   * term began. A list that is certainly younger and lacks it proves that it is gone.
   */
  long listedMs;

  Double noticeS;

  /** Jobs not known to be sound that failed here since a task last completed here. */
  final Set<Job> failedJobs = new HashSet<>();

  /** Failures here since then of jobs that are sound elsewhere. */
  int failedProven;

  boolean condemned;

  /** Given back because nothing was heard of it. */
  boolean givenUp;

  long idleSinceMs;
  long holdUntilMs;
  boolean orderInFlight;
  long lastDirectMs = -1_000_000;

  /** Held attempts, and exited ones until the worker has forgotten them. */
  final Map<TaskAttempt.Key, TaskAttempt> runs = new LinkedHashMap<>();

  /** Images believed to be here, least recently used first: the worker does not report them. */
  final LinkedHashMap<String, Double> images = new LinkedHashMap<>(16, 0.75f, true);

  /** Within a pass: room made for tasks that wait for it. */
  private Reservation reserved = Reservation.NONE;

  /** Within a pass: what it could give up, as far as that was asked; null once that changes. */
  Preemption.Stoppable stoppable;

  /** Within a pass: tasks given to it. */
  int taken;

  /** Tasks held here, by image. */
  private final Map<String, Integer> needed = new HashMap<>();

  private double usedCpus;
  private double usedGpus;
  private double usedMemory;
  private double replicaCpus;
  private double plainCpus;
  private double plainMemory;
  private int held;

  Machine(
      String name, String addr, String type, String zone, boolean spot, State state, long nowMs) {
    this.name = name;
    this.addr = addr;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.state = state;
    this.knownMs = nowMs;
    this.unheardMs = nowMs;
    this.listedMs = nowMs;
    this.heardMs = nowMs;
    this.seenMs = nowMs;
    this.renewedMs = nowMs;
    this.idleSinceMs = nowMs;
  }

  /** Tasks failed here lately, so it gets one at a time until one completes. */
  boolean doubted() {
    return failedProven > 0 || !failedJobs.isEmpty();
  }

  /** Its reports arrive and nothing that is said to it does. */
  boolean deaf() {
    return unanswered >= Constants.DEAF_TRIES;
  }

  /** The same of one that an earlier leader named: it goes on showing that leader's token. */
  boolean deafAnew() {
    return state == State.UNHEARD && deaf() && inVain >= Constants.DEAF_TRIES;
  }

  /**
   * When it last said anything that counts: of one that answers nothing, only until it was known.
   */
  long saidMs() {
    return deafAnew() ? unheardMs : Math.max(seenMs, heardMs);
  }

  /**
   * The machine began anew, under its name and without what was on it: as if it had never been
   * heard, and not to be used before this is on record, so that no leader it may have listened to
   * meanwhile can take it for its own.
   */
  void restarted() {
    restartedInTerm = true;
    incarnation = new MachineIncarnation();
    session = 0;
    seq = 0;
    reportSession = 0;
    reportSeq = 0;
    firstSaidMs = -1;
    inVain = 0;
    claimed = false;
    inherited = true;
    enrolled = false;
    noticeS = null;
    images.clear();
  }

  boolean usable(long nowMs) {
    return state == State.LIVE
        && enrolled
        && !deaf()
        && !hearsay
        && !condemned
        && noticeS == null
        && nowMs >= holdUntilMs
        && kind != null;
  }

  void add(TaskAttempt run) {
    runs.put(run.key, run);
    stoppable = null;
  }

  void remove(TaskAttempt run) {
    runs.remove(run.key);
    stoppable = null;
  }

  /** Takes or gives back what a task of this job needs. */
  void use(JobSpec s, int sign) {
    stoppable = null;
    usedCpus += sign * s.cpus();
    usedGpus += sign * s.gpus();
    usedMemory += sign * s.memoryGb();
    replicaCpus += s.kind() == JobKind.SERVICE ? sign * s.cpus() : 0;
    if (s.gpus() == 0) {
      plainCpus += sign * s.cpus();
      plainMemory += sign * s.memoryGb();
    }
    held += sign;
    needed.merge(s.image(), sign, (a, b) -> a + b == 0 ? null : a + b);
    if (held == 0) {
      // Sums of fractions drift: an empty machine is exactly empty.
      usedCpus = 0;
      usedGpus = 0;
      usedMemory = 0;
      replicaCpus = 0;
      plainCpus = 0;
      plainMemory = 0;
    }
  }

  double usedCpus() {
    return usedCpus;
  }

  double usedGpus() {
    return usedGpus;
  }

  double usedMemory() {
    return usedMemory;
  }

  /** Processors that tasks without accelerators take. */
  double plainCpus() {
    return plainCpus;
  }

  double plainMemory() {
    return plainMemory;
  }

  /** Whether it may hold tasks of which this leader does not know what they take. */
  boolean inTheDark() {
    return (inherited && !claimed) || strangers > 0;
  }

  /** Tasks here, not exited, of jobs that this leader does not look after: more or fewer. */
  void strangers(int more) {
    strangers += more;
  }

  /**
   * Nothing is here of what the machine is for: of one with accelerators, neither work that needs
   * them nor work that no other type is enough for. What only fills its gaps does not keep it.
   */
  boolean idle() {
    if (held == 0 || kind == null || kind.gpus() == 0 || usedGpus > TOLERANCE) {
      return held == 0;
    }
    for (TaskAttempt run : runs.values()) {
      if (!run.exited() && run.job.usableTypes.contains(type)) {
        return false;
      }
    }
    return true;
  }

  /** Processors that replicas of services take. */
  double replicaCpus() {
    return replicaCpus;
  }

  boolean hasRoom(double cpus, double gpus, double memory) {
    return freeTasks() > 0
        && freeCpus() + TOLERANCE >= cpus
        && freeGpus() + TOLERANCE >= gpus
        && freeMemory() + TOLERANCE >= memory;
  }

  /** Whether one task of this kind finds room. */
  boolean hasRoom(JobSpec s) {
    return hasRoom(s.cpus(), s.gpus(), s.memoryGb());
  }

  /** How many tasks of this kind find room, at most {@code most}. */
  int room(JobSpec s, int most) {
    if (!hasRoom(s)) {
      return 0;
    }
    double n = Math.min(most, freeTasks());
    if (s.cpus() > 0) {
      n = Math.min(n, (freeCpus() + TOLERANCE) / s.cpus());
    }
    if (s.gpus() > 0) {
      n = Math.min(n, (freeGpus() + TOLERANCE) / s.gpus());
    }
    if (s.memoryGb() > 0) {
      n = Math.min(n, (freeMemory() + TOLERANCE) / s.memoryGb());
    }
    return (int) n;
  }

  /** Nothing is kept from anybody any more; gives what was, for {@link #reserve(Reservation)}. */
  Reservation clearReserved() {
    stoppable = null;
    Reservation before = reserved;
    reserved = Reservation.NONE;
    return before;
  }

  boolean reserved() {
    return reserved.tasks() > 0;
  }

  double freeCpus() {
    return kind.cpus() - usedCpus - reserved.cpus();
  }

  double freeGpus() {
    return kind.gpus() - usedGpus - reserved.gpus();
  }

  double freeMemory() {
    return kind.memoryGb() - usedMemory - reserved.memoryGb();
  }

  /** How many more tasks its reports can name. */
  int freeTasks() {
    return Constants.TASKS_A_MACHINE - runs.size() - reserved.tasks();
  }

  /** Keeps room for so many tasks from others, until the next pass. */
  void reserve(JobSpec s, int tasks) {
    reserved = reserved.plus(s, tasks);
  }

  /** Keeps this room from others, until the next pass. */
  void reserve(Reservation room) {
    reserved = room;
  }

  boolean holdsAny() {
    return held > 0;
  }

  int heldCount() {
    return held;
  }

  List<TaskAttempt> held() {
    List<TaskAttempt> out = new ArrayList<>();
    for (TaskAttempt r : runs.values()) {
      if (!r.exited()) {
        out.add(r);
      }
    }
    return out;
  }

  /** 1 if the image is there, less if it is being fetched, 0 otherwise. */
  double score(String image) {
    if (images.containsKey(image)) {
      return 1;
    }
    return needed.containsKey(image) ? 0.5 : 0;
  }

  /** Notes that a task with this image had its image here. */
  void touchImage(String image, double gb) {
    images.put(image, gb);
    if (kind == null) {
      return;
    }
    double total = 0;
    for (double g : images.values()) {
      total += g;
    }
    var it = images.entrySet().iterator();
    while (total > kind.cacheGb() && images.size() > 1 && it.hasNext()) {
      total -= it.next().getValue();
      it.remove();
    }
  }
}
