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

/** Plays the events of a trace on a scheduler and describes its responses as lines of text. */
final class TracePlayer {
  private static final long TOKEN = 7;
  private final Map<String, Team> teams = new LinkedHashMap<>();
  private final List<ServiceLevelObjective> objectives = new ArrayList<>();
  private final Map<String, MachineType> types = new LinkedHashMap<>();
  private SchedulingPolicy policy = OperatorSettings.defaults();
  private final Map<String, Heartbeat> lastHeartbeats = new HashMap<>();

  /** The direct commands to each machine that were decided last, by machine name. */
  private final Map<String, Decision.SendCommands> lastDirectCommands = new HashMap<>();

  /** The highest token that each machine has seen, by machine name. */
  private final Map<String, Long> shownTokens = new HashMap<>();

  /** Until when the response to each machine's last heartbeat may wait for commands. */
  private final Map<String, Long> responseDeadlinesMs = new LinkedHashMap<>();

  private long revision = TOKEN;
  private Scheduler scheduler;

  /** Whether there are other controllers; the trace then gives the results of their probes. */
  private boolean hasPeers;

  /** The probe through the other controllers that was decided last. */
  private Decision.ProbeThroughPeers lastPeerProbe;

  private double cancellationS = 40;

  List<String> play(String line) {
    String[] words = line.trim().split("\\s+");
    Map<String, String> options = new HashMap<>();
    List<String> positional = new ArrayList<>();
    for (String word : words) {
      int equalsAt = word.indexOf('=');
      if (equalsAt > 0) {
        options.put(word.substring(0, equalsAt), word.substring(equalsAt + 1));
      } else {
        positional.add(word);
      }
    }
    EventLine event = new EventLine(positional, options);
    if (Character.isDigit(line.charAt(0))) {
      return playTimedEvent((long) (Double.parseDouble(positional.get(0)) * 1000), event);
    }
    switch (positional.get(0)) {
      case "team" ->
          teams.put(
              positional.get(1),
              new Team(
                  positional.get(1),
                  event.number("cpus", 0),
                  event.number("cpus_max", 0),
                  event.number("gpus", 0),
                  event.number("gpus_max", 0)));
      case "objective" ->
          objectives.add(
              new ServiceLevelObjective(
                  "wait", positional.get(1), event.number("within", 1), 0.9, 1));
      case "cancellation" -> cancellationS = event.number("within", cancellationS);
      case "policy" ->
          policy =
              new SchedulingPolicy(
                  (int) event.number("window", policy.windowTasks()),
                  event.number("utilization", policy.utilizationThreshold()),
                  (int) event.number("batch", policy.machineBatchTasks()),
                  event.number("age", policy.waitingAgeS()),
                  event.number("idle", policy.idleReleaseS()));
      case "type" ->
          types.put(
              positional.get(1),
              new MachineType(
                  positional.get(1),
                  event.number("cpus", 4),
                  event.number("gpus", 0),
                  event.number("mem", 16),
                  event.number("cache", 50),
                  0.5,
                  event.number("price", 1),
                  event.number("spot", 0.3),
                  event.number("boot", 20),
                  List.of(event.text("zones", "a").split(","))));
      case "peers" -> hasPeers = true;
      case "inherit" ->
          getOrCreateScheduler()
              .addInheritedMachine(
                  positional.get(1),
                  positional.get(1) + ":1",
                  positional.get(2),
                  positional.get(3),
                  false,
                  0);
      default -> throw new IllegalArgumentException("unknown event in trace line: " + line);
    }
    return List.of();
  }

  private record EventLine(List<String> words, Map<String, String> options) {
    double number(String name, double defaultValue) {
      String value = options.get(name);
      return value == null ? defaultValue : Double.parseDouble(value);
    }

