package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** This leader's state of one machine. All times are milliseconds of the monotonic clock. */
final class Machine {
  /** Consecutive unanswered direct commands after which a machine is inbound-partitioned. */
  static final int INBOUND_PARTITION_TRIES = 2;

  /** States of a machine, which determine what this leader may do with it. */
  enum State {
    /** Provisioned; the worker has sent nothing yet and the machine was never given a task. */
    BOOTING,
    /** Inherited from an earlier leader, or restarted; may hold any tasks until fenced. */
    UNRECONCILED,
    /** In use. */
    LIVE,
    /** The lease with this leader has expired: the machine holds no tasks, but may return. */
    LEASE_EXPIRED,
    /** Being released; the request is repeated until the cloud confirms the machine gone. */
    RELEASING
  }

  private static final double TOLERANCE = 1e-6;

  final String name;
  final String typeName;
  final String zone;
  final boolean spot;
  String address;
  State state;

  /** The machine's type; null until the cloud's machine types are known. */
  MachineType type;

  /** Whether the machine's record is durable, so that tasks may be placed on the machine. */
  boolean registered;

  /** Whether the machine has acknowledged this leader's fencing token in {@link #epoch}. */
  boolean fenced;

  /** Whether an earlier leader registered the machine and may have tasks on it until fenced. */
  boolean inherited;

  /** Number of held attempts of jobs that this leader does not manage. */
  private int orphanedAttemptCount;

  long epoch;
  long sequence;
  final long firstKnownMs;

  /**
   * Start of the machine's lease with this leader: the latest of the last answered heartbeat, the
   * first message with this leader's fencing token, and the first message of an epoch.
   */
  long leaseFromMs;

  /** Time of the machine's last message, either a heartbeat or an answer. */
  long lastMessageMs;

  /** Time of the last answered heartbeat, or from which this leader may answer heartbeats. */
  long leaseRenewedMs;

  boolean outboundPartitionLogged;

  final DirectCommandState directCommands = new DirectCommandState();

  final MachineToken token = new MachineToken();

  final MachineResponse response = new MachineResponse();

  /** Time from which the machine may hold unknown tasks: the term's start or its own restart. */
  long unreconciledSinceMs;

  /** Time of the first message since {@link #unreconciledSinceMs}; -1 if there is none yet. */
  long firstMessageMs = -1;

  /** Number of heartbeats without this leader's token after one was answered with the token. */
  int unfencedHeartbeatCount;

  final MessageOrder messageOrder = new MessageOrder();

  final MachineHistory history = new MachineHistory();

  MachineIncarnation incarnation = new MachineIncarnation();

  /** The incarnation for which a record is being written; null if there is none. */
  MachineIncarnation registeringIncarnation;

  /** Whether a lower token or a missing task suggests a restart; the message may be stale. */
  boolean restartSuspected;

  /** Whether an outdated message arrived, so only an answer can tell if the machine restarted. */
  boolean staleMessageSeen;

  /**
   * Whether the machine is known only from heartbeats, which may be delayed indefinitely: no record
   * and no machine list names the machine, and it has not sent this leader's fencing token.
   */
  boolean unverified;

  final PeerProbeResults peerProbeResults = new PeerProbeResults();

  /** Time when the machine was last listed or added; a later list without it proves it gone. */
  long lastListedMs;

  /** Seconds until the cloud reclaims the machine; null without a notice. */
  Double preemptionNoticeS;

  /** Jobs not proven healthy that failed on this machine since a task last completed on it. */
  final Set<Job> failedJobs = new HashSet<>();

  /** Number of failures of proven healthy jobs since a task last completed on this machine. */
  int provenJobFailures;

  boolean quarantined;
  boolean releasedAsSilent;
  long idleSinceMs;
  long cordonedUntilMs;

  /** Held attempts on this machine, and exited ones until the worker has forgotten them. */
  final Map<TaskAttempt.Key, TaskAttempt> attempts = new LinkedHashMap<>();

  /** Capacity reserved for waiting tasks until the next pass. */
  private Reservation reservedCapacity = Reservation.NONE;

  /** Within a pass: work that can be preempted here; null if not computed or outdated. */
  PreemptibleWork preemptible;

  /** Within a pass: number of tasks placed on this machine. */
  int tasksPlacedInPass;

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

  /** Returns whether tasks failed recently, so that one at a time is placed until one completes. */
  boolean hasRecentFailures() {
    return provenJobFailures > 0 || !failedJobs.isEmpty();
  }

  /** Returns whether direct commands do not reach the machine, though its heartbeats arrive. */
  boolean isInboundPartitioned() {
    return directCommands.consecutiveUnansweredCount() >= INBOUND_PARTITION_TRIES;
  }

  /** Returns whether an unreconciled machine is inbound-partitioned and sends an earlier token. */
  boolean isInboundPartitionedUnreconciled() {
    return state == State.UNRECONCILED
        && isInboundPartitioned()
        && unfencedHeartbeatCount >= INBOUND_PARTITION_TRIES;
  }

