package org.astershift.scheduler;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.StringJoiner;

/** Keeps the last events of one machine, for the log. */
final class MachineHistory {
  /** Bounds the memory per machine: each event takes about 60 bytes. */
  private static final int MACHINE_EVENTS_KEPT = 8;

  /** The events, oldest first. */
  private final ArrayDeque<MachineEvent> events = new ArrayDeque<>(MACHINE_EVENTS_KEPT + 1);

  void add(MachineEvent event) {
    events.addLast(event);
    if (events.size() > MACHINE_EVENTS_KEPT) {
      events.removeFirst();
    }
  }

  /** Formats the newest kept message of the machine for the log; "none" if there is none. */
  String formatNewestMessage(long nowMs) {
    Iterator<MachineEvent> newestFirst = events.descendingIterator();
    while (newestFirst.hasNext()) {
      MachineEvent event = newestFirst.next();
      if (event.evidence() != null) {
        return event.format(nowMs);
      }
    }
    return "none";
  }

  /** Returns the newest event, or null if there is none. */
  MachineEvent newest() {
    return events.peekLast();
  }

  /** Formats the kept events for the log, oldest first, with their ages as of {@code nowMs}. */
  String formatEvents(long nowMs) {
    StringJoiner joined = new StringJoiner("; ", "[", "]");
    for (MachineEvent event : events) {
      joined.add(event.format(nowMs));
    }
    return joined.toString();
  }
}
