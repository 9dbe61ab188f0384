package org.astershift.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Shares one answer among users who ask about the same job, as in the program. A question that
 * arrives while an answer is being fetched waits for the next one, because that answer may be older
 * than the question.
 */
final class RequestCoalescerModel {
  private final ControllerModel controller;
  private final BiConsumer<String, Consumer<String>> fetch;
  private final Map<String, Batch> batches = new HashMap<>();

  /** Creates a coalescer; {@code fetch} fetches the answer for a job. */
  RequestCoalescerModel(ControllerModel controller, BiConsumer<String, Consumer<String>> fetch) {
    this.controller = controller;
    this.fetch = fetch;
  }

  /** The questions that wait for the answer in flight, and those that wait for the one after it. */
  private static final class Batch {
    final List<Consumer<String>> inFlight = new ArrayList<>();
    final List<Consumer<String>> next = new ArrayList<>();
  }

  void ask(String job, Consumer<String> answer) {
    Batch batch = batches.computeIfAbsent(job, key -> new Batch());
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
