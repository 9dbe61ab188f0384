package org.astershift.simulation;

import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.astershift.coordination.Election;
import org.astershift.http.Threads;
import org.astershift.simulation.StoreModel.JobRow;
import org.astershift.simulation.StoreModel.Row;
import org.astershift.store.StoreClient;

/** A controller's copy of the store's rows, which lags behind the store. */
final class WatchCacheModel {
  static final long POLL_INTERVAL_MS = 60;

  private final ControllerModel controller;
  private final Simulation simulation;
  private final Map<String, Row> rows = new TreeMap<>();

  /** Up to which the rows are read; -1: nothing yet. */
  private long revision = -1;

  WatchCacheModel(ControllerModel controller) {
    this.controller = controller;
    this.simulation = controller.simulation;
  }

  private record Changes(List<Row> rows, long revision) {}

  /** Reads what has changed, and goes on doing so. */
  void poll() {
    long from = revision;
    // A watch that pauses is given up late, and the cache lags that long.
    controller.storeRequest(
        revision < 0
            ? ProcessModel.STORE_TIMEOUT_MS
            : ProcessModel.STORE_TIMEOUT_MS
                + simulation.random.nextLong(StoreClient.WATCH_BLOCK_MS),
        () ->
            new Changes(
                simulation.store.changesAfter(controller.name, from), simulation.store.revision()),
        (Changes changes) -> {
          if (changes != null) {
            apply(changes);
          }
          controller.runLater(
              changes == null ? Threads.RETRY_BACKOFF_MS : POLL_INTERVAL_MS, this::poll);
        });
  }

  private void apply(Changes changes) {
    boolean leaderChanged = false;
    for (Row row : changes.rows()) {
      leaderChanged |= row.key().equals(StoreModel.LEADER_KEY);
      if (row.value() == null) {
        rows.remove(row.key());
      } else {
        rows.put(row.key(), row);
      }
      if (row.value() instanceof JobRow job) {
        controller.onJobRead(job, row.revision());
      }
    }
    revision = Math.max(revision, changes.revision());
    if (leaderChanged) {
      controller.election().onLeaderKeyChanged();
    }
  }

  Map<String, Row> rows() {
    return rows;
  }

  long revision() {
    return revision;
  }

  boolean isLoaded() {
    return revision >= 0;
  }

  boolean contains(String key) {
    return rows.containsKey(key);
  }

  /** The row of the leader's key; null: there is none. */
  Row leaderRow() {
    return rows.get(StoreModel.LEADER_KEY);
  }

  /** Who holds the leader's key; null: nobody. */
  String leader() {
    Row row = leaderRow();
    return row == null ? null : (String) row.value();
  }

  /** The leader's key as the election sees it; null: there is none. */
  Election.Holder leaderHolder() {
    Row row = leaderRow();
    return row == null ? null : new Election.Holder((String) row.value(), row.revision());
  }

  /** The job's tasks that are done on record. */
  BitSet doneTasks(String job) {
    Row done = rows.get("p/" + job);
    return StoreModel.copyBits(done == null ? null : done.value());
  }

  /** Values by what follows the prefix in their keys. */
  Map<String, Object> withPrefix(String prefix) {
    return StoreModel.withPrefix(rows, prefix);
  }
}
