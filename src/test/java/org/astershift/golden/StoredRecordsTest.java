package org.astershift.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.astershift.http.Json;
import org.astershift.http.JsonFormatException;
import org.astershift.scheduler.Decision;
import org.astershift.scheduler.JobKind;
import org.astershift.scheduler.JobSpec;
import org.astershift.scheduler.MachineType;
import org.astershift.scheduler.Priority;
import org.astershift.store.RecordCodec;
import org.junit.jupiter.api.Test;

/** Keys and values in the state service: later versions read what earlier ones wrote. */
class StoredRecordsTest {
  private static final String ID = "wk-000412";

  private static Map<String, Object> parseObject(String text) throws JsonFormatException {
    return Json.object(text.getBytes(StandardCharsets.UTF_8));
  }

  private static Object parseValue(String text) throws JsonFormatException {
    return parseObject("{\"v\":" + text + "}").get("v");
  }

  /** An object whose fields have no order, with its fields in the order of their names. */
  private static byte[] sortedJson(Map<String, Object> m) {
    return Json.encode(new TreeMap<>(m));
  }

  private static JobSpec spec(
      JobKind kind, Priority priority, List<String> types, String zone, Double deadlineS) {
    return new JobSpec(
        ID, "train", "vision", kind, priority, 16, 8.5, 1, 64.25, "img-07", 6.2, types, zone, true,
        false, true, 240.5, 30, 4.75, deadlineS);
  }

  private static JobSpec otherFlags() {
    return new JobSpec(
        ID,
        "c",
        "t",
        JobKind.ARRAY,
        Priority.LOW,
        100_000,
        0,
        0,
        0,
        "i",
        1e9,
        null,
        null,
        false,
        true,
        false,
        1e-3,
        1e7,
        0,
        1e9);
  }

  private static Map<String, JobSpec> jobs() {
    Map<String, JobSpec> out = new LinkedHashMap<>();
    List<String> types = List.of("g8", "c\u00e4\"4");
    out.put("every field", spec(JobKind.GANG, Priority.HIGH, types, "z1", 900.5));
    out.put("no optional field", spec(JobKind.GANG, Priority.HIGH, null, null, null));
    out.put("only types", spec(JobKind.GANG, Priority.HIGH, types, null, null));
    out.put("types of none", spec(JobKind.GANG, Priority.HIGH, List.of(), null, null));
    out.put("only a zone", spec(JobKind.GANG, Priority.HIGH, null, "z1", null));
    out.put("only a deadline", spec(JobKind.GANG, Priority.HIGH, null, null, 0.0));
    out.put("array", spec(JobKind.ARRAY, Priority.NORMAL, null, null, null));
    out.put("gang", spec(JobKind.GANG, Priority.NORMAL, null, null, null));
    out.put("service", spec(JobKind.SERVICE, Priority.NORMAL, null, null, null));
    out.put("critical", spec(JobKind.ARRAY, Priority.PRODUCTION, null, null, null));
    out.put("urgent", spec(JobKind.ARRAY, Priority.HIGH, null, null, null));
    out.put("standard", spec(JobKind.ARRAY, Priority.NORMAL, null, null, null));
    out.put("idle", spec(JobKind.ARRAY, Priority.LOW, null, null, null));
    out.put("other flags and amounts", otherFlags());
    return out;
  }

  @Test
  void jobRecords() throws Exception {
    Golden g = new Golden("records-jobs");
    for (Map.Entry<String, JobSpec> e : jobs().entrySet()) {
      g.add(
          e.getKey(),
          Json.encode(
              RecordCodec.encodeJob(new RecordCodec.JobRecord(e.getValue(), 1700000000123L))));
    }
    g.check();
    for (Map.Entry<String, JobSpec> e : jobs().entrySet()) {
      RecordCodec.JobRecord back =
          RecordCodec.decodeJob(
              RecordCodec.LIVE_JOB_PREFIX + ID, parseObject(g.expected(e.getKey())));
      assertEquals(new RecordCodec.JobRecord(e.getValue(), 1700000000123L), back, e.getKey());
    }
  }

