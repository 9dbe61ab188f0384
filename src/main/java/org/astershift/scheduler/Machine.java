package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A machine as the leader knows it. */
final class Machine {
  /**
   * Direct orders in a row without an answer after which nothing new goes to a machine, though its
   * reports arrive: what is said to it may not.
   */
  static final int INBOUND_PARTITION_TRIES = 2;

  /** What this leader may do with it. */
  enum State {
    /** Rented, its worker has not reported yet, and it was never given a task. */
    BOOTING,
    /** Named by an earlier leader; may hold anything until it answers to this token. */
    UNRECONCILED,
    /** Answers to this leader's token. */
    LIVE,
    /** Its lease with this leader has run out: it holds nothing, but may come back. */
    LEASE_EXPIRED,
    /** To be given back; repeated until the cloud says it is gone. */
    RELEASING
  }

  private static final double TOLERANCE = 1e-6;

  final String name;
  final String typeName;
  final String zone;
  final boolean spot;
  String address;
  State state;

  /** Its type, once that is known. */
  MachineType type;

  /** Its name is durable, so tasks may be placed on it. */
  boolean registered;

  /** It has shown this leader's token in {@link #epoch}: no older leader can renew its lease. */
  boolean fenced;

  /** Named by an earlier leader: until it is claimed it may hold that leader's tasks. */
  boolean inherited;

  /** Tasks here, not exited, of jobs that this leader does not look after. */
  private int orphanedAttempts;

  long epoch;
  long sequence;
  final long firstKnownMs;

  /**
   * From when its lease with this leader counts: a report answered, the first sight of its token,
   * or of a new session, whichever came last. What came later may be alive for a whole lease.
   */
  long leaseFromMs;

  /** When it last said anything, be it in answer to an order. */
  long lastMessageMs;

  /** When a report of it was last answered, or since when this leader may do that. */
  long leaseRenewedMs;

  /** It was said in the log that it is mute. */
  boolean outboundPartitionLogged;

  int directCommandFailures;

  /** The direct order under way was sent while its report was overdue, or it was never heard. */
  boolean commandSentWhileSilent;

  /** Such an order got no answer, and nothing was heard since. */
  boolean silentCommandUnanswered;

  /**
   * Direct orders and questions in a row that it left unanswered, whatever it reported meanwhile;
   * none once something shows that it receives.
   */
  int consecutiveUnanswered;

  /**
   * Since when it may hold what this leader does not know of: the begin of the term, or of its
   * life.
   */
  long unreconciledSinceMs;

  /** When it was first said to be there since then; -1: it was not yet. */
  long firstMessageMs = -1;

  /** Reports without this leader's token that came after another one was answered with it. */
  int unfencedHeartbeats;

  /** Position of the newest message that came as a report, which an answer may have renewed. */
  long heartbeatEpoch;

  long heartbeatSequence;

  /** What is known of its present incarnation. */
  MachineIncarnation incarnation = new MachineIncarnation();

  /** The incarnation for which the record was asked that is being written; null: none was. */
  MachineIncarnation registeringIncarnation;

  /**
   * A report showed a lower token than it had, or lacked a task that was there: it may have
   * restarted, or this is an old copy.
   */
  boolean restartSuspected;

  /** A direct order got no answer in this term, so it may reach a later incarnation. */
  boolean directCommandLost;

  /** It began anew in this term: of which life a report is nobody can tell any more. */
  boolean restartedInTerm;

  /** What was known of it when the question under way was decided: its answer is younger. */
  long epochWhenCommandSent;

  long sequenceWhenCommandSent;

  /** A message came that is older than what it said before: only its own answer tells why. */
  boolean staleMessageSeen;

  /**
   * Nothing but a report speaks for it, which may be as old as any: neither record nor list, nor a
   * report that shows this leader's token.
   */
  boolean unverified;

  /** What other controllers found when they were asked to reach it. */
  final PeerProbeResults peerProbeResults = new PeerProbeResults();

  /**
   * When it was last known to exist for the cloud: listed, rented, reported, or on record when the
   * term began. A list that is certainly younger and lacks it proves that it is gone.
   */
  long lastListedMs;

  Double preemptionNoticeS;

  /** Jobs not known to be sound that failed here since a task last completed here. */
  final Set<Job> failedJobs = new HashSet<>();

  /** Failures here since then of jobs that are sound elsewhere. */
  int provenJobFailures;

  boolean quarantined;

  /** Given back because nothing was heard of it. */
  boolean releasedAsSilent;

  long idleSinceMs;
  long cordonedUntilMs;
  boolean commandInFlight;
  long lastDirectCommandMs = -1_000_000;

  /** Held attempts, and exited ones until the worker has forgotten them. */
  final Map<TaskAttempt.Key, TaskAttempt> attempts = new LinkedHashMap<>();

