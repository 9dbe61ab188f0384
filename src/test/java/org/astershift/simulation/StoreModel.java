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
 * The state service: keys with revisions, leases that end late by up to 100 ms and have their full
 * time after an outage, transactions that may be applied long after they were sent.
 */
final class StoreModel {
  static final String LEADER = "leader";
  private final Simulation world;
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final List<Row> changes = new ArrayList<>();
  private final Map<Long, Long> leases = new HashMap<>();
  private long revision;
  private long leaseNumber;
  private boolean down;
  private final Map<Long, Long> lives = new HashMap<>();

  /** Controllers that get 503 while the others are served. */
  private final Set<String> refused = new HashSet<>();

  /** Share of the transactions that get no answer and are carried out 2 to 12 s later. */
  double lateShare;

  /** Share of the transactions that are carried out at once and get no answer. */
  double unheardShare;

  /** By key, which controller wrote it last and heard nothing of that. */
  private final Map<String, String> unheardOf = new HashMap<>();

  /** Such writes, by the first part of their keys, and how many of them another one has read. */
  final Map<String, Integer> unheard = new TreeMap<>();

  final Map<String, Integer> unheardRead = new TreeMap<>();

  /** Answers take up to so long. */
  long slowMs;

  /** Transactions that were carried out late, after a newer one of the same controller. */
  int lateAfterNewer;

  /** By controller, how many of its transactions were carried out. */
  private final Map<String, Integer> carriedOut = new HashMap<>();

  /** A key as it was set, or with {@code value} null as it was removed. */
  record Row(String key, Object value, long revision, long lease) {}

  /** A live job on record; that it is opened is a note of its own. */
  record JobRow(JobSpec spec, long atMs) {}

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

  StoreModel(Simulation world) {
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

  void refuse(String node, boolean now) {
    world.note("state", (now ? "refuses " : "serves ") + node);
    if (now) {
      refused.add(node);
    } else {
      refused.remove(node);
    }
  }

  boolean refuses(String node) {
    return refused.contains(node);
  }

  /** Carries a transaction out for a controller. */
  Outcome commit(String node, Map<String, Long> when, List<Write> writes) {
    carriedOut.merge(node, 1, Integer::sum);
    return commit(when, writes);
  }

  /** The same 2 to 12 s later, when nobody waits for it any more. */
  void commitLate(String node, Map<String, Long> when, List<Write> writes) {
    int before = carriedOut.getOrDefault(node, 0);
    world.after(2000 + world.random.nextLong(10_000), () -> late(node, when, writes, before));
  }

  private void late(String node, Map<String, Long> when, List<Write> writes, int before) {
    if (down) {
      world.after(1000, () -> late(node, when, writes, before));
      return;
    }
    lateAfterNewer += carriedOut.getOrDefault(node, 0) > before ? 1 : 0;
    Outcome o = commit(node, when, writes);
    world.note("state", "late for " + node + ": " + writes + " " + o);
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
          world.checker.ended(w.key(), (EndRow) w.value());
        }
      }
    }
    return new Outcome(revision, List.of());
  }

  /** The transaction was carried out, or not, and its answer is lost. */
  void unheard(String node, List<Write> writes, Outcome o) {
    for (Write w : writes) {
      if (o.revision() > 0 && w.value() != null) {
        unheard.merge(w.key().substring(0, 2), 1, Integer::sum);
        unheardOf.put(w.key(), node);
      }
    }
    world.note("state", "carried out and not answered for " + node + ": " + writes + " " + o);
  }

  private void read(String node, String key) {
    String writer = unheardOf.get(key);
    if (writer != null && !writer.equals(node)) {
      unheardOf.remove(key);
      unheardRead.merge(key.substring(0, 2), 1, Integer::sum);
    }
  }

  /** What a controller reads. */
  Row get(String node, String key) {
    if (rows.containsKey(key)) {
      read(node, key);
    }
    return rows.get(key);
  }

  Row get(String key) {
    return rows.get(key);
  }

  long revision() {
    return revision;
  }

  /** All changes after this revision, as a controller's mirror reads them. */
  List<Row> since(String node, long after) {
    List<Row> news = since(after);
    for (Row row : news) {
      if (!row.key().startsWith("d/")) { // which no mirror holds
        read(node, row.key());
      }
    }
    return news;
  }

  private List<Row> since(long after) {
    int from = changes.size();
    while (from > 0 && changes.get(from - 1).revision() > after) {
      from--;
    }
    return new ArrayList<>(changes.subList(from, changes.size()));
  }

  /** A user's job, accepted by whichever controller reaches the service. */
  void accept(JobSpec spec) {
    revision++;
    put("j/" + spec.id(), new JobRow(spec, world.now()), 0);
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
