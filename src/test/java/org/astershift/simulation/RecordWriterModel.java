package org.astershift.simulation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.astershift.http.Threads;
import org.astershift.simulation.StoreModel.Outcome;
import org.astershift.simulation.StoreModel.Row;
import org.astershift.simulation.StoreModel.Write;

/**
 * What a leader persists for its successor, key by key. Each write is conditional on the leader's
 * key and on the revision known here, so that an earlier attempt which is applied late does not
 * undo a newer one.
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

  /** What one key should hold, and what is known of it. */
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

  /** One write of an entry: what it holds if it is applied, and what waits for that. */
  private record Attempt(Entry entry, Object value, Runnable onPersisted) {}

  /** The key holds this as the term begins. */
  void load(String key, Row row) {
    Entry entry = new Entry(key);
    entry.value = row.value();
    entry.revision = row.revision();
    records.put(key, entry);
  }

  /** The key should hold this, or nothing if null; {@code onPersisted}: what waits for that. */
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
      attempt.onPersisted().run();
      write(entry);
    } else if (outcome != null && outcome.failed().contains(StoreModel.LEADER_KEY)) {
      term.stepDown("a write found another leader");
    } else {
      entry.isDirty = true;
      controller.runLater(Threads.RETRY_BACKOFF_MS, () -> retry(entry, outcome));
    }
  }

  /** Where an earlier attempt without an answer was applied, its revision is read first. */
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