  /**
   * Returns the time of the last message. An inbound-partitioned unreconciled machine's messages do
   * not count: the result is then {@link #unreconciledSinceMs}.
   */
  long lastContactMs() {
    return isInboundPartitionedUnreconciled()
        ? unreconciledSinceMs
        : Math.max(lastMessageMs, leaseFromMs);
  }

  /**
   * Resets the state after a restart, as if the machine had never been seen. The machine must be
   * registered again before use, so no leader that it followed in between considers it reconciled.
   */
  void resetAfterRestart() {
    token.onRestart();
    response.reset();
    incarnation = new MachineIncarnation();
    epoch = 0;
    sequence = 0;
    messageOrder.reset();
    firstMessageMs = -1;
    unfencedHeartbeatCount = 0;
    fenced = false;
    inherited = true;
    registered = false;
    preemptionNoticeS = null;
    images.clear();
  }

  /** Returns whether the message is newer than all messages reconciled so far. */
  boolean isNewestMessage(Heartbeat message) {
    return message.isNewerThan(epoch, sequence);
  }

  /** Returns whether the machine's own state allows new tasks to be placed on it. */
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

  /** Adds the usage of one task of the job if {@code sign} is 1, or removes it if -1. */
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

  /** Returns the number of processors used by tasks without accelerators. */
  double nonGpuCpus() {
    return resources.nonGpuCpus();
  }

  /** Returns the memory in GB used by tasks without accelerators. */
  double nonGpuMemoryGb() {
    return resources.nonGpuMemoryGb();
  }

  /** Returns the number of processors used by service replicas. */
  double replicaCpus() {
    return resources.replicaCpus();
  }

  /** Returns whether the machine may hold tasks whose usage is unknown to this leader. */
  boolean mayHoldUnobservedUsage() {
    return (inherited && !fenced) || orphanedAttemptCount > 0;
  }

  /** Changes the number of held attempts of jobs that this leader does not manage. */
  void addOrphanedAttempts(int delta) {
    orphanedAttemptCount += delta;
  }

  /**
   * Returns whether no held task needs this machine. A machine with accelerators is also idle while
   * its tasks use none of them and fit other types, so that backfill does not retain the machine.
   */
  boolean isIdle() {
    if (!hasHeldAttempts() || type == null || type.gpus() == 0 || usedGpus() > TOLERANCE) {
      return !hasHeldAttempts();
    }
    for (TaskAttempt attempt : attempts.values()) {
      if (!attempt.isExited() && attempt.job.usableTypes.contains(typeName)) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether a task with these needs fits; the machine's type must be known. */
  boolean fits(double cpus, double gpus, double memoryGb) {
    return freeTaskSlots() > 0
        && freeCpus() + TOLERANCE >= cpus
        && freeGpus() + TOLERANCE >= gpus
        && freeMemoryGb() + TOLERANCE >= memoryGb;
  }

  /** Returns whether one more task of the job fits; the machine's type must be known. */
  boolean fits(JobSpec spec) {
    return fits(spec.cpus(), spec.gpus(), spec.memoryGb());
  }

  /** Returns how many more tasks of the job fit, up to {@code limit}. */
  int countFittingTasks(JobSpec spec, int limit) {
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

  /** Clears the reservation and returns it, to be restored by {@link #reserve(Reservation)}. */
  Reservation clearReservation() {
    preemptible = null;
    Reservation previous = reservedCapacity;
    reservedCapacity = Reservation.NONE;
    return previous;
  }

  boolean hasReservation() {
    return reservedCapacity.tasks() > 0;
  }

  double freeCpus() {
    return type.cpus() - usedCpus() - reservedCapacity.cpus();
  }

  double freeGpus() {
    return type.gpus() - usedGpus() - reservedCapacity.gpus();
  }

  double freeMemoryGb() {
    return type.memoryGb() - usedMemoryGb() - reservedCapacity.memoryGb();
  }

  /** Returns how many more tasks the machine's heartbeats can report. */
  int freeTaskSlots() {
    return MachineType.MAX_TASKS_PER_MACHINE - attempts.size() - reservedCapacity.tasks();
  }

  /** Reserves capacity for this many more tasks of the job until the next pass. */
  void reserve(JobSpec spec, int tasks) {
    reservedCapacity = reservedCapacity.plus(spec, tasks);
  }

  /** Replaces the reservation until the next pass. */
  void reserve(Reservation reservation) {
    reservedCapacity = reservation;
  }

  boolean hasHeldAttempts() {
    return resources.heldAttemptCount() > 0;
  }

  int heldAttemptCount() {
    return resources.heldAttemptCount();
  }

  List<TaskAttempt> heldAttempts() {
    List<TaskAttempt> heldAttempts = new ArrayList<>();
    for (TaskAttempt attempt : attempts.values()) {
      if (!attempt.isExited()) {
        heldAttempts.add(attempt);
      }
    }
    return heldAttempts;
  }

  boolean hasCachedImage(String image) {
    return images.contains(image);
  }

  /** Returns 1 if the image is cached here, less if it may be being fetched, 0 otherwise. */
  double imageLocality(String image) {
    return images.locality(image);
  }

  /** Records that a task has its image on this machine. */
  void touchImage(String image, double sizeGb) {
    images.touch(image, sizeGb, type);
  }
}
