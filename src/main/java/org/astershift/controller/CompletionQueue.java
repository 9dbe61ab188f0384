package org.astershift.controller;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Completed jobs whose end is not on record yet, in the order in which their users wait. While one
 * transaction is under way those that complete gather for the next, so that many ends at once cost
 * few requests.
 */
final class CompletionQueue {
  private final ArrayDeque<String> pending = new ArrayDeque<>();
  private boolean closed;

  synchronized void add(String jobId) {
    pending.addLast(jobId);
    notifyAll();
  }

  /** Waits for the first and takes at most so many; none once the term is over. */
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
