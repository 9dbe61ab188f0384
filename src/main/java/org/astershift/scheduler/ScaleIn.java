package org.astershift.scheduler;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.astershift.config.Constants;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Which machines to give back: idle, silent, faulty or late to boot. */
final class ScaleIn {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleIn.class);

  /** The cloud takes no more names in one call. */
  private static final int NAMES_A_CALL = 100;

  private final ClusterState c;
  private final FailureDetector silence;
  private final Set<String> failedNames = new HashSet<>();
  private final Set<String> asked = new HashSet<>();

  /** By type, how many machines were idle at the least lately. */
  private final Map<String, WindowMinimum> leastIdle = new HashMap<>();

  ScaleIn(ClusterState cluster, FailureDetector silence) {
    this.c = cluster;
    this.silence = silence;
  }

  /** A failed machine stays listed until it is deleted. */
  void failed(String name) {
    failedNames.add(name);
  }

  /** The cloud answered 200 to the return of these. */
  void returned(List<String> names, long nowMs) {
    for (String name : names) {
      asked.remove(name);
      failedNames.remove(name);
      c.gone(name, "returned", nowMs);
    }
  }

  /** A return did not get its answer: it is asked for again by a later plan. */
  void notReturned(List<String> names) {
    asked.removeAll(names);
  }

  /**
   * {@code sole}: no other node can lead. Otherwise another leader may use what seems needless
   * here, and only silence counts, which it may be that nobody else can end.
   */
  void plan(List<Decision> out, boolean sole, long nowMs) {
    List<String> names = new ArrayList<>();
    List<String> silent = new ArrayList<>();
    for (String name : failedNames) {
      if (asked.add(name)) {
        names.add(name);
      }
    }
    silence.survey(nowMs);
    Set<Machine> needless = needless(nowMs);
    for (Machine m : c.all()) {
      String why = null;
      if (m.state != Machine.State.RETURNING) {
        if (silence.silent(m, nowMs)) {
          m.givenUp = silence.giveUp(m, nowMs);
          why = m.givenUp ? "silent with " + m.heldCount() + " tasks" : null;
        } else if (sole) {
          why = whyReturn(m, needless, nowMs);
        }
      }
      if (why != null) {
        LOG.info("machine {} ({} in {}) is returned: {}", m.name, m.type, m.zone, why);
        c.enter(m, Machine.State.RETURNING);
      }
      if (m.state == Machine.State.RETURNING && asked.add(m.name)) {
        (m.givenUp ? silent : names).add(m.name);
      }
    }
    silence.tell(nowMs);
    calls(out, names, false);
    calls(out, silent, true);
  }

  private static void calls(List<Decision> out, List<String> names, boolean silent) {
    for (int i = 0; i < names.size(); i += NAMES_A_CALL) {
      List<String> call = names.subList(i, Math.min(names.size(), i + NAMES_A_CALL));
      out.add(new Decision.ReleaseMachines(call, silent));
    }
  }

  private String whyReturn(Machine m, Set<Machine> needless, long nowMs) {
    MachineType t = m.kind;
    switch (m.state) {
      case BOOTING -> {
        double limit =
            t == null
                ? Constants.BOOT_UNKNOWN_MS
                : t.bootS() * 1000 * Constants.BOOT_PATIENCE + Constants.BOOT_PATIENCE_MS;
        return nowMs - m.knownMs > limit ? "not up after " + (nowMs - m.knownMs) + " ms" : null;
      }
      case LIVE -> {
        if (m.condemned) {
          for (TaskAttempt run : m.held()) {
            c.stop(run);
          }
          return m.holdsAny() ? null : "faulty";
        }
        boolean idle =
            m.idle()
                && (nowMs - m.idleSinceMs > idleReleaseMs(m) || needless.contains(m))
                && nowMs - m.knownMs > Constants.CHARGED_LEAST_MS;
        return idle ? "idle" : null;
      }
      default -> {
        return null;
      }
    }
  }

  /**
   * How long an idle machine is kept: about as long as one takes to come back, since that is what
   * giving it back too early costs; longer where it is spot and its replacement may not be.
   */
  private double idleReleaseMs(Machine m) {
    double boot = m.kind == null ? 0 : m.kind.bootS() * Constants.IDLE_BOOTS;
    double keep = Math.max(c.policy.idleReleaseS(), boot);
    return keep * (m.spot ? Constants.IDLE_SPOT : 1) * 1000;
  }

  /**
   * Idle machines that will not be wanted for longer than a new one takes to come. If machines of a
   * type are taken from idleness at some rate, the tenth idle one waits for ten of them: after a
   * queue, from which none was ever idle, all go at once. Tasks of seconds take each idle one many
   * times over, though, and then as many are needless as were idle at every moment of that time.
   * The cheap ones among them may stay as long as all together cost little beside the fleet.
   */
  private Set<Machine> needless(long nowMs) {
    Map<String, List<Machine>> idle = new HashMap<>();
    double allowance = 0;
    for (Machine m : c.all()) {
      if (m.state == Machine.State.LIVE && m.kind != null) {
        allowance += m.kind.price(m.spot) * Constants.IDLE_SHARE;
        List<Machine> same = idle.computeIfAbsent(m.type, t -> new ArrayList<>());
        if (m.idle()) {
          same.add(m);
        }
      }
    }
    leastIdle.keySet().retainAll(idle.keySet());
    List<Machine> surplus = new ArrayList<>();
    for (Map.Entry<String, List<Machine>> e : idle.entrySet()) {
      List<Machine> machines = e.getValue();
      MachineType type = c.machineTypes.all().get(e.getKey());
      double boots = type.bootS() * Constants.IDLE_BOOTS;
      long windowMs = (long) (1000 * Math.max(c.policy.idleReleaseS(), boots));
      int least =
          leastIdle
              .computeIfAbsent(e.getKey(), t -> new WindowMinimum())
              .of(machines.size(), nowMs, windowMs);
      machines.sort(
          Comparator.comparing((Machine m) -> m.spot).thenComparingLong(m -> m.idleSinceMs));
      double wanted = c.reusedPerS(e.getKey(), nowMs) * boots;
      int needless = Math.max(least, machines.size() - (int) Math.min(wanted, machines.size()));
      surplus.addAll(machines.subList(0, needless));
    }
    surplus.sort(Comparator.comparingDouble(m -> m.kind.price(m.spot)));
    Set<Machine> out = new HashSet<>();
    for (Machine m : surplus) {
      allowance -= m.kind.price(m.spot);
      if (allowance < 0 && nowMs - m.idleSinceMs > Constants.IDLE_LEAST_MS) {
        out.add(m);
      }
    }
    return out;
  }

  /** The least of a number within a window of time; nothing before the window is full. */
  private static final class WindowMinimum {
    /** Times and values, both rising: what a later and smaller value makes needless is left out. */
    private final ArrayDeque<long[]> values = new ArrayDeque<>();

    private long fromMs = -1;

    int of(int value, long nowMs, long windowMs) {
      fromMs = fromMs < 0 ? nowMs : fromMs;
      while (!values.isEmpty() && values.peekLast()[1] >= value) {
        values.removeLast();
      }
      values.addLast(new long[] {nowMs, value});
      while (nowMs - values.peekFirst()[0] > windowMs) {
        values.removeFirst();
      }
      return nowMs - fromMs < windowMs ? 0 : (int) values.peekFirst()[1];
    }
  }
}
