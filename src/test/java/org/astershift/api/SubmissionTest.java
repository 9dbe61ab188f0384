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
 * What users send, through sockets, parser, desk and state service: nothing is stored that lacks a
 * field or can never run, and nothing that was accepted is refused (rule forgotten).
 */
@Timeout(240)
class SubmissionTest {
  private static final String LIMITED =
      "[[facts.teams]]\nname = \"limited\"\ncpus_max = 6.0\ngpus_max = 0.0\n";
  private static final String JOBS = "/v2/runs";

  /** Fields of a submission, as they are written; it can run on the stand-in's machines. */
  private static final Map<String, String> GOOD = new LinkedHashMap<>();

  static {
    GOOD.put("id", null);
    GOOD.put("berth_class", "\"c\"");
    GOOD.put("crew", "\"demo\"");
    GOOD.put("shape", "\"sweep\"");
    GOOD.put("rank", "\"standard\"");
    GOOD.put("shards", "2");
    GOOD.put("vcpus", "1.0");
    GOOD.put("gpus", "0.0");
    GOOD.put("mem_gb", "1.0");
    GOOD.put("payload", "\"i\"");
    GOOD.put("image_gb", "1.0");
    GOOD.put("hulls", "[\"small\"]");
    GOOD.put("harbor", "\"a\"");
    GOOD.put("one_zone", "true");
    GOOD.put("apart", "false");
    GOOD.put("ebbtide", "false");
    GOOD.put("expect_s", "1.0");
    GOOD.put("anchor_s", "0.0");
    GOOD.put("stow_s", "0.0");
    GOOD.put("due_s", "9.0");
  }

  private static final List<String> TEXTS = List.of("berth_class", "crew", "payload");
  private static final List<String> WORDS = List.of("shape", "rank");
  private static final List<String> AMOUNTS =
      List.of("vcpus", "gpus", "mem_gb", "image_gb", "expect_s", "anchor_s", "stow_s");
  private static final List<String> FLAGS = List.of("one_zone", "apart", "ebbtide");
  private static final List<String> MAY_BE_NULL = List.of("hulls", "harbor", "due_s");

  @TempDir Path dir;
  private final List<Integer> ports = new ArrayList<>();
  private StoreEmulator store;
  private CloudEmulator cloud;
  private InProcessControllers nodes;
  private int ids;

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

  /** Waits until a node knows the machine types: until then nothing new is taken or refused. */
  private void typesKnown(int node) throws Exception {
    nodes.await(node, "POST", JOBS, text(with("vcpus", "99")), 422, "");
  }

  private String id() {
    return String.format("wk-%06d", ++ids);
  }

  /** A good submission under a new id, but for these names and texts; a null text leaves it out. */
  private Map<String, String> with(String... changes) {
    Map<String, String> m = new LinkedHashMap<>(GOOD);
    m.put("id", "\"" + id() + "\"");
    for (int i = 0; i < changes.length; i += 2) {
      if (changes[i + 1] == null) {
        m.remove(changes[i]);
      } else {
        m.put(changes[i], changes[i + 1]);
      }
    }
    return m;
  }

  private static String text(Map<String, String> fields) {
    List<String> out = new ArrayList<>();
    fields.forEach((name, value) -> out.add("\"" + name + "\":" + value));
    return "{" + String.join(",", out) + "}";
  }

  private Set<String> stored() {
    Set<String> out = new TreeSet<>(store.below(RecordCodec.JOB));
    out.addAll(store.below(RecordCodec.ENDED));
    return out;
  }

  private HttpClient.Response submit(String body) throws Exception {
    return nodes.call(0, "POST", JOBS, body);
  }

  private void refused(int status, String body) throws Exception {
    HttpClient.Response a = submit(body);
    String said = new String(a.body(), StandardCharsets.UTF_8);
    String shown = body.length() > 600 ? body.substring(0, 600) + "..." : body;
    assertEquals(status, a.status(), said + " to " + shown);
    assertTrue(Json.object(a.body()).containsKey("error"), said);
  }

  /** What is wrong for each field, whatever the other fields say. */
  private static Map<String, List<String>> wrong() {
    Map<String, List<String>> out = new LinkedHashMap<>();
    List<String> noText = List.of("7", "true", "[\"a\"]", "{}");
    for (String f : GOOD.keySet()) {
      List<String> bad = new ArrayList<>();
      if (!MAY_BE_NULL.contains(f)) {
        bad.add(null);
        bad.add("null");
      }
      out.put(f, bad);
    }
    for (List<String> texts : List.of(List.of("id"), TEXTS, WORDS)) {
      for (String f : texts) {
        out.get(f).addAll(noText);
        out.get(f).add("\"\"");
      }
    }
    out.get("id").addAll(List.of("\"wk-\"", "\"job 1\"", "\"WK-1\"", "\"wk-1/0\"", "\"wk-1\\n\""));
    WORDS.forEach(f -> out.get(f).add("\"heap\""));
    for (String f : FLAGS) {
      out.get(f).addAll(List.of("0", "1", "\"true\"", "\"\"", "[]", "{}"));
    }
    List<String> noNumber =
        List.of("\"1\"", "true", "[1]", "{}", "NaN", "Infinity", "1e400", "-1e400", "-1", "-0.5");
    for (List<String> numbers : List.of(AMOUNTS, List.of("shards", "due_s"))) {
      numbers.forEach(f -> out.get(f).addAll(noNumber));
    }
    AMOUNTS.forEach(f -> out.get(f).add("1e10"));
    out.get("shards")
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
    out.get("hulls").addAll(List.of("\"small\"", "7", "true", "{}", "[7]", "[null]", "[[]]"));
    out.get("harbor").addAll(List.of("7", "true", "[\"a\"]", "{}"));
    return out;
  }