  /** Images believed to be here, least recently used first: the worker does not report them. */
  final LinkedHashMap<String, Double> cachedImages = new LinkedHashMap<>(16, 0.75f, true);

  /** Within a pass: room made for tasks that wait for it. */
  private Reservation reserved = Reservation.NONE;

  /** Within a pass: what it could give up, as far as that was asked; null once that changes. */
  PreemptibleWork preemptible;

  /** Within a pass: tasks given to it. */
  int placedInPass;

  /** Tasks held here, by image. */
  private final Map<String, Integer> attemptsByImage = new HashMap<>();

  private double usedCpus;
  private double usedGpus;
  private double usedMemoryGb;
  private double replicaCpus;
  private double nonGpuCpus;
  private double nonGpuMemoryGb;
  private int heldAttemptCount;

  Machine(
      String name,
      String address,
      String typeName,
      String zone,
      boolean spot,
      State state,
      long nowMs) {
    this.name = name;
    this.address = address;
    this.typeName = typeName;
    this.zone = zone;
    this.spot = spot;
    this.state = state;
    this.firstKnownMs = nowMs;
    this.unreconciledSinceMs = nowMs;
    this.lastListedMs = nowMs;
    this.leaseFromMs = nowMs;
    this.lastMessageMs = nowMs;
    this.leaseRenewedMs = nowMs;
    this.idleSinceMs = nowMs;
  }

  /** Tasks failed here lately, so it gets one at a time until one completes. */
  boolean hasRecentFailures() {
    return provenJobFailures > 0 || !failedJobs.isEmpty();
  }

  /** Its reports arrive and nothing that is said to it does. */
  boolean inboundPartitioned() {
    return consecutiveUnanswered >= INBOUND_PARTITION_TRIES;
  }

  /** The same of one that an earlier leader named: it goes on showing that leader's token. */
  boolean inboundPartitionedUnreconciled() {
    return state == State.UNRECONCILED
        && inboundPartitioned()
        && unfencedHeartbeats >= INBOUND_PARTITION_TRIES;
  }

  /**
   * When it last said anything that counts: of one that answers nothing, only until it was known.
   */
  long lastContactMs() {
    return inboundPartitionedUnreconciled()
        ? unreconciledSinceMs
        : Math.max(lastMessageMs, leaseFromMs);
  }

  /**
   * The machine began anew, under its name and without what was on it: as if it had never been
   * heard, and not to be used before this is on record, so that no leader it may have listened to
   * meanwhile can take it for its own.
   */
  void resetAfterRestart() {
    restartedInTerm = true;
    incarnation = new MachineIncarnation();
    epoch = 0;
    sequence = 0;
    heartbeatEpoch = 0;
    heartbeatSequence = 0;
    firstMessageMs = -1;
    unfencedHeartbeats = 0;
    fenced = false;
    inherited = true;
    registered = false;
    preemptionNoticeS = null;
    cachedImages.clear();
  }

  boolean usable(long nowMs) {
    return state == State.LIVE
        && registered
        && !inboundPartitioned()
        && !unverified
        && !quarantined
        && preemptionNoticeS == null
        && nowMs >= cordonedUntilMs
        && type != null;
  }

  void add(TaskAttempt attempt) {
    attempts.put(attempt.key, attempt);
    preemptible = null;
  }

  void remove(TaskAttempt attempt) {
    attempts.remove(attempt.key);
    preemptible = null;
  }

  /** Takes or gives back what a task of this job needs. */
  void addUsage(JobSpec spec, int sign) {
    preemptible = null;
    usedCpus += sign * spec.cpus();
    usedGpus += sign * spec.gpus();
    usedMemoryGb += sign * spec.memoryGb();
    replicaCpus += spec.kind() == JobKind.SERVICE ? sign * spec.cpus() : 0;
    if (spec.gpus() == 0) {
      nonGpuCpus += sign * spec.cpus();
      nonGpuMemoryGb += sign * spec.memoryGb();
    }
    heldAttemptCount += sign;
    attemptsByImage.merge(spec.image(), sign, (a, b) -> a + b == 0 ? null : a + b);
    if (heldAttemptCount == 0) {
      // Sums of fractions drift: an empty machine is exactly empty.
      usedCpus = 0;
      usedGpus = 0;
      usedMemoryGb = 0;
      replicaCpus = 0;
      nonGpuCpus = 0;
      nonGpuMemoryGb = 0;
    }
  }

  double usedCpus() {
    return usedCpus;
  }

  double usedGpus() {
    return usedGpus;
  }

  double usedMemoryGb() {
    return usedMemoryGb;
  }

