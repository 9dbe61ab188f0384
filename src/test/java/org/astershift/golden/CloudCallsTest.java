package org.astershift.golden;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.StringJoiner;
import org.astershift.cloud.CloudClient;
import org.astershift.cloud.CloudRejectedException;
import org.astershift.scheduler.Decision;
import org.astershift.scheduler.ListedMachine;
import org.astershift.scheduler.MachineType;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** What the cloud is asked, and what its answers are taken for. */
@Timeout(60)
class CloudCallsTest {
  private static final String EMPTY = "{}";

  @TempDir Path dir;
  private Recorder recorder;
  private CloudClient cloud;

  @BeforeEach
  void start() throws Exception {
    recorder = new Recorder();
    cloud = new CloudClient(recorder.settings(dir));
  }

  @AfterEach
  void stop() throws Exception {
    recorder.close();
  }

  /** A call and its result as text. */
  private interface Call {
    String make() throws Exception;
  }

  private void addCall(Golden g, String label, int status, String answer, Call call)
      throws Exception {
    recorder.enqueueResponse(status, answer);
    String result;
    try {
      result = call.make();
    } catch (CloudRejectedException e) {
      result =
          "refused: "
              + e.getMessage()
              + ", "
              + describeReason(e.reason())
              + ", "
              + e.reason().isPermanent();
    } catch (IOException e) {
      result = "error: " + e.getMessage();
    }
    g.add(label + ", request", recorder.takeRequests());
    g.add(label + ", answer", status + " " + answer);
    g.add(label + ", result", result);
  }

  private static String describeReason(CloudRejectedException.Reason reason) {
    return switch (reason) {
      case NO_CAPACITY -> "none to be had";
      case MALFORMED -> "never";
      case RETRYABLE -> "maybe later";
    };
  }

  private static String describe(MachineType t) {
    StringJoiner out = new StringJoiner(" ");
    out.add(t.name());
    double[] numbers = {
      t.cpus(),
      t.gpus(),
      t.memoryGb(),
      t.cacheGb(),
      t.fetchGbPerS(),
      t.hourlyPrice(),
      t.spotHourlyPrice(),
      t.bootS()
    };
    for (double n : numbers) {
      out.add(String.valueOf(n));
    }
    return out.add("in " + String.join(" ", t.zones())).toString();
  }

  private static String describe(ListedMachine l) {
    return String.join(" ", l.name(), l.address(), l.typeName(), l.zone(), l.state())
        + (l.spot() ? " spot " : " no spot ")
        + l.ageS();
  }

  @Test
  void listingTypes() throws Exception {
    Golden g = new Golden("cloud-types");
    Call types =
        () -> {
          StringJoiner out = new StringJoiner("; ");
          cloud.listMachineTypes().forEach((name, t) -> out.add(name + ": " + describe(t)));
          return out.toString();
        };
    String small =
        "{\"name\":\"small\",\"vcpus\":4,\"gpus\":1.5,\"mem_gb\":16.25,\"local_gb\":100,"
            + "\"pull_gb_per_s\":0.5,\"hourly\":0.2,\"low_price\":0.05,\"ready_s\":30,"
            + "\"harbors\":[\"b\",\"a\"],\"new\":{}}";
    String plain = small.replace("\"gpus\":1.5,", "").replace("\"small\"", "\"plain\"");
    addCall(g, "two", 200, "{\"hulls\":[" + small + "," + plain + "]}", types);
    addCall(g, "none", 200, EMPTY, types);
    addCall(g, "nonsense", 200, "no", types);
    addCall(g, "no object", 200, "{\"hulls\":[7]}", types);
    for (String field :
        new String[] {
          "name", "vcpus", "mem_gb", "local_gb", "pull_gb_per_s", "hourly", "low_price", "ready_s"
        }) {
      String without = small.replace("\"" + field + "\"", "\"x\"");
      addCall(g, "without " + field, 200, "{\"hulls\":[" + without + "]}", types);
    }
    addCall(g, "refused", 503, EMPTY, types);
    g.check();
  }

  @Test
  void provisioning() throws Exception {
    Golden g = new Golden("cloud-rentals");
    Decision.ProvisionMachines spot = new Decision.ProvisionMachines("g8", "z1", true, 3);
    Decision.ProvisionMachines other = new Decision.ProvisionMachines("c4", "z2", false, 1);
    Call rent = () -> String.join(" ", cloud.provisionMachines("as-7-1", spot));
    addCall(g, "spot", 200, "{\"vessels\":[\"m-1\",\"m-2\",\"m-3\"]}", rent);
    addCall(
        g,
        "no spot",
        200,
        "{\"vessels\":[]}",
        () -> String.join(" ", cloud.provisionMachines("as-7-2", other)));
    addCall(g, "nonsense", 200, "no", rent);
    addCall(g, "no list", 200, "{\"vessels\":7}", rent);
    addCall(g, "no capacity", 503, "{\"error\":\"no capacity\"}", rent);
    addCall(g, "other error", 503, "{\"error\":\"starting\"}", rent);
    addCall(g, "error without text", 503, "", rent);
    addCall(g, "capacity by another status", 500, "{\"error\":\"no capacity\"}", rent);
    addCall(g, "malformed", 400, "{\"error\":\"no capacity\"}", rent);
    addCall(g, "over the limit", 429, EMPTY, rent);
    g.check();
  }

  @Test
  void releasing() throws Exception {
    Golden g = new Golden("cloud-returns");
    Call back =
        () -> {
          cloud.releaseMachines(List.of("m-1", "m-2"));
          return "done";
        };
    addCall(g, "two", 200, EMPTY, back);
    addCall(g, "malformed", 400, EMPTY, back);
    addCall(g, "trouble", 503, EMPTY, back);
    g.check();
  }

  @Test
  void listingMachines() throws Exception {
    Golden g = new Golden("cloud-lists");
    Call list =
        () -> {
          StringJoiner out = new StringJoiner("; ");
          cloud.listMachines().forEach(l -> out.add(describe(l)));
          return out.toString();
        };
    String full =
        "{\"id\":\"m-1\",\"addr\":\"10.0.0.1:7000\",\"hull\":\"g8\",\"harbor\":\"z1\","
            + "\"ebbtide\":true,\"phase\":\"ready\",\"held_s\":12.5,\"new\":1}";
    String least = "{\"id\":\"m-2\",\"hull\":\"c4\",\"harbor\":\"z2\",\"phase\":\"booting\"}";
    recorder.enqueueResponse(200, "{\"vessels\":[" + full + "],\"more\":true}");
    addCall(g, "second of two pages", 200, "{\"vessels\":[" + least + "],\"more\":false}", list);
    addCall(g, "empty page", 200, "{\"vessels\":[],\"more\":true}", list);
    addCall(g, "no list", 200, EMPTY, list);
    for (String field : new String[] {"id", "hull", "harbor", "phase"}) {
      String without = full.replace("\"" + field + "\"", "\"x\"");
      addCall(g, "without " + field, 200, "{\"vessels\":[" + without + "]}", list);
    }
    addCall(g, "trouble", 500, EMPTY, list);
    g.check();
  }
}
