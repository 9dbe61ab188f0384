package org.astershift.simulation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.astershift.http.Threads;
import org.astershift.simulation.StoreModel.Outcome;
import org.astershift.simulation.StoreModel.Row;
import org.astershift.simulation.StoreModel.Write;

/**
 * Writes the records that a leader leaves for its successor, one key at a time. Each write is
 * conditional on the leader key and on the record's last known revision, so that an earlier attempt
 * that is applied late does not undo a newer one.
 */
final class RecordWriterModel {
  private final ControllerModel controller;
  private final Simulation simulation;
  private final LeaderTermModel term;
  private final Map<String, Entry> records = new HashMap<>();

  RecordWriterModel(ControllerModel controller, LeaderTermModel term) {
    this.controller = controller;
    this.simulation = controller.simulation;
    this.term = term;
  }

  /** The value that a key should hold, and what is known of its record. */
  private static final class Entry {
    final String key;
    Object value;
    long revision;
    boolean isWriting;
    boolean isDirty;
    Runnable onPersisted;

    Entry(String key) {
      this.key = key;
    }
  }

  /** One write of an entry: the value, and the action that waits for the write to be applied. */
  private record Attempt(Entry entry, Object value, Runnable onPersisted) {}

  /** Loads the record that the key holds as the term begins. */
  void load(String key, Row row) {
    Entry entry = new Entry(key);
    entry.value = row.value();
    entry.revision = row.revision();
    records.put(key, entry);
  }

  /**
   * Persists the value that the key should hold, or removes the key if {@code value} is null;
   * {@code onPersisted} runs once that is durable.
   */
  void persist(String key, Object value, Runnable onPersisted) {
    Entry entry = records.computeIfAbsent(key, Entry::new);
    entry.value = value;
    entry.onPersisted = onPersisted;
    entry.isDirty = true;
    write(entry);
  }

  private void write(Entry entry) {
    if (entry.isWriting || !entry.isDirty || !term.isCurrent()) {
      return;
    }
    entry.isWriting = true;
    entry.isDirty = false;
    Attempt attempt = new Attempt(entry, entry.value, entry.onPersisted);
    Map<String, Long> conditions = term.leaderCondition();
    if (!controller.hasMutation(Mutation.UNCONDITIONAL_RECORD_WRITES)) {
      conditions.put(entry.key, entry.revision);
    }
    controller.compareAndSwap(
        conditions,
        List.of(new Write(entry.key, attempt.value(), 0)),
        outcome -> {
          if (simulation.recordAnswerDelayMs > 0) {
            controller.runLater(simulation.recordAnswerDelayMs, () -> onAnswer(attempt, outcome));
          } else {
            onAnswer(attempt, outcome);
          }
        });
  }

  private void onAnswer(Attempt attempt, Outcome outcome) {
    if (!term.isCurrent()) {
      return;
    }
    Entry entry = attempt.entry();
    entry.isWriting = false;
    if (outcome != null && outcome.revision() > 0) {
      entry.revision = attempt.value() == null ? 0 : outcome.revision();
      term.scheduler().onLeadershipConfirmed(outcome.revision());
      attempt.onPersisted().run();
      write(entry);
    } else if (outcome != null && outcome.failed().contains(StoreModel.LEADER_KEY)) {
      term.stepDown("a write was rejected because the leader key has changed");
    } else {
      entry.isDirty = true;
      controller.runLater(Threads.RETRY_BACKOFF_MS, () -> retry(entry, outcome));
    }
  }

  /**
   * Retries the write. If an earlier attempt without an answer was applied, the key's revision is
   * read first.
   */
  private void retry(Entry entry, Outcome outcome) {
    if (outcome == null || !outcome.failed().contains(entry.key)) {
      write(entry);
      return;
    }
    controller.storeRequest(
        () -> new Row[] {simulation.store.get(entry.key)},
        (Row[] found) -> {
          if (found != null) {
            entry.revision = found[0] == null ? 0 : found[0].revision();
          }
          write(entry);
        });
  }
}
