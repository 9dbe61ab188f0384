package org.astershift.controller;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.astershift.config.Settings;
import org.astershift.http.Json;
import org.astershift.http.Threads;
import org.astershift.store.RateLimiter;
import org.astershift.store.RecordCodec;
import org.astershift.store.StoreClient;
import org.astershift.store.StoreClient.Outcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What a leader writes down for its successor: which jobs are opened, which machines may hold
 * tasks, which rentals are open, which tasks are done. Changes to the state service are rare and
 * dear, and each key counts as one; so many entries share a page, and one write carries all that
 * changed on it meanwhile. One thread brings the pages there to what they should be.
 */
final class LeaderRecords {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderRecords.class);

  /**
   * Milliseconds after which progress that is not on record yet is written as what somebody waits
   * for: up to then machines keep done tasks in their reports, which name only so many.
   */
  private static final long PROGRESS_WRITE_MAX_DELAY_MS = 10_000;

  /** Bytes of a page's key, revision and JSON around it in a transaction, at most. */
  static final int PAGE_FRAME_BYTES = 250;

  /** Most bytes of pages in one transaction: three quarters of what the protocol allows. */
  static final int MAX_TRANSACTION_BYTES = 48 * 1024;

  /** Milliseconds for which a page that the state service refuses by itself waits aside. */
  private static final long PAGE_REJECTED_BACKOFF_MS = 10_000;

  /**
   * Share of the state service's limit for a value that a page may take; its frame comes on top.
   */
  private static final double PAGE_VALUE_SHARE = 0.75;

  /** Milliseconds that the striking of a note may wait for other changes of its page. */
  static final long DEREGISTER_DELAY_MS = 1000;

  private static final long NEVER_MS = Long.MAX_VALUE;

  /** What an entry is about. Pages hold one kind, so that what changes often is written alone. */
  enum RecordKind {
    OPENED('o'),
    RENTAL('i'),
    MACHINE('m'),
    PROGRESS('p');

    final char letter;

    RecordKind(char letter) {
      this.letter = letter;
    }
  }

  /** Told when an entry is durable as it was then; {@code value} null: removed. */
  interface Listener {
    void onPersisted(RecordKind kind, String key, Object value);
  }

  private static final class Page {
    final RecordKind kind;
    final String key;
    final Map<String, Object> entries = new LinkedHashMap<>();
    final Set<String> changedKeys = new LinkedHashSet<>();
    long revision;
    int bytes;
    long dueMs = NEVER_MS;

    /** Since when it holds changes that are not on record. */
    long oldestChangeMs = NEVER_MS;

    Page(RecordKind kind, int number) {
      this.kind = kind;
      this.key = RecordCodec.PAGES + kind.letter + number;
    }
  }

  /** A page as it goes out: later changes do not touch it. */
  private record PageWrite(Page page, Map<String, Object> entries, Set<String> changedKeys) {}

  private final long token;
  private final StoreClient store;
  private final Listener listener;
  private final int maxPages;

  /** Fewer for a while after a transaction was refused as malformed. */
  private int pageLimit;

  private final int maxPageBytes;
  private final Map<RecordKind, List<Page>> pages = new EnumMap<>(RecordKind.class);
  private final Map<RecordKind, Map<String, Page>> pageByKey = new EnumMap<>(RecordKind.class);
  private boolean closed;

  LeaderRecords(long token, StoreClient store, Settings.StoreLimits limits, Listener listener) {
    this.token = token;
    this.store = store;
    this.listener = listener;
    this.maxPages = limits.txnOps();
    this.pageLimit = maxPages;
    this.maxPageBytes =
        (int) Math.min(RecordCodec.MAX_PAGE_BYTES, limits.valueKb() * 1024 * PAGE_VALUE_SHARE);
    for (RecordKind kind : RecordKind.values()) {
      pages.put(kind, new ArrayList<>());
      pageByKey.put(kind, new HashMap<>());
    }
  }

  /** Takes in what an earlier leader noted. */
  synchronized void load(List<StoreClient.Entry> entries) {
    for (StoreClient.Entry entry : entries) {
      String suffix = entry.key().substring(RecordCodec.PAGES.length());
      for (RecordKind kind : RecordKind.values()) {
        if (suffix.charAt(0) == kind.letter && suffix.substring(1).matches("[0-9]{1,6}")) {
          Page page = pageAt(kind, Integer.parseInt(suffix.substring(1)));
          page.revision = entry.revision();
          entry.data().forEach((key, value) -> setEntry(page, key, value));
        }
      }
    }
  }

  private Page pageAt(RecordKind kind, int number) {
    List<Page> pagesOfKind = pages.get(kind);
    while (pagesOfKind.size() <= number) {
      pagesOfKind.add(new Page(kind, pagesOfKind.size()));
    }
    return pagesOfKind.get(number);
  }

  private void setEntry(Page page, String key, Object value) {
    Object previous = page.entries.put(key, value);
    page.bytes += entryBytes(key, value) - (previous == null ? 0 : entryBytes(key, previous));
    pageByKey.get(page.kind).put(key, page);
  }

  private static int entryBytes(String key, Object value) {
    return key.length() + 4 + Json.bytes(value).length;
  }

  synchronized Map<String, Object> entries(RecordKind kind) {
    Map<String, Object> result = new LinkedHashMap<>();
    for (Page page : pages.get(kind)) {
      result.putAll(page.entries);
    }
    return result;
  }

  /**
   * The same for an entry that is there, if its page has room for the new value: one that is not
   * needed must not grow a page beyond what the state service takes.
   */
  synchronized void replace(RecordKind kind, String key, Object value, long delayMs) {
    Page page = pageByKey.get(kind).get(key);
    int growthBytes =
        page == null ? 0 : entryBytes(key, value) - entryBytes(key, page.entries.get(key));
    if (page != null && page.bytes + growthBytes <= maxPageBytes) {
      put(kind, key, value, delayMs);
    }
  }

  /** The entry should have this value, written after {@code delayMs} at the latest. */
  synchronized void put(RecordKind kind, String key, Object value, long delayMs) {
    Page page = pageByKey.get(kind).get(key);
    if (page == null) {
      page = pageWithRoom(kind, entryBytes(key, value));
    }
    setEntry(page, key, value);
    markChanged(page, key, delayMs);
  }

  /**
   * The same where there is no such entry yet. A machine that reported before its rental was
   * answered may have tasks by then: noted as fresh once more, a successor took it to hold nothing.
   */
  synchronized void putNew(RecordKind kind, String key, Object value) {
    if (!pageByKey.get(kind).containsKey(key)) {
      put(kind, key, value, 0);
    }
  }

  private Page pageWithRoom(RecordKind kind, int size) {
    for (Page page : pages.get(kind)) {
      if (page.bytes + size <= maxPageBytes) {
        return page;
      }
    }
    return pageAt(kind, pages.get(kind).size());
  }

  synchronized void remove(RecordKind kind, String key, long delayMs) {
    Page page = pageByKey.get(kind).remove(key);
    if (page != null) {
      page.bytes -= entryBytes(key, page.entries.remove(key));
      markChanged(page, key, delayMs);
    }
  }

  /** Keys of this kind that start so. */
  synchronized List<String> keysWithPrefix(RecordKind kind, String prefix) {
    List<String> result = new ArrayList<>();
    for (String key : pageByKey.get(kind).keySet()) {
      if (key.startsWith(prefix)) {
        result.add(key);
      }
    }
    return result;
  }

  private void markChanged(Page page, String key, long delayMs) {
    page.changedKeys.add(key);
    page.dueMs = Math.min(page.dueMs, LeaderTerm.nowMs() + delayMs);
    page.oldestChangeMs = Math.min(page.oldestChangeMs, LeaderTerm.nowMs());
    notifyAll();
  }

  synchronized void close() {
    closed = true;
    notifyAll();
  }

  /** Writes what is due until the term is over. */
  void writeLoop(LeaderTerm term) throws InterruptedException {
    while (true) {
      List<PageWrite> writes = takeDuePages();
      if (writes.isEmpty()) {
        return;
      }
      Outcome outcome;
      try {
        outcome = commit(writes);
      } catch (RuntimeException | Error e) {
        LOG.error("notes could not be written", e); // and are not lost: they go out again
        outcome = new Outcome.Unknown(e.toString());
      }
      if (outcome instanceof Outcome.Committed committed) {
        onCommitted(writes, committed.revision());
      } else {
        reschedule(writes);
        if (outcome instanceof Outcome.ConditionFailed conflict
            && conflict.keys().contains(RecordCodec.LEADER)) {
          term.onLeadershipLost();
          return;
        }
        if (outcome instanceof Outcome.ConditionFailed conflict) {
          refreshRevisions(writes, conflict.keys());
        } else {
          LOG.debug("notes are not written yet: {}", outcome);
          if (outcome instanceof Outcome.Rejected rejected
              && rejected.reason().equals(StoreClient.MALFORMED_REASON)) {
            splitAfterRejection(writes);
          }
          Thread.sleep(Threads.RETRY_BACKOFF_MS);
        }
      }
    }
  }

  /** Waits for something due; empty once the term is over. */
  private synchronized List<PageWrite> takeDuePages() throws InterruptedException {
    while (!closed) {
      long nowMs = LeaderTerm.nowMs();
      long earliestDueMs = NEVER_MS;
      List<Page> duePages = new ArrayList<>();
      for (List<Page> pagesOfKind : pages.values()) {
        for (Page page : pagesOfKind) {
          earliestDueMs = Math.min(earliestDueMs, page.dueMs);
          if (page.dueMs <= nowMs) {
            duePages.add(page);
          }
        }
      }
      if (!duePages.isEmpty()) {
        // What waits for longest goes first: a rental is not struck before its machines are noted.
        duePages.sort(Comparator.comparingLong(p -> p.dueMs));
        List<PageWrite> writes = new ArrayList<>();
        int[] pageSizes = duePages.stream().mapToInt(p -> p.bytes).toArray();
        for (Page page : duePages.subList(0, pagesPerTransaction(pageSizes, pageLimit))) {
          writes.add(
              new PageWrite(
                  page, new LinkedHashMap<>(page.entries), new LinkedHashSet<>(page.changedKeys)));
          page.changedKeys.clear();
          page.dueMs = NEVER_MS;
        }
        return writes;
      }
      wait(earliestDueMs == NEVER_MS ? 0 : Math.max(1, earliestDueMs - nowMs));
    }
    return List.of();
  }

  /**
   * How many of the first pages go into one transaction: it may have many changes and is bounded in
   * bytes all the same. With 48 changes and full pages all of a large fleet's notes at once were
   * three times what the state service takes, which would have been refused again and again.
   */
  static int pagesPerTransaction(int[] pageSizes, int limit) {
    int count = 0;
    int totalBytes = 0;
    while (count < Math.min(pageSizes.length, limit)) {
      totalBytes += pageSizes[count] + PAGE_FRAME_BYTES;
      if (count > 0 && totalBytes > MAX_TRANSACTION_BYTES) {
        break;
      }
      count++;
    }
    return count;
  }

  /** A transaction was refused for what it is: smaller ones next, and what is alone waits aside. */
  private synchronized void splitAfterRejection(List<PageWrite> writes) {
    if (writes.size() > 1) {
      pageLimit = Math.max(1, writes.size() / 2);
      return;
    }
    Page page = writes.get(0).page();
    LOG.error("page {} of {} bytes is refused by the state service", page.key, page.bytes);
    page.dueMs = LeaderTerm.nowMs() + PAGE_REJECTED_BACKOFF_MS; // others go on
  }

  /**
   * Conditional on the pages' revisions: an earlier try of ours that is applied late must not bring
   * back what has changed since.
   */
  private Outcome commit(List<PageWrite> writes) throws InterruptedException {
    StoreClient.Transaction txn = new StoreClient.Transaction().when(RecordCodec.LEADER, token);
    RateLimiter.Urgency urgency = RateLimiter.Urgency.BACKGROUND;
    for (PageWrite write : writes) {
      txn.when(write.page().key, write.page().revision);
      if (!write.entries().isEmpty()) {
        txn.put(write.page().key, write.entries());
      } else if (write.page().revision > 0) {
        txn.delete(write.page().key);
      }
      if (!deferrable(write.page())) {
        urgency = RateLimiter.Urgency.INTERACTIVE;
      }
    }
    return store.commit(txn, urgency, StoreClient.STORE_RATE_WAIT_MS);
  }

  /** Progress may wait until there is time for it, but not for ever. */
  private synchronized boolean deferrable(Page page) {
    boolean overdue = LeaderTerm.nowMs() - page.oldestChangeMs > PROGRESS_WRITE_MAX_DELAY_MS;
    return page.kind == RecordKind.PROGRESS && !overdue;
  }

  private void onCommitted(List<PageWrite> writes, long revision) {
    synchronized (this) {
      pageLimit = maxPages;
      for (PageWrite write : writes) {
        write.page().oldestChangeMs =
            write.page().changedKeys.isEmpty() ? NEVER_MS : LeaderTerm.nowMs();
      }
    }
    for (PageWrite write : writes) {
      write.page().revision = write.entries().isEmpty() ? 0 : revision;
    }
    for (PageWrite write : writes) {
      for (String key : write.changedKeys()) {
        try {
          listener.onPersisted(write.page().kind, key, write.entries().get(key));
        } catch (RuntimeException | Error e) {
          // The note is on record. Passed on, this ended the loop, and a leader that lived on and
          // noted nothing more opened no job and rented nothing.
          LOG.error("what follows the note of {} failed", key, e);
        }
      }
    }
  }

  private synchronized void reschedule(List<PageWrite> writes) {
    for (PageWrite write : writes) {
      write.page().changedKeys.addAll(write.changedKeys());
      write.page().dueMs = 0;
    }
  }

  /** An earlier try without an answer was applied after all: only its revision is news. */
  private void refreshRevisions(List<PageWrite> writes, Set<String> conflicts)
      throws InterruptedException {
    for (PageWrite write : writes) {
      if (conflicts.contains(write.page().key)) {
        try {
          write.page().revision = store.get(write.page().key).revision();
        } catch (IOException e) {
          LOG.debug("reading {}: {}", write.page().key, e.toString());
          Thread.sleep(Threads.RETRY_BACKOFF_MS);
        }
      }
    }
  }
}
