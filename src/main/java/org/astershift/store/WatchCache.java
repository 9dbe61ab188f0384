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
 * Every node's copy of what is live in the state service, kept up by a watch: a node that becomes
 * leader has to read nothing. It may lag; what must not be old is read from the service itself.
 */
public class WatchCache {
  private static final Logger LOG = LoggerFactory.getLogger(WatchCache.class);

  /** Milliseconds after an answer to a watch until the next: each answer costs a request. */
  private static final long WATCH_GAP_MS = 25;

  private final StoreClient store;
  private final TreeMap<String, StoreClient.Entry> entries = new TreeMap<>();
  private long revision = -1;
  private Listener listener = changes -> {};

  /** Told of changes, in order, by the thread that applies them. */
  public interface Listener {
    void onChanges(List<StoreClient.Entry> changes);
  }

  public WatchCache(StoreClient store) {
    this.store = store;
  }

  public void start(Listener listener) {
    this.listener = listener;
    Threads.startLoop("mirror", this::watchLoop);
  }

  public synchronized boolean loaded() {
    return revision >= 0;
  }

  public synchronized StoreClient.Entry get(String key) {
    return entries.get(key);
  }

  public synchronized List<StoreClient.Entry> entriesWithPrefix(String prefix) {
    return new ArrayList<>(entries.subMap(prefix, prefix + Character.MAX_VALUE).values());
  }

  /** Waits until changes up to this revision are in. */
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
        if (!loaded()) {
          reload();
        }
        StoreClient.WatchResponse response = store.watch(RecordCodec.LIVE, revision);
        if (response.compacted()) {
          LOG.info("the watch fell too far behind: reading everything again");
          reload();
        } else if (response.revision() > revision) {
          apply(response.entries(), response.revision());
          // Each answer to a watch costs a request: changes close together come in one.
          Thread.sleep(WATCH_GAP_MS);
        }
      } catch (IOException | RuntimeException e) {
        LOG.debug("mirror: {}", e.toString());
        Threads.backOff();
      }
    }
  }

  /** Reads all pages. Later pages may be newer than the first: the watch goes on from the first. */
  private void reload() throws IOException {
    Map<String, StoreClient.Entry> latest = new HashMap<>();
    long firstRevision = -1;
    String after = null;
    boolean more = true;
    while (more) {
      StoreClient.Page page = store.list(RecordCodec.LIVE, after);
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
    LOG.info("read {} records at revision {}", latest.size(), firstRevision);
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
