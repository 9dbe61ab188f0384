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
  private final BiConsumer<String, Consumer<String>> find;
  private final Map<String, Batch> batches = new HashMap<>();

  /** {@code find}: finds the answer for a job. */
  RequestCoalescerModel(ControllerModel controller, BiConsumer<String, Consumer<String>> find) {
    this.controller = controller;
    this.find = find;
  }

  /** Who waits for the answer that is being found, and for the one after it. */
  private static final class Batch {
    final List<Consumer<String>> answering = new ArrayList<>();
    final List<Consumer<String>> next = new ArrayList<>();
  }

  void ask(String job, Consumer<String> answer) {
    Batch batch = batches.computeIfAbsent(job, j -> new Batch());
    boolean joins =
        controller.mutated(Mutation.JOIN_REQUEST_IN_FLIGHT) && !batch.answering.isEmpty();
    (joins ? batch.answering : batch.next).add(answer);
    if (batch.answering.isEmpty()) {
      findNext(job, batch);
    }
  }

  private void findNext(String job, Batch batch) {
    batch.answering.addAll(batch.next);
    batch.next.clear();
    find.accept(
        job,
        state -> {
          List<Consumer<String>> waiting = new ArrayList<>(batch.answering);
          batch.answering.clear();
          waiting.forEach(answer -> answer.accept(state));
          if (batch.answering.isEmpty() && !batch.next.isEmpty()) {
            findNext(job, batch);
          }
        });
  }
}
