package org.astershift.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.astershift.emulator.CloudEmulator;
import org.astershift.emulator.InProcessControllers;
import org.astershift.emulator.StoreEmulator;
import org.astershift.http.HttpClient;
import org.astershift.http.HttpServer;
import org.astershift.http.HttpServer.Response;
import org.astershift.http.Json;
import org.astershift.scheduler.JobKind;
import org.astershift.scheduler.JobSpec;
import org.astershift.scheduler.Priority;
import org.astershift.simulation.JobDraft;
import org.astershift.store.RecordCodec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Submissions through sockets, codec, job service and store: none is stored that lacks a field or
 * can never run, and none that was accepted is rejected when repeated.
 */
@Timeout(240)
class SubmissionTest {
  private static final String LIMITED =
      "[[facts.teams]]\nname = \"limited\"\ncpus_max = 6.0\ngpus_max = 0.0\n";
  private static final String JOBS = "/v2/runs";

  /** Fields of a valid submission as JSON text; the job can run on the emulated machines. */
  private static final Map<String, String> VALID = new LinkedHashMap<>();

  static {
    VALID.put("id", null);
    VALID.put("berth_class", "\"c\"");
    VALID.put("crew", "\"demo\"");
    VALID.put("shape", "\"sweep\"");
    VALID.put("rank", "\"standard\"");
    VALID.put("shards", "2");
    VALID.put("vcpus", "1.0");
    VALID.put("gpus", "0.0");
    VALID.put("mem_gb", "1.0");
    VALID.put("payload", "\"i\"");
    VALID.put("image_gb", "1.0");
    VALID.put("hulls", "[\"small\"]");
    VALID.put("harbor", "\"a\"");
    VALID.put("one_zone", "true");
    VALID.put("apart", "false");
    VALID.put("ebbtide", "false");
    VALID.put("expect_s", "1.0");
    VALID.put("anchor_s", "0.0");
    VALID.put("stow_s", "0.0");
    VALID.put("due_s", "9.0");
  }

  private static final List<String> STRING_FIELDS = List.of("berth_class", "crew", "payload");
  private static final List<String> ENUM_FIELDS = List.of("shape", "rank");
  private static final List<String> NUMBER_FIELDS =
      List.of("vcpus", "gpus", "mem_gb", "image_gb", "expect_s", "anchor_s", "stow_s");
  private static final List<String> BOOLEAN_FIELDS = List.of("one_zone", "apart", "ebbtide");
  private static final List<String> NULLABLE_FIELDS = List.of("hulls", "harbor", "due_s");

  @TempDir Path dir;
  private final List<Integer> ports = new ArrayList<>();
  private StoreEmulator store;
  private CloudEmulator cloud;
  private InProcessControllers nodes;
  private int lastIdNumber;

  @BeforeEach
  void start() throws Exception {
    store = new StoreEmulator(0);
    cloud = new CloudEmulator(0, ports, 200);
  }

  @AfterEach
  void stop() throws Exception {
    nodes.close();
    cloud.close();
    store.close();
  }

  private void nodes(int count, int cloudPort) throws Exception {
    nodes = new InProcessControllers(count, store.port(), cloudPort, ports, LIMITED, dir);
  }

  /** Waits until a node knows the machine types; before that it accepts or rejects no new job. */
  private void awaitMachineTypes(int node) throws Exception {
    nodes.await(node, "POST", JOBS, json(with("vcpus", "99")), 422, "");
  }

  private String nextId() {
    return String.format("wk-%06d", ++lastIdNumber);
  }

  /** Returns a new valid submission with these changes, name then text; null removes the field. */
  private Map<String, String> with(String... changes) {
    Map<String, String> fields = new LinkedHashMap<>(VALID);
    fields.put("id", "\"" + nextId() + "\"");
    for (int i = 0; i < changes.length; i += 2) {
      if (changes[i + 1] == null) {
        fields.remove(changes[i]);
      } else {
        fields.put(changes[i], changes[i + 1]);
      }
    }
    return fields;
  }

  private static String json(Map<String, String> fields) {
    List<String> result = new ArrayList<>();
    fields.forEach((name, value) -> result.add("\"" + name + "\":" + value));
    return "{" + String.join(",", result) + "}";
  }

  private Set<String> storedJobKeys() {
    Set<String> result = new TreeSet<>(store.keysWithPrefix(RecordCodec.LIVE_JOB_PREFIX));
    result.addAll(store.keysWithPrefix(RecordCodec.ENDED_JOB_PREFIX));
    return result;
  }