  @Test
  void keys() throws Exception {
    new Golden("records-keys")
        .add("live", RecordCodec.LIVE_PREFIX)
        .add("leader", RecordCodec.LEADER_KEY)
        .add("types", RecordCodec.MACHINE_TYPES_KEY)
        .add("job", RecordCodec.LIVE_JOB_PREFIX)
        .add("notes", RecordCodec.LEADER_PAGE_PREFIX)
        .add("ended", RecordCodec.ENDED_JOB_PREFIX)
        .add("progress", RecordCodec.progressKey(ID, 3))
        .add("tasks of a segment", String.valueOf(RecordCodec.SEGMENT_TASKS))
        .add("segments of 1", String.valueOf(RecordCodec.segmentCount(1)))
        .add("segments of 100000", String.valueOf(RecordCodec.segmentCount(100_000)))
        .check();
  }

  @Test
  void leaderAndEnded() throws Exception {
    Golden g = new Golden("records-ended");
    g.add("leader", Json.encode(RecordCodec.encodeLeader("n1")));
    Map<String, RecordCodec.JobEnd> ended = new LinkedHashMap<>();
    ended.put("done", new RecordCodec.JobEnd(false, 100_000));
    ended.put("cancelled", new RecordCodec.JobEnd(true, 0));
    ended.put("cancelled in part", new RecordCodec.JobEnd(true, 7));
    ended.forEach((label, e) -> g.add(label, sortedJson(RecordCodec.encodeJobEnd(e))));
    g.check();
    for (Map.Entry<String, RecordCodec.JobEnd> e : ended.entrySet()) {
      assertEquals(e.getValue(), RecordCodec.decodeJobEnd(parseObject(g.expected(e.getKey()))));
    }
  }

  @Test
  void machinesAndRentals() throws Exception {
    Golden g = new Golden("records-machines");
    Map<String, Decision.RegisterMachine> machines = new LinkedHashMap<>();
    for (String addr : new String[] {"10.0.0.1:7000", null}) {
      for (boolean fresh : new boolean[] {true, false}) {
        String label = (fresh ? "fresh" : "not fresh") + (addr == null ? "" : " with address");
        machines.put(label, new Decision.RegisterMachine("m-1", addr, "g8", "z1", fresh, fresh));
        machines.put(
            label + " other", new Decision.RegisterMachine("m-1", addr, "g8", "z1", !fresh, fresh));
      }
    }
    machines.forEach((label, m) -> g.add(label, Json.encode(RecordCodec.encodeMachine(m))));
    Decision.ProvisionMachines spot = new Decision.ProvisionMachines("g8", "z1", true, 1);
    Decision.ProvisionMachines many = new Decision.ProvisionMachines("c4", "z2", false, 500);
    g.add("rental spot", Json.encode(RecordCodec.encodeProvisionRequest(spot)));
    g.add("rental many", Json.encode(RecordCodec.encodeProvisionRequest(many)));
    g.check();
    for (Map.Entry<String, Decision.RegisterMachine> m : machines.entrySet()) {
      assertEquals(
          m.getValue(),
          RecordCodec.decodeMachine("m-1", parseValue(g.expected(m.getKey()))),
          m.getKey());
    }
    assertEquals(spot, RecordCodec.decodeProvisionRequest(parseValue(g.expected("rental spot"))));
    assertEquals(many, RecordCodec.decodeProvisionRequest(parseValue(g.expected("rental many"))));
  }

