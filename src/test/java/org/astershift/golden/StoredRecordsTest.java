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

/** Keys and values in the store: later versions read what earlier versions wrote. */
class StoredRecordsTest {
  private static final String ID = "wk-000412";

  private static Map<String, Object> parseObject(String text) throws JsonFormatException {
    return Json.object(text.getBytes(StandardCharsets.UTF_8));
  }

  private static Object parseValue(String text) throws JsonFormatException {
    return parseObject("{\"v\":" + text + "}").get("v");
  }

  /** Encodes an object whose fields have no order, with the fields sorted by name. */
  private static byte[] sortedJson(Map<String, Object> object) {
    return Json.encode(new TreeMap<>(object));
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
    Map<String, JobSpec> specs = new LinkedHashMap<>();
    List<String> types = List.of("g8", "c\u00e4\"4");
    specs.put("every field", spec(JobKind.GANG, Priority.HIGH, types, "z1", 900.5));
    specs.put("no optional field", spec(JobKind.GANG, Priority.HIGH, null, null, null));
    specs.put("only types", spec(JobKind.GANG, Priority.HIGH, types, null, null));
    specs.put("types of none", spec(JobKind.GANG, Priority.HIGH, List.of(), null, null));
    specs.put("only a zone", spec(JobKind.GANG, Priority.HIGH, null, "z1", null));
    specs.put("only a deadline", spec(JobKind.GANG, Priority.HIGH, null, null, 0.0));
    specs.put("array", spec(JobKind.ARRAY, Priority.NORMAL, null, null, null));
    specs.put("gang", spec(JobKind.GANG, Priority.NORMAL, null, null, null));
    specs.put("service", spec(JobKind.SERVICE, Priority.NORMAL, null, null, null));
    specs.put("critical", spec(JobKind.ARRAY, Priority.PRODUCTION, null, null, null));
    specs.put("urgent", spec(JobKind.ARRAY, Priority.HIGH, null, null, null));
    specs.put("standard", spec(JobKind.ARRAY, Priority.NORMAL, null, null, null));
    specs.put("idle", spec(JobKind.ARRAY, Priority.LOW, null, null, null));
    specs.put("other flags and amounts", otherFlags());
    return specs;
  }

