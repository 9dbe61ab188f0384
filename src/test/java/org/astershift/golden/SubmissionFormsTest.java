package org.astershift.golden;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import org.astershift.api.JobCodec;
import org.astershift.http.JsonFormatException;
import org.astershift.peer.PeerResponse;
import org.astershift.scheduler.JobSpec;
import org.junit.jupiter.api.Test;

/**
 * Submissions in the words of users, and the job that is decoded from each, without controllers.
 */
class SubmissionFormsTest {
  static final String VALID =
      "{\"id\":\"wk-000412\",\"berth_class\":\"train\",\"crew\":\"vision\",\"shape\":\"gang\","
          + "\"rank\":\"urgent\",\"shards\":16,\"vcpus\":8.5,\"gpus\":1,\"mem_gb\":64.0,"
          + "\"payload\":\"img-07\",\"image_gb\":6.2,\"hulls\":[\"g8\",\"c4\"],\"harbor\":\"z1\","
          + "\"one_zone\":true,\"apart\":false,\"ebbtide\":true,\"expect_s\":240.0,"
          + "\"anchor_s\":30.0,\"stow_s\":4.0,\"due_s\":900.0,\"new\":{\"field\":[1]}}";

  private static JobSpec decode(String text) throws JsonFormatException {
    return JobCodec.decodeSpec(text.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Returns the values of a specification in a fixed order; kinds and priorities as the numbers
   * that records hold.
   */
  private static String describe(JobSpec spec) {
    Object[] values = {
      spec.id(),
      spec.jobClass(),
      spec.team(),
      spec.kind().ordinal(),
      spec.priority().ordinal(),
      spec.tasks(),
      spec.cpus(),
      spec.gpus(),
      spec.memoryGb(),
      spec.image(),
      spec.imageGb(),
      spec.machineTypes(),
      spec.zone(),
      spec.oneZone(),
      spec.spread(),
      spec.spotAllowed(),
      spec.estimateS(),
      spec.checkpointIntervalS(),
      spec.checkpointSaveS(),
      spec.deadlineS()
    };
    StringBuilder text = new StringBuilder();
    for (Object value : values) {
      text.append(value).append("; ");
    }
    return text.toString().trim();
  }

  @Test
  void decodedSubmissions() throws Exception {
    Map<String, String> cases = new LinkedHashMap<>();
    cases.put("every field", VALID);
    for (String shape : new String[] {"sweep", "gang", "service"}) {
      cases.put("shape " + shape, VALID.replace("\"gang\"", "\"" + shape + "\""));
    }
    for (String rank : new String[] {"critical", "urgent", "standard", "idle"}) {
      cases.put("rank " + rank, VALID.replace("\"urgent\"", "\"" + rank + "\""));
    }
    cases.put(
        "flags turned", VALID.replace("true", "@").replace("false", "true").replace("@", "false"));
    cases.put("null", VALID.replace("[\"g8\",\"c4\"]", "null").replace("\"z1\"", "null"));
    cases.put("no deadline", VALID.replace("\"due_s\":900.0,", ""));
    cases.put("no types", VALID.replace("[\"g8\",\"c4\"]", "[]"));
    Golden golden = new Golden("submission-values");
    for (Map.Entry<String, String> entry : cases.entrySet()) {
      golden.add(entry.getKey(), describe(decode(entry.getValue())));
    }
    golden.check();
  }

  @Test
  void ids() throws Exception {
    Golden golden = new Golden("submission-ids");
    String[] ids = {
      "wk-000412", "wk-z", "wk-" + "9".repeat(40), "wk-" + "9".repeat(41), "wk-", "wk-A", "wk_1", ""
    };
    for (String id : ids) {
      golden.add("<" + id + ">", String.valueOf(JobCodec.isJobId(id)));
    }
    golden.check();
  }

  @Test
  void acceptedByEarlierVersions() throws Exception {
    Map<String, String> cases = new LinkedHashMap<>();
    cases.put("good", VALID);
    cases.put("flags missing", VALID.replace("\"one_zone\":true,\"apart\":false,", ""));
    cases.put("flag null", VALID.replace("\"ebbtide\":true", "\"ebbtide\":null"));
    cases.put("flag wrong", VALID.replace("\"ebbtide\":true", "\"ebbtide\":1"));
    cases.put("more after it", VALID + " x");
    cases.put("no rank", VALID.replace("rank", "x"));
    cases.put("no JSON", "no");
    Golden golden = new Golden("submission-accepted-before");
    for (Map.Entry<String, String> entry : cases.entrySet()) {
      byte[] text = entry.getValue().getBytes(StandardCharsets.UTF_8);
      golden.add(entry.getKey(), String.valueOf(JobCodec.idAcceptedByEarlierVersions(text)));
    }
    golden.check();
  }

  @Test
  void encodedStates() throws Exception {
    Golden golden = new Golden("submission-states");
    for (String phase : new String[] {"queued", "running", "done", "withdrawn", null}) {
      PeerResponse answer = new PeerResponse(200, phase, 100_000, 37);
      golden.add(String.valueOf(phase), JobCodec.encodeState("wk-000412", answer));
    }
    golden.check();
  }
}
