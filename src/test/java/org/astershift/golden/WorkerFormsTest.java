package org.astershift.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.astershift.http.JsonFormatException;
import org.astershift.scheduler.Command;
import org.astershift.scheduler.Heartbeat;
import org.astershift.worker.WorkerCodec;
import org.junit.jupiter.api.Test;

/** Heartbeats as they are decoded, and commands to workers as they are encoded. */
class WorkerFormsTest {
  private static final String HEAD =
      "\"vessel\":\"m-1\",\"addr\":\"10.0.0.1:7000\",\"hull\":\"g8\",\"harbor\":\"z1\"";
  private static final String POSITION = "\"watch\":5,\"tick\":17";
  private static final String TASK = "\"shard\":\"wk-1/0\",\"launch\":4,\"phase\":\"running\"";

  private static Heartbeat decode(String text) throws JsonFormatException {
    return WorkerCodec.readHeartbeat(text.getBytes(StandardCharsets.UTF_8));
  }

  private static String heartbeatWith(String more) {
    return "{" + HEAD + "," + POSITION + more + "}";
  }

  private static String heartbeatWithTask(String fields) {
    return heartbeatWith(",\"shards\":[{" + fields + "}]");
  }

  private static Map<String, String> heartbeatCases() {
    Map<String, String> cases = new LinkedHashMap<>();
    cases.put("least", heartbeatWith(""));
    cases.put(
        "every field",
        heartbeatWith(
            ",\"ebbtide\":true,\"helm\":9007199254740993,\"recall_s\":29.5,\"shards\":["
                + "{\"shard\":\"wk-1/0\",\"launch\":1,\"phase\":\"fetching\",\"cause\":null},"
                + "{\"shard\":\"wk-1/99999\",\"launch\":2,\"phase\":\"gathering\"},"
                + "{\"shard\":\"wk-2/3\",\"launch\":3,\"phase\":\"running\"},"
                + "{\"shard\":\"wk-2/4\",\"launch\":4,\"phase\":\"saving\"},"
                + "{\"shard\":\"wk-3/1\",\"launch\":5,\"phase\":\"exited\",\"cause\":\"done\"}]"));
    cases.put(
        "nulls",
        heartbeatWith(",\"ebbtide\":null,\"helm\":null,\"recall_s\":null,\"shards\":null"));
    cases.put("unknown fields", heartbeatWith(",\"new\":{\"a\":[1,{\"b\":2}]},\"shards\":[]"));
    cases.put("whole notice", heartbeatWith(",\"recall_s\":30,\"ebbtide\":false"));
    for (String cause : List.of("done", "halted", "peers", "incomplete", "crash", "stopped")) {
      String exitedTask = TASK.replace("running", "exited");
      cases.put(
          "cause " + cause,
          heartbeatWithTask(exitedTask + ",\"cause\":\"" + cause + "\",\"x\":[]"));
    }
    return cases;
  }

  /** Returns the values of a heartbeat in a fixed order; phases as words. */
  private static String describe(Heartbeat heartbeat) {
    StringBuilder text = new StringBuilder();
    text.append(heartbeat.machineName())
        .append(' ')
        .append(heartbeat.address())
        .append(' ')
        .append(heartbeat.typeName())
        .append(' ');
    text.append(heartbeat.zone())
        .append(' ')
        .append(heartbeat.spot())
        .append(' ')
        .append(heartbeat.epoch())
        .append(' ');
    text.append(heartbeat.sequence())
        .append(' ')
        .append(heartbeat.fencingToken())
        .append(' ')
        .append(heartbeat.preemptionNoticeS());
    for (Heartbeat.TaskStatus task : heartbeat.tasks()) {
      text.append(" [").append(task.jobId()).append(' ').append(task.index()).append(' ');
      text.append(task.attemptNumber()).append(' ').append(describePhase(task.phase())).append(' ');
      text.append(task.exitReason()).append(']');
    }
    return text.toString();
  }

  private static String describePhase(Heartbeat.TaskPhase phase) {
    return switch (phase) {
      case FETCHING -> "fetches";
      case WAITING -> "waits";
      case RUNNING -> "runs";
      case SAVING -> "saves";
      case EXITED -> "is over";
    };
  }

  @Test
  void heartbeats() throws Exception {
    Golden golden = new Golden("worker-reports");
    for (Map.Entry<String, String> entry : heartbeatCases().entrySet()) {
      golden.add(entry.getKey() + ", sent", entry.getValue());
      golden.add(entry.getKey() + ", read", describe(decode(entry.getValue())));
    }
    golden.check();
    for (String label : heartbeatCases().keySet()) {
      assertEquals(
          golden.expected(label + ", read"), describe(decode(golden.expected(label + ", sent"))));
    }
  }

