package org.astershift.leader;

import java.io.IOException;
import java.util.List;
import java.util.function.Supplier;
import org.astershift.config.Constants;
import org.astershift.http.Threads;
import org.astershift.office.Candidacy;
import org.astershift.office.Election;
import org.astershift.office.Election.Act;
import org.astershift.office.WorkerReach;
import org.astershift.store.Mirror;
import org.astershift.store.RateBudget;
import org.astershift.store.Records;
import org.astershift.store.StoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Carries out what {@link Election} decides: the requests to the state service, the waits. */
public final class Leadership {
  private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);

  private final String node;
  private final StoreClient store;
  private final Mirror mirror;
  private final Office office;
  private final Supplier<WorkerReach.Seen> workers;
  private final Election election;
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
    this.workers = workers;
    this.election = new Election(node, candidacy);
  }

  public void start() {
    Threads.startLoop("leadership", this::loop);
  }

  /** 0 if this node does not lead. */
  public long token() {
    return election.token();
  }

  /** Whether no other node can have become leader yet. */
  public boolean valid(long ofToken) {
    return election.valid(ofToken, Term.nowMs());
  }

  /** Until when, on the steady clock, no other node can have become leader. */
  long soleUntilMs() {
    return election.soleUntilMs();
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

  /** Another node says who leads: if that one came later, this one does no longer. */
  void told(long otherToken) {
    ended(election.told(otherToken));
  }

  /** Gives the leadership up: it is certain that another has it. */
  public void stepDown(long ofToken, String why) {
    ended(election.stepDown(ofToken, why));
  }

  /** Lets another node lead, because this one reaches too few workers. */
  public void resign(long ofToken, String why) {
    ended(election.resign(ofToken, why, Term.nowMs()));
  }

  private void ended(List<Act> acts) {
    for (Act act : acts) {
      if (act instanceof Act.End e) {
        office.end(e.token(), e.why());
        look();
      } else if (act instanceof Act.Revoke r) {
        revoke(r.lease());
      }
    }
  }

  private void revoke(long lease) {
    try {
      store.revoke(lease);
    } catch (IOException e) {
      LOG.debug("the lease ends by itself: {}", e.toString());
    }
  }

  private void loop() throws InterruptedException {
    while (true) {
      try {
        boolean rest = carryOut(election.next(view()));
        if (rest) {
          synchronized (wake) {
            wake.wait(token() == 0 ? Constants.ELECTION_POLL_MS : Constants.LEADER_RENEW_MS);
          }
        }
      } catch (IOException | RuntimeException e) {
        LOG.debug("leadership: {}", e.toString());
        Threads.pause();
      }
    }
  }

  private Election.View view() {
    StoreClient.Row row = row();
    Election.Holder holder =
        row == null
            ? null
            : new Election.Holder(String.valueOf(row.data().get("node")), row.revision());
    return new Election.View(
        Term.nowMs(), mirror.loaded(), holder, workers.get(), store.silenceMs());
  }

  /** Does what was decided and tells what came of it; true if a rest follows. */
  private boolean carryOut(Act act) throws IOException, InterruptedException {
    if (act instanceof Act.Look) {
      store.get(Records.LEADER); // so that this node notices if it is cut off
      return false;
    } else if (act instanceof Act.Yield y) {
      LOG.info(
          "{} reaches {} of {} workers asked: the others may stand first",
          node,
          y.workers().answered(),
          y.workers().asked());
    } else if (act instanceof Act.Remove r) {
      store.commit(
          new StoreClient.Txn().when(Records.LEADER, r.revision()).delete(Records.LEADER),
          RateBudget.Use.VITAL,
          Constants.LEADER_CHANGE_MS);
    } else if (act instanceof Act.Grant g) {
      election.granted(store.grant(g.lifeMs()));
      return false;
    } else if (act instanceof Act.Claim c) {
      claim(c.lease());
      return false;
    } else if (act instanceof Act.Verify v) {
      election.verified(standing(v.lease()));
      return false;
    } else if (act instanceof Act.CatchUp c) {
      boolean done = mirror.reach(c.revision(), Constants.LEADER_LEASE_MS);
      if (!done) {
        LOG.info("won token {} but could not read up to it: given up", c.revision());
      }
      election.caughtUp(c.revision(), done);
      return false;
    } else if (act instanceof Act.Begin b) {
      begin(b.token());
    } else if (act instanceof Act.Renew r) {
      return renew(r.lease());
    } else {
      ended(List.of(act));
    }
    return true;
  }

  /** True if a rest follows: not after what ends a term, nor after a try that got no answer. */
  private boolean renew(long lease) throws IOException {
    long sentMs = Term.nowMs();
    try {
      election.renewed(store.renew(lease));
      return token() != 0;
    } catch (IOException e) {
      election.renewed(null);
      if (Term.nowMs() - sentMs < Constants.LEASE_TIMEOUT_MS) {
        throw e;
      }
      LOG.debug("renewal of the lease: {}", e.toString());
      return false;
    }
  }

  private void claim(long lease) throws InterruptedException {
    StoreClient.Txn txn =
        new StoreClient.Txn()
            .when(Records.LEADER, 0)
            .put(Records.LEADER, Records.leader(node), lease);
    StoreClient.Outcome outcome =
        store.commit(txn, RateBudget.Use.VITAL, Constants.LEADER_CHANGE_MS);
    if (outcome instanceof StoreClient.Outcome.Applied a) {
      election.claimed(Election.Claimed.APPLIED, a.revision());
    } else if (outcome instanceof StoreClient.Outcome.Unknown) {
      election.claimed(Election.Claimed.UNKNOWN, 0);
    } else {
      election.claimed(Election.Claimed.REFUSED, 0);
    }
  }

  /** The revision of the key, if it stands on this lease and that could be prolonged; else 0. */
  private long standing(long lease) {
    try {
      return store.renew(lease) ? store.revisionOn(lease, Records.LEADER) : 0;
    } catch (IOException e) {
      LOG.debug("whether a claim was carried out is not known: {}", e.toString());
      return 0;
    }
  }

  private void begin(long ofToken) {
    LOG.info("{} leads with token {}", node, ofToken);
    try {
      // Taking over a large fleet takes longer than the lease lives on a small share of a
      // processor: this loop renews meanwhile.
      Threads.start("begin", () -> beginTerm(ofToken));
    } catch (Threads.NoThread e) {
      giveUp(ofToken, e);
    }
  }

  private void beginTerm(long ofToken) {
    try {
      office.begin(ofToken);
    } catch (RuntimeException | Error e) {
      giveUp(ofToken, e);
    }
  }

  private void giveUp(long ofToken, Throwable why) {
    LOG.error("a term could not begin", why);
    ended(election.beginFailed(ofToken, Term.nowMs()));
  }
}
