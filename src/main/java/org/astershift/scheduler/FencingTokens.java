package org.astershift.scheduler;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The fencing tokens that one leader may use: from its term's token, the revision at which its
 * leader key was created, up to the latest revision at which the key is known to have been in
 * place. All of these are lower than a successor's token, which is the revision of a later
 * creation.
 *
 * <p>A machine's token is raised for two reasons. A token that no earlier incarnation can have seen
 * identifies the incarnation that shows it. And a worker that sees a higher token sends a heartbeat
 * at once, at most once in half of its lease.
 */
final class FencingTokens {
  private static final Logger LOG = LoggerFactory.getLogger(FencingTokens.class);

  /** Time for which a machine waits for a newer token before a record is written to get one. */
  private static final long NEWER_TOKEN_WAIT_MS = 1000;

  private final long termToken;
  private long latestToken;
  private long raisedCount;
  private Machine waitingMachine;
  private long waitingSinceMs;

  FencingTokens(long termToken) {
    this.termToken = termToken;
    this.latestToken = termToken;
  }

  /** Records that the leader key was in place at this revision. */
  void onLeadershipConfirmed(long revision) {
    latestToken = Math.max(latestToken, revision);
  }

  /** Returns whether only a leader of a later term can have sent this token. */
  boolean isOfLaterTerm(long token) {
    return token > latestToken;
  }

  /** Returns whether this leader has sent this token. */
  boolean isOfThisTerm(long token) {
    return token >= termToken && token <= latestToken;
  }

  /** Returns the token for commands and responses to the machine. */
  long of(Machine machine) {
    return Math.max(termToken, machine.token.raised);
  }

  /**
   * Raises the machine's token by one, which leaves the others of this term for later. Returns
   * false if no higher token is known to be of this term.
   */
  boolean raise(Machine machine) {
    long previous = of(machine);
    if (latestToken <= previous) {
      return false;
    }
    machine.token.raised = previous + 1;
    raisedCount++;
    LOG.debug("token raised: machine={} to={} latest={}", machine.name, previous + 1, latestToken);
    return true;
  }

  /**
   * Returns the lowest token that no incarnation can have seen before the one that has answered the
   * machine's last direct command.
   */
  long lowestUnseenByEarlierIncarnations(Machine machine) {
    return machine.token.sentOnce ? of(machine) : of(machine) + 1;
  }

  /**
   * Raises the token of a restarted machine so that its heartbeats identify its incarnation, unless
   * it is high enough. A direct command in flight has the previous token and must not be refused,
   * so the token is not raised then.
   */
  void raiseToIdentifyIncarnation(Machine machine, long nowMs) {
    if (of(machine) >= machine.token.minOfIncarnation || machine.directCommands.isInFlight()) {
      return;
    }
    if (!raise(machine) && waitingMachine == null) {
      waitingMachine = machine;
      waitingSinceMs = nowMs;
    }
  }

  /**
   * Returns a machine whose record is to be written again, because the machine waits for a newer
   * token and no other write has confirmed the leadership; null if there is none.
   */
  Machine pollMachineToRegister(long nowMs) {
    if (waitingMachine == null || nowMs - waitingSinceMs < NEWER_TOKEN_WAIT_MS) {
      return null;
    }
    Machine machine = waitingMachine;
    waitingMachine = null;
    return of(machine) < latestToken || machine.state != Machine.State.LIVE ? null : machine;
  }

  /** Returns how often a machine's token was raised in this term. */
  long raisedCount() {
    return raisedCount;
  }
}
