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
    A find(String key) throws InterruptedException;
  }

  private final Work<A> work;
  private final CoalescerState<A> rounds = new CoalescerState<>();

  RequestCoalescer(Work<A> work) {
    this.work = work;
  }

  /** Null where the one who worked it out failed: whoever shared its answer asks again. */
  A ask(String key) throws InterruptedException {
    synchronized (this) {
      Ticket<A> place = rounds.asks(key);
      if (place.part() == Role.SHARES) {
        return await(place.round());
      }
      if (place.part() == Role.FOLLOWS) {
        follow(key);
      }
    }
    A answer = null;
    try {
      answer = work.find(key);
      return answer;
    } finally {
      synchronized (this) {
        rounds.ends(key, answer);
        notifyAll();
      }
    }
  }

  private void follow(String key) throws InterruptedException {
    try {
      while (rounds.busy(key)) {
        wait();
      }
    } catch (InterruptedException e) {
      rounds.leaves(key);
      notifyAll();
      throw e;
    }
    rounds.begins(key);
  }

  private A await(Round<A> round) throws InterruptedException {
    while (!round.over()) {
      wait();
    }
    return round.answer();
  }
}
