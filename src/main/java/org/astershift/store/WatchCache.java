package org.astershift.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.astershift.config.Constants;
import org.astershift.http.Threads;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Every node's copy of what is live in the state service, kept up by a watch: a node that becomes
 * leader has to read nothing. It may lag; what must not be old is read from the service itself.
 */
public class WatchCache {
  private static final Logger LOG = LoggerFactory.getLogger(WatchCache.class);
  private final StoreClient store;
  private final TreeMap<String, StoreClient.Entry> rows = new TreeMap<>();
  private long revision = -1;
  private Listener listener = changes -> {};

  /** Told of changes, in order, by the thread that applies them. */
  public interface Listener {
    void changed(List<StoreClient.Entry> changes);
  }

  public WatchCache(StoreClient store) {
    this.store = store;
  }

  public void start(Listener l) {
    this.listener = l;
    Threads.startLoop("mirror", this::loop);
  }

  public synchronized boolean loaded() {
    return revision >= 0;
  }

  public synchronized StoreClient.Entry row(String key) {
    return rows.get(key);
  }

  public synchronized List<StoreClient.Entry> below(String prefix) {
    return new ArrayList<>(rows.subMap(prefix, prefix + Character.MAX_VALUE).values());
  }

  /** Waits until changes up to this revision are in. */
  public synchronized boolean reach(long wanted, long timeoutMs) throws InterruptedException {
    long deadline = System.nanoTime() + timeoutMs * 1_000_000;
    while (revision < wanted) {
      long left = (deadline - System.nanoTime()) / 1_000_000;
      if (left <= 0) {
        return false;
      }
      wait(left);
    }
    return true;
  }

  private void loop() throws InterruptedException {
    while (true) {
      try {
        if (!loaded()) {
          load();
        }
        StoreClient.WatchResponse c = store.watch(RecordCodec.LIVE, revision);
        if (c.tooOld()) {
          LOG.info("the watch fell too far behind: reading everything again");
          load();
        } else if (c.revision() > revision) {
          apply(c.rows(), c.revision());
          // Each answer to a watch costs a request: changes close together come in one.
          Thread.sleep(Constants.WATCH_GAP_MS);
        }
      } catch (IOException | RuntimeException e) {
        LOG.debug("mirror: {}", e.toString());
        Threads.pause();
      }
    }
  }

  /** Reads all pages. Later pages may be newer than the first: the watch goes on from the first. */
  private void load() throws IOException {
    Map<String, StoreClient.Entry> all = new HashMap<>();
    long first = -1;
    String after = null;
    boolean more = true;
    while (more) {
      StoreClient.Page page = store.list(RecordCodec.LIVE, after);
      first = first < 0 ? page.revision() : first;
      for (StoreClient.Entry r : page.rows()) {
        all.put(r.key(), r);
        after = r.key();
      }
      more = page.more() && !page.rows().isEmpty();
    }
    List<StoreClient.Entry> changes = new ArrayList<>();
    synchronized (this) {
      for (StoreClient.Entry old : rows.values()) {
        if (!all.containsKey(old.key())) {
          changes.add(new StoreClient.Entry(old.key(), null, first));
        }
      }
      for (StoreClient.Entry r : all.values()) {
        StoreClient.Entry old = rows.get(r.key());
        if (old == null || old.revision() != r.revision()) {
          changes.add(r);
        }
      }
      rows.clear();
      rows.putAll(all);
      revision = first;
      notifyAll();
    }
    LOG.info("read {} records at revision {}", all.size(), first);
    listener.changed(changes);
  }

  private void apply(List<StoreClient.Entry> changes, long upTo) {
    synchronized (this) {
      for (StoreClient.Entry c : changes) {
        StoreClient.Entry old = rows.get(c.key());
        if (old != null && old.revision() > c.revision()) {
          continue;
        }
        if (c.data() == null) {
          rows.remove(c.key());
        } else {
          rows.put(c.key(), c);
        }
      }
      revision = upTo;
      notifyAll();
    }
    listener.changed(changes);
  }
}
