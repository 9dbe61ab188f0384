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
 * The consensus-backed key-value store: keys with revisions, leases that end late by up to 100 ms
 * and have their full time after an outage, transactions that may be applied long after they were
 * sent.
 */
final class StoreModel {
  static final String LEADER_KEY = "leader";
  private final Simulation simulation;
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final List<Row> changes = new ArrayList<>();
  private final Map<Long, Long> leaseExpiryMs = new HashMap<>();
  private long revision;
  private long lastLease;
  private boolean setUnavailable;
  private final Map<Long, Long> leaseTtlMs = new HashMap<>();

  /** Controllers that get 503 while the others are served. */
  private final Set<String> refusedControllers = new HashSet<>();

  /** Share of the transactions that get no answer and are carried out 2 to 12 s later. */
  double lateShare;

  /** Share of the transactions that are carried out at once and get no answer. */
  double unansweredShare;

  /** By key, which controller wrote it last and got no answer. */
  private final Map<String, String> unansweredWriter = new HashMap<>();

  /** Such writes by the prefix of their keys, and how many of them another controller has read. */
  final Map<String, Integer> unansweredWrites = new TreeMap<>();

  final Map<String, Integer> unansweredWritesRead = new TreeMap<>();

  /** Answers take up to so long. */
  long answerDelayMs;

  /** Transactions that were carried out late, after a newer one of the same controller. */
  int appliedAfterNewer;

  /** By controller, how many of its transactions were carried out. */
  private final Map<String, Integer> appliedCounts = new HashMap<>();

  /** A key as it was set, or with {@code value} null as it was removed. */
  record Row(String key, Object value, long revision, long lease) {}

  /** A live job on record; that it is opened is a record of its own. */
  record JobRow(JobSpec spec, long acceptedMs) {}

  /** A machine on record. */
  record MachineRow(Decision.RegisterMachine machine) {}

  /** How a job ended. */
  record EndRow(boolean cancelled, int done) {}

  /** One write of a transaction. */
  record Write(String key, Object value, long lease) {}

  /** Applied at a revision; or 0: these keys were not as they should; or -1: no such lease. */
  record Outcome(long revision, List<String> failed) {}

  /** 503: not carried out, and never will be. */
  static final Outcome REFUSED = new Outcome(-2, List.of());

  StoreModel(Simulation simulation) {
    this.simulation = simulation;
  }

  void setUnavailable(boolean now) {
    setUnavailable = now;
    if (!now) {
      leaseExpiryMs.replaceAll((lease, until) -> simulation.now() + leaseTtlMs.get(lease));
      leaseExpiryMs.keySet().forEach(this::scheduleLeaseExpiry);
    }
  }

  boolean isUnavailable() {
    return setUnavailable;
  }

  void setRefused(String controller, boolean now) {
    simulation.log("state", (now ? "refuses " : "serves ") + controller);
    if (now) {
      refusedControllers.add(controller);
    } else {
      refusedControllers.remove(controller);
    }
  }

  boolean refuses(String controller) {
    return refusedControllers.contains(controller);
  }

  /** Applies a transaction of a controller. */
  Outcome commit(String controller, Map<String, Long> conditions, List<Write> writes) {
    appliedCounts.merge(controller, 1, Integer::sum);
    return commit(conditions, writes);
  }

  /** Applies it 2 to 12 s later, when its sender has given up. */
  void commitLate(String controller, Map<String, Long> conditions, List<Write> writes) {
    int before = appliedCounts.getOrDefault(controller, 0);
    simulation.after(
        2000 + simulation.random.nextLong(10_000),
        () -> applyLate(controller, conditions, writes, before));
  }

  private void applyLate(
      String controller, Map<String, Long> conditions, List<Write> writes, int before) {
    if (setUnavailable) {
      simulation.after(1000, () -> applyLate(controller, conditions, writes, before));
      return;
    }
    appliedAfterNewer += appliedCounts.getOrDefault(controller, 0) > before ? 1 : 0;
    Outcome outcome = commit(controller, conditions, writes);
    simulation.log("state", "applies late for " + controller + ": " + writes + " " + outcome);
  }

  long grantLease(long lifeMs) {
    long lease = ++lastLease;
    leaseTtlMs.put(lease, lifeMs);
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
    Long until = leaseExpiryMs.get(lease);
    simulation.after(
        until - simulation.now(),
        () -> {
          if (!setUnavailable
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

  /** {@code conditions}: keys and the revisions they must have, 0 for none. */
  Outcome commit(Map<String, Long> conditions, List<Write> writes) {
    for (Write write : writes) {
      if (write.lease() != 0 && !leaseExpiryMs.containsKey(write.lease())) {
        return new Outcome(-1, List.of());
      }
    }
    List<String> failed = new ArrayList<>();
    for (Map.Entry<String, Long> c : conditions.entrySet()) {
      Row row = rows.get(c.getKey());
      if ((row == null ? 0 : row.revision()) != c.getValue()) {
        failed.add(c.getKey());
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

  /** The transaction was carried out, or not, and its answer is lost. */
  void loseAnswer(String controller, List<Write> writes, Outcome outcome) {
    for (Write write : writes) {
      if (outcome.revision() > 0 && write.value() != null) {
        unansweredWrites.merge(write.key().substring(0, 2), 1, Integer::sum);
        unansweredWriter.put(write.key(), controller);
      }
    }
    simulation.log(
        "state", "applies without an answer for " + controller + ": " + writes + " " + outcome);
  }

  private void recordRead(String controller, String key) {
    String writer = unansweredWriter.get(key);
    if (writer != null && !writer.equals(controller)) {
      unansweredWriter.remove(key);
      unansweredWritesRead.merge(key.substring(0, 2), 1, Integer::sum);
    }
  }

  /** What a controller reads. */
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

  /** All changes after this revision, as a controller's watch cache reads them. */
  List<Row> changesAfter(String controller, long after) {
    List<Row> news = changesAfter(after);
    for (Row row : news) {
      if (!row.key().startsWith("d/")) { // which no watch cache holds
        recordRead(controller, row.key());
      }
    }
    return news;
  }

  private List<Row> changesAfter(long after) {
    int from = changes.size();
    while (from > 0 && changes.get(from - 1).revision() > after) {
      from--;
    }
    return new ArrayList<>(changes.subList(from, changes.size()));
  }

  /** A user's job, accepted by whichever controller reaches the service. */
  void putJob(JobSpec spec) {
    revision++;
    put("j/" + spec.id(), new JobRow(spec, simulation.now()), 0);
  }

  static Map<String, Object> withPrefix(Map<String, Row> mirror, String prefix) {
    Map<String, Object> out = new LinkedHashMap<>();
    mirror.forEach(
        (key, row) -> {
          if (key.startsWith(prefix)) {
            out.put(key.substring(prefix.length()), row.value());
          }
        });
    return out;
  }

  static BitSet copyBits(Object value) {
    return value == null ? new BitSet() : (BitSet) ((BitSet) value).clone();
  }
}