  private HttpClient.Response submit(String body) throws Exception {
    return nodes.call(0, "POST", JOBS, body);
  }

  private void assertRejected(int status, String body) throws Exception {
    HttpClient.Response response = submit(body);
    String text = new String(response.body(), StandardCharsets.UTF_8);
    String shownBody = body.length() > 600 ? body.substring(0, 600) + "..." : body;
    assertEquals(status, response.status(), text + " to " + shownBody);
    assertTrue(Json.object(response.body()).containsKey("error"), text);
  }

  /** Returns values of each field that are invalid whatever the other fields are. */
  private static Map<String, List<String>> invalidValues() {
    Map<String, List<String>> result = new LinkedHashMap<>();
    List<String> nonStrings = List.of("7", "true", "[\"a\"]", "{}");
    for (String field : VALID.keySet()) {
      List<String> values = new ArrayList<>();
      if (!NULLABLE_FIELDS.contains(field)) {
        values.add(null);
        values.add("null");
      }
      result.put(field, values);
    }
    for (List<String> texts : List.of(List.of("id"), STRING_FIELDS, ENUM_FIELDS)) {
      for (String field : texts) {
        result.get(field).addAll(nonStrings);
        result.get(field).add("\"\"");
      }
    }
    result
        .get("id")
        .addAll(List.of("\"wk-\"", "\"job 1\"", "\"WK-1\"", "\"wk-1/0\"", "\"wk-1\\n\""));
    ENUM_FIELDS.forEach(field -> result.get(field).add("\"heap\""));
    for (String field : BOOLEAN_FIELDS) {
      result.get(field).addAll(List.of("0", "1", "\"true\"", "\"\"", "[]", "{}"));
    }
    List<String> nonNumbers =
        List.of("\"1\"", "true", "[1]", "{}", "NaN", "Infinity", "1e400", "-1e400", "-1", "-0.5");
    for (List<String> numbers : List.of(NUMBER_FIELDS, List.of("shards", "due_s"))) {
      numbers.forEach(field -> result.get(field).addAll(nonNumbers));
    }
    NUMBER_FIELDS.forEach(field -> result.get(field).add("1e10"));
    result
        .get("shards")
        .addAll(
            List.of(
                "0",
                "100001",
                "1.5",
                "2.0",
                "1e2",
                "4294967297",
                "9223372036854775809",
                "18446744073709551617"));
    result.get("hulls").addAll(List.of("\"small\"", "7", "true", "{}", "[7]", "[null]", "[[]]"));
    result.get("harbor").addAll(List.of("7", "true", "[\"a\"]", "{}"));
    return result;
  }

  @Test
  void malformedSubmissionIsRejectedAndNotStored() throws Exception {
    nodes(1, cloud.port());
    awaitMachineTypes(0);
    int cases = 0;
    for (Map.Entry<String, List<String>> entry : invalidValues().entrySet()) {
      for (String value : entry.getValue()) {
        assertRejected(400, json(with(entry.getKey(), value)));
        cases++;
      }
    }
    assertTrue(cases > 200, "cases: " + cases);
    String valid = json(with());
    List<String> nonObjects =
        Arrays.asList("", "no", "null", "7", "\"x\"", "[" + valid + "]", "{" + valid, valid + "}");
    for (String body : nonObjects) {
      assertRejected(400, body);
    }
    assertRejected(400, valid.substring(0, valid.length() - 1));
    assertRejected(400, valid + valid);
    assertRejected(400, "[".repeat(60_000));
    assertRejected(
        400, valid.replace("}", ",\"x\":" + "[".repeat(30_000) + "]".repeat(30_000) + "}"));
    assertRejected(400, valid.replace("}", ",\"shards\":0}")); // the last of two equal names counts
    assertRejected(413, valid.replace("}", ",\"x\":\"" + "y".repeat(65_536) + "\"}"));
    assertEquals(Set.of(), storedJobKeys());

    // Valid bodies are accepted: the rejections above were due to the changed field.
    List<Map<String, String>> good = new ArrayList<>(List.of(with(), with("new", "{\"f\":[1]}")));
    for (String field : NULLABLE_FIELDS) {
      good.add(with(field, null));
      good.add(with(field, "null"));
    }
    good.add(with("vcpus", "0", "gpus", "0", "mem_gb", "0"));
    good.add(with("vcpus", "0.0", "expect_s", "0", "image_gb", "0", "due_s", "0"));
    good.add(with("shards", "100000", "vcpus", "0.001"));
    Set<String> ids = new TreeSet<>();
    for (Map<String, String> fields : good) {
      HttpClient.Response response = submit(json(fields));
      assertEquals(201, response.status(), json(fields));
      ids.add((String) Json.object(response.body()).get("id"));
    }
    Set<String> storedIds = new TreeSet<>();
    storedJobKeys().forEach(key -> storedIds.add(key.substring(key.lastIndexOf('/') + 1)));
    assertEquals(ids, storedIds);
  }

