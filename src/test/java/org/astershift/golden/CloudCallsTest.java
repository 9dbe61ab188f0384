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

/** Requests to the cloud, and how its responses are interpreted. */
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

  /** A call that returns its result as text. */
  private interface Call {
    String make() throws Exception;
  }

  private void addCall(Golden golden, String label, int status, String answer, Call call)
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
    golden.add(label + ", request", recorder.takeRequests());
    golden.add(label + ", answer", status + " " + answer);
    golden.add(label + ", result", result);
  }

  private static String describeReason(CloudRejectedException.Reason reason) {
    return switch (reason) {
      case NO_CAPACITY -> "none to be had";
      case MALFORMED -> "never";
      case RETRYABLE -> "maybe later";
    };
  }

  private static String describe(MachineType type) {
    StringJoiner text = new StringJoiner(" ");
    text.add(type.name());
    double[] numbers = {
      type.cpus(),
      type.gpus(),
      type.memoryGb(),
      type.cacheGb(),
      type.fetchGbPerS(),
      type.hourlyPrice(),
      type.spotHourlyPrice(),
      type.bootS()
    };
    for (double number : numbers) {
      text.add(String.valueOf(number));
    }
    return text.add("in " + String.join(" ", type.zones())).toString();
  }

  private static String describe(ListedMachine machine) {
    return String.join(
            " ",
            machine.name(),
            machine.address(),
            machine.typeName(),
            machine.zone(),
            machine.state())
        + (machine.spot() ? " spot " : " no spot ")
        + machine.ageS();
  }

  @Test
  void listingTypes() throws Exception {
    Golden golden = new Golden("cloud-types");
    Call types =
        () -> {
          StringJoiner text = new StringJoiner("; ");
          cloud.listMachineTypes().forEach((name, type) -> text.add(name + ": " + describe(type)));
          return text.toString();
        };
    String small =
        "{\"name\":\"small\",\"vcpus\":4,\"gpus\":1.5,\"mem_gb\":16.25,\"local_gb\":100,"
            + "\"pull_gb_per_s\":0.5,\"hourly\":0.2,\"low_price\":0.05,\"ready_s\":30,"
            + "\"harbors\":[\"b\",\"a\"],\"new\":{}}";
    String plain = small.replace("\"gpus\":1.5,", "").replace("\"small\"", "\"plain\"");
    addCall(golden, "two", 200, "{\"hulls\":[" + small + "," + plain + "]}", types);
    addCall(golden, "none", 200, EMPTY, types);
    addCall(golden, "nonsense", 200, "no", types);
    addCall(golden, "no object", 200, "{\"hulls\":[7]}", types);
    for (String field :
        new String[] {
          "name", "vcpus", "mem_gb", "local_gb", "pull_gb_per_s", "hourly", "low_price", "ready_s"
        }) {
      String without = small.replace("\"" + field + "\"", "\"x\"");
      addCall(golden, "without " + field, 200, "{\"hulls\":[" + without + "]}", types);
    }
    addCall(golden, "refused", 503, EMPTY, types);
    golden.check();
  }

  @Test
  void provisioning() throws Exception {
    Golden golden = new Golden("cloud-rentals");
    Decision.ProvisionMachines spot = new Decision.ProvisionMachines("g8", "z1", true, 3);
    Decision.ProvisionMachines other = new Decision.ProvisionMachines("c4", "z2", false, 1);
    Call provision = () -> String.join(" ", cloud.provisionMachines("as-7-1", spot));
    addCall(golden, "spot", 200, "{\"vessels\":[\"m-1\",\"m-2\",\"m-3\"]}", provision);
    addCall(
        golden,
        "no spot",
        200,
        "{\"vessels\":[]}",
        () -> String.join(" ", cloud.provisionMachines("as-7-2", other)));
    addCall(golden, "nonsense", 200, "no", provision);
    addCall(golden, "no list", 200, "{\"vessels\":7}", provision);
    addCall(golden, "no capacity", 503, "{\"error\":\"no capacity\"}", provision);
    addCall(golden, "other error", 503, "{\"error\":\"starting\"}", provision);
    addCall(golden, "error without text", 503, "", provision);
    addCall(golden, "capacity by another status", 500, "{\"error\":\"no capacity\"}", provision);
    addCall(golden, "malformed", 400, "{\"error\":\"no capacity\"}", provision);
    addCall(golden, "over the limit", 429, EMPTY, provision);
    golden.check();
  }

  @Test
  void releasing() throws Exception {
    Golden golden = new Golden("cloud-returns");
    Call release =
        () -> {
          cloud.releaseMachines(List.of("m-1", "m-2"));
          return "done";
        };
    addCall(golden, "two", 200, EMPTY, release);
    addCall(golden, "malformed", 400, EMPTY, release);
    addCall(golden, "trouble", 503, EMPTY, release);
    golden.check();
  }

  @Test
  void listingMachines() throws Exception {
    Golden golden = new Golden("cloud-lists");
    Call list =
        () -> {
          StringJoiner text = new StringJoiner("; ");
          cloud.listMachines().forEach(machine -> text.add(describe(machine)));
          return text.toString();
        };
    String full =
        "{\"id\":\"m-1\",\"addr\":\"10.0.0.1:7000\",\"hull\":\"g8\",\"harbor\":\"z1\","
            + "\"ebbtide\":true,\"phase\":\"ready\",\"held_s\":12.5,\"new\":1}";
    String minimal = "{\"id\":\"m-2\",\"hull\":\"c4\",\"harbor\":\"z2\",\"phase\":\"booting\"}";
    recorder.enqueueResponse(200, "{\"vessels\":[" + full + "],\"more\":true}");
    addCall(
        golden, "second of two pages", 200, "{\"vessels\":[" + minimal + "],\"more\":false}", list);
    addCall(golden, "empty page", 200, "{\"vessels\":[],\"more\":true}", list);
    addCall(golden, "no list", 200, EMPTY, list);
    for (String field : new String[] {"id", "hull", "harbor", "phase"}) {
      String without = full.replace("\"" + field + "\"", "\"x\"");
      addCall(golden, "without " + field, 200, "{\"vessels\":[" + without + "]}", list);
    }
    addCall(golden, "trouble", 500, EMPTY, list);
    golden.check();
  }
}