  @Test
  void jobRecords() throws Exception {
    Golden golden = new Golden("records-jobs");
    for (Map.Entry<String, JobSpec> entry : jobs().entrySet()) {
      golden.add(
          entry.getKey(),
          Json.encode(
              RecordCodec.encodeJob(new RecordCodec.JobRecord(entry.getValue(), 1700000000123L))));
    }
    golden.check();
    for (Map.Entry<String, JobSpec> entry : jobs().entrySet()) {
      RecordCodec.JobRecord decoded =
          RecordCodec.decodeJob(
              RecordCodec.LIVE_JOB_PREFIX + ID, parseObject(golden.expected(entry.getKey())));
      assertEquals(
          new RecordCodec.JobRecord(entry.getValue(), 1700000000123L), decoded, entry.getKey());
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
    Golden golden = new Golden("records-ended");
    golden.add("leader", Json.encode(RecordCodec.encodeLeader("n1")));
    Map<String, RecordCodec.JobEnd> ended = new LinkedHashMap<>();
    ended.put("done", new RecordCodec.JobEnd(false, 100_000));
    ended.put("cancelled", new RecordCodec.JobEnd(true, 0));
    ended.put("cancelled in part", new RecordCodec.JobEnd(true, 7));
    ended.forEach((label, end) -> golden.add(label, sortedJson(RecordCodec.encodeJobEnd(end))));
    golden.check();
    for (Map.Entry<String, RecordCodec.JobEnd> end : ended.entrySet()) {
      assertEquals(
          end.getValue(), RecordCodec.decodeJobEnd(parseObject(golden.expected(end.getKey()))));
    }
  }

  @Test
  void machinesAndRentals() throws Exception {
    Golden golden = new Golden("records-machines");
    Map<String, Decision.RegisterMachine> machines = new LinkedHashMap<>();
    for (String addr : new String[] {"10.0.0.1:7000", null}) {
      for (boolean fresh : new boolean[] {true, false}) {
        String label = (fresh ? "fresh" : "not fresh") + (addr == null ? "" : " with address");
        machines.put(label, new Decision.RegisterMachine("m-1", addr, "g8", "z1", fresh, fresh));
        machines.put(
            label + " other", new Decision.RegisterMachine("m-1", addr, "g8", "z1", !fresh, fresh));
      }
    }
    machines.forEach(
        (label, machine) -> golden.add(label, Json.encode(RecordCodec.encodeMachine(machine))));
    Decision.ProvisionMachines spot = new Decision.ProvisionMachines("g8", "z1", true, 1);
    Decision.ProvisionMachines many = new Decision.ProvisionMachines("c4", "z2", false, 500);
    golden.add("rental spot", Json.encode(RecordCodec.encodeProvisionRequest(spot)));
    golden.add("rental many", Json.encode(RecordCodec.encodeProvisionRequest(many)));
    golden.check();
    for (Map.Entry<String, Decision.RegisterMachine> machine : machines.entrySet()) {
      assertEquals(
          machine.getValue(),
          RecordCodec.decodeMachine("m-1", parseValue(golden.expected(machine.getKey()))),
          machine.getKey());
    }
    assertEquals(
        spot, RecordCodec.decodeProvisionRequest(parseValue(golden.expected("rental spot"))));
    assertEquals(
        many, RecordCodec.decodeProvisionRequest(parseValue(golden.expected("rental many"))));
  }

  @Test
  void types() throws Exception {
    Map<String, MachineType> types = new LinkedHashMap<>();
    types.put(
        "g8", new MachineType("g8", 64, 8, 512.5, 900, 0.25, 12.5, 3.75, 90, List.of("a", "b")));
    types.put("c4", new MachineType("c4", 4, 0, 16, 100, 1, 0.2, 0.05, 30.5, List.of()));
    Golden golden = new Golden("records-types");
    golden.add("two types", Json.encode(RecordCodec.encodeMachineTypes(types)));
    golden.add("none", Json.encode(RecordCodec.encodeMachineTypes(Map.of())));
    golden.check();
    Map<String, MachineType> decoded =
        RecordCodec.decodeMachineTypes(parseObject(golden.expected("two types")));
    assertEquals(new ArrayList<>(types.values()), new ArrayList<>(decoded.values()));
    assertEquals(new ArrayList<>(types.keySet()), new ArrayList<>(decoded.keySet()));
    assertEquals(Map.of(), RecordCodec.decodeMachineTypes(parseObject(golden.expected("none"))));
  }

  @Test
  void placements() throws Exception {
    Golden golden = new Golden("records-opened");
    List<String> machineNames = List.of("m-1", "m-2");
    golden.add("no place", Json.encode(RecordCodec.encodePlacement(List.of())));
    golden.add("one place", Json.encode(RecordCodec.encodePlacement(List.of("m-1"))));
    golden.add("two places", Json.encode(RecordCodec.encodePlacement(machineNames)));
    golden.check();
    assertEquals(List.of(), RecordCodec.decodePlacement(parseValue(golden.expected("no place"))));
    assertEquals(
        List.of("m-1"), RecordCodec.decodePlacement(parseValue(golden.expected("one place"))));
    assertEquals(
        machineNames, RecordCodec.decodePlacement(parseValue(golden.expected("two places"))));
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
    Golden golden = new Golden("records-progress");
    for (int segment = 0; segment < 4; segment++) {
      golden.add(
          RecordCodec.progressKey(ID, segment),
          Json.encode(RecordCodec.encodeSegment(done, segment)));
    }
    golden.check();
    BitSet decoded = new BitSet();
    for (int segment = 0; segment < 4; segment++) {
      String key = ID + "/" + segment;
      assertEquals(ID, RecordCodec.mergeSegment(decoded, key, parseValue(golden.expected(key))));
    }
    assertEquals(done, decoded);
  }

  /** A decoding that must reject its input. */
  private interface Decoding {
    void decode() throws JsonFormatException;
  }

  private static void addError(Golden golden, String label, Decoding decoding) {
    golden.add(
        label, assertThrows(JsonFormatException.class, decoding::decode, label).getMessage());
  }

  @Test
  void malformedRecords() throws Exception {
    Golden golden = new Golden("records-errors");
    addError(golden, "machine 1", () -> RecordCodec.decodeMachine("m", 1));
    addError(
        golden, "machine short", () -> RecordCodec.decodeMachine("m", List.of("g8", "z1", true)));
    addError(
        golden, "machine flag", () -> RecordCodec.decodeMachine("m", List.of("g8", "z1", 1, true)));
    addError(golden, "rental text", () -> RecordCodec.decodeProvisionRequest("x"));
    addError(
        golden,
        "rental count",
        () -> RecordCodec.decodeProvisionRequest(List.of("g8", "z1", true, "2")));
    addError(golden, "progress text", () -> RecordCodec.mergeSegment(new BitSet(), ID + "/0", "?"));
    addError(golden, "progress key", () -> RecordCodec.mergeSegment(new BitSet(), ID, "AQ=="));
    addError(golden, "ended", () -> RecordCodec.decodeJobEnd(Map.of("cancelled", true)));
    addError(
        golden, "job", () -> RecordCodec.decodeJob(RecordCodec.LIVE_JOB_PREFIX + ID, Map.of()));
    addError(
        golden,
        "types",
        () ->
            RecordCodec.decodeMachineTypes(
                parseObject("{\"types\":[{\"name\":\"a\",\"n\":[1]}]}")));
    addError(
        golden,
        "types text",
        () -> RecordCodec.decodeMachineTypes(parseObject("{\"types\":[\"a\"]}")));
    golden.check();
  }
}
