package org.astershift.scheduler;

import java.util.StringJoiner;

/** The last events of one machine, for the log. */
final class MachineHistory {
  /** Bounds the memory: each event takes some 60 bytes. */
  private static final int MACHINE_EVENTS_KEPT = 8;

  private MachineEvent[] events;
  private int added;

  void add(MachineEvent event) {
    if (events == null) {
      events = new MachineEvent[MACHINE_EVENTS_KEPT];
    }
    events[added % MACHINE_EVENTS_KEPT] = event;
    added++;
  }

  /** The newest event; null if there was none. */
  MachineEvent newest() {
    return added == 0 ? null : events[(added - 1) % MACHINE_EVENTS_KEPT];
  }

  /** The events from the oldest kept to the newest. */
  String describe(long nowMs) {
    StringJoiner joined = new StringJoiner("; ", "[", "]");
    for (int i = Math.max(0, added - MACHINE_EVENTS_KEPT); i < added; i++) {
      joined.add(events[i % MACHINE_EVENTS_KEPT].describe(nowMs));
    }
    return joined.toString();
  }
}