  @Test
  void whatLacksAFieldIsRefusedAndNotStored() throws Exception {
    nodes(1, cloud.port());
    typesKnown(0);
    int cases = 0;
    for (Map.Entry<String, List<String>> e : wrong().entrySet()) {
      for (String value : e.getValue()) {
        refused(400, text(with(e.getKey(), value)));
        cases++;
      }
    }
    assertTrue(cases > 200, "cases: " + cases);
    String good = text(with());
    List<String> noObjects =
        Arrays.asList("", "no", "null", "7", "\"x\"", "[" + good + "]", "{" + good, good + "}");
    for (String body : noObjects) {
      refused(400, body);
    }
    refused(400, good.substring(0, good.length() - 1));
    refused(400, good + good);
    refused(400, "[".repeat(60_000));
    refused(400, good.replace("}", ",\"x\":" + "[".repeat(30_000) + "]".repeat(30_000) + "}"));
    refused(400, good.replace("}", ",\"shards\":0}")); // of a name given twice the last counts
    refused(413, good.replace("}", ",\"x\":\"" + "y".repeat(65_536) + "\"}"));
    assertEquals(Set.of(), stored());

    // The same without a cause to be refused: it was not the rest of these bodies.
    List<Map<String, String>> fine = new ArrayList<>(List.of(with(), with("new", "{\"f\":[1]}")));
    for (String f : MAY_BE_NULL) {
      fine.add(with(f, null));
      fine.add(with(f, "null"));
    }
    fine.add(with("vcpus", "0", "gpus", "0", "mem_gb", "0"));
    fine.add(with("vcpus", "0.0", "expect_s", "0", "image_gb", "0", "due_s", "0"));
    fine.add(with("shards", "100000", "vcpus", "0.001"));
    Set<String> ids = new TreeSet<>();
    for (Map<String, String> m : fine) {
      HttpClient.Response a = submit(text(m));
      assertEquals(201, a.status(), text(m));
      ids.add((String) Json.object(a.body()).get("id"));
    }
    Set<String> seen = new TreeSet<>();
    stored().forEach(key -> seen.add(key.substring(key.lastIndexOf('/') + 1)));
    assertEquals(ids, seen);
  }

  @Test
  void whatCanNeverRunIsRefusedAndNotStored() throws Exception {
    nodes(1, cloud.port());
    typesKnown(0);
    for (Map<String, String> m :
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
      refused(422, text(m));
    }
    assertEquals(Set.of(), stored());
    for (Map<String, String> m :
        List.of(
            with("crew", "\"limited\"", "shape", "\"gang\"", "shards", "6"),
            with("crew", "\"limited\"", "shards", "7"),
            with("apart", "true"),
            with("shape", "\"gang\"", "harbor", null, "one_zone", "false", "apart", "true"))) {
      assertEquals(201, submit(text(m)).status(), text(m));
    }
  }

  /** Puts a job on record as a controller that accepted it did. */
  private void onRecord(String id, int cpus) throws Exception {
    JobSpec spec =
        JobDraft.array(id, 1)
            .kind(JobKind.SERVICE)
            .of("demo")
            .in("c", Priority.LOW)
            .takes(cpus, 0)
            .estimate(1)
            .spec();
    Map<String, Object> row =
        Map.of(
            "set",
            RecordCodec.JOB + id,
            "data",
            RecordCodec.encodeJob(new RecordCodec.JobRecord(spec, System.currentTimeMillis())));
    try (HttpClient client = new HttpClient("127.0.0.1", store.port(), 1)) {
      byte[] body = Json.bytes(Map.of("writes", List.of(row)));
      assertEquals(200, client.call("POST", "/multi", body, 5000).status());
    }
  }

