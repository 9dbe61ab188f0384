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
  private final ArrayDeque<String> waiting = new ArrayDeque<>();
  private boolean over;

  synchronized void add(String job) {
    waiting.addLast(job);
    notifyAll();
  }

  /** Waits for the first and takes at most so many; none once the term is over. */
  synchronized List<String> next(int most) throws InterruptedException {
    while (waiting.isEmpty() && !over) {
      wait();
    }
    List<String> out = new ArrayList<>();
    while (!over && !waiting.isEmpty() && out.size() < most) {
      out.add(waiting.removeFirst());
    }
    return out;
  }

  synchronized void end() {
    over = true;
    notifyAll();
  }
}
