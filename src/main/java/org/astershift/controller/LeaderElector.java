package org.astershift.controller;

import java.io.IOException;
import java.util.List;
import java.util.function.Supplier;
import org.astershift.config.Constants;
import org.astershift.coordination.Candidacy;
import org.astershift.coordination.Election;
import org.astershift.coordination.Election.Action;
import org.astershift.coordination.WorkerReachability;
import org.astershift.http.Threads;
import org.astershift.store.RateLimiter;
import org.astershift.store.RecordCodec;
import org.astershift.store.StoreClient;
import org.astershift.store.WatchCache;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Carries out what {@link Election} decides: the requests to the state service, the waits. */
public final class LeaderElector {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderElector.class);

  private final String node;
  private final StoreClient store;
  private final WatchCache mirror;
  private final TermListener office;
  private final Supplier<WorkerReachability.Measurement> workers;
  private final Election election;
  private final Object wake = new Object();

  /** Takes up and lays down the leader's work. */
  public interface TermListener {
    void begin(long token);

    /** Ends the term of this token, if it has begun. */
    void end(long token, String why);
  }

  /** {@code workers}: what this node reaches of the fleet. */
  public LeaderElector(
      String node,
      StoreClient store,
      WatchCache mirror,
      TermListener office,
      Candidacy candidacy,
      Supplier<WorkerReachability.Measurement> workers) {
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
    return election.valid(ofToken, LeaderTerm.nowMs());
  }

  /** Until when, on the steady clock, no other node can have become leader. */
  long soleUntilMs() {
    return election.soleUntilMs();
  }

  /** The leader's key as far as known here, or null. */
  StoreClient.Entry row() {
    return mirror.row(RecordCodec.LEADER);
  }

  /** The node that leads as far as known here, or null. */
  public String leader() {
    StoreClient.Entry row = row();
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
    ended(election.resign(ofToken, why, LeaderTerm.nowMs()));
  }

  private void ended(List<Action> acts) {
    for (Action act : acts) {
      if (act instanceof Action.EndTerm e) {
        office.end(e.token(), e.why());
        look();
      } else if (act instanceof Action.RevokeLease r) {
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
    StoreClient.Entry row = row();
    Election.Holder holder =
        row == null
            ? null
            : new Election.Holder(String.valueOf(row.data().get("node")), row.revision());
    return new Election.View(
        LeaderTerm.nowMs(), mirror.loaded(), holder, workers.get(), store.silenceMs());
  }

  /** Does what was decided and tells what came of it; true if a rest follows. */
  private boolean carryOut(Action act) throws IOException, InterruptedException {
    if (act instanceof Action.ReadKey) {
      store.get(RecordCodec.LEADER); // so that this node notices if it is cut off
      return false;
    } else if (act instanceof Action.Defer y) {
      LOG.info(
          "{} reaches {} of {} workers asked: the others may stand first",
          node,
          y.workers().answered(),
          y.workers().asked());
    } else if (act instanceof Action.RemoveStaleKey r) {
      store.commit(
          new StoreClient.Transaction()
              .when(RecordCodec.LEADER, r.revision())
              .delete(RecordCodec.LEADER),
          RateLimiter.Urgency.VITAL,
          Constants.LEADER_CHANGE_MS);
    } else if (act instanceof Action.GrantLease g) {
      election.granted(store.grant(g.lifeMs()));
      return false;
    } else if (act instanceof Action.CreateKey c) {
      claim(c.lease());
      return false;
    } else if (act instanceof Action.VerifyKey v) {
      election.verified(standing(v.lease()));
      return false;
    } else if (act instanceof Action.CatchUp c) {
      boolean done = mirror.reach(c.revision(), Constants.LEADER_LEASE_MS);
      if (!done) {
        LOG.info("won token {} but could not read up to it: given up", c.revision());
      }
      election.caughtUp(c.revision(), done);
      return false;
    } else if (act instanceof Action.BeginTerm b) {
      begin(b.token());
    } else if (act instanceof Action.RenewLease r) {
      return renew(r.lease());
    } else {
      ended(List.of(act));
    }
    return true;
  }

  /** True if a rest follows: not after what ends a term, nor after a try that got no answer. */
  private boolean renew(long lease) throws IOException {
    long sentMs = LeaderTerm.nowMs();
    try {
      election.renewed(store.renew(lease));
      return token() != 0;
    } catch (IOException e) {
      election.renewed(null);
      if (LeaderTerm.nowMs() - sentMs < Constants.LEASE_TIMEOUT_MS) {
        throw e;
      }
      LOG.debug("renewal of the lease: {}", e.toString());
      return false;
    }
  }

  private void claim(long lease) throws InterruptedException {
    StoreClient.Transaction txn =
        new StoreClient.Transaction()
            .when(RecordCodec.LEADER, 0)
            .put(RecordCodec.LEADER, RecordCodec.leader(node), lease);
    StoreClient.Outcome outcome =
        store.commit(txn, RateLimiter.Urgency.VITAL, Constants.LEADER_CHANGE_MS);
    if (outcome instanceof StoreClient.Outcome.Committed a) {
      election.claimed(Election.KeyCreation.APPLIED, a.revision());
    } else if (outcome instanceof StoreClient.Outcome.Unknown) {
      election.claimed(Election.KeyCreation.UNKNOWN, 0);
    } else {
      election.claimed(Election.KeyCreation.REFUSED, 0);
    }
  }

  /** The revision of the key, if it stands on this lease and that could be prolonged; else 0. */
  private long standing(long lease) {
    try {
      return store.renew(lease) ? store.revisionOn(lease, RecordCodec.LEADER) : 0;
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
    } catch (Threads.ThreadUnavailableException e) {
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
    ended(election.beginFailed(ofToken, LeaderTerm.nowMs()));
  }
}
