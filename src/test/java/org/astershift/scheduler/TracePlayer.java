package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.astershift.config.OperatorSettings;

/** Turns the lines of a trace into calls of a scheduler, and what it says into lines. */
final class TracePlayer {
  private static final long TOKEN = 7;
  private final Map<String, Team> teams = new LinkedHashMap<>();
  private final List<ServiceLevelObjective> objectives = new ArrayList<>();
  private final Map<String, MachineType> types = new LinkedHashMap<>();
  private SchedulingPolicy policy = OperatorSettings.defaults();
  private final Map<String, Heartbeat> lastHeartbeats = new HashMap<>();

  /** The direct order to each machine that was decided last. */
  private final Map<String, Decision.SendCommands> lastDirectCommands = new HashMap<>();

  private Scheduler scheduler;

  /** There are other controllers, and the trace says what they answer. */
  private boolean hasPeers;

  /** The question to the other controllers that was decided last. */
  private Decision.ProbeThroughPeers lastPeerProbe;

  private double cancellationS = 40;

  List<String> play(String line) {
    String[] words = line.trim().split("\\s+");
    Map<String, String> named = new HashMap<>();
    List<String> plain = new ArrayList<>();
    for (String w : words) {
      int eq = w.indexOf('=');
      if (eq > 0) {
        named.put(w.substring(0, eq), w.substring(eq + 1));
      } else {
        plain.add(w);
      }
    }
    EventLine w = new EventLine(plain, named);
    if (Character.isDigit(line.charAt(0))) {
      return playTimedEvent((long) (Double.parseDouble(plain.get(0)) * 1000), w);
    }
    switch (plain.get(0)) {
      case "team" ->
          teams.put(
              plain.get(1),
              new Team(
                  plain.get(1),
                  w.number("cpus", 0),
                  w.number("cpus_max", 0),
                  w.number("gpus", 0),
                  w.number("gpus_max", 0)));
      case "objective" ->
          objectives.add(
              new ServiceLevelObjective("wait", plain.get(1), w.number("within", 1), 0.9, 1));
      case "cancellation" -> cancellationS = w.number("within", cancellationS);
      case "policy" ->
          policy =
              new SchedulingPolicy(
                  (int) w.number("window", policy.windowTasks()),
                  w.number("utilization", policy.utilizationThreshold()),
                  (int) w.number("batch", policy.machineBatchTasks()),
                  w.number("age", policy.waitingAgeS()),
                  w.number("idle", policy.idleReleaseS()));
      case "type" ->
          types.put(
              plain.get(1),
              new MachineType(
                  plain.get(1),
                  w.number("cpus", 4),
                  w.number("gpus", 0),
                  w.number("mem", 16),
                  w.number("cache", 50),
                  0.5,
                  w.number("price", 1),
                  w.number("spot", 0.3),
                  w.number("boot", 20),
                  List.of(w.text("zones", "a").split(","))));
      case "peers" -> hasPeers = true;
      case "inherit" ->
          getOrCreateScheduler()
              .addInheritedMachine(
                  plain.get(1), plain.get(1) + ":1", plain.get(2), plain.get(3), false, 0);
      default -> throw new IllegalArgumentException("not an event: " + line);
    }
    return List.of();
  }

  private record EventLine(List<String> words, Map<String, String> options) {
    double number(String name, double otherwise) {
      String v = options.get(name);
      return v == null ? otherwise : Double.parseDouble(v);
    }

    String text(String name, String otherwise) {
      return options.getOrDefault(name, otherwise);
    }

    boolean hasFlag(String word) {
      return words.contains(word);
    }
  }

  private Scheduler getOrCreateScheduler() {
    if (scheduler == null) {
      teams.putIfAbsent("team", new Team("team", 0, 0, 0, 0));
      scheduler =
          new Scheduler(
              new DeploymentLimits(teams, objectives, 2, 14, 30, 4, cancellationS, 3),
              policy,
              TOKEN);
      scheduler.updateMachineTypes(types);
    }
    return scheduler;
  }

