package org.astershift.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Users who ask about the same job share an answer, as in the program. A question that comes while
 * an answer is being found waits for the next one: the first may be older than the question.
 */
final class RequestCoalescerModel {
  private final ControllerModel controller;
  private final BiConsumer<String, Consumer<String>> fetch;
  private final Map<String, Batch> batches = new HashMap<>();

  /** {@code fetch}: finds the answer for a job. */
  RequestCoalescerModel(ControllerModel controller, BiConsumer<String, Consumer<String>> find) {
    this.controller = controller;
    this.fetch = find;
  }

  /** Who waits for the answer that is being found, and for the one after it. */
  private static final class Batch {
    final List<Consumer<String>> inFlight = new ArrayList<>();
    final List<Consumer<String>> next = new ArrayList<>();
  }

  void ask(String job, Consumer<String> answer) {
    Batch batch = batches.computeIfAbsent(job, j -> new Batch());
    boolean joins =
        controller.hasMutation(Mutation.JOIN_REQUEST_IN_FLIGHT) && !batch.inFlight.isEmpty();
    (joins ? batch.inFlight : batch.next).add(answer);
    if (batch.inFlight.isEmpty()) {
      fetchNext(job, batch);
    }
  }

  private void fetchNext(String job, Batch batch) {
    batch.inFlight.addAll(batch.next);
    batch.next.clear();
    fetch.accept(
        job,
        state -> {
          List<Consumer<String>> waiting = new ArrayList<>(batch.inFlight);
          batch.inFlight.clear();
          waiting.forEach(answer -> answer.accept(state));
          if (batch.inFlight.isEmpty() && !batch.next.isEmpty()) {
            fetchNext(job, batch);
          }
        });
  }
}
