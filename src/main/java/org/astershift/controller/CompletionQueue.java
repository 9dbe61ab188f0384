package org.astershift.controller;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Completed jobs whose end is not durable yet, first in first out. Those that complete while one
 * transaction is in flight gather for the next, so that many ends cost few requests. Callable from
 * any thread.
 */
final class CompletionQueue {
  private final ArrayDeque<String> pending = new ArrayDeque<>();
  private boolean closed;

  synchronized void add(String jobId) {
    pending.addLast(jobId);
    notifyAll();
  }

  /** Waits for the first and takes up to {@code maxJobs}; empty once closed. */
  synchronized List<String> takeBatch(int maxJobs) throws InterruptedException {
    while (pending.isEmpty() && !closed) {
      wait();
    }
    List<String> batch = new ArrayList<>();
    while (!closed && !pending.isEmpty() && batch.size() < maxJobs) {
      batch.add(pending.removeFirst());
    }
    return batch;
  }

  synchronized void close() {
    closed = true;
    notifyAll();
  }
}
