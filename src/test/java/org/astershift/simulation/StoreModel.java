package org.astershift.simulation;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.astershift.scheduler.Decision;
import org.astershift.scheduler.JobSpec;

/**
 * Models the consensus-backed key-value store: keys with revisions, leases that expire up to 100 ms
 * late and get their full duration again after an outage, and transactions that may be applied long
 * after they were sent.
 */
final class StoreModel {
  static final String LEADER_KEY = "leader";
  private final Simulation simulation;
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final List<Row> changes = new ArrayList<>();
  private final Map<Long, Long> leaseExpiryMs = new HashMap<>();
  private long revision;
  private long lastLease;
  private boolean inOutage;
  private final Map<Long, Long> leaseTtlMs = new HashMap<>();

  /** Controllers that get 503 while the others are served. */
  private final Set<String> refusedControllers = new HashSet<>();

  /** Share of the transactions that get no answer and are applied 2 to 12 s later. */
  double lateShare;

  /** Share of the transactions that are applied at once and get no answer. */
  double unansweredShare;

  /** Controller that last wrote the key and got no answer, by key. */
  private final Map<String, String> unansweredWriter = new HashMap<>();

  /** Writes without an answer, and those of them that another controller read, by key prefix. */
  final Map<String, Integer> unansweredWrites = new TreeMap<>();

  final Map<String, Integer> unansweredWritesRead = new TreeMap<>();

  /** Longest delay of an answer, in milliseconds. */
  long answerDelayMs;

  /** Delayed transactions that were applied after a newer one of the same controller. */
  int appliedAfterNewer;

  /** Number of transactions applied, by controller. */
  private final Map<String, Integer> appliedCounts = new HashMap<>();

  /** A key as it was written; {@code value} is null if it was removed. */
  record Row(String key, Object value, long revision, long lease) {}

  /** A durable live job; whether the job is open is a separate record. */
  record JobRow(JobSpec spec, long acceptedMs) {}

  /** A durable machine record. */
  record MachineRow(Decision.RegisterMachine machine) {}

  /** How a job ended. */
  record EndRow(boolean cancelled, int done) {}

  /** One write of a transaction. */
  record Write(String key, Object value, long lease) {}

  /**
   * The outcome of a transaction. {@code revision} is the revision at which it was applied; 0 if
   * the conditions on the {@code failed} keys did not hold, or -1 if the lease does not exist.
   */
  record Outcome(long revision, List<String> failed) {}

  /** The outcome of a 503: the transaction was not applied and never will be. */
  static final Outcome REFUSED = new Outcome(-2, List.of());

  StoreModel(Simulation simulation) {
    this.simulation = simulation;
  }

  void setUnavailable(boolean unavailable) {
    inOutage = unavailable;
    if (!unavailable) {
      leaseExpiryMs.replaceAll((lease, expiryMs) -> simulation.now() + leaseTtlMs.get(lease));
      leaseExpiryMs.keySet().forEach(this::scheduleLeaseExpiry);
    }
  }

  boolean isUnavailable() {
    return inOutage;
  }

  void setRefused(String controller, boolean refused) {
    simulation.log("state", (refused ? "answers 503 to " : "serves ") + controller);
    if (refused) {
      refusedControllers.add(controller);
    } else {
      refusedControllers.remove(controller);
    }
  }

  boolean refuses(String controller) {
    return refusedControllers.contains(controller);
  }

  /** Applies a controller's transaction. */
  Outcome commit(String controller, Map<String, Long> conditions, List<Write> writes) {
    appliedCounts.merge(controller, 1, Integer::sum);
    return commit(conditions, writes);
  }

  /** Applies the transaction 2 to 12 s later, after its sender's timeout. */
  void commitLate(String controller, Map<String, Long> conditions, List<Write> writes) {
    int appliedBefore = appliedCounts.getOrDefault(controller, 0);
    simulation.after(
        2000 + simulation.random.nextLong(10_000),
        () -> applyLate(controller, conditions, writes, appliedBefore));
  }

  private void applyLate(
      String controller, Map<String, Long> conditions, List<Write> writes, int appliedBefore) {
    if (inOutage) {
      simulation.after(1000, () -> applyLate(controller, conditions, writes, appliedBefore));
      return;
    }
    appliedAfterNewer += appliedCounts.getOrDefault(controller, 0) > appliedBefore ? 1 : 0;
    Outcome outcome = commit(controller, conditions, writes);
    simulation.log(
        "state", "applies a delayed transaction of " + controller + ": " + writes + " " + outcome);
  }

  long grantLease(long ttlMs) {
    long lease = ++lastLease;
    leaseTtlMs.put(lease, ttlMs);
    extendLease(lease);
    return lease;
  }

