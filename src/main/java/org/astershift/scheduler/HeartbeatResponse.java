package org.astershift.scheduler;

import java.util.List;

/**
 * The response to a heartbeat: the fencing token that it carries, and the commands in the order in
 * which the worker executes them.
 */
public record HeartbeatResponse(long fencingToken, List<Command> commands) {}
