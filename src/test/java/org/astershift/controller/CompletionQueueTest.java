package org.astershift.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The order and the batches in which job completions are taken. */
class CompletionQueueTest {
  @Test
  void completionsAreTakenInArrivalOrder() throws Exception {
    CompletionQueue queue = new CompletionQueue();
    for (String job : List.of("a", "b", "c", "d", "e")) {
      queue.add(job);
    }
    assertEquals(List.of("a", "b", "c", "d"), queue.takeBatch(4));
    assertEquals(List.of("e"), queue.takeBatch(4));
    queue.add("f");
    queue.close();
    assertEquals(List.of(), queue.takeBatch(4), "a closed queue yields nothing");
  }
}
