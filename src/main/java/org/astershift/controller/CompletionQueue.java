package org.astershift.controller;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * FIFO queue of completed jobs whose end is not durable yet. Jobs that complete while a transaction
 * is in flight are batched in the next one, so that many job ends take few requests. Callable from
 * any thread.
 */
final class CompletionQueue {
  private final ArrayDeque<String> pending = new ArrayDeque<>();
  private boolean isClosed;

  synchronized void add(String jobId) {
    pending.addLast(jobId);
    notifyAll();
  }

  /**
   * Waits until the queue has a job and removes up to {@code maxJobs}; returns an empty list once
   * the queue is closed.
   */
  synchronized List<String> takeBatch(int maxJobs) throws InterruptedException {
    while (pending.isEmpty() && !isClosed) {
      wait();
    }
    List<String> batch = new ArrayList<>();
    while (!isClosed && !pending.isEmpty() && batch.size() < maxJobs) {
      batch.add(pending.removeFirst());
    }
    return batch;
  }

  synchronized void close() {
    isClosed = true;
    notifyAll();
  }
}
