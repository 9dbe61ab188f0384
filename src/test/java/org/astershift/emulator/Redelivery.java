package org.astershift.emulator;

import java.util.List;

/**
 * What became of copies of direct requests.
 *
 * @param statuses the statuses of the responses
 * @param startedTasks the tasks that the copies started
 */
public record Redelivery(List<Integer> statuses, List<String> startedTasks) {}