  private List<String> playTimedEvent(long now, EventLine w) {
    List<String> p = w.words();
    Scheduler s = getOrCreateScheduler();
    switch (p.get(1)) {
      case "job" -> s.addJob(jobSpec(w), w.hasFlag("opened"), new BitSet(), now);
      case "heartbeat" -> {
        lastHeartbeats.put(p.get(2), heartbeat(w));
        List<Command> answer = s.onHeartbeat(lastHeartbeats.get(p.get(2)), now, now);
        return answer == null ? List.of("not answered") : describeCommands(answer);
      }
      case "heartbeats" -> repeatLastHeartbeats(now, p.subList(2, p.size()));
      case "answered" -> s.onCommandResult(p.get(2), false, heartbeat(w), now, now);
      case "unanswered" -> s.onCommandResult(p.get(2), true, null, now, now);
      case "unsent" -> s.onCommandResult(p.get(2), false, null, now, now);
      case "pass" -> {
        return pass(now, (long) (w.number("lease_certain", 1e9) * 1000));
      }
      case "dispatch" -> {
        // The turn of a direct order that a pass decided, to be sent now.
        Decision.SendCommands d = lastDirectCommands.get(p.get(2));
        boolean sole = now < (long) (w.number("lease_certain", 1e9) * 1000);
        return s.directCommandsStillDue(d, now)
            ? describeCommands(s.commandsStillWanted(d, sole))
            : List.of("not due");
      }
      case "process_resumed" -> s.onProcessResumed(now);
      case "opened" -> s.onJobOpened(p.get(2));
      case "placement" -> s.restorePlacement(p.get(2), p.subList(3, p.size()));
      case "registered" -> s.onMachineRegistered(p.get(2));
      case "ended" -> s.onJobEnded(p.get(2), w.hasFlag("cancelled"), now);
      case "cancel" -> {
        s.requestCancellation(p.get(2));
        String may = s.mayStart(p.get(2)) ? ", may start" : "";
        return List.of("confirmable " + s.canConfirmCancellation(p.get(2)) + may);
      }
      case "released" -> s.onMachinesReleased(List.of(p.get(2)), now);
      case "provisioned" -> {
        s.onMachinesProvisioned(
            "r",
            List.of(p.get(2)),
            new Decision.ProvisionMachines(p.get(3), p.get(4), w.hasFlag("spot"), 1),
            now);
        if (!w.hasFlag("unregistered")) {
          s.onMachineRegistered(p.get(2));
        }
      }
      case "no_capacity" ->
          s.onProvisioningFailed(
              "r",
              new Decision.ProvisionMachines(p.get(2), p.get(3), w.hasFlag("spot"), 1),
              true,
              now);
      case "saved" -> {
        BitSet done = new BitSet();
        done.set((int) w.number("task", 0));
        s.onProgressPersisted(p.get(2), done);
      }
      case "list" -> s.onMachineList(listedMachines(w), now, now);
      case "probed" -> {
        // Each word is what one controller reached of those asked, by comma; "nobody" reached none.
        List<Decision.PeerProbeResult> told = new ArrayList<>();
        for (String one : p.subList(2, p.size())) {
          told.add(probeResult(List.of(one.split(","))));
        }
        s.onPeerProbeResults(lastPeerProbe, told);
      }
      case "isolated" -> {
        return List.of("isolated " + s.isIsolated());
      }
      case "summary" -> {
        s.serviceSummary(now);
        Job job = s.job(p.get(2));
        return List.of(
            p.get(2) + (job.startWarningLogged ? " has not started" : " is not warned of"));
      }
      case "show" -> {
        return List.of(describeJob(s, p.get(2)));
      }
      default -> throw new IllegalArgumentException("not an event: " + p);
    }
    return List.of();
  }

  /** Each of these machines repeats its last heartbeat. */
  private void repeatLastHeartbeats(long now, List<String> machineNames) {
    for (String name : machineNames) {
      Heartbeat before = lastHeartbeats.get(name);
      Heartbeat next =
          new Heartbeat(
              name,
              before.address(),
              before.typeName(),
              before.zone(),
              before.spot(),
              before.epoch(),
              before.sequence() + 1,
              TOKEN,
              before.preemptionNoticeS(),
              before.tasks());
      lastHeartbeats.put(name, next);
      scheduler.onHeartbeat(next, now, now);
    }
  }

  /** Until {@code leaseCertainUntilMs} no other controller can lead. */
  private List<String> pass(long now, long leaseCertainUntilMs) {
    List<String> out = new ArrayList<>();
    for (Decision decision : scheduler.runPass(now, leaseCertainUntilMs)) {
      if (decision instanceof Decision.ProbeThroughPeers probe) {
        lastPeerProbe = probe;
        if (!hasPeers) {
          scheduler.onPeerProbeResults(probe, List.of()); // there is no other controller
          continue;
        }
      }
      if (decision instanceof Decision.SendCommands commands) {
        lastDirectCommands.put(commands.machineName(), commands);
      }
      out.add(describeDecision(decision));
    }
    return out;
  }

  private static List<ListedMachine> listedMachines(EventLine w) {
    List<ListedMachine> listed = new ArrayList<>();
    for (String name : w.words().subList(2, w.words().size())) {
      listed.add(
          new ListedMachine(
              name,
              name + ":1",
              w.text("type", "small"),
              "a",
              false,
              w.text("state", "running"),
              5));
    }
    return listed;
  }

  private Decision.PeerProbeResult probeResult(List<String> reached) {
    Set<String> no = new HashSet<>();
    for (List<Decision.MachineAddress> some :
        List.of(lastPeerProbe.suspects(), lastPeerProbe.controls())) {
      some.forEach(m -> no.add(m.machineName()));
    }
    Set<String> yes = new HashSet<>(no);
    yes.retainAll(reached);
    if (reached.contains("controls")) {
      lastPeerProbe.controls().forEach(m -> yes.add(m.machineName()));
    }
    no.removeAll(yes);
    return new Decision.PeerProbeResult(yes, no);
  }

