package org.astershift.simulation;

import java.util.HashMap;
import java.util.Map;
import org.astershift.scheduler.Heartbeat;

/**
 * Delays messages of workers in the leader's process before they are handled. Each message waits
 * independently, so the messages of one machine may be handled in another order than they were
 * sent, and a heartbeat possibly after its worker's timeout.
 */
final class MessageQueueing {
  /** Longest time that a message waits between its arrival and its handling, in milliseconds. */
  long maxWaitMs;

  /** Share of the heartbeats, and of the answers to direct commands, that wait. */
  double queuedShare;

  /** Whether workers send a heartbeat as soon as their tasks change, as in the protocol. */
  boolean heartbeatsOnChange;

  /** Answers that were handled after a newer message from the same epoch of their machine. */
  int answersOvertaken;

  private final Simulation simulation;
  private final Map<String, Heartbeat> newestHandled = new HashMap<>();

  MessageQueueing(Simulation simulation) {
    this.simulation = simulation;
  }

  /** Handles a message in this process, at once or after a random wait. */
  void handleInTurn(ProcessModel process, Runnable handling) {
    if (queuedShare == 0 || simulation.random.nextDouble() >= queuedShare) {
      handling.run();
    } else {
      process.runLater(simulation.random.nextLong(maxWaitMs), handling);
    }
  }

  /**
   * Returns the answer as it is read by a leader that takes every answer for the machine's newest
   * status.
   */
  Heartbeat asNewest(String leader, Heartbeat answer) {
    Heartbeat newest = newestHandled.get(leader + " " + answer.machineName());
    if (newest == null || !newest.isNewerThan(answer.epoch(), answer.sequence())) {
      return answer;
    }
    return DelayedHeartbeats.withPosition(
        answer, newest.epoch(), newest.sequence() + 1, answer.fencingToken());
  }

  /** Records that a leader handles a message now. */
  void onHandled(String leader, Heartbeat message, boolean answer) {
    String key = leader + " " + message.machineName();
    Heartbeat newest = newestHandled.get(key);
    if (newest != null && newest.isNewerThan(message.epoch(), message.sequence())) {
      answersOvertaken += answer && newest.epoch() == message.epoch() ? 1 : 0;
    } else {
      newestHandled.put(key, message);
    }
  }
}
