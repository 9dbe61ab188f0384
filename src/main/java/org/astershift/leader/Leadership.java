package org.astershift.leader;

import java.io.IOException;
import java.util.function.Supplier;
import org.astershift.config.Constants;
import org.astershift.http.Threads;
import org.astershift.office.Candidacy;
import org.astershift.office.WorkerReach;
import org.astershift.store.Mirror;
import org.astershift.store.RateBudget;
import org.astershift.store.Records;
import org.astershift.store.StoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Who leads: the holder of one key in the state service, on a lease. The token is the revision of
 * the key's creation, so a later holder always has a higher one. A process never inherits the key
 * of its predecessor. A leader whose lease may have run out is no longer {@link #valid}, and
 * answers nothing that another leader could contradict; it leads on until it sees that there is
 * another.
 */
public final class Leadership {
  private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);
  private final String node;
  private final StoreClient store;
  private final Mirror mirror;
  private final Office office;
  private final Candidacy candidacy;
  private final Supplier<WorkerReach.Seen> workers;
  private volatile long token;
  private volatile long validUntilNs;
  private volatile long lease;
  private volatile long mayResignNs = System.nanoTime();
  private volatile long contestNs = System.nanoTime();

  /** This process has tried to lead: a key with its node's name may be its own. */
  private boolean held;

  /** It was said that this node lets others stand first. */
  private boolean late;

  /** Another node has led since this one resigned. */
  private volatile boolean othersLed;

  private final Object wake = new Object();

  /** Takes up and lays down the leader's work. */
  public interface Office {
    void begin(long token);

    /** Ends the term of this token, if it has begun. */
    void end(long token, String why);
  }

  /** {@code workers}: what this node reaches of the fleet. */
  public Leadership(
      String node,
      StoreClient store,
      Mirror mirror,
      Office office,
      Candidacy candidacy,
      Supplier<WorkerReach.Seen> workers) {
    this.node = node;
    this.store = store;
    this.mirror = mirror;
    this.office = office;
    this.candidacy = candidacy;
    this.workers = workers;
  }

  public void start() {
    Threads.startLoop("leadership", this::loop);
  }

  /** 0 if this node does not lead. */
  public long token() {
    return token;
  }

  /** Whether no other node can have become leader yet. */
  public boolean valid(long ofToken) {
    return token == ofToken && ofToken != 0 && System.nanoTime() - validUntilNs < 0;
  }

  /** Until when, on the steady clock, no other node can have become leader. */
  long soleUntilMs() {
    return validUntilNs / 1_000_000;
  }

  /** Another node says who leads: if that one came later, this one does no longer. */
  void told(long otherToken) {
    long mine = token;
    if (otherToken > mine) {
      stepDown(mine, "another node says that a later one leads, with token " + otherToken);
    }
  }

  /** The leader's key as far as known here, or null. */
  StoreClient.Row row() {
    return mirror.row(Records.LEADER);
  }

  /** The node that leads as far as known here, or null. */
  public String leader() {
    StoreClient.Row row = row();
    return row == null ? null : String.valueOf(row.data().get("node"));
  }

  /** The leader's key has changed, or a worker has shown a higher token. */
  public void look() {
    synchronized (wake) {
      wake.notifyAll();
    }
  }

  /** Gives the leadership up: it is certain that another has it. */
  public void stepDown(long ofToken, String why) {
    if (token == ofToken && ofToken != 0) {
      token = 0;
      office.end(ofToken, why);
      look();
    }
  }

  /**
   * Lets another node lead, because this one reaches too few workers; not twice in a short time if
   * nobody else took it, since then the others reach no more.
   */
  public void resign(long ofToken, String why) {
    long now = System.nanoTime();
    if ((now - mayResignNs < 0 && !othersLed) || token != ofToken) {
      return;
    }
    othersLed = false;
    mayResignNs = now + Constants.RESIGN_AGAIN_MS * 1_000_000;
    contestNs = now + Constants.RESIGN_PAUSE_MS * 1_000_000;
    stepDown(ofToken, why);
    try {
      store.revoke(lease);
    } catch (IOException e) {
      LOG.debug("the lease ends by itself: {}", e.toString());
    }
  }

  private void loop() throws InterruptedException {
    while (true) {
      try {
        if (token == 0) {
          contest();
        } else {
          renew();
        }
        synchronized (wake) {
          wake.wait(token == 0 ? Constants.ELECTION_POLL_MS : Constants.LEADER_RENEW_MS);
        }
      } catch (IOException | RuntimeException e) {
        LOG.debug("leadership: {}", e.toString());
        Threads.pause();
      }
    }
  }

  private void contest() throws IOException, InterruptedException {
    if (store.silenceMs() > Constants.STORE_IDLE_MS) {
      store.get(Records.LEADER); // a sign of life, so that this node notices if it is cut off
    }
    if (!mirror.loaded() || System.nanoTime() - contestNs < 0) {
      return;
    }
    StoreClient.Row row = mirror.row(Records.LEADER);
    if (row != null) {
      candidacy.held(String.valueOf(row.data().get("node")), Term.nowMs());
      late = false;
      othersLed |= !node.equals(row.data().get("node"));
      if (!held && node.equals(row.data().get("node"))) {
        // Left by this node's predecessor, which is dead since this process runs in its place.
        StoreClient.Txn txn =
            new StoreClient.Txn().when(Records.LEADER, row.revision()).delete(Records.LEADER);
        store.commit(txn, RateBudget.Use.URGENT, 1000);
      }
      return;
    }
    WorkerReach.Seen seen = workers.get();
    if (!candidacy.stands(seen, Term.nowMs())) {
      if (!late) {
        LOG.info(
            "{} reaches {} of {} workers asked: the others may stand first",
            node,
            seen.answered(),
            seen.asked());
      }
      late = true;
      return;
    }
    long sent = System.nanoTime();
    long mine = store.grant(Constants.LEADER_LEASE_MS);
    StoreClient.Txn txn =
        new StoreClient.Txn()
            .when(Records.LEADER, 0)
            .put(Records.LEADER, Records.leader(node), mine);
    held = true;
    StoreClient.Outcome outcome = store.commit(txn, RateBudget.Use.URGENT, 1000);
    if (outcome instanceof StoreClient.Outcome.Applied a) {
      lease = mine;
      validUntilNs = sent + lifeNs();
      if (!mirror.reach(a.revision(), Constants.LEADER_LEASE_MS)) {
        LOG.info("won token {} but could not read up to it: given up", a.revision());
        store.revoke(mine);
        return;
      }
      token = a.revision();
      LOG.info("{} leads with token {}", node, token);
      long begun = token;
      try {
        // Taking over a large fleet takes longer than the lease lives on a small share of a
        // processor: this loop renews meanwhile.
        Threads.start("begin", () -> begin(begun));
      } catch (Threads.NoThread e) {
        giveUp(begun, e);
      }
    } else if (outcome instanceof StoreClient.Outcome.Unknown) {
      // Whether it was applied is unknown, so the key, if it exists, must not stand for this node.
      store.revoke(mine);
    }
  }

  private void begin(long ofToken) {
    try {
      office.begin(ofToken);
    } catch (RuntimeException | Error e) {
      giveUp(ofToken, e);
    }
  }

  /** A term that cannot begin would hold the lease and place nothing: another node is to try. */
  private void giveUp(long ofToken, Throwable why) {
    LOG.error("a term could not begin", why);
    contestNs = System.nanoTime() + Constants.RESIGN_PAUSE_MS * 1_000_000;
    stepDown(ofToken, "it could not begin");
    try {
      store.revoke(lease);
    } catch (IOException e) {
      LOG.debug("the lease ends by itself: {}", e.toString());
    }
  }

  private void renew() throws IOException {
    StoreClient.Row row = mirror.row(Records.LEADER);
    long held = token;
    if (row == null || row.revision() != held) {
      stepDown(held, row == null ? "its key is gone" : "another leads");
      return;
    }
    candidacy.held(node, Term.nowMs());
    long sent = System.nanoTime();
    if (store.renew(lease)) {
      validUntilNs = sent + lifeNs();
    } else {
      stepDown(held, "its lease has ended");
    }
  }

  private static long lifeNs() {
    long ms = (long) (Constants.LEADER_LEASE_MS * (1 - 2 * Constants.CLOCK_DRIFT));
    return (ms - Constants.CLOCK_MARGIN_MS) * 1_000_000;
  }
}