  private static List<String> malformedHeads() {
    return List.of(
        "",
        "no",
        "[]",
        "{",
        heartbeatWith("") + "x",
        heartbeatWith("") + "{}",
        "{}",
        "{" + HEAD + "}",
        "{" + POSITION + "}",
        "{" + HEAD + ",\"watch\":-1,\"tick\":1}",
        "{" + HEAD + ",\"watch\":1,\"tick\":-1}",
        "{" + HEAD + ",\"watch\":1.5,\"tick\":1}",
        "{" + HEAD + ",\"watch\":\"1\",\"tick\":1}",
        "{" + HEAD + ",\"watch\":1,\"tick\":null}",
        "{" + HEAD + ",\"watch\":18446744073709551616,\"tick\":1}",
        heartbeatWith(",\"vessel\":7"),
        heartbeatWith(",\"addr\":null"),
        heartbeatWith(",\"hull\":[]"),
        heartbeatWith(",\"harbor\":{}"),
        heartbeatWith(",\"ebbtide\":1"),
        heartbeatWith(",\"helm\":\"1\""),
        heartbeatWith(",\"recall_s\":\"1\""));
  }

  private static List<String> malformedTasks() {
    return List.of(
        heartbeatWith(",\"shards\":{}"),
        heartbeatWith(",\"shards\":[1]"),
        heartbeatWith(",\"shards\":[null]"),
        heartbeatWithTask(""),
        heartbeatWithTask("\"launch\":4,\"phase\":\"running\""),
        heartbeatWithTask("\"shard\":\"wk-1/0\",\"phase\":\"running\""),
        heartbeatWithTask("\"shard\":\"wk-1/0\",\"launch\":4"),
        heartbeatWithTask(TASK.replace("4", "-4")),
        heartbeatWithTask(TASK.replace("4", "4.5")),
        heartbeatWithTask(TASK.replace("running", "napping")),
        heartbeatWithTask(TASK.replace("\"running\"", "null")),
        heartbeatWithTask(TASK.replace("wk-1/0", "wk-1")),
        heartbeatWithTask(TASK.replace("wk-1/0", "/0")),
        heartbeatWithTask(TASK.replace("wk-1/0", "wk-1/")),
        heartbeatWithTask(TASK.replace("wk-1/0", "wk-1/x")),
        heartbeatWithTask(TASK.replace("wk-1/0", "wk-1/-1")),
        heartbeatWithTask(TASK.replace("wk-1/0", "wk-1/1234567890")),
        heartbeatWithTask(TASK.replace("\"wk-1/0\"", "0")),
        heartbeatWithTask(TASK + ",\"cause\":7"));
  }

  @Test
  void errorsOfMalformedHeartbeats() throws Exception {
    Golden golden = new Golden("worker-errors");
    List<String> all = new ArrayList<>(malformedHeads());
    all.addAll(malformedTasks());
    for (String text : all) {
      String message =
          assertThrows(JsonFormatException.class, () -> decode(text), text).getMessage();
      golden.add("<" + text + ">", message);
    }
    golden.check();
  }

  @Test
  void commands() throws Exception {
    Command start = new Command(Command.Kind.START, "wk-1", 0, 1, 0);
    Command stop = new Command(Command.Kind.STOP, "wk-1", 99_999, 2, 4.5);
    Command stopNow = new Command(Command.Kind.STOP, "wk-2", 1, 3, 0);
    Command forget = new Command(Command.Kind.FORGET, "wk-3", 7, 9_007_199_254_740_993L, 0);
    Map<String, List<Command>> cases = new LinkedHashMap<>();
    cases.put("none", List.of());
    cases.put("start", List.of(start));
    cases.put("stop", List.of(stop));
    cases.put("stop at once", List.of(stopNow));
    cases.put("forget", List.of(forget));
    cases.put("all", List.of(start, stop, stopNow, forget));
    Golden golden = new Golden("worker-orders");
    cases.forEach(
        (label, commands) -> {
          golden.add(label + ", answer", WorkerCodec.encodeHeartbeatResponse(42, commands));
          golden.add(label + ", direct", WorkerCodec.encodeCommandRequest(42, 5, commands));
        });
    golden.add("without a leader, answer", WorkerCodec.encodeHeartbeatResponse(0, List.of()));
    golden.add("first session, direct", WorkerCodec.encodeCommandRequest(42, 0, List.of(start)));
    golden.check();
  }
}
