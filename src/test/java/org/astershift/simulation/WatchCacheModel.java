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

/** Models a controller's copy of the store's rows, which lags behind the store. */
final class WatchCacheModel {
  static final long POLL_INTERVAL_MS = 60;

  private final ControllerModel controller;
  private final Simulation simulation;
  private final Map<String, Row> rows = new TreeMap<>();

  /** Revision up to which the rows have been read; -1 if nothing has been read yet. */
  private long revision = -1;

  WatchCacheModel(ControllerModel controller) {
    this.controller = controller;
    this.simulation = controller.simulation;
  }

  private record Changes(List<Row> rows, long revision) {}

  /** Reads the changes since the last read, repeatedly. */
  void poll() {
    long fromRevision = revision;
    // A stalled watch is abandoned only after its blocking time, and the cache lags that long.
    controller.storeRequest(
        revision < 0
            ? ProcessModel.STORE_TIMEOUT_MS
            : ProcessModel.STORE_TIMEOUT_MS
                + simulation.random.nextLong(StoreClient.WATCH_BLOCK_MS),
        () ->
            new Changes(
                simulation.store.changesAfter(controller.name, fromRevision),
                simulation.store.revision()),
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

  /** Returns the row of the leader key; null if there is none. */
  Row leaderRow() {
    return rows.get(StoreModel.LEADER_KEY);
  }

  /** Returns the name of the controller that holds the leader key; null if none does. */
  String leader() {
    Row row = leaderRow();
    return row == null ? null : (String) row.value();
  }

  /** Returns the holder of the leader key as the election sees it; null if there is none. */
  Election.Holder leaderHolder() {
    Row row = leaderRow();
    return row == null ? null : new Election.Holder((String) row.value(), row.revision());
  }

  /** Returns the job's tasks that are durably recorded as done. */
  BitSet doneTasks(String job) {
    Row done = rows.get("p/" + job);
    return StoreModel.copyBits(done == null ? null : done.value());
  }

  /** Returns the values of keys with this prefix, by the rest of their keys. */
  Map<String, Object> withPrefix(String prefix) {
    return StoreModel.withPrefix(rows, prefix);
  }
}
