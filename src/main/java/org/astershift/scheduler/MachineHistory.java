package org.astershift.scheduler;

import java.util.ArrayDeque;
import java.util.StringJoiner;

/** The last events of one machine, for the log. */
final class MachineHistory {
  /** Bounds the memory: each event takes some 60 bytes. */
  private static final int MACHINE_EVENTS_KEPT = 8;

  /** The oldest first. */
  private final ArrayDeque<MachineEvent> events = new ArrayDeque<>(MACHINE_EVENTS_KEPT + 1);

  void add(MachineEvent event) {
    events.addLast(event);
    if (events.size() > MACHINE_EVENTS_KEPT) {
      events.removeFirst();
    }
  }

  /** The newest event; null if there was none. */
  MachineEvent newest() {
    return events.peekLast();
  }

  /** The events from the oldest kept to the newest. */
  String describe(long nowMs) {
    StringJoiner joined = new StringJoiner("; ", "[", "]");
    for (MachineEvent event : events) {
      joined.add(event.describe(nowMs));
    }
    return joined.toString();
  }
}