  @Test
  void impossibleSubmissionIsRejectedAndNotStored() throws Exception {
    nodes(1, cloud.port());
    awaitMachineTypes(0);
    for (Map<String, String> fields :
        List.of(
            with("crew", "\"nobody\""),
            with("vcpus", "4.5"),
            with("gpus", "1"),
            with("mem_gb", "16.1"),
            with("hulls", "[]"),
            with("hulls", "[\"large\"]"),
            with("harbor", "\"c\""),
            with("harbor", "\"\""),
            with("crew", "\"limited\"", "shape", "\"gang\"", "shards", "7"),
            with("crew", "\"limited\"", "shape", "\"service\"", "shards", "7"),
            with("shape", "\"gang\"", "harbor", null, "apart", "true"),
            with("shape", "\"service\"", "one_zone", "false", "apart", "true"))) {
      assertRejected(422, json(fields));
    }
    assertEquals(Set.of(), storedJobKeys());
    for (Map<String, String> fields :
        List.of(
            with("crew", "\"limited\"", "shape", "\"gang\"", "shards", "6"),
            with("crew", "\"limited\"", "shards", "7"),
            with("apart", "true"),
            with("shape", "\"gang\"", "harbor", null, "one_zone", "false", "apart", "true"))) {
      assertEquals(201, submit(json(fields)).status(), json(fields));
    }
  }

  /** Writes a job to the store, as the controller that accepts it does. */
  private void writeJob(String id, int cpus) throws Exception {
    JobSpec spec =
        JobDraft.array(id, 1)
            .kind(JobKind.SERVICE)
            .forTeam("demo")
            .classAndPriority("c", Priority.LOW)
            .takes(cpus, 0)
            .estimate(1)
            .spec();
    Map<String, Object> row =
        Map.of(
            "set",
            RecordCodec.LIVE_JOB_PREFIX + id,
            "data",
            RecordCodec.encodeJob(new RecordCodec.JobRecord(spec, System.currentTimeMillis())));
    try (HttpClient client = new HttpClient("127.0.0.1", store.port(), 1)) {
      byte[] body = Json.encode(Map.of("writes", List.of(row)));
      assertEquals(200, client.call("POST", "/multi", body, 5000).status());
    }
  }

  /** Asserts that all nodes answer repeats, even invalid ones, with the state of the job. */
  private void assertKnown(int count, String id, String phase) throws Exception {
    String quoted = "\"" + id + "\"";
    for (String body :
        List.of(
            json(with("id", quoted)),
            json(with("id", quoted)) + "}",
            json(with("id", quoted, "one_zone", null)),
            json(with("id", quoted, "apart", "null", "ebbtide", null)),
            json(with("id", quoted, "vcpus", "99")),
            json(with("id", quoted, "crew", "\"nobody\"")),
            json(with("id", quoted, "vcpus", "99", "one_zone", null, "hulls", "[]")) + " x")) {
      for (int node = 0; node < count; node++) {
        assertAnswer(node, "POST", JOBS, body, 200, "\"id\":\"" + id + "\",\"phase\":\"" + phase);
      }
    }
  }

