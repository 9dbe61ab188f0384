package org.astershift.scheduler;

import java.util.HashMap;
import java.util.Map;
import org.astershift.config.Constants;

/**
 * How many direct orders may be under way at once. It follows what is being answered: some more
 * with each answer in time, half as many once answers come late, since then this node, or its
 * network, has more to do than it can. After a change of leaders of a large fleet each machine had
 * an order of its own beside its report, a thousand at once on a fifth of a core, and the renewals,
 * lists and passes that all waited for came seconds late. What finds no place waits for the answer
 * to its machine's next report, which carries the same commands.
 */
final class CommandConcurrencyLimit {
  private final Map<String, Long> underWay = new HashMap<>();
  private double most = Constants.ORDERS_AT_FIRST;
  private long loweredMs = Long.MIN_VALUE / 2;

  /** Whether one more may go out. */
  boolean open() {
    return underWay.size() < most;
  }

  void sent(String machine, long nowMs) {
    underWay.put(machine, nowMs);
  }

  /** The order, if one was under way, has its answer, or will get none. */
  void settled(String machine, boolean answered, long nowMs) {
    Long sentMs = underWay.remove(machine);
    if (sentMs == null || !answered) {
      return; // a machine that does not answer says nothing of this node
    }
    if (nowMs - sentMs <= Constants.ORDER_SLOW_MS) {
      most = Math.min(Constants.ORDERS_MOST, most + Constants.ORDERS_MORE);
    } else if (sentMs > loweredMs) {
      // Once for all that were under way together.
      loweredMs = nowMs;
      most = Math.max(Constants.ORDERS_LEAST, most / 2);
    }
  }

  /** Forgets those whose end was not told: none takes so long. */
  void tidy(long nowMs) {
    underWay.values().removeIf(sentMs -> nowMs - sentMs > Constants.ORDER_LOST_MS);
  }

  @Override
  public String toString() {
    return underWay.size() + " of " + (int) most + " direct orders under way";
  }
}