    String text(String name, String defaultValue) {
      return options.getOrDefault(name, defaultValue);
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

  private List<String> playTimedEvent(long nowMs, EventLine event) {
    List<String> lines = new ArrayList<>();
    for (String machine : List.copyOf(responseDeadlinesMs.keySet())) {
      boolean sendsNext = isHeartbeatOf(machine, event);
      if (sendsNext || nowMs >= responseDeadlinesMs.get(machine)) {
        sendDeferredResponse(machine, Math.min(nowMs, responseDeadlinesMs.get(machine)), lines);
      }
    }
    lines.addAll(handleTimedEvent(nowMs, event));
    return lines;
  }

  private static boolean isHeartbeatOf(String machine, EventLine event) {
    return event.words().get(1).startsWith("heartbeat") && event.words().contains(machine);
  }

  /** Sends the deferred response to a machine, and describes it if it has commands. */
  private void sendDeferredResponse(String machine, long nowMs, List<String> lines) {
    responseDeadlinesMs.remove(machine);
    HeartbeatResponse response =
        scheduler.completeDeferredResponse(lastHeartbeats.get(machine), nowMs);
    if (response == null) {
      lines.add("respond " + machine + " not answered");
      return;
    }
    shownTokens.merge(machine, response.fencingToken(), Math::max);
    if (!response.commands().isEmpty()) {
      lines.add("respond " + machine + " " + describeCommands(response.commands()));
    }
  }

  private List<String> handleTimedEvent(long nowMs, EventLine event) {
    List<String> words = event.words();
    Scheduler scheduler = getOrCreateScheduler();
    switch (words.get(1)) {
      case "job" -> scheduler.addJob(jobSpec(event), event.hasFlag("opened"), new BitSet(), nowMs);
      case "heartbeat" -> {
        lastHeartbeats.put(words.get(2), heartbeat(event));
        HeartbeatResponse response =
            scheduler.onHeartbeat(lastHeartbeats.get(words.get(2)), nowMs, nowMs);
        if (response == null) {
          return List.of("not answered");
        }
        if (response.maxDelayMs() > 0) {
          scheduler.deferResponse(lastHeartbeats.get(words.get(2)));
          responseDeadlinesMs.put(words.get(2), nowMs + response.maxDelayMs());
          return List.of();
        }
        shownTokens.merge(words.get(2), response.fencingToken(), Math::max);
        return describeCommands(response.commands());
      }
      case "heartbeats" -> repeatLastHeartbeats(nowMs, words.subList(2, words.size()));
      case "answered" -> {
        Decision.SendCommands commands = lastDirectCommands.get(words.get(2));
        if (commands != null) {
          shownTokens.merge(words.get(2), commands.fencingToken(), Math::max);
        }
        scheduler.onCommandResult(words.get(2), false, heartbeat(event), nowMs, nowMs);
      }
      case "copied" -> {
        boolean refused = event.number("token", TOKEN) < shownToken(words.get(2));
        return List.of(refused ? "refused" : "executed");
      }
      case "unanswered" -> scheduler.onCommandResult(words.get(2), true, null, nowMs, nowMs);
      case "unsent" -> scheduler.onCommandResult(words.get(2), false, null, nowMs, nowMs);
      case "pass" -> {
        return pass(nowMs, (long) (event.number("lease_certain", 1e9) * 1000));
      }
      case "dispatch" -> {
        // The direct commands that a pass decided for this machine are about to be sent.
        Decision.SendCommands commands = lastDirectCommands.get(words.get(2));
        return scheduler.areDirectCommandsStillDue(commands, nowMs)
            ? describeCommands(commands.commands())
            : List.of("not due");
      }
      case "process_resumed" -> scheduler.onProcessResumed(nowMs);
      case "opened" -> {
        confirmLeadership();
        scheduler.onJobOpened(words.get(2), nowMs);
      }
      case "placement" -> scheduler.restorePlacement(words.get(2), words.subList(3, words.size()));
      case "confirmed" -> confirmLeadership();
      case "registered" -> {
        if (!event.hasFlag("unconfirmed")) {
          confirmLeadership();
        }
        scheduler.onMachineRegistered(words.get(2));
      }
      case "ended" -> {
        confirmLeadership();
        scheduler.onJobEnded(words.get(2), event.hasFlag("cancelled"), nowMs);
      }
      case "cancel" -> {
        scheduler.requestCancellation(words.get(2));
        String startNote = scheduler.mayStillStart(words.get(2)) ? ", may start" : "";
        return List.of("confirmable " + scheduler.canConfirmCancellation(words.get(2)) + startNote);
      }
      case "released" -> scheduler.onMachinesReleased(List.of(words.get(2)), nowMs);
      case "provisioned" -> {
        scheduler.onMachinesProvisioned(
            "r",
            List.of(words.get(2)),
            new Decision.ProvisionMachines(words.get(3), words.get(4), event.hasFlag("spot"), 1),
            nowMs);
        if (!event.hasFlag("unregistered")) {
          confirmLeadership();
          scheduler.onMachineRegistered(words.get(2));
        }
      }
      case "no_capacity" ->
          scheduler.onProvisioningFailed(
              "r",
              new Decision.ProvisionMachines(words.get(2), words.get(3), event.hasFlag("spot"), 1),
              true,
              nowMs);
      case "saved" -> {
        BitSet done = new BitSet();
        done.set((int) event.number("task", 0));
        confirmLeadership();
        scheduler.onProgressPersisted(words.get(2), done);
      }
      case "list" -> scheduler.onMachineList(listedMachines(event), nowMs, nowMs);
      case "probed" -> {
        // Each word lists the machines that one controller reached, separated by commas; "nobody"
        // means none.
        List<Decision.PeerProbeResult> results = new ArrayList<>();
        for (String reachedMachines : words.subList(2, words.size())) {
          results.add(probeResult(List.of(reachedMachines.split(","))));
        }
        scheduler.onPeerProbeResults(lastPeerProbe, results);
      }
      case "isolated" -> {
        return List.of("isolated " + scheduler.isIsolated());
      }
      case "summary" -> {
        scheduler.serviceSummary(nowMs);
        Job job = scheduler.job(words.get(2));
        return List.of(
            words.get(2) + (job.startWarningLogged ? " has not started" : " is not warned of"));
      }
      case "show" -> {
        return List.of(describeJob(scheduler, words.get(2)));
      }
      default -> throw new IllegalArgumentException("unknown event in trace line: " + words);
    }
    return List.of();
  }

  /** Reports a committed write of the leader, whose condition was its leader key. */
  private void confirmLeadership() {
    scheduler.onLeadershipConfirmed(++revision);
  }

  private long shownToken(String machineName) {
    return shownTokens.getOrDefault(machineName, TOKEN);
  }

  /** Repeats the last heartbeat of each of these machines, with the next sequence number. */
  private void repeatLastHeartbeats(long nowMs, List<String> machineNames) {
    for (String name : machineNames) {
      Heartbeat previous = lastHeartbeats.get(name);
      Heartbeat next =
          new Heartbeat(
              name,
              previous.address(),
              previous.typeName(),
              previous.zone(),
              previous.spot(),
              previous.epoch(),
              previous.sequence() + 1,
              shownToken(name),
              previous.preemptionNoticeS(),
              previous.tasks());
      lastHeartbeats.put(name, next);
      scheduler.onHeartbeat(next, nowMs, nowMs);
    }
  }

  /**
   * Runs a scheduling pass and describes its decisions.
   *
   * @param leaseCertainUntilMs time until which no other controller can lead
   */
  private List<String> pass(long nowMs, long leaseCertainUntilMs) {
    List<String> lines = new ArrayList<>();
    for (Decision decision : scheduler.runPass(nowMs, leaseCertainUntilMs)) {
      if (decision instanceof Decision.ProbeThroughPeers probe) {
        lastPeerProbe = probe;
        if (!hasPeers) {
          scheduler.onPeerProbeResults(probe, List.of()); // no other controllers exist
          continue;
        }
      }
      if (decision instanceof Decision.SendDeferredResponse response) {
        sendDeferredResponse(response.machineName(), nowMs, lines);
        continue;
      }
      if (decision instanceof Decision.SendCommands commands) {
        lastDirectCommands.put(commands.machineName(), commands);
      }
      lines.add(describeDecision(decision));
    }
    return lines;
  }

  private static List<ListedMachine> listedMachines(EventLine event) {
    List<ListedMachine> listed = new ArrayList<>();
    for (String name : event.words().subList(2, event.words().size())) {
      listed.add(
          new ListedMachine(
              name,
              name + ":1",
              event.text("type", "small"),
              "a",
              false,
              event.text("state", "running"),
              5));
    }
    return listed;
  }

  private Decision.PeerProbeResult probeResult(List<String> reached) {
    Set<String> unreachedMachines = new HashSet<>();
    for (List<Decision.MachineAddress> machines :
        List.of(lastPeerProbe.suspects(), lastPeerProbe.controls())) {
      machines.forEach(machine -> unreachedMachines.add(machine.machineName()));
    }
    Set<String> reachedMachines = new HashSet<>(unreachedMachines);
    reachedMachines.retainAll(reached);
    if (reached.contains("controls")) {
      lastPeerProbe.controls().forEach(machine -> reachedMachines.add(machine.machineName()));
    }
    unreachedMachines.removeAll(reachedMachines);
    return new Decision.PeerProbeResult(reachedMachines, unreachedMachines);
  }

  private static String describeJob(Scheduler scheduler, String jobId) {
    Job job = scheduler.job(jobId);
    if (job == null) {
      return jobId + " is not managed";
    }
    Map<Integer, String> machinesByIndex = new TreeMap<>();
    job.attempts.forEach((index, attempt) -> machinesByIndex.put(index, attempt.machine.name));
    return jobId
        + " done "
        + job.doneTasks
        + " waiting "
        + job.waitingTasks
        + " held "
        + machinesByIndex;
  }

  private static JobSpec jobSpec(EventLine event) {
    List<String> words = event.words();
    String types = event.text("types", null);
    return new JobSpec(
        words.get(2),
        event.text("class", "c"),
        event.text("team", "team"),
        JobKind.valueOf(words.get(3).toUpperCase(java.util.Locale.ROOT)),
        Priority.valueOf(event.text("priority", "normal").toUpperCase(java.util.Locale.ROOT)),
        (int) event.number("tasks", 1),
        event.number("cpus", 1),
        event.number("gpus", 0),
        event.number("mem", 1),
        event.text("image", "img"),
        event.number("gb", 1),
        types == null ? null : List.of(types.split(",")),
        event.text("zone", null),
        event.hasFlag("one_zone"),
        event.hasFlag("spread"),
        event.hasFlag("spot"),
        event.number("estimate", 20),
        event.number("checkpoint", 0),
        event.number("save", 0),
        event.options().containsKey("deadline") ? (Double) event.number("deadline", 0) : null);
  }

  /**
   * Parses a heartbeat. Task statuses are words of the form job/index@attempt:state[:cause], where
   * an attempt number is one of this term unless it begins with "old".
   */
  private Heartbeat heartbeat(EventLine event) {
    List<String> words = event.words();
    List<Heartbeat.TaskStatus> statuses = new ArrayList<>();
    for (String word : words.subList(3, words.size())) {
      if (!word.contains("@")) {
        continue;
      }
      String[] parts = word.split("[/@:]");
      long attempt =
          parts[2].startsWith("old")
              ? Long.parseLong(parts[2].substring(3))
              : (TOKEN << AttemptNumberGenerator.ATTEMPT_COUNTER_BITS) | Long.parseLong(parts[2]);
      statuses.add(
          new Heartbeat.TaskStatus(
              parts[0],
              Integer.parseInt(parts[1]),
              attempt,
              Heartbeat.TaskPhase.valueOf(parts[3].toUpperCase(java.util.Locale.ROOT)),
              parts.length > 4 ? parts[4] : null));
    }
    String name = words.get(2);
    String notice = event.text("notice", null);
    return new Heartbeat(
        name,
        name + ":1",
        event.text("type", "small"),
        event.text("zone", "a"),
        event.hasFlag("spot"),
        (long) event.number("epoch", 1),
        (long) event.number("sequence", 1),
        (long) event.number("token", shownToken(name)),
        notice == null ? null : Double.valueOf(notice),
        statuses);
  }

  private static List<String> describeCommands(List<Command> commands) {
    List<String> lines = new ArrayList<>();
    for (Command command : commands) {
      lines.add(describeCommand(command));
    }
    return lines;
  }

  private static String describeCommand(Command command) {
    long term = command.attemptNumber() >> AttemptNumberGenerator.ATTEMPT_COUNTER_BITS;
    String attempt =
        term == TOKEN
            ? ""
                + (command.attemptNumber()
                    & ((1L << AttemptNumberGenerator.ATTEMPT_COUNTER_BITS) - 1))
            : "old" + command.attemptNumber();
    String grace = command.kind() == Command.Kind.STOP ? " grace " + command.gracePeriodS() : "";
    return command.kind().name().toLowerCase(java.util.Locale.ROOT)
        + " "
        + command.jobId()
        + "/"
        + command.index()
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

  private static String describeDecision(Decision decision) {
    if (decision instanceof Decision.SendCommands send) {
      return "send "
          + send.machineName()
          + " epoch "
          + send.epoch()
          + " "
          + describeCommands(send.commands());
    } else if (decision instanceof Decision.OpenJob opening) {
      return "open "
          + opening.jobId()
          + (opening.replicaMachineNames().isEmpty()
              ? ""
              : " on " + sorted(opening.replicaMachineNames()));
    } else if (decision instanceof Decision.PersistPlacement placement) {
      return "persist_placement "
          + placement.jobId()
          + " on "
          + sorted(placement.replicaMachineNames());
    } else if (decision instanceof Decision.FinishJob end) {
      return "finish " + end.jobId();
    } else if (decision instanceof Decision.ProvisionMachines request) {
      return "provision "
          + request.count()
          + " "
          + request.typeName()
          + " in "
          + request.zone()
          + (request.spot() ? " spot" : "");
    } else if (decision instanceof Decision.ReleaseMachines release) {
      return "release " + release.machineNames();
    } else if (decision instanceof Decision.RegisterMachine registration) {
      return "register " + registration.machineName();
    } else if (decision instanceof Decision.DeregisterMachine removal) {
      return "deregister " + removal.machineName();
    } else if (decision instanceof Decision.ProbeThroughPeers probe) {
      return "probe_through_peers "
          + names(probe.suspects())
          + " controls "
          + names(probe.controls());
    }
    throw new IllegalArgumentException("unknown decision: " + decision);
  }
}
