package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A machine as the leader knows it. Times are milliseconds of the steady clock. */
final class Machine {
  /**
   * Unanswered direct commands in a row after which a machine counts as inbound-partitioned, though
   * its heartbeats arrive.
   */
  static final int INBOUND_PARTITION_TRIES = 2;

  /** What this leader may do with it. */
  enum State {
    /** Provisioned; its worker has sent nothing yet and it was never given a task. */
    BOOTING,
    /** Of an earlier leader, or restarted; may hold anything until it is fenced. */
    UNRECONCILED,
    /** In use. */
    LIVE,
    /** Its lease with this leader has expired: it holds nothing, but may come back. */
    LEASE_EXPIRED,
    /** Being released; repeated until the cloud confirms that it is gone. */
    RELEASING
  }

  private static final double TOLERANCE = 1e-6;

  final String name;
  final String typeName;
  final String zone;
  final boolean spot;
  String address;
  State state;

  /** Null until the cloud's machine types are known. */
  MachineType type;

  /** Its record is durable, so tasks may be placed on it. */
  boolean registered;

  /** It has acknowledged this leader's fencing token in {@link #epoch}. */
  boolean fenced;

  /** Registered by an earlier leader: until it is fenced it may hold that leader's tasks. */
  boolean inherited;

  /** Held attempts of jobs that this leader does not manage. */
  private int orphanedAttempts;

  long epoch;
  long sequence;
  final long firstKnownMs;

  /**
   * From when its lease with this leader counts: the latest of the last heartbeat answered, the
   * first sight of this leader's token, and the first message of an epoch.
   */
  long leaseFromMs;

  /** Its last message, heartbeat or answer. */
  long lastMessageMs;

  /** Its last answered heartbeat, or since when this leader may answer one. */
  long leaseRenewedMs;

  boolean outboundPartitionLogged;

  final DirectCommandState directCommands = new DirectCommandState();

  /** Direct commands in a row without an answer or another proof that it receives. */
  int consecutiveUnanswered;

  /** Since when it may hold what this leader does not know: the term's begin or its restart. */
  long unreconciledSinceMs;

  /** Its first message since then; -1: none yet. */
  long firstMessageMs = -1;

  /** Heartbeats without this leader's token that came after one was answered with it. */
  int unfencedHeartbeats;

  final MessageOrder messageOrder = new MessageOrder();

  final MachineHistory history = new MachineHistory();

  MachineIncarnation incarnation = new MachineIncarnation();

  /** The incarnation for which a record is being written; null if none is. */
  MachineIncarnation registeringIncarnation;

  /** A heartbeat had a lower token or lacked a task: it restarted, or this was a delayed copy. */
  boolean restartSuspected;

  /** It restarted in this term: heartbeats no longer show of which incarnation they are. */
  boolean restartedInTerm;

  /** A message older than its last one came: only its own answer shows whether it restarted. */
  boolean staleMessageSeen;

  /**
   * Known from heartbeats alone, which may be delayed by any time: neither a record nor a list
   * names it, nor has it shown this leader's token.
   */
  boolean unverified;

  final PeerProbeResults peerProbeResults = new PeerProbeResults();

  /** When the cloud was last known to have it: a later list without it proves that it is gone. */
  long lastListedMs;

  /** Seconds until the cloud takes it back; null if it does not. */
  Double preemptionNoticeS;

  /** Jobs not proven sound that failed here since a task last completed here. */
  final Set<Job> failedJobs = new HashSet<>();

  /** Failures here since then of jobs that are proven sound. */
  int provenJobFailures;

  boolean quarantined;
  boolean releasedAsSilent;
  long idleSinceMs;
  long cordonedUntilMs;

  /** Held attempts, and exited ones until the worker has forgotten them. */
  final Map<TaskAttempt.Key, TaskAttempt> attempts = new LinkedHashMap<>();

  /** Within a pass: room kept for tasks that wait for it. */
  private Reservation reserved = Reservation.NONE;

  /** Within a pass: what could be preempted here, if computed; null once that changes. */
  PreemptibleWork preemptible;

  /** Within a pass: tasks placed here. */
  int placedInPass;

  private final ImageCache images = new ImageCache();
  private final MachineResources resources = new MachineResources();

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

  /** Whether tasks failed here lately: it gets one at a time until one completes. */
  boolean hasRecentFailures() {
    return provenJobFailures > 0 || !failedJobs.isEmpty();
  }

  /** Whether its heartbeats arrive and nothing sent to it does. */
  boolean isInboundPartitioned() {
    return consecutiveUnanswered >= INBOUND_PARTITION_TRIES;
  }

  /** The same of an unreconciled machine: it goes on showing an earlier leader's token. */
  boolean isInboundPartitionedUnreconciled() {
    return state == State.UNRECONCILED
        && isInboundPartitioned()
        && unfencedHeartbeats >= INBOUND_PARTITION_TRIES;
  }