  private static String describeJob(Scheduler s, String job) {
    Job j = s.job(job);
    if (j == null) {
      return job + " is not managed";
    }
    Map<Integer, String> at = new TreeMap<>();
    j.attempts.forEach((i, r) -> at.put(i, r.machine.name));
    return job + " done " + j.doneTasks + " waiting " + j.waitingTasks + " held " + at;
  }

  private static JobSpec jobSpec(EventLine w) {
    List<String> p = w.words();
    String types = w.text("types", null);
    return new JobSpec(
        p.get(2),
        w.text("class", "c"),
        w.text("team", "team"),
        JobKind.valueOf(p.get(3).toUpperCase(java.util.Locale.ROOT)),
        Priority.valueOf(w.text("priority", "normal").toUpperCase(java.util.Locale.ROOT)),
        (int) w.number("tasks", 1),
        w.number("cpus", 1),
        w.number("gpus", 0),
        w.number("mem", 1),
        w.text("image", "img"),
        w.number("gb", 1),
        types == null ? null : List.of(types.split(",")),
        w.text("zone", null),
        w.hasFlag("one_zone"),
        w.hasFlag("spread"),
        w.hasFlag("spot"),
        w.number("estimate", 20),
        w.number("checkpoint", 0),
        w.number("save", 0),
        w.options().containsKey("deadline") ? (Double) w.number("deadline", 0) : null);
  }

  /**
   * Tasks are words of the form job/index@attempt:state[:cause]; a small attempt is this term's.
   */
  private static Heartbeat heartbeat(EventLine w) {
    List<String> p = w.words();
    List<Heartbeat.TaskStatus> items = new ArrayList<>();
    for (String word : p.subList(3, p.size())) {
      if (!word.contains("@")) {
        continue;
      }
      String[] parts = word.split("[/@:]");
      long attempt =
          parts[2].startsWith("old")
              ? Long.parseLong(parts[2].substring(3))
              : (TOKEN << AttemptNumbers.ATTEMPT_COUNTER_BITS) | Long.parseLong(parts[2]);
      items.add(
          new Heartbeat.TaskStatus(
              parts[0],
              Integer.parseInt(parts[1]),
              attempt,
              Heartbeat.TaskPhase.valueOf(parts[3].toUpperCase(java.util.Locale.ROOT)),
              parts.length > 4 ? parts[4] : null));
    }
    String name = p.get(2);
    String notice = w.text("notice", null);
    return new Heartbeat(
        name,
        name + ":1",
        w.text("type", "small"),
        w.text("zone", "a"),
        w.hasFlag("spot"),
        (long) w.number("epoch", 1),
        (long) w.number("sequence", 1),
        (long) w.number("token", TOKEN),
        notice == null ? null : Double.valueOf(notice),
        items);
  }

  private static List<String> describeCommands(List<Command> orders) {
    List<String> out = new ArrayList<>();
    for (Command o : orders) {
      out.add(describeCommand(o));
    }
    return out;
  }

  private static String describeCommand(Command o) {
    long term = o.attemptNumber() >> AttemptNumbers.ATTEMPT_COUNTER_BITS;
    String attempt =
        term == TOKEN
            ? "" + (o.attemptNumber() & ((1L << AttemptNumbers.ATTEMPT_COUNTER_BITS) - 1))
            : "old" + o.attemptNumber();
    String grace = o.kind() == Command.Kind.STOP ? " grace " + o.gracePeriodS() : "";
    return o.kind().name().toLowerCase(java.util.Locale.ROOT)
        + " "
        + o.jobId()
        + "/"
        + o.index()
        + "@"
        + attempt
        + grace;
  }

  private static List<String> sorted(List<String> names) {
    return names.stream().sorted().toList();
  }

  private static List<String> names(List<Decision.MachineAddress> machines) {
    return machines.stream().map(Decision.MachineAddress::machineName).toList();
  }

  private static String describeDecision(Decision d) {
    if (d instanceof Decision.SendCommands o) {
      return "send "
          + o.machineName()
          + " epoch "
          + o.epoch()
          + " "
          + describeCommands(o.commands());
    } else if (d instanceof Decision.OpenJob o) {
      return "open "
          + o.jobId()
          + (o.replicaMachineNames().isEmpty() ? "" : " on " + sorted(o.replicaMachineNames()));
    } else if (d instanceof Decision.PersistPlacement r) {
      return "persist_placement " + r.jobId() + " on " + sorted(r.replicaMachineNames());
    } else if (d instanceof Decision.FinishJob f) {
      return "finish " + f.jobId();
    } else if (d instanceof Decision.ProvisionMachines r) {
      return "provision "
          + r.count()
          + " "
          + r.typeName()
          + " in "
          + r.zone()
          + (r.spot() ? " spot" : "");
    } else if (d instanceof Decision.ReleaseMachines r) {
      return "release " + r.machineNames();
    } else if (d instanceof Decision.RegisterMachine e) {
      return "register " + e.machineName();
    } else if (d instanceof Decision.DeregisterMachine s) {
      return "deregister " + s.machineName();
    } else if (d instanceof Decision.ProbeThroughPeers w) {
      return "probe_through_peers " + names(w.suspects()) + " controls " + names(w.controls());
    }
    throw new IllegalArgumentException(d.toString());
  }
}
