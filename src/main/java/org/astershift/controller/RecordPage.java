package org.astershift.controller;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.astershift.http.Json;
import org.astershift.store.RecordCodec;

/**
 * One page of records: the entries it should hold and which of them changed since it was last
 * written. Under the lock of its {@link LeaderRecords}, but for the revision, which only the writer
 * thread uses once writing has begun.
 */
final class RecordPage {
  /** Due time of a page without changes. */
  static final long NEVER_MS = Long.MAX_VALUE;

  final LeaderRecords.RecordKind kind;
  final String key;

  /** Entries by key, in the order in which they were added. */
  final Map<String, Object> entries = new LinkedHashMap<>();

  private final Set<String> changedKeys = new LinkedHashSet<>();

  /** Revision at which the page was last written; 0 if it does not exist. */
  long revision;

  /** Size of the entries as JSON. */
  int bytes;

  /** Steady-clock time at which the page is to be written. */
  long dueMs = NEVER_MS;

  /** Steady-clock time of the oldest change that is not durable. */
  long oldestChangeMs = NEVER_MS;

  RecordPage(LeaderRecords.RecordKind kind, int number) {
    this.kind = kind;
    this.key = RecordCodec.PAGES + kind.letter + number;
  }

  /** A page as it is sent; later changes do not affect it. */
  record Snapshot(RecordPage page, Map<String, Object> entries, Set<String> changedKeys) {}

  static int entryBytes(String key, Object value) {
    return key.length() + 4 + Json.bytes(value).length;
  }

  void set(String entryKey, Object value) {
    Object previous = entries.put(entryKey, value);
    bytes += entryBytes(entryKey, value) - (previous == null ? 0 : entryBytes(entryKey, previous));
  }

  void remove(String entryKey) {
    bytes -= entryBytes(entryKey, entries.remove(entryKey));
  }

  /** How much larger the page would get by this value of an entry that it holds. */
  int growthBytes(String entryKey, Object value) {
    return entryBytes(entryKey, value) - entryBytes(entryKey, entries.get(entryKey));
  }

  void markChanged(String entryKey, long delayMs) {
    changedKeys.add(entryKey);
    dueMs = Math.min(dueMs, LeaderTerm.nowMs() + delayMs);
    oldestChangeMs = Math.min(oldestChangeMs, LeaderTerm.nowMs());
  }

  /** Takes the changes to be written; the page is due again at its next change. */
  Snapshot takeChanges() {
    Snapshot snapshot =
        new Snapshot(this, new LinkedHashMap<>(entries), new LinkedHashSet<>(changedKeys));
    changedKeys.clear();
    dueMs = NEVER_MS;
    return snapshot;
  }

  /** Puts the changes of a failed write back, due at once. */
  void restoreChanges(Set<String> keys) {
    changedKeys.addAll(keys);
    dueMs = 0;
  }

  /** A write is durable: only later changes count as pending. */
  void onCommitted() {
    oldestChangeMs = changedKeys.isEmpty() ? NEVER_MS : LeaderTerm.nowMs();
  }
}
