package org.astershift.simulation;

import java.util.HashMap;
import java.util.Map;
import org.astershift.scheduler.Heartbeat;

/**
 * Messages of workers wait in the leader's process before they are handled, each for itself: so
 * those of one machine are handled in another order than they were written, and a heartbeat maybe
 * after its worker gave it up.
 */
final class MessageQueueing {
  /** A message that waits is handled up to so much later than it arrives. */
  long maxWaitMs;

  /** Share of the heartbeats, and of the answers to direct commands, that wait. */
  double queuedShare;

  /** Workers send a heartbeat as soon as their tasks change, as the protocol has it. */
  boolean heartbeatsOnChange;

  /** Answers that were handled after a newer message of their machine's epoch. */
  int answersOvertaken;

  private final Simulation simulation;
  private final Map<String, Heartbeat> newestHandled = new HashMap<>();

  MessageQueueing(Simulation simulation) {
    this.simulation = simulation;
  }

  /** Handles a message in this process when its turn has come. */
  void handleInTurn(ProcessModel process, Runnable handling) {
    if (queuedShare == 0 || simulation.random.nextDouble() >= queuedShare) {
      handling.run();
    } else {
      process.runLater(simulation.random.nextLong(maxWaitMs), handling);
    }
  }

  /** The answer as a leader would read it that takes any answer for the machine's newest status. */
  Heartbeat asNewest(String leader, Heartbeat answer) {
    Heartbeat newest = newestHandled.get(leader + " " + answer.machineName());
    if (newest == null || !newest.isNewerThan(answer.epoch(), answer.sequence())) {
      return answer;
    }
    return DelayedHeartbeats.withPosition(
        answer, newest.epoch(), newest.sequence() + 1, answer.fencingToken());
  }

  /** A leader handles a message now. */
  void onHandled(String leader, Heartbeat message, boolean answer) {
    String machine = leader + " " + message.machineName();
    Heartbeat newest = newestHandled.get(machine);
    if (newest != null && newest.isNewerThan(message.epoch(), message.sequence())) {
      answersOvertaken += answer && newest.epoch() == message.epoch() ? 1 : 0;
    } else {
      newestHandled.put(machine, message);
    }
  }
}
