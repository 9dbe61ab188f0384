package org.astershift.controller;

import org.astershift.coordination.CoalescerState;
import org.astershift.coordination.CoalescerState.Role;
import org.astershift.coordination.CoalescerState.Round;
import org.astershift.coordination.CoalescerState.Ticket;

/**
 * Lets concurrent callers with the same key share one result; {@link CoalescerState} decides which
 * caller computes it and which ones wait. Callable from any thread.
 */
final class RequestCoalescer<A> {
  /** Computes a result; the computation begins only after all callers that share it have asked. */
  interface Computation<A> {
    A compute(String key) throws InterruptedException;
  }

  private final Computation<A> computation;
  private final CoalescerState<A> state = new CoalescerState<>();

  RequestCoalescer(Computation<A> work) {
    this.computation = work;
  }

  /** Returns the result; null if another caller computed it and failed. */
  A get(String key) throws InterruptedException {
    synchronized (this) {
      Ticket<A> ticket = state.join(key);
      if (ticket.role() == Role.SHARE) {
        return awaitResult(ticket.round());
      }
      if (ticket.role() == Role.QUEUED) {
        awaitTurn(key);
      }
    }
    A result = null;
    try {
      result = computation.compute(key);
      return result;
    } finally {
      synchronized (this) {
        state.complete(key, result);
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

  private A awaitResult(Round<A> round) throws InterruptedException {
    while (!round.isCompleted()) {
      wait();
    }
    return round.result();
  }
}
