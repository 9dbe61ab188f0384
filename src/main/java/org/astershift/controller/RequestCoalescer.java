package org.astershift.controller;

import org.astershift.coordination.CoalescerState;
import org.astershift.coordination.CoalescerState.Role;
import org.astershift.coordination.CoalescerState.Round;
import org.astershift.coordination.CoalescerState.Ticket;

/**
 * Lets those who ask the same at the same time share an answer: the waits of {@link
 * CoalescerState}.
 */
final class RequestCoalescer<A> {
  /** Finds the answer; each call begins after all who share it have asked. */
  interface Work<A> {
    A compute(String key) throws InterruptedException;
  }

  private final Work<A> work;
  private final CoalescerState<A> state = new CoalescerState<>();

  RequestCoalescer(Work<A> work) {
    this.work = work;
  }

  /** Null where the one who worked it out failed: whoever shared its answer asks again. */
  A get(String key) throws InterruptedException {
    synchronized (this) {
      Ticket<A> ticket = state.join(key);
      if (ticket.role() == Role.SHARE) {
        return awaitAnswer(ticket.round());
      }
      if (ticket.role() == Role.QUEUED) {
        awaitTurn(key);
      }
    }
    A answer = null;
    try {
      answer = work.compute(key);
      return answer;
    } finally {
      synchronized (this) {
        state.complete(key, answer);
        notifyAll();
      }
    }
  }

  private void awaitTurn(String key) throws InterruptedException {
    try {
      while (state.isComputing(key)) {
        wait();
      }
    } catch (InterruptedException e) {
      state.abandonQueued(key);
      notifyAll();
      throw e;
    }
    state.beginQueued(key);
  }

  private A awaitAnswer(Round<A> round) throws InterruptedException {
    while (!round.completed()) {
      wait();
    }
    return round.answer();
  }
}