  /** Processors that tasks without accelerators take. */
  double nonGpuCpus() {
    return nonGpuCpus;
  }

  double nonGpuMemoryGb() {
    return nonGpuMemoryGb;
  }

  /** Whether it may hold tasks of which this leader does not know what they take. */
  boolean mayHoldUnobservedUsage() {
    return (inherited && !fenced) || orphanedAttempts > 0;
  }

  /** Tasks here, not exited, of jobs that this leader does not look after: more or fewer. */
  void addOrphanedAttempts(int delta) {
    orphanedAttempts += delta;
  }

  /**
   * Nothing is here of what the machine is for: of one with accelerators, neither work that needs
   * them nor work that no other type is enough for. What only fills its gaps does not keep it.
   */
  boolean idle() {
    if (heldAttemptCount == 0 || type == null || type.gpus() == 0 || usedGpus > TOLERANCE) {
      return heldAttemptCount == 0;
    }
    for (TaskAttempt attempt : attempts.values()) {
      if (!attempt.exited() && attempt.job.usableTypes.contains(typeName)) {
        return false;
      }
    }
    return true;
  }

  /** Processors that replicas of services take. */
  double replicaCpus() {
    return replicaCpus;
  }

  boolean fits(double cpus, double gpus, double memoryGb) {
    return freeTaskSlots() > 0
        && freeCpus() + TOLERANCE >= cpus
        && freeGpus() + TOLERANCE >= gpus
        && freeMemoryGb() + TOLERANCE >= memoryGb;
  }

  /** Whether one task of this kind finds room. */
  boolean fits(JobSpec spec) {
    return fits(spec.cpus(), spec.gpus(), spec.memoryGb());
  }

  /** How many tasks of this kind find room, at most {@code limit}. */
  int fitCount(JobSpec spec, int limit) {
    if (!fits(spec)) {
      return 0;
    }
    double count = Math.min(limit, freeTaskSlots());
    if (spec.cpus() > 0) {
      count = Math.min(count, (freeCpus() + TOLERANCE) / spec.cpus());
    }
    if (spec.gpus() > 0) {
      count = Math.min(count, (freeGpus() + TOLERANCE) / spec.gpus());
    }
    if (spec.memoryGb() > 0) {
      count = Math.min(count, (freeMemoryGb() + TOLERANCE) / spec.memoryGb());
    }
    return (int) count;
  }

  /** Nothing is kept from anybody any more; gives what was, for {@link #reserve(Reservation)}. */
  Reservation clearReservation() {
    preemptible = null;
    Reservation previous = reserved;
    reserved = Reservation.NONE;
    return previous;
  }

  boolean reserved() {
    return reserved.tasks() > 0;
  }

  double freeCpus() {
    return type.cpus() - usedCpus - reserved.cpus();
  }

  double freeGpus() {
    return type.gpus() - usedGpus - reserved.gpus();
  }

  double freeMemoryGb() {
    return type.memoryGb() - usedMemoryGb - reserved.memoryGb();
  }

  /** How many more tasks its reports can name. */
  int freeTaskSlots() {
    return MachineType.MAX_TASKS_PER_MACHINE - attempts.size() - reserved.tasks();
  }

  /** Keeps room for so many tasks from others, until the next pass. */
  void reserve(JobSpec spec, int tasks) {
    reserved = reserved.plus(spec, tasks);
  }

  /** Keeps this room from others, until the next pass. */
  void reserve(Reservation reservation) {
    reserved = reservation;
  }

  boolean hasAttempts() {
    return heldAttemptCount > 0;
  }

  int heldAttemptCount() {
    return heldAttemptCount;
  }

  List<TaskAttempt> heldAttempts() {
    List<TaskAttempt> unexited = new ArrayList<>();
    for (TaskAttempt attempt : attempts.values()) {
      if (!attempt.exited()) {
        unexited.add(attempt);
      }
    }
    return unexited;
  }

  /** 1 if the image is there, less if it is being fetched, 0 otherwise. */
  double imageLocality(String image) {
    if (cachedImages.containsKey(image)) {
      return 1;
    }
    return attemptsByImage.containsKey(image) ? 0.5 : 0;
  }

  /** Notes that a task with this image had its image here. */
  void touchImage(String image, double sizeGb) {
    cachedImages.put(image, sizeGb);
    if (type == null) {
      return;
    }
    double totalGb = 0;
    for (double imageGb : cachedImages.values()) {
      totalGb += imageGb;
    }
    var leastRecentlyUsed = cachedImages.entrySet().iterator();
    while (totalGb > type.cacheGb() && cachedImages.size() > 1 && leastRecentlyUsed.hasNext()) {
      totalGb -= leastRecentlyUsed.next().getValue();
      leastRecentlyUsed.remove();
    }
  }
}
