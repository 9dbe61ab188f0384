package org.astershift.world;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.astershift.core.Decision;
import org.astershift.core.JobSpec;

/**
 * The state service: keys with revisions, leases that end late by up to 100 ms and have their full
 * time after an outage, transactions that may be applied long after they were sent.
 */
final class StoreModel {
  static final String LEADER = "leader";
  private final World world;
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final List<Row> changes = new ArrayList<>();
  private final Map<Long, Long> leases = new HashMap<>();
  private long revision;
  private long leaseNumber;
  private boolean down;
  private final Map<Long, Long> lives = new HashMap<>();

  /** A key as it was set, or with {@code value} null as it was removed. */
  record Row(String key, Object value, long revision, long lease) {}

  /** A live job on record. */
  record JobRow(JobSpec spec, boolean opened, long atMs) {}

  /** A machine on record. */
  record MachineRow(Decision.Enrol machine) {}

  /** One write of a transaction. */
  record Write(String key, Object value, long lease) {}

  /** Applied at a revision; or 0: these keys were not as they should; or -1: no such lease. */
  record Outcome(long revision, List<String> failed) {}

  StoreModel(World world) {
    this.world = world;
  }

  void down(boolean now) {
    down = now;
    if (!now) {
      leases.replaceAll((lease, until) -> world.now() + lives.get(lease));
      leases.keySet().forEach(this::watchLease);
    }
  }

  boolean isDown() {
    return down;
  }

  long grant(long lifeMs) {
    long lease = ++leaseNumber;
    lives.put(lease, lifeMs);
    prolong(lease);
    return lease;
  }

  boolean renew(long lease) {
    if (!leases.containsKey(lease)) {
      return false;
    }
    prolong(lease);
    return true;
  }

  private void prolong(long lease) {
    leases.put(lease, world.now() + lives.get(lease) + world.random.nextLong(100));
    watchLease(lease);
  }

  private void watchLease(long lease) {
    Long until = leases.get(lease);
    world.after(
        until - world.now(),
        () -> {
          if (!down && leases.containsKey(lease) && leases.get(lease) <= world.now()) {
            revoke(lease);
          }
        });
  }

  void revoke(long lease) {
    if (leases.remove(lease) != null) {
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

  /** {@code when}: keys and the revisions they must have, 0 for none. */
  Outcome commit(Map<String, Long> when, List<Write> writes) {
    for (Write w : writes) {
      if (w.lease() != 0 && !leases.containsKey(w.lease())) {
        return new Outcome(-1, List.of());
      }
    }
    List<String> failed = new ArrayList<>();
    for (Map.Entry<String, Long> c : when.entrySet()) {
      Row row = rows.get(c.getKey());
      if ((row == null ? 0 : row.revision()) != c.getValue()) {
        failed.add(c.getKey());
      }
    }
    if (!failed.isEmpty()) {
      return new Outcome(0, failed);
    }
    revision++;
    for (Write w : writes) {
      if (w.value() != null || rows.containsKey(w.key())) {
        put(w.key(), w.value(), w.lease());
        if (w.key().startsWith("d/")) {
          world.checker.ended(w.key(), (int[]) w.value());
        }
      }
    }
    return new Outcome(revision, List.of());
  }

  Row get(String key) {
    return rows.get(key);
  }

  long revision() {
    return revision;
  }

  /** All changes after this revision. */
  List<Row> since(long after) {
    int from = changes.size();
    while (from > 0 && changes.get(from - 1).revision() > after) {
      from--;
    }
    return new ArrayList<>(changes.subList(from, changes.size()));
  }

  /** A user's job, accepted by whichever controller reaches the service. */
  void accept(JobSpec spec) {
    revision++;
    put("j/" + spec.id(), new JobRow(spec, false, world.now()), 0);
  }

  static Map<String, Object> below(Map<String, Row> mirror, String prefix) {
    Map<String, Object> out = new LinkedHashMap<>();
    mirror.forEach(
        (key, row) -> {
          if (key.startsWith(prefix)) {
            out.put(key.substring(prefix.length()), row.value());
          }
        });
    return out;
  }

  static BitSet bits(Object value) {
    return value == null ? new BitSet() : (BitSet) ((BitSet) value).clone();
  }
}
