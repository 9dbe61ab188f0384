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
import org.astershift.config.Constants;
import org.astershift.config.Settings;
import org.astershift.http.Json;
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
  private static final long CLEAN = Long.MAX_VALUE;

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
    void durable(RecordKind kind, String key, Object value);
  }

  private static final class Page {
    final RecordKind kind;
    final String key;
    final Map<String, Object> entries = new LinkedHashMap<>();
    final Set<String> changed = new LinkedHashSet<>();
    long revision;
    int bytes;
    long dueMs = CLEAN;

    /** Since when it holds changes that are not on record. */
    long changedMs = CLEAN;

    Page(RecordKind kind, int number) {
      this.kind = kind;
      this.key = RecordCodec.NOTES + kind.letter + number;
    }
  }

  /** A page as it goes out: later changes do not touch it. */
  private record PageWrite(Page page, Map<String, Object> entries, Set<String> changed) {}

  private final long token;
  private final StoreClient store;
  private final Listener listener;
  private final int mostPages;

  /** Fewer for a while after a transaction was refused as malformed. */
  private int pagesAtOnce;

  private final int pageBytes;
  private final Map<RecordKind, List<Page>> pages = new EnumMap<>(RecordKind.class);
  private final Map<RecordKind, Map<String, Page>> where = new EnumMap<>(RecordKind.class);
  private boolean over;

  LeaderRecords(long token, StoreClient store, Settings.StoreLimits limits, Listener listener) {
    this.token = token;
    this.store = store;
    this.listener = listener;
    this.mostPages = limits.txnOps();
    this.pagesAtOnce = mostPages;
    this.pageBytes =
        (int) Math.min(Constants.PAGE_BYTES, limits.valueKb() * 1024 * Constants.PAGE_SHARE);
    for (RecordKind k : RecordKind.values()) {
      pages.put(k, new ArrayList<>());
      where.put(k, new HashMap<>());
    }
  }

  /** Takes in what an earlier leader noted. */
  synchronized void load(List<StoreClient.Entry> rows) {
    for (StoreClient.Entry row : rows) {
      String rest = row.key().substring(RecordCodec.NOTES.length());
      for (RecordKind kind : RecordKind.values()) {
        if (rest.charAt(0) == kind.letter && rest.substring(1).matches("[0-9]{1,6}")) {
          Page page = page(kind, Integer.parseInt(rest.substring(1)));
          page.revision = row.revision();
          row.data().forEach((key, value) -> set(page, key, value));
        }
      }
    }
  }

  private Page page(RecordKind kind, int number) {
    List<Page> all = pages.get(kind);
    while (all.size() <= number) {
      all.add(new Page(kind, all.size()));
    }
    return all.get(number);
  }

  private void set(Page page, String key, Object value) {
    Object before = page.entries.put(key, value);
    page.bytes += size(key, value) - (before == null ? 0 : size(key, before));
    where.get(page.kind).put(key, page);
  }

  private static int size(String key, Object value) {
    return key.length() + 4 + Json.bytes(value).length;
  }

  synchronized Map<String, Object> entries(RecordKind kind) {
    Map<String, Object> out = new LinkedHashMap<>();
    for (Page page : pages.get(kind)) {
      out.putAll(page.entries);
    }
    return out;
  }

  /**
   * The same for an entry that is there, if its page has room for the new value: one that is not
   * needed must not grow a page beyond what the state service takes.
   */
  synchronized void replace(RecordKind kind, String key, Object value, long delayMs) {
    Page page = where.get(kind).get(key);
    int grown = page == null ? 0 : size(key, value) - size(key, page.entries.get(key));
    if (page != null && page.bytes + grown <= pageBytes) {
      put(kind, key, value, delayMs);
    }
  }

  /** The entry should have this value, written after {@code delayMs} at the latest. */
  synchronized void put(RecordKind kind, String key, Object value, long delayMs) {
    Page page = where.get(kind).get(key);
    if (page == null) {
      page = roomy(kind, size(key, value));
    }
    set(page, key, value);
    touch(page, key, delayMs);
  }

  /**
   * The same where there is no such entry yet. A machine that reported before its rental was
   * answered may have tasks by then: noted as fresh once more, a successor took it to hold nothing.
   */
  synchronized void putNew(RecordKind kind, String key, Object value) {
    if (!where.get(kind).containsKey(key)) {
      put(kind, key, value, 0);
    }
  }

  private Page roomy(RecordKind kind, int size) {
    for (Page page : pages.get(kind)) {
      if (page.bytes + size <= pageBytes) {
        return page;
      }
    }
    return page(kind, pages.get(kind).size());
  }

  synchronized void remove(RecordKind kind, String key, long delayMs) {
    Page page = where.get(kind).remove(key);
    if (page != null) {
      page.bytes -= size(key, page.entries.remove(key));
      touch(page, key, delayMs);
    }
  }

  /** Keys of this kind that start so. */
  synchronized List<String> keys(RecordKind kind, String prefix) {
    List<String> out = new ArrayList<>();
    for (String key : where.get(kind).keySet()) {
      if (key.startsWith(prefix)) {
        out.add(key);
      }
    }
    return out;
  }

  private void touch(Page page, String key, long delayMs) {
    page.changed.add(key);
    page.dueMs = Math.min(page.dueMs, LeaderTerm.nowMs() + delayMs);
    page.changedMs = Math.min(page.changedMs, LeaderTerm.nowMs());
    notifyAll();
  }

  synchronized void end() {
    over = true;
    notifyAll();
  }

  /** Writes what is due until the term is over. */
  void loop(LeaderTerm term) throws InterruptedException {
    while (true) {
      List<PageWrite> drafts = next();
      if (drafts.isEmpty()) {
        return;
      }
      Outcome o;
      try {
        o = write(drafts);
      } catch (RuntimeException | Error e) {
        LOG.error("notes could not be written", e); // and are not lost: they go out again
        o = new Outcome.Unknown(e.toString());
      }
      if (o instanceof Outcome.Committed a) {
        written(drafts, a.revision());
      } else {
        again(drafts);
        if (o instanceof Outcome.ConditionFailed c && c.keys().contains(RecordCodec.LEADER)) {
          term.lost();
          return;
        }
        if (o instanceof Outcome.ConditionFailed c) {
          reread(drafts, c.keys());
        } else {
          LOG.debug("notes are not written yet: {}", o);
          if (o instanceof Outcome.Rejected r && r.why().equals(StoreClient.MALFORMED)) {
            refused(drafts);
          }
          Thread.sleep(Constants.RETRY_MS);
        }
      }
    }
  }

  /** Waits for something due; empty once the term is over. */
  private synchronized List<PageWrite> next() throws InterruptedException {
    while (!over) {
      long now = LeaderTerm.nowMs();
      long first = CLEAN;
      List<Page> due = new ArrayList<>();
      for (List<Page> some : pages.values()) {
        for (Page page : some) {
          first = Math.min(first, page.dueMs);
          if (page.dueMs <= now) {
            due.add(page);
          }
        }
      }
      if (!due.isEmpty()) {
        // What waits for longest goes first: a rental is not struck before its machines are noted.
        due.sort(Comparator.comparingLong(p -> p.dueMs));
        List<PageWrite> drafts = new ArrayList<>();
        int[] bytes = due.stream().mapToInt(p -> p.bytes).toArray();
        for (Page page : due.subList(0, fitting(bytes, pagesAtOnce))) {
          drafts.add(
              new PageWrite(
                  page, new LinkedHashMap<>(page.entries), new LinkedHashSet<>(page.changed)));
          page.changed.clear();
          page.dueMs = CLEAN;
        }
        return drafts;
      }
      wait(first == CLEAN ? 0 : Math.max(1, first - now));
    }
    return List.of();
  }

  /**
   * How many of the first pages go into one transaction: it may have many changes and is bounded in
   * bytes all the same. With 48 changes and full pages all of a large fleet's notes at once were
   * three times what the state service takes, which would have been refused again and again.
   */
  static int fitting(int[] bytes, int most) {
    int n = 0;
    int sum = 0;
    while (n < Math.min(bytes.length, most)) {
      sum += bytes[n] + Constants.PAGE_FRAME_BYTES;
      if (n > 0 && sum > Constants.TXN_BYTES) {
        break;
      }
      n++;
    }
    return n;
  }

  /** A transaction was refused for what it is: smaller ones next, and what is alone waits aside. */
  private synchronized void refused(List<PageWrite> drafts) {
    if (drafts.size() > 1) {
      pagesAtOnce = Math.max(1, drafts.size() / 2);
      return;
    }
    Page page = drafts.get(0).page();
    LOG.error("page {} of {} bytes is refused by the state service", page.key, page.bytes);
    page.dueMs = LeaderTerm.nowMs() + Constants.PAGE_REFUSED_MS; // others go on
  }

  /**
   * Conditional on the pages' revisions: an earlier try of ours that is applied late must not bring
   * back what has changed since.
   */
  private Outcome write(List<PageWrite> drafts) throws InterruptedException {
    StoreClient.Transaction txn = new StoreClient.Transaction().when(RecordCodec.LEADER, token);
    RateLimiter.Urgency use = RateLimiter.Urgency.LAZY;
    for (PageWrite d : drafts) {
      txn.when(d.page().key, d.page().revision);
      if (!d.entries().isEmpty()) {
        txn.put(d.page().key, d.entries());
      } else if (d.page().revision > 0) {
        txn.delete(d.page().key);
      }
      if (!mayWait(d.page())) {
        use = RateLimiter.Urgency.URGENT;
      }
    }
    return store.commit(txn, use, Constants.STORE_PATIENCE_MS);
  }

  /** Progress may wait until there is time for it, but not for ever. */
  private synchronized boolean mayWait(Page page) {
    boolean late = LeaderTerm.nowMs() - page.changedMs > Constants.PROGRESS_LATEST_MS;
    return page.kind == RecordKind.PROGRESS && !late;
  }

  private void written(List<PageWrite> drafts, long revision) {
    synchronized (this) {
      pagesAtOnce = mostPages;
      for (PageWrite d : drafts) {
        d.page().changedMs = d.page().changed.isEmpty() ? CLEAN : LeaderTerm.nowMs();
      }
    }
    for (PageWrite d : drafts) {
      d.page().revision = d.entries().isEmpty() ? 0 : revision;
    }
    for (PageWrite d : drafts) {
      for (String key : d.changed()) {
        try {
          listener.durable(d.page().kind, key, d.entries().get(key));
        } catch (RuntimeException | Error e) {
          // The note is on record. Passed on, this ended the loop, and a leader that lived on and
          // noted nothing more opened no job and rented nothing.
          LOG.error("what follows the note of {} failed", key, e);
        }
      }
    }
  }

  private synchronized void again(List<PageWrite> drafts) {
    for (PageWrite d : drafts) {
      d.page().changed.addAll(d.changed());
      d.page().dueMs = 0;
    }
  }

  /** An earlier try without an answer was applied after all: only its revision is news. */
  private void reread(List<PageWrite> drafts, Set<String> conflicts) throws InterruptedException {
    for (PageWrite d : drafts) {
      if (conflicts.contains(d.page().key)) {
        try {
          d.page().revision = store.get(d.page().key).revision();
        } catch (IOException e) {
          LOG.debug("reading {}: {}", d.page().key, e.toString());
          Thread.sleep(Constants.RETRY_MS);
        }
      }
    }
  }
}