  /** Holds even if the machine type is gone or only an earlier version accepted the body. */
  @Test
  void acceptedJobIsNotRejectedLater() throws Exception {
    writeJob("wk-old1", 99);
    nodes(2, cloud.port());
    awaitMachineTypes(0);
    awaitMachineTypes(1);
    assertKnown(2, "wk-old1", "queued");
    assertEquals(Set.of(RecordCodec.LIVE_JOB_PREFIX + "wk-old1"), storedJobKeys());
    for (int node = 0; node < 2; node++) {
      nodes.await(node, "POST", JOBS + "/wk-old1/withdraw", null, 200, "withdrawn");
    }
    assertKnown(2, "wk-old1", "withdrawn");
    assertEquals(Set.of(RecordCodec.ENDED_JOB_PREFIX + "wk-old1"), storedJobKeys());

    // While the store is down, only bodies that no version accepted are rejected as invalid.
    store.down(true);
    assertRejected(503, json(with("one_zone", null)));
    assertRejected(503, json(with("vcpus", "99")));
    assertRejected(400, json(with("one_zone", "1")));
    assertRejected(400, json(with("shards", null)));
    assertRejected(400, json(with("id", null)));
    store.down(false);
    nodes.await(0, "POST", JOBS, json(with("one_zone", null)), 400, "one_zone");
    assertEquals(Set.of(RecordCodec.ENDED_JOB_PREFIX + "wk-old1"), storedJobKeys());
  }

  /** Without the cloud new jobs have to wait, and requests for known jobs are answered. */
  @Test
  void withoutMachineTypesOnlyKnownJobsAreAnswered() throws Exception {
    try (HttpServer cloudServer =
        new HttpServer("127.0.0.1", 0, 50, request -> Response.error(503, "unavailable"))) {
      cloudServer.start();
      writeJob("wk-old1", 1);
      nodes(1, cloudServer.port());
      assertRejected(503, json(with()));
      assertRejected(503, json(with("vcpus", "99")));
      assertRejected(400, json(with("apart", null)));
      assertRejected(400, json(with("vcpus", null)));
      assertKnown(1, "wk-old1", "queued");
      assertEquals(Set.of(RecordCodec.LIVE_JOB_PREFIX + "wk-old1"), storedJobKeys());
    }
  }

  /** Repeated, late and unknown requests get the same answers at all nodes. */
  @Test
  void repeatedRequestsGetTheStateOfTheJobAtAllNodes() throws Exception {
    nodes(3, cloud.port());
    for (int node = 0; node < 3; node++) {
      awaitMachineTypes(node);
    }
    Map<String, String> lasting = with("id", "\"wk-9\"", "shape", "\"service\"", "shards", "1");
    nodes.await(0, "POST", JOBS, json(lasting), 201, "queued");
    Map<String, String> ending = with();
    String id = "wk-" + String.format("%06d", lastIdNumber);
    nodes.await(1, "POST", JOBS, json(ending), 201, "queued");
    nodes.await(2, "GET", JOBS + "/wk-9", null, 200, "running\",");
    nodes.await(2, "GET", JOBS + "/" + id, null, 200, "\"done\",");
    for (int round = 0; round < 2; round++) {
      for (int node = 0; node < 3; node++) {
        assertAnswer(node, "POST", JOBS, json(lasting), 200, "\"running\",");
        assertAnswer(node, "POST", JOBS, json(ending), 200, "\"done\",");
        assertAnswer(node, "POST", JOBS + "/" + id + "/withdraw", null, 200, "\"done\",");
        assertAnswer(node, "GET", JOBS + "/" + id, null, 200, "\"done\",");
        assertAnswer(node, "POST", JOBS + "/wk-nobodys/withdraw", null, 404, "error");
        assertAnswer(node, "GET", JOBS + "/wk-nobodys", null, 404, "error");
      }
    }
    nodes.await(1, "POST", JOBS + "/wk-9/withdraw", null, 200, "withdrawn");
    for (int node = 0; node < 3; node++) {
      assertAnswer(node, "POST", JOBS, json(lasting), 200, "\"withdrawn\",");
      assertAnswer(node, "POST", JOBS + "/wk-9/withdraw", null, 200, "\"withdrawn\",");
      assertAnswer(node, "GET", JOBS + "/wk-9", null, 200, "\"withdrawn\",");
    }
    assertEquals(
        Set.of(RecordCodec.ENDED_JOB_PREFIX + "wk-9", RecordCodec.ENDED_JOB_PREFIX + id),
        storedJobKeys());
  }

  private void assertAnswer(
      int node, String method, String path, String body, int status, String word) throws Exception {
    HttpClient.Response response = nodes.call(node, method, path, body);
    String text = new String(response.body(), StandardCharsets.UTF_8);
    assertEquals(status, response.status(), text + ": " + method + " " + path + " at " + node);
    assertTrue(text.contains(word), text + ": " + method + " " + path + " at " + node);
  }
}
