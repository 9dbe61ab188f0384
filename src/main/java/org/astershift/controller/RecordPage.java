package org.astershift.controller;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.astershift.http.Json;
import org.astershift.store.RecordCodec;

/**
 * One page of records: the entries that the page should hold, and the keys of those that changed
 * since its last write. Guarded by the lock of its {@link LeaderRecords}, except for the revision,
 * which only the writer thread uses once writing has begun.
 */
final class RecordPage {
  /** Due time of a page without changes. */
  static final long NEVER_MS = Long.MAX_VALUE;

  final LeaderRecords.RecordKind kind;
  final String key;

  /** Entries by key, in insertion order. */
  final Map<String, Object> entries = new LinkedHashMap<>();

  private final Set<String> changedKeys = new LinkedHashSet<>();

  /** Revision at which the page was last written; 0 if it is not in the store. */
  long revision;

  /** Size of the entries as JSON, in bytes. */
  int sizeBytes;

  /** Monotonic time at which the page is due to be written. */
  long dueMs = NEVER_MS;

  /** Monotonic time of the oldest change that is not durable. */
  long oldestChangeMs = NEVER_MS;

  RecordPage(LeaderRecords.RecordKind kind, int number) {
    this.kind = kind;
    this.key = RecordCodec.LEADER_PAGE_PREFIX + kind.letter + number;
  }

  /** The content of a page for one write; later changes of the page do not affect it. */
  record Snapshot(RecordPage page, Map<String, Object> entries, Set<String> changedKeys) {}

  static int entryBytes(String key, Object value) {
    return key.length() + 4 + Json.encode(value).length;
  }

  void set(String entryKey, Object value) {
    Object previous = entries.put(entryKey, value);
    sizeBytes +=
        entryBytes(entryKey, value) - (previous == null ? 0 : entryBytes(entryKey, previous));
  }

  void remove(String entryKey) {
    sizeBytes -= entryBytes(entryKey, entries.remove(entryKey));
  }

  /** Returns by how many bytes the page would grow if the existing entry got this value. */
  int growthBytes(String entryKey, Object value) {
    return entryBytes(entryKey, value) - entryBytes(entryKey, entries.get(entryKey));
  }

  void markChanged(String entryKey, long delayMs) {
    changedKeys.add(entryKey);
    dueMs = Math.min(dueMs, LeaderTerm.nowMs() + delayMs);
    oldestChangeMs = Math.min(oldestChangeMs, LeaderTerm.nowMs());
  }

  /** Takes the pending changes to be written; the page is due again after its next change. */
  Snapshot takeChanges() {
    Snapshot snapshot =
        new Snapshot(this, new LinkedHashMap<>(entries), new LinkedHashSet<>(changedKeys));
    changedKeys.clear();
    dueMs = NEVER_MS;
    return snapshot;
  }

  /** Restores the changes of a failed write, which are due immediately. */
  void restoreChanges(Set<String> keys) {
    changedKeys.addAll(keys);
    dueMs = 0;
  }

  /** Handles a durable write: only later changes are pending from now on. */
  void onCommitted() {
    oldestChangeMs = changedKeys.isEmpty() ? NEVER_MS : LeaderTerm.nowMs();
  }
}
