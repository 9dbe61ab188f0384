package org.astershift.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which ends go out together. */
class CompletionQueueTest {
  @Test
  void completionsAreTakenInArrivalOrder() throws Exception {
    CompletionQueue ends = new CompletionQueue();
    for (String job : List.of("a", "b", "c", "d", "e")) {
      ends.add(job);
    }
    assertEquals(List.of("a", "b", "c", "d"), ends.takeBatch(4));
    assertEquals(List.of("e"), ends.takeBatch(4));
    ends.add("f");
    ends.close();
    assertEquals(List.of(), ends.takeBatch(4), "a term that is over ends nothing");
  }
}
