package org.astershift.leader;

import java.io.IOException;
import java.util.Map;
import org.astershift.config.Constants;
import org.astershift.http.Threads;
import org.astershift.peer.JobAnswer;
import org.astershift.store.StoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Whether this node alone has lost the state service. By itself it cannot tell that from an outage,
 * so it asks the others. In an outage it stays ready: no node could do more. Cut off alone, it
 * sends users elsewhere, and learns from the others who leads by now.
 */
final class Reach {
  private static final Logger LOG = LoggerFactory.getLogger(Reach.class);
  private final StoreClient store;
  private final Map<String, UserDesk.Asker> askers;
  private final Director director;
  private volatile Leader told;
  private boolean silent;

  /** Who leads, as another node says; {@code node} empty if nobody does. */
  private record Leader(String node, long token) {}

  Reach(StoreClient store, Map<String, UserDesk.Asker> askers, Director director) {
    this.store = store;
    this.askers = askers;
    this.director = director;
  }

  void start() {
    Threads.startLoop("reach", this::loop);
  }

  /** The state service answers others and not this node. */
  boolean apart() {
    return told != null;
  }

  /** The leader as another node told; null where this node knows better, or nobody leads. */
  String leader() {
    Leader l = told;
    return l == null || l.node().isEmpty() ? null : l.node();
  }

  /** What this node tells another that asks whether the state service answers. */
  JobAnswer answer() {
    if (store.lost()) {
      return JobAnswer.UNDECIDED;
    }
    StoreClient.Row row = director.leaderRow();
    return new JobAnswer(
        200, row == null ? "" : row.data().get("node") + " " + row.revision(), 0, 0);
  }

  private void loop() throws InterruptedException {
    while (true) {
      Thread.sleep(Constants.REACH_MS);
      if (!store.lost()) {
        if (silent) {
          LOG.info("the state service answers again");
        }
        silent = false;
        told = null;
        continue;
      }
      look();
    }
  }

  private void look() {
    Leader heard = null;
    String from = null;
    for (Map.Entry<String, UserDesk.Asker> e : askers.entrySet()) {
      try {
        JobAnswer a = e.getValue().ask("state", "", Constants.REACH_TIMEOUT_MS);
        if (a.status() == 200) {
          heard = leader(a.phase());
          from = e.getKey();
          break;
        }
      } catch (IOException | RuntimeException x) {
        LOG.debug("asking {}: {}", e.getKey(), x.toString());
      }
    }
    if (!silent || (heard == null) != (told == null)) {
      if (heard == null) {
        LOG.info("the state service does not answer, nor does it answer another node reached");
      } else {
        LOG.info("the state service answers {} and not this node: not ready", from);
      }
    }
    silent = true;
    told = heard;
    if (heard != null) {
      director.leaderTold(heard.token());
    }
  }

  private static Leader leader(String told) {
    int space = told == null ? -1 : told.lastIndexOf(' ');
    return space < 0
        ? new Leader("", 0)
        : new Leader(told.substring(0, space), Long.parseLong(told.substring(space + 1)));
  }
}
