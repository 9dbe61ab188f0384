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
 * Each node's copy of the live keys of the store, kept up to date by a watch, so that a failover
 * needs no reads. It may lag; what must be current is read from the store. Callable from any
 * thread.
 */
public class WatchCache {
  private static final Logger LOG = LoggerFactory.getLogger(WatchCache.class);

  /** Pause after a watch response, so that changes close together cost one request. */
  private static final long WATCH_GAP_MS = 25;

  private final StoreClient store;
  private final TreeMap<String, StoreClient.Entry> entries = new TreeMap<>();
  private long revision = -1;
  private Listener listener = changes -> {};

  /** Gets changes in the order of their revisions. */
  public interface Listener {
    /** In the thread that applies the changes, without the cache's lock. */
    void onChanges(List<StoreClient.Entry> changes);
  }

  /** Empty until {@link #start}. */
  public WatchCache(StoreClient store) {
    this.store = store;
  }

  /** Starts to load and watch the store. */
  public void start(Listener listener) {
    this.listener = listener;
    Threads.startLoop("watch", this::watchLoop);
  }

  /** Whether the cache holds a state of the store. */
  public synchronized boolean isLoaded() {
    return revision >= 0;
  }

  /** The revision of the store that the cache shows; -1 before it is loaded. */
  public synchronized long revision() {
    return revision;
  }

  /** The key as far as the cache knows; null if it does not exist. */
  public synchronized StoreClient.Entry get(String key) {
    return entries.get(key);
  }

  /** The keys with this prefix, in order. */
  public synchronized List<StoreClient.Entry> entriesWithPrefix(String prefix) {
    return new ArrayList<>(entries.subMap(prefix, prefix + Character.MAX_VALUE).values());
  }

  /** Waits until the cache has reached this revision; false if the time is up before. */
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
          LOG.info("watch fell behind compaction: reloading");
          reload();
        } else if (response.revision() > revision) {
          apply(response.entries(), response.revision());
          Thread.sleep(WATCH_GAP_MS);
        }
      } catch (IOException | RuntimeException e) {
        LOG.debug("watch failed: {}", e.toString());
        Threads.backOff();
      }
    }
  }

  /** Lists all live keys. Later pages may be newer; the watch goes on from the first one's. */
  private void reload() throws IOException {
    Map<String, StoreClient.Entry> latest = new HashMap<>();
    long firstRevision = -1;
    String after = null;
    boolean more = true;
    while (more) {
      StoreClient.Page page = store.list(RecordCodec.LIVE_PREFIX, after);
      firstRevision = firstRevision < 0 ? page.revision() : firstRevision;
      for (StoreClient.Entry entry : page.entries()) {
        latest.put(entry.key(), entry);
        after = entry.key();
      }
      more = page.hasMore() && !page.entries().isEmpty();
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
    LOG.info("cache loaded, keys={} revision={}", latest.size(), firstRevision);
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