  /** Known by its state, at all nodes, whatever its body lacks and whatever the cloud offers. */
  private void known(int count, String id, String phase) throws Exception {
    String quoted = "\"" + id + "\"";
    for (String body :
        List.of(
            text(with("id", quoted)),
            text(with("id", quoted)) + "}",
            text(with("id", quoted, "one_zone", null)),
            text(with("id", quoted, "apart", "null", "ebbtide", null)),
            text(with("id", quoted, "vcpus", "99")),
            text(with("id", quoted, "crew", "\"nobody\"")),
            text(with("id", quoted, "vcpus", "99", "one_zone", null, "hulls", "[]")) + " x")) {
      for (int node = 0; node < count; node++) {
        expect(node, "POST", JOBS, body, 200, "\"id\":\"" + id + "\",\"phase\":\"" + phase);
      }
    }
  }

  /** Also jobs whose machine type is gone, and bodies that only an earlier version accepted. */
  @Test
  void whatWasAcceptedIsNotRefusedLater() throws Exception {
    onRecord("wk-old1", 99);
    nodes(2, cloud.port());
    typesKnown(0);
    typesKnown(1);
    known(2, "wk-old1", "queued");
    assertEquals(Set.of(RecordCodec.JOB + "wk-old1"), stored());
    for (int node = 0; node < 2; node++) {
      nodes.await(node, "POST", JOBS + "/wk-old1/withdraw", null, 200, "withdrawn");
    }
    known(2, "wk-old1", "withdrawn");
    assertEquals(Set.of(RecordCodec.ENDED + "wk-old1"), stored());

    // While nobody can say whether it is known, only what no version accepted is refused.
    store.down(true);
    refused(503, text(with("one_zone", null)));
    refused(503, text(with("vcpus", "99")));
    refused(400, text(with("one_zone", "1")));
    refused(400, text(with("shards", null)));
    refused(400, text(with("id", null)));
    store.down(false);
    nodes.await(0, "POST", JOBS, text(with("one_zone", null)), 400, "one_zone");
    assertEquals(Set.of(RecordCodec.ENDED + "wk-old1"), stored());
  }

  /** The cloud is out from the start: what is new waits, and what is known is told. */
  @Test
  void withoutMachineTypesOnlyWhatIsKnownIsDecided() throws Exception {
    try (HttpServer out = new HttpServer("127.0.0.1", 0, 50, r -> Response.error(503, "trouble"))) {
      out.start();
      onRecord("wk-old1", 1);
      nodes(1, out.port());
      refused(503, text(with()));
      refused(503, text(with("vcpus", "99")));
      refused(400, text(with("apart", null)));
      refused(400, text(with("vcpus", null)));
      known(1, "wk-old1", "queued");
      assertEquals(Set.of(RecordCodec.JOB + "wk-old1"), stored());
    }
  }

  /** Users repeat, cancel what is over and ask for what never was: at all nodes the same. */
  @Test
  void oddRequestsGetTheStateOfTheJobAtAllNodes() throws Exception {
    nodes(3, cloud.port());
    for (int node = 0; node < 3; node++) {
      typesKnown(node);
    }
    Map<String, String> lasting = with("id", "\"wk-9\"", "shape", "\"service\"", "shards", "1");
    nodes.await(0, "POST", JOBS, text(lasting), 201, "queued");
    Map<String, String> ending = with();
    String id = "wk-" + String.format("%06d", ids);
    nodes.await(1, "POST", JOBS, text(ending), 201, "queued");
    nodes.await(2, "GET", JOBS + "/wk-9", null, 200, "running\",");
    nodes.await(2, "GET", JOBS + "/" + id, null, 200, "\"done\",");
    for (int round = 0; round < 2; round++) {
      for (int node = 0; node < 3; node++) {
        expect(node, "POST", JOBS, text(lasting), 200, "\"running\",");
        expect(node, "POST", JOBS, text(ending), 200, "\"done\",");
        expect(node, "POST", JOBS + "/" + id + "/withdraw", null, 200, "\"done\",");
        expect(node, "GET", JOBS + "/" + id, null, 200, "\"done\",");
        expect(node, "POST", JOBS + "/wk-nobodys/withdraw", null, 404, "error");
        expect(node, "GET", JOBS + "/wk-nobodys", null, 404, "error");
      }
    }
    nodes.await(1, "POST", JOBS + "/wk-9/withdraw", null, 200, "withdrawn");
    for (int node = 0; node < 3; node++) {
      expect(node, "POST", JOBS, text(lasting), 200, "\"withdrawn\",");
      expect(node, "POST", JOBS + "/wk-9/withdraw", null, 200, "\"withdrawn\",");
      expect(node, "GET", JOBS + "/wk-9", null, 200, "\"withdrawn\",");
    }
    assertEquals(Set.of(RecordCodec.ENDED + "wk-9", RecordCodec.ENDED + id), stored());
  }

  private void expect(int node, String method, String path, String body, int status, String word)
      throws Exception {
    HttpClient.Response a = nodes.call(node, method, path, body);
    String said = new String(a.body(), StandardCharsets.UTF_8);
    assertEquals(status, a.status(), said + ": " + method + " " + path + " at " + node);
    assertTrue(said.contains(word), said + ": " + method + " " + path + " at " + node);
  }
}