  @Test
  void types() throws Exception {
    Map<String, MachineType> types = new LinkedHashMap<>();
    types.put(
        "g8", new MachineType("g8", 64, 8, 512.5, 900, 0.25, 12.5, 3.75, 90, List.of("a", "b")));
    types.put("c4", new MachineType("c4", 4, 0, 16, 100, 1, 0.2, 0.05, 30.5, List.of()));
    Golden g = new Golden("records-types");
    g.add("two types", Json.encode(RecordCodec.encodeMachineTypes(types)));
    g.add("none", Json.encode(RecordCodec.encodeMachineTypes(Map.of())));
    g.check();
    Map<String, MachineType> back =
        RecordCodec.decodeMachineTypes(parseObject(g.expected("two types")));
    assertEquals(new ArrayList<>(types.values()), new ArrayList<>(back.values()));
    assertEquals(new ArrayList<>(types.keySet()), new ArrayList<>(back.keySet()));
    assertEquals(Map.of(), RecordCodec.decodeMachineTypes(parseObject(g.expected("none"))));
  }

  @Test
  void placements() throws Exception {
    Golden g = new Golden("records-opened");
    List<String> places = List.of("m-1", "m-2");
    g.add("no place", Json.encode(RecordCodec.encodePlacement(List.of())));
    g.add("one place", Json.encode(RecordCodec.encodePlacement(List.of("m-1"))));
    g.add("two places", Json.encode(RecordCodec.encodePlacement(places)));
    g.check();
    assertEquals(List.of(), RecordCodec.decodePlacement(parseValue(g.expected("no place"))));
    assertEquals(List.of("m-1"), RecordCodec.decodePlacement(parseValue(g.expected("one place"))));
    assertEquals(places, RecordCodec.decodePlacement(parseValue(g.expected("two places"))));
    assertEquals(List.of(), RecordCodec.decodePlacement(null));
  }

  @Test
  void progress() throws Exception {
    BitSet done = new BitSet();
    for (int i :
        new int[] {0, 1, 9, 40, RecordCodec.SEGMENT_TASKS - 1, RecordCodec.SEGMENT_TASKS}) {
      done.set(i);
    }
    done.set(2 * RecordCodec.SEGMENT_TASKS + 77);
    Golden g = new Golden("records-progress");
    for (int segment = 0; segment < 4; segment++) {
      g.add(
          RecordCodec.progressKey(ID, segment),
          Json.encode(RecordCodec.encodeSegment(done, segment)));
    }
    g.check();
    BitSet back = new BitSet();
    for (int segment = 0; segment < 4; segment++) {
      String key = ID + "/" + segment;
      assertEquals(ID, RecordCodec.mergeSegment(back, key, parseValue(g.expected(key))));
    }
    assertEquals(done, back);
  }

  /** A call that must find its input bad. */
  private interface Decoding {
    void decode() throws JsonFormatException;
  }

  private static void addError(Golden g, String label, Decoding reading) {
    g.add(label, assertThrows(JsonFormatException.class, reading::decode, label).getMessage());
  }

  @Test
  void malformedRecords() throws Exception {
    Golden g = new Golden("records-errors");
    addError(g, "machine 1", () -> RecordCodec.decodeMachine("m", 1));
    addError(g, "machine short", () -> RecordCodec.decodeMachine("m", List.of("g8", "z1", true)));
    addError(g, "machine flag", () -> RecordCodec.decodeMachine("m", List.of("g8", "z1", 1, true)));
    addError(g, "rental text", () -> RecordCodec.decodeProvisionRequest("x"));
    addError(
        g,
        "rental count",
        () -> RecordCodec.decodeProvisionRequest(List.of("g8", "z1", true, "2")));
    addError(g, "progress text", () -> RecordCodec.mergeSegment(new BitSet(), ID + "/0", "?"));
    addError(g, "progress key", () -> RecordCodec.mergeSegment(new BitSet(), ID, "AQ=="));
    addError(g, "ended", () -> RecordCodec.decodeJobEnd(Map.of("cancelled", true)));
    addError(g, "job", () -> RecordCodec.decodeJob(RecordCodec.LIVE_JOB_PREFIX + ID, Map.of()));
    addError(
        g,
        "types",
        () ->
            RecordCodec.decodeMachineTypes(
                parseObject("{\"types\":[{\"name\":\"a\",\"n\":[1]}]}")));
    addError(
        g, "types text", () -> RecordCodec.decodeMachineTypes(parseObject("{\"types\":[\"a\"]}")));
    g.check();
  }
}