  /** Its last message; what an inbound-partitioned unreconciled machine sends does not count. */
  long lastContactMs() {
    return isInboundPartitionedUnreconciled()
        ? unreconciledSinceMs
        : Math.max(lastMessageMs, leaseFromMs);
  }

  /**
   * The machine has restarted under its name: as if it had never been seen. It is to be registered
   * again before it is used, so that no leader it followed meanwhile takes it for reconciled.
   */
  void resetAfterRestart() {
    restartedInTerm = true;
    incarnation = new MachineIncarnation();
    epoch = 0;
    sequence = 0;
    messageOrder.reset();
    firstMessageMs = -1;
    unfencedHeartbeats = 0;
    fenced = false;
    inherited = true;
    registered = false;
    preemptionNoticeS = null;
    images.clear();
  }

  /** Whether the message is newer than all that its attempts were reconciled with. */
  boolean isNewestMessage(Heartbeat message) {
    return message.isNewerThan(epoch, sequence);
  }

  /** Whether new tasks may go here as far as its own state shows. */
  boolean isUsable(long nowMs) {
    return state == State.LIVE
        && registered
        && !isInboundPartitioned()
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

  /** Takes or frees what a task of this job needs. */
  void addUsage(JobSpec spec, int sign) {
    preemptible = null;
    resources.add(spec, sign);
    images.addAttempts(spec.image(), sign);
  }

  double usedCpus() {
    return resources.usedCpus();
  }

  double usedGpus() {
    return resources.usedGpus();
  }

  double usedMemoryGb() {
    return resources.usedMemoryGb();
  }

  /** Processors of tasks without accelerators. */
  double nonGpuCpus() {
    return resources.nonGpuCpus();
  }

  /** Memory of tasks without accelerators. */
  double nonGpuMemoryGb() {
    return resources.nonGpuMemoryGb();
  }

  /** Processors of service replicas. */
  double replicaCpus() {
    return resources.replicaCpus();
  }

  /** Whether it may hold tasks whose usage this leader does not know. */
  boolean mayHoldUnobservedUsage() {
    return (inherited && !fenced) || orphanedAttempts > 0;
  }

  /** Changes the number of held attempts of jobs that this leader does not manage. */
  void addOrphanedAttempts(int delta) {
    orphanedAttempts += delta;
  }

  /**
   * Whether no held task needs this machine. One with accelerators is idle also while its tasks use
   * none of them and fit other types: backfill does not keep it.
   */
  boolean isIdle() {
    if (!hasAttempts() || type == null || type.gpus() == 0 || usedGpus() > TOLERANCE) {
      return !hasAttempts();
    }
    for (TaskAttempt attempt : attempts.values()) {
      if (!attempt.isExited() && attempt.job.usableTypes.contains(typeName)) {
        return false;
      }
    }
    return true;
  }

  /** Whether a task with these needs finds room; the machine's type must be known. */
  boolean fits(double cpus, double gpus, double memoryGb) {
    return freeTaskSlots() > 0
        && freeCpus() + TOLERANCE >= cpus
        && freeGpus() + TOLERANCE >= gpus
        && freeMemoryGb() + TOLERANCE >= memoryGb;
  }

  /** Whether one task of this job finds room. */
  boolean fits(JobSpec spec) {
    return fits(spec.cpus(), spec.gpus(), spec.memoryGb());
  }

  /** How many tasks of this job find room, at most {@code limit}. */
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

  /** Ends the reservation and returns it, for {@link #reserve(Reservation)}. */
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
    return type.cpus() - usedCpus() - reserved.cpus();
  }

  double freeGpus() {
    return type.gpus() - usedGpus() - reserved.gpus();
  }

  double freeMemoryGb() {
    return type.memoryGb() - usedMemoryGb() - reserved.memoryGb();
  }

  /** How many more tasks its heartbeats can name. */
  int freeTaskSlots() {
    return MachineType.MAX_TASKS_PER_MACHINE - attempts.size() - reserved.tasks();
  }

  /** Reserves room for this many more tasks until the next pass. */
  void reserve(JobSpec spec, int tasks) {
    reserved = reserved.plus(spec, tasks);
  }

  /** Replaces the reservation until the next pass. */
  void reserve(Reservation reservation) {
    reserved = reservation;
  }

  boolean hasAttempts() {
    return resources.heldAttemptCount() > 0;
  }

  int heldAttemptCount() {
    return resources.heldAttemptCount();
  }

  List<TaskAttempt> heldAttempts() {
    List<TaskAttempt> unexited = new ArrayList<>();
    for (TaskAttempt attempt : attempts.values()) {
      if (!attempt.isExited()) {
        unexited.add(attempt);
      }
    }
    return unexited;
  }

  boolean hasCachedImage(String image) {
    return images.contains(image);
  }

  /** 1 if the image is cached here, less if it may be being fetched, 0 otherwise. */
  double imageLocality(String image) {
    return images.locality(image);
  }

  /** A task with this image has its image here. */
  void touchImage(String image, double sizeGb) {
    images.touch(image, sizeGb, type);
  }
}
