package org.astershift.golden;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import org.astershift.api.JobCodec;
import org.astershift.http.JsonFormatException;
import org.astershift.peer.PeerResponse;
import org.astershift.scheduler.JobSpec;
import org.junit.jupiter.api.Test;

/** The users' words for jobs: what each is read as, without controllers. */
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

  /** Its values in a fixed order; kinds and priorities as the numbers that records hold. */
  private static String describe(JobSpec s) {
    Object[] values = {
      s.id(),
      s.jobClass(),
      s.team(),
      s.kind().ordinal(),
      s.priority().ordinal(),
      s.tasks(),
      s.cpus(),
      s.gpus(),
      s.memoryGb(),
      s.image(),
      s.imageGb(),
      s.machineTypes(),
      s.zone(),
      s.oneZone(),
      s.spread(),
      s.spotAllowed(),
      s.estimateS(),
      s.checkpointIntervalS(),
      s.checkpointSaveS(),
      s.deadlineS()
    };
    StringBuilder out = new StringBuilder();
    for (Object v : values) {
      out.append(v).append("; ");
    }
    return out.toString().trim();
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
    Golden g = new Golden("submission-values");
    for (Map.Entry<String, String> e : cases.entrySet()) {
      g.add(e.getKey(), describe(decode(e.getValue())));
    }
    g.check();
  }

  @Test
  void ids() throws Exception {
    Golden g = new Golden("submission-ids");
    String[] ids = {
      "wk-000412", "wk-z", "wk-" + "9".repeat(40), "wk-" + "9".repeat(41), "wk-", "wk-A", "wk_1", ""
    };
    for (String id : ids) {
      g.add("<" + id + ">", String.valueOf(JobCodec.isJobId(id)));
    }
    g.check();
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
    Golden g = new Golden("submission-accepted-before");
    for (Map.Entry<String, String> e : cases.entrySet()) {
      byte[] text = e.getValue().getBytes(StandardCharsets.UTF_8);
      g.add(e.getKey(), String.valueOf(JobCodec.idAcceptedByEarlierVersions(text)));
    }
    g.check();
  }

  @Test
  void encodedStates() throws Exception {
    Golden g = new Golden("submission-states");
    for (String phase : new String[] {"queued", "running", "done", "withdrawn", null}) {
      PeerResponse a = new PeerResponse(200, phase, 100_000, 37);
      g.add(String.valueOf(phase), JobCodec.encodeState("wk-000412", a));
    }
    g.check();
  }
}
