package org.astershift.controller;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.astershift.config.Settings;
import org.astershift.store.RecordCodec;
import org.astershift.store.StoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The records that a leader keeps for its successor: opened jobs, machines that may hold tasks,
 * unsettled provisioning requests and done tasks. Writes are asynchronous and grouped into pages:
 * the store counts each changed key against the rate limit, so many entries share a page, and one
 * write carries all changes of a page since its last write. Callable from any thread; {@link
 * RecordWriter} does the writing.
 */
final class LeaderRecords {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderRecords.class);

  /**
   * Maximum time that progress is deferred in favour of other writes, in milliseconds: until it is
   * durable, workers keep reporting done tasks in their heartbeats, which have room for a limited
   * number.
   */
  private static final long PROGRESS_WRITE_MAX_DELAY_MS = 10_000;

  /** Backoff of a page that the store rejects when it is sent alone, in milliseconds. */
  private static final long PAGE_REJECTED_BACKOFF_MS = 10_000;

  /**
   * Share of the store's limit on the size of a value that the entries of a page may take, not
   * counting the JSON frame.
   */
  private static final double PAGE_VALUE_SHARE = 0.75;

  /** Maximum time that a removed entry waits for other changes of its page, in milliseconds. */
  static final long REMOVAL_DELAY_MS = 1000;

  /**
   * The kind of an entry. A page holds entries of one kind only, so that frequent changes of one
   * kind do not rewrite entries of the others.
   */
  enum RecordKind {
    OPENED('o'),
    RENTAL('i'),
    MACHINE('m'),
    PROGRESS('p');

    /** Letter before the page number in the keys of this kind's pages. */
    final char letter;

    RecordKind(char letter) {
      this.letter = letter;
    }
  }

  /** Is notified of each entry that has become durable. */
  interface Listener {
    /**
     * Handles a durable entry; {@code value} is the value written, or null if the entry was
     * removed. Called on the writer thread, without a lock.
     */
    void onPersisted(RecordKind kind, String key, Object value);

    /** Handles a write on the condition of the leader key that was committed at this revision. */
    default void onLeadershipConfirmed(long revision) {}
  }

  private final RecordWriter writer;
  private final int maxPages;
  private final int maxPageBytes;
  private final Map<RecordKind, List<RecordPage>> pages = new EnumMap<>(RecordKind.class);
  private final Map<RecordKind, Map<String, RecordPage>> pageByKey =
      new EnumMap<>(RecordKind.class);

  /**
   * Maximum number of pages in the next transaction; lowered while the store rejects transactions.
   */
  private int nextMaxPages;

  private boolean isClosed;

  LeaderRecords(long token, StoreClient store, Settings.StoreLimits limits, Listener listener) {
    this.writer = new RecordWriter(token, store, this, listener);
    this.maxPages = limits.txnOps();
    this.nextMaxPages = maxPages;
    this.maxPageBytes =
        (int) Math.min(RecordCodec.MAX_PAGE_BYTES, limits.valueKb() * 1024 * PAGE_VALUE_SHARE);
    for (RecordKind kind : RecordKind.values()) {
      pages.put(kind, new ArrayList<>());
      pageByKey.put(kind, new HashMap<>());
    }
  }

  /** Loads the pages that earlier leaders wrote. */
  synchronized void load(List<StoreClient.Entry> entries) {
    for (StoreClient.Entry entry : entries) {
      String suffix = entry.key().substring(RecordCodec.LEADER_PAGE_PREFIX.length());
      for (RecordKind kind : RecordKind.values()) {
        if (suffix.charAt(0) == kind.letter && suffix.substring(1).matches("[0-9]{1,6}")) {
          RecordPage page = getOrCreatePage(kind, Integer.parseInt(suffix.substring(1)));
          page.revision = entry.revision();
          entry.data().forEach((key, value) -> setEntry(page, key, value));
        }
      }
    }
  }

  private RecordPage getOrCreatePage(RecordKind kind, int number) {
    List<RecordPage> pagesOfKind = pages.get(kind);
    while (pagesOfKind.size() <= number) {
      pagesOfKind.add(new RecordPage(kind, pagesOfKind.size()));
    }
    return pagesOfKind.get(number);
  }

  private void setEntry(RecordPage page, String key, Object value) {
    page.set(key, value);
    pageByKey.get(page.kind).put(key, page);
  }

  /** Returns the number of entries of this kind. */
  synchronized int count(RecordKind kind) {
    return pageByKey.get(kind).size();
  }

  /** Returns all entries of this kind, in the order of their pages. */
  synchronized Map<String, Object> entries(RecordKind kind) {
    Map<String, Object> result = new LinkedHashMap<>();
    for (RecordPage page : pages.get(kind)) {
      result.putAll(page.entries);
    }
    return result;
  }

  /** Returns the keys of this kind that start with the prefix. */
  synchronized List<String> keysWithPrefix(RecordKind kind, String prefix) {
    List<String> result = new ArrayList<>();
    for (String key : pageByKey.get(kind).keySet()) {
      if (key.startsWith(prefix)) {
        result.add(key);
      }
    }
    return result;
  }

  /** Sets an entry, which is due to be written after {@code delayMs} at the latest. */
  synchronized void put(RecordKind kind, String key, Object value, long delayMs) {
    RecordPage page = pageByKey.get(kind).get(key);
    if (page == null) {
      page = findPageWithRoom(kind, RecordPage.entryBytes(key, value));
    }
    setEntry(page, key, value);
    markChanged(page, key, delayMs);
  }

  /**
   * Replaces an existing entry if its page has room for the new value; otherwise does nothing,
   * since an optional value must not grow a page beyond what the store accepts.
   */
  synchronized void replace(RecordKind kind, String key, Object value, long delayMs) {
    RecordPage page = pageByKey.get(kind).get(key);
    if (page != null && page.sizeBytes + page.growthBytes(key, value) <= maxPageBytes) {
      put(kind, key, value, delayMs);
    }
  }

  /**
   * Sets an entry unless it exists. A machine whose heartbeat arrives before the response to its
   * provisioning request may hold tasks when the response arrives; if it were recorded as newly
   * provisioned again, a successor would assume that it holds none.
   */
  synchronized void putIfAbsent(RecordKind kind, String key, Object value) {
    if (!pageByKey.get(kind).containsKey(key)) {
      put(kind, key, value, 0);
    }
  }

  private RecordPage findPageWithRoom(RecordKind kind, int size) {
    for (RecordPage page : pages.get(kind)) {
      if (page.sizeBytes + size <= maxPageBytes) {
        return page;
      }
    }
    return getOrCreatePage(kind, pages.get(kind).size());
  }

  /** Removes an entry; the removal is due to be written after {@code delayMs} at the latest. */
  synchronized void remove(RecordKind kind, String key, long delayMs) {
    RecordPage page = pageByKey.get(kind).remove(key);
    if (page != null) {
      page.remove(key);
      markChanged(page, key, delayMs);
    }
  }

  private void markChanged(RecordPage page, String key, long delayMs) {
    page.markChanged(key, delayMs);
    notifyAll();
  }

  /** Ends the write loop. */
  synchronized void close() {
    isClosed = true;
    notifyAll();
  }

  /** Writes due pages until the term ends. */
  void writeLoop(LeaderTerm term) throws InterruptedException {
    writer.writeLoop(term);
  }

  /**
   * Waits until pages are due and takes their changes, for the writer; returns an empty list once
   * closed.
   */
  synchronized List<RecordPage.Snapshot> takeDuePages() throws InterruptedException {
    while (!isClosed) {
      long nowMs = LeaderTerm.nowMs();
      long earliestDueMs = RecordPage.NEVER_MS;
      List<RecordPage> duePages = new ArrayList<>();
      for (List<RecordPage> pagesOfKind : pages.values()) {
        for (RecordPage page : pagesOfKind) {
          earliestDueMs = Math.min(earliestDueMs, page.dueMs);
          if (page.dueMs <= nowMs) {
            duePages.add(page);
          }
        }
      }
      if (!duePages.isEmpty()) {
        return takeChanges(duePages);
      }
      wait(earliestDueMs == RecordPage.NEVER_MS ? 0 : Math.max(1, earliestDueMs - nowMs));
    }
    return List.of();
  }

  /**
   * Takes the changes of the pages that have been due longest, so that the record of a provisioning
   * request is not deleted before its machines are recorded.
   */
  private List<RecordPage.Snapshot> takeChanges(List<RecordPage> duePages) {
    duePages.sort(Comparator.comparingLong(p -> p.dueMs));
    int[] pageSizes = duePages.stream().mapToInt(p -> p.sizeBytes).toArray();
    int count = PagePacking.pagesPerTransaction(pageSizes, nextMaxPages);
    List<RecordPage.Snapshot> writes = new ArrayList<>();
    for (RecordPage page : duePages.subList(0, count)) {
      writes.add(page.takeChanges());
    }
    return writes;
  }

  /**
   * Returns whether the page may be deferred in favour of other writes: only progress may, and not
   * indefinitely.
   */
  synchronized boolean isDeferrable(RecordPage page) {
    boolean overdue = LeaderTerm.nowMs() - page.oldestChangeMs > PROGRESS_WRITE_MAX_DELAY_MS;
    return page.kind == RecordKind.PROGRESS && !overdue;
  }

  /** Handles a transaction that was committed: its pages are durable. */
  synchronized void onCommitted(List<RecordPage.Snapshot> writes) {
    nextMaxPages = maxPages;
    for (RecordPage.Snapshot write : writes) {
      write.page().onCommitted();
    }
  }

  /** Makes pages due again whose write failed or got no response. */
  synchronized void reschedule(List<RecordPage.Snapshot> writes) {
    for (RecordPage.Snapshot write : writes) {
      write.page().restoreChanges(write.changedKeys());
    }
  }

  /**
   * Handles a transaction that the store rejected as malformed. The next transactions get fewer
   * pages; a page that was rejected when sent alone backs off, while the others are written.
   */
  synchronized void splitAfterRejection(List<RecordPage.Snapshot> writes) {
    if (writes.size() > 1) {
      nextMaxPages = Math.max(1, writes.size() / 2);
      return;
    }
    RecordPage page = writes.get(0).page();
    LOG.error("store rejected a page; will retry later: key={} bytes={}", page.key, page.sizeBytes);
    page.dueMs = LeaderTerm.nowMs() + PAGE_REJECTED_BACKOFF_MS;
  }
}
