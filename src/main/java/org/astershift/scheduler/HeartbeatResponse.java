package org.astershift.scheduler;

import java.util.List;

/**
 * The response to a heartbeat.
 *
 * @param fencingToken the token that it carries
 * @param commands the commands in the order in which the worker executes them
 * @param maxDelayMs the time in milliseconds for which the response may wait for commands; 0 if it
 *     is to be sent at once. A waiting response is announced by {@link Scheduler#deferResponse},
 *     and completed after that time or on {@link Decision.SendDeferredResponse}
 */
public record HeartbeatResponse(long fencingToken, List<Command> commands, long maxDelayMs) {
  /** Creates a response that is to be sent at once. */
  static HeartbeatResponse immediate(long fencingToken, List<Command> commands) {
    return new HeartbeatResponse(fencingToken, commands, 0);
  }
}
