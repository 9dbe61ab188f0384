package org.astershift.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A machine as the leader knows it. */
final class Machine {
  enum State {
    /** Rented, its worker has not reported yet, and it was never given a task. */
    BOOTING,
    /** Named by an earlier leader; may hold anything until it answers to this token. */
    UNHEARD,
    /** Answers to this leader's token. */
    LIVE,
    /** Its lease with this leader has run out: it holds nothing, but may come back. */
    LOST,
    /** To be given back; repeated until the cloud says it is gone. */
    RETURNING
  }

  final String name;
  final String type;
  final String zone;
  final boolean spot;
  String addr;
  State state;

  /** Its name is durable, so tasks may be placed on it. */
  boolean enrolled;

  /** On record as fresh: it never got a task. */
  boolean recorded;

  /** It has shown this leader's token in {@link #session}: no older leader can renew its lease. */
  boolean claimed;

  /** Named by an earlier leader: until it is claimed it may hold that leader's tasks. */
  boolean inherited;

  long session;

  long seq;
  final long knownMs;

  /** When a report of it was last answered: only this renews its lease. */
  long heardMs;

  /** When it last said anything, be it in answer to an order. */
  long seenMs;

  int directFailures;
  long listedMs = -1;
  Double noticeS;
  int failures;
  boolean condemned;
  long idleSinceMs;
  long holdUntilMs;
  boolean orderInFlight;
  long lastDirectMs = -1_000_000;

  /** Held attempts, and exited ones until the worker has forgotten them; by task name. */
  final Map<String, Run> runs = new LinkedHashMap<>();

  /** Images believed to be here, least recently used first: the worker does not report them. */
  final LinkedHashMap<String, Double> images = new LinkedHashMap<>(16, 0.75f, true);

  /** Within a pass: room made for tasks that wait for it. */
  double reservedCpus;

  double reservedGpus;
  double reservedMemory;
  double usedCpus;
  double usedGpus;
  double usedMemory;

  Machine(
      String name, String addr, String type, String zone, boolean spot, State state, long nowMs) {
    this.name = name;
    this.addr = addr;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.state = state;
    this.knownMs = nowMs;
    this.heardMs = nowMs;
    this.seenMs = nowMs;
    this.idleSinceMs = nowMs;
  }

  boolean usable(long nowMs) {
    return state == State.LIVE && enrolled && !condemned && noticeS == null && nowMs >= holdUntilMs;
  }

  boolean holdsAny() {
    for (Run r : runs.values()) {
      if (!r.exited()) {
        return true;
      }
    }
    return false;
  }

  List<Run> held() {
    List<Run> out = new ArrayList<>();
    for (Run r : runs.values()) {
      if (!r.exited()) {
        out.add(r);
      }
    }
    return out;
  }

  /** Notes that a task with this image had its image here. */
  void touchImage(String image, double gb, double cacheGb) {
    images.put(image, gb);
    images.get(image);
    double total = 0;
    for (double g : images.values()) {
      total += g;
    }
    var it = images.entrySet().iterator();
    while (total > cacheGb && images.size() > 1 && it.hasNext()) {
      total -= it.next().getValue();
      it.remove();
    }
  }
}
