package org.astershift.controller;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.astershift.config.Constants;
import org.astershift.coordination.Candidacy;
import org.astershift.coordination.StoreReachability;
import org.astershift.coordination.WorkerReachability;
import org.astershift.http.Threads;
import org.astershift.peer.JobAnswer;
import org.astershift.store.StoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What this node asks the others about its own reach. Whether it alone has lost the state service:
 * by itself it cannot tell that from an outage. In an outage it stays ready: no node could do more.
 * Cut off alone, it sends users elsewhere, and learns from the others who leads by now. And whether
 * one of them reaches more workers than this one, where it leads and hears few.
 */
final class ConnectivityMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(ConnectivityMonitor.class);
  private final StoreClient store;
  private final Map<String, JobService.PeerChannel> askers;
  private final ControllerRuntime director;
  private final Candidacy candidacy;
  private volatile Leader told;
  private volatile boolean alone;
  private final StoreReachability state = new StoreReachability();
  private boolean silent;

  /** Who leads, as another node says; {@code node} empty if nobody does. */
  private record Leader(String node, long token) {}

  ConnectivityMonitor(
      StoreClient store,
      Map<String, JobService.PeerChannel> askers,
      ControllerRuntime director,
      Candidacy candidacy) {
    this.store = store;
    this.askers = askers;
    this.director = director;
    this.candidacy = candidacy;
  }

  void start() {
    Threads.startLoop("reach", this::loop);
  }

  /** The state service answers others and not this node, or nobody answers it at all. */
  boolean apart() {
    return told != null || alone;
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
    StoreClient.Entry row = director.leaderRow();
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
        alone = false;
        state.served();
        hearing();
        continue;
      }
      look();
    }
  }

  /**
   * A leader that hears few of its machines asks the others whether one of them reaches more. While
   * the state service is away it stays: nobody could take the leadership up.
   */
  private void hearing() throws InterruptedException {
    LeaderTerm t = director.term();
    if (t == null) {
      return;
    }
    double heard;
    synchronized (t) {
      if (!t.scheduler.isolated()) {
        return;
      }
      heard = t.scheduler.heardShare();
    }
    List<Candidacy.PeerStatus> others = new ArrayList<>();
    for (Map.Entry<String, JobService.PeerChannel> e : askers.entrySet()) {
      Candidacy.PeerStatus other = reach(e.getKey(), e.getValue());
      if (other != null) {
        others.add(other);
      }
    }
    Candidacy.HandOver wish =
        candidacy.handsOver(heard, others, askers.size(), t.beganMs, LeaderTerm.nowMs());
    if (wish == null) {
      Thread.sleep(Constants.REACH_SAMPLE_MS); // what the others reach does not change sooner
      return;
    }
    if (wish.to() != null) {
      for (JobService.PeerChannel other : askers.values()) {
        tell(other, "yield", wish.to());
      }
    }
    String why =
        wish.to() == null ? "no other node could be asked" : wish.to() + " reaches more of them";
    director.handOver(
        t, "only " + Math.round(heard * 100) + "% of its machines are heard, and " + why);
  }

  /** What another node tells of itself; null if it does not answer. */
  private static Candidacy.PeerStatus reach(String node, JobService.PeerChannel other) {
    try {
      JobAnswer a = other.ask("reach", "", Constants.REACH_TIMEOUT_MS);
      WorkerReachability.Measurement seen =
          new WorkerReachability.Measurement(a.running(), a.done());
      return new Candidacy.PeerStatus(node, a.status() == 200 && "".equals(a.phase()), seen);
    } catch (IOException | RuntimeException e) {
      LOG.debug("asking {}: {}", node, e.toString());
      return null;
    }
  }

  private static void tell(JobService.PeerChannel other, String op, String what) {
    try {
      other.ask(op, what, Constants.REACH_TIMEOUT_MS);
    } catch (IOException | RuntimeException e) {
      LOG.debug("telling another node: {}", e.toString());
    }
  }

  /** The leader is about to hand over to this node, or to another one, which has to go first. */
  JobAnswer yielded(String to) {
    if (!to.equals(director.node())) {
      candidacy.yields(LeaderTerm.nowMs());
    }
    return new JobAnswer(200, "", 0, 0);
  }

  /** What this node tells another that asks how much of the fleet it reaches. */
  JobAnswer workers() {
    WorkerReachability.Measurement seen = director.sampling().seen();
    return new JobAnswer(200, store.lost() ? "apart" : "", seen.answered(), seen.asked());
  }

  private void look() {
    Leader heard = null;
    String from = null;
    int answered = 0;
    for (Map.Entry<String, JobService.PeerChannel> e : askers.entrySet()) {
      try {
        JobAnswer a = e.getValue().ask("state", "", Constants.REACH_TIMEOUT_MS);
        answered++;
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
    boolean was = alone;
    alone =
        state.asked(askers.size(), answered, heard != null, LeaderTerm.nowMs())
            == StoreReachability.Verdict.ALONE;
    if (alone && !was) {
      LOG.info("neither the state service nor another node answers this one: cut off, not ready");
    }
    if (heard != null && !deaf(heard)) {
      director.leaderTold(heard.token());
    }
  }

  /**
   * A later leader that reaches few workers, while this one reaches them: it goes on answering them
   * under its token, so that their leases and tasks live on. That is safe beside any successor,
   * since a machine that has seen the later token drops what comes from here.
   */
  private boolean deaf(Leader later) {
    LeaderTerm t = director.term();
    JobService.PeerChannel asker = askers.get(later.node());
    if (t == null || later.token() <= t.token || asker == null) {
      return false;
    }
    if (!director.sampling().seen().able()) {
      return false;
    }
    // A node that does not know the question tells 0 of 0, which is not few.
    Candidacy.PeerStatus other = reach(later.node(), asker);
    return other != null && other.workers().few();
  }

  private static Leader leader(String told) {
    int space = told == null ? -1 : told.lastIndexOf(' ');
    return space < 0
        ? new Leader("", 0)
        : new Leader(told.substring(0, space), Long.parseLong(told.substring(space + 1)));
  }
}