  boolean renewLease(long lease) {
    if (!leaseExpiryMs.containsKey(lease)) {
      return false;
    }
    extendLease(lease);
    return true;
  }

  private void extendLease(long lease) {
    leaseExpiryMs.put(
        lease, simulation.now() + leaseTtlMs.get(lease) + simulation.random.nextLong(100));
    scheduleLeaseExpiry(lease);
  }

  private void scheduleLeaseExpiry(long lease) {
    Long expiryMs = leaseExpiryMs.get(lease);
    simulation.after(
        expiryMs - simulation.now(),
        () -> {
          if (!inOutage
              && leaseExpiryMs.containsKey(lease)
              && leaseExpiryMs.get(lease) <= simulation.now()) {
            revokeLease(lease);
          }
        });
  }

  void revokeLease(long lease) {
    if (leaseExpiryMs.remove(lease) != null) {
      for (Row row : new ArrayList<>(rows.values())) {
        if (row.lease() == lease) {
          revision++;
          put(row.key(), null, 0);
        }
      }
    }
  }

  private void put(String key, Object value, long lease) {
    Row row = new Row(key, value, revision, lease);
    if (value == null) {
      rows.remove(key);
    } else {
      rows.put(key, row);
    }
    changes.add(row);
  }

  /**
   * Applies a transaction. {@code conditions} holds the revision that each key must have, 0 for a
   * key that must not exist.
   */
  Outcome commit(Map<String, Long> conditions, List<Write> writes) {
    for (Write write : writes) {
      if (write.lease() != 0 && !leaseExpiryMs.containsKey(write.lease())) {
        return new Outcome(-1, List.of());
      }
    }
    List<String> failed = new ArrayList<>();
    for (Map.Entry<String, Long> condition : conditions.entrySet()) {
      Row row = rows.get(condition.getKey());
      if ((row == null ? 0 : row.revision()) != condition.getValue()) {
        failed.add(condition.getKey());
      }
    }
    if (!failed.isEmpty()) {
      return new Outcome(0, failed);
    }
    revision++;
    for (Write write : writes) {
      if (write.value() != null || rows.containsKey(write.key())) {
        put(write.key(), write.value(), write.lease());
        if (write.key().startsWith("d/")) {
          simulation.checker.onJobEnded(write.key(), (EndRow) write.value());
        }
      }
    }
    return new Outcome(revision, List.of());
  }

  /** Loses the answer to a transaction, whether or not the transaction was applied. */
  void loseAnswer(String controller, List<Write> writes, Outcome outcome) {
    for (Write write : writes) {
      if (outcome.revision() > 0 && write.value() != null) {
        unansweredWrites.merge(write.key().substring(0, 2), 1, Integer::sum);
        unansweredWriter.put(write.key(), controller);
      }
    }
    simulation.log(
        "state",
        "loses the answer to a transaction of " + controller + ": " + writes + " " + outcome);
  }

  private void recordRead(String controller, String key) {
    String writer = unansweredWriter.get(key);
    if (writer != null && !writer.equals(controller)) {
      unansweredWriter.remove(key);
      unansweredWritesRead.merge(key.substring(0, 2), 1, Integer::sum);
    }
  }

  /** Returns the key's row for a controller's read; null if there is none. */
  Row get(String controller, String key) {
    if (rows.containsKey(key)) {
      recordRead(controller, key);
    }
    return rows.get(key);
  }

  Row get(String key) {
    return rows.get(key);
  }

  long revision() {
    return revision;
  }

  /** Returns all changes after this revision, as read by a controller's watch cache. */
  List<Row> changesAfter(String controller, long afterRevision) {
    List<Row> newChanges = changesAfter(afterRevision);
    for (Row row : newChanges) {
      if (!row.key().startsWith("d/")) { // watch caches do not hold ends of jobs
        recordRead(controller, row.key());
      }
    }
    return newChanges;
  }

  private List<Row> changesAfter(long afterRevision) {
    int first = changes.size();
    while (first > 0 && changes.get(first - 1).revision() > afterRevision) {
      first--;
    }
    return new ArrayList<>(changes.subList(first, changes.size()));
  }

  /** Stores a user's job, accepted by whichever controller reaches the store. */
  void putJob(JobSpec spec) {
    revision++;
    put("j/" + spec.id(), new JobRow(spec, simulation.now()), 0);
  }

  static Map<String, Object> withPrefix(Map<String, Row> rows, String prefix) {
    Map<String, Object> values = new LinkedHashMap<>();
    rows.forEach(
        (key, row) -> {
          if (key.startsWith(prefix)) {
            values.put(key.substring(prefix.length()), row.value());
          }
        });
    return values;
  }

  static BitSet copyBits(Object value) {
    return value == null ? new BitSet() : (BitSet) ((BitSet) value).clone();
  }
}
