package org.astershift.leader;

import java.util.HashMap;
import java.util.Map;

/**
 * Lets those who ask the same at the same time share an answer. An answer may be given only to who
 * asked before the work for it began: otherwise a user who has heard from another node meanwhile
 * that the job is over would be told something older. So who comes while an answer is being worked
 * out shares the next one, and however many ask, one is in work and one follows.
 */
final class Shared<A> {
  /** Finds the answer; each call begins after all who share it have asked. */
  interface Work<A> {
    A find(String key) throws InterruptedException;
  }

  /** Those who wait for one answer. */
  private static final class Round<A> {
    private A answer;
    private boolean over;
  }

  private final Work<A> work;
  private final Map<String, Round<A>> running = new HashMap<>();
  private final Map<String, Round<A>> next = new HashMap<>();

  Shared(Work<A> work) {
    this.work = work;
  }

  A ask(String key) throws InterruptedException {
    Round<A> mine;
    synchronized (this) {
      mine = next.get(key);
      if (mine != null) {
        return await(mine);
      }
      mine = new Round<>();
      if (running.containsKey(key)) {
        // The first of the next round works it out, once the present one is over.
        next.put(key, mine);
        try {
          while (running.containsKey(key)) {
            wait();
          }
        } catch (InterruptedException e) {
          mine.over = true;
          notifyAll();
          throw e;
        } finally {
          next.remove(key);
        }
      }
      running.put(key, mine);
    }
    try {
      mine.answer = work.find(key);
    } finally {
      synchronized (this) {
        mine.over = true;
        running.remove(key);
        notifyAll();
      }
    }
    return mine.answer;
  }

  /** Null where the one who worked it out failed: whoever asked asks again. */
  private A await(Round<A> round) throws InterruptedException {
    while (!round.over) {
      wait();
    }
    return round.answer;
  }
}
