package org.astershift.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.astershift.http.Threads;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This controller's copy of the live keys of the store, kept up to date by a watch, so that a
 * failover needs no reads from the store. The copy may lag behind: data that must be current is
 * read from the store itself. Thread-safe.
 */
public class WatchCache {
  private static final Logger LOG = LoggerFactory.getLogger(WatchCache.class);

  /**
   * Pause after a watch response, in milliseconds, so that changes in quick succession cost one
   * request.
   */
  private static final long WATCH_GAP_MS = 25;

  private final StoreClient store;
  private final TreeMap<String, StoreClient.Entry> entries = new TreeMap<>();
  private long revision = -1;
  private Listener listener = changes -> {};

  /** Receives changes in the order of their revisions. */
  public interface Listener {
    /** Called on the thread that applies the changes, without holding the cache's lock. */
    void onChanges(List<StoreClient.Entry> changes);
  }

  /** Creates a cache that is empty until {@link #start} is called. */
  public WatchCache(StoreClient store) {
    this.store = store;
  }

  /** Starts loading and watching the live keys, and reporting changes to the listener. */
  public void start(Listener listener) {
    this.listener = listener;
    Threads.startLoop("watch", this::watchLoop);
  }

  /** Returns whether the live keys have been loaded. */
  public synchronized boolean isLoaded() {
    return revision >= 0;
  }

  /**
   * Returns the store revision that the cache reflects; -1 before the live keys have been loaded.
   */
  public synchronized long revision() {
    return revision;
  }

  /** Returns the cached entry of a key; null if the cache has none. */
  public synchronized StoreClient.Entry get(String key) {
    return entries.get(key);
  }

  /** Returns the cached entries whose keys have this prefix, in key order. */
  public synchronized List<StoreClient.Entry> entriesWithPrefix(String prefix) {
    return new ArrayList<>(entries.subMap(prefix, prefix + Character.MAX_VALUE).values());
  }

  /**
   * Waits until the cache has reached {@code targetRevision}; returns false if that takes longer
   * than {@code timeoutMs}.
   */
  public synchronized boolean awaitRevision(long targetRevision, long timeoutMs)
      throws InterruptedException {
    long deadlineNs = System.nanoTime() + timeoutMs * 1_000_000;
    while (revision < targetRevision) {
      long remainingMs = (deadlineNs - System.nanoTime()) / 1_000_000;
      if (remainingMs <= 0) {
        return false;
      }
      wait(remainingMs);
    }
    return true;
  }

  private void watchLoop() throws InterruptedException {
    while (true) {
      try {
        if (!isLoaded()) {
          reload();
        }
        StoreClient.WatchResponse response = store.watch(RecordCodec.LIVE_PREFIX, revision);
        if (response.compacted()) {
          LOG.info("watch revision was compacted in the store; listing all live keys again");
          reload();
        } else if (response.revision() > revision) {
          apply(response.entries(), response.revision());
          Thread.sleep(WATCH_GAP_MS);
        }
      } catch (IOException | RuntimeException e) {
        LOG.debug("watching the store failed; will retry: {}", e.toString());
        Threads.backOff();
      }
    }
  }

  /**
   * Replaces the content of the cache by a list of all live keys. Later pages may show a newer
   * revision than the first; the watch continues from the revision of the first page.
   */
  private void reload() throws IOException {
    Map<String, StoreClient.Entry> latest = new HashMap<>();
    long firstRevision = -1;
    String after = null;
    boolean hasMore = true;
    while (hasMore) {
      StoreClient.Page page = store.list(RecordCodec.LIVE_PREFIX, after);
      firstRevision = firstRevision < 0 ? page.revision() : firstRevision;
      for (StoreClient.Entry entry : page.entries()) {
        latest.put(entry.key(), entry);
        after = entry.key();
      }
      hasMore = page.hasMore() && !page.entries().isEmpty();
    }
    List<StoreClient.Entry> changes = new ArrayList<>();
    synchronized (this) {
      for (StoreClient.Entry previous : entries.values()) {
        if (!latest.containsKey(previous.key())) {
          changes.add(new StoreClient.Entry(previous.key(), null, firstRevision));
        }
      }
      for (StoreClient.Entry entry : latest.values()) {
        StoreClient.Entry previous = entries.get(entry.key());
        if (previous == null || previous.revision() != entry.revision()) {
          changes.add(entry);
        }
      }
      entries.clear();
      entries.putAll(latest);
      revision = firstRevision;
      notifyAll();
    }
    LOG.info("cache loaded: keys={} revision={}", latest.size(), firstRevision);
    listener.onChanges(changes);
  }

  private void apply(List<StoreClient.Entry> changes, long newRevision) {
    synchronized (this) {
      for (StoreClient.Entry change : changes) {
        StoreClient.Entry previous = entries.get(change.key());
        if (previous != null && previous.revision() > change.revision()) {
          continue;
        }
        if (change.data() == null) {
          entries.remove(change.key());
        } else {
          entries.put(change.key(), change);
        }
      }
      revision = newRevision;
      notifyAll();
    }
    listener.onChanges(changes);
  }
}
