package org.astershift.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import org.astershift.golden.Golden;
import org.junit.jupiter.api.Test;

/** Frames between controllers, which may be of different versions for a while. */
class GoldenFramesTest {
  private static final HexFormat HEX_FORMAT = HexFormat.of();

  private static DataInputStream inputOf(String hex) {
    return new DataInputStream(new ByteArrayInputStream(HEX_FORMAT.parseHex(hex)));
  }

  @Test
  void requestFrames() throws Exception {
    Map<String, PeerCodec.PeerRequest> requests = new LinkedHashMap<>();
    requests.put("poll", new PeerCodec.PeerRequest("poll", "wk-000412"));
    requests.put("cancel", new PeerCodec.PeerRequest("cancel", "wk-" + "z".repeat(40)));
    requests.put("state", new PeerCodec.PeerRequest("state", ""));
    requests.put("witness", new PeerCodec.PeerRequest("witness", "10.0.0.1:7000 10.0.0.2:7000"));
    requests.put("empty", new PeerCodec.PeerRequest("", ""));
    Golden golden = new Golden("peer-questions");
    for (Map.Entry<String, PeerCodec.PeerRequest> entry : requests.entrySet()) {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      PeerCodec.write(new DataOutputStream(out), entry.getValue());
      golden.add(entry.getKey(), HEX_FORMAT.formatHex(out.toByteArray()));
    }
    golden.check();
    for (Map.Entry<String, PeerCodec.PeerRequest> entry : requests.entrySet()) {
      assertEquals(
          entry.getValue(), PeerCodec.readRequest(inputOf(golden.expected(entry.getKey()))));
    }
  }

  @Test
  void answerFrames() throws Exception {
    Map<String, PeerResponse> answers = new LinkedHashMap<>();
    answers.put("known", new PeerResponse(200, "running", 100_000, 130));
    answers.put("queued", new PeerResponse(200, "queued", 0, 0));
    answers.put("empty phase", new PeerResponse(200, "", 3, 4));
    answers.put("unknown", PeerResponse.NOT_FOUND);
    answers.put("undecided", PeerResponse.UNAVAILABLE);
    answers.put("negative", new PeerResponse(200, "done", -1, -200));
    Golden golden = new Golden("peer-answers");
    for (Map.Entry<String, PeerResponse> entry : answers.entrySet()) {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      PeerCodec.write(new DataOutputStream(out), entry.getValue());
      golden.add(entry.getKey(), HEX_FORMAT.formatHex(out.toByteArray()));
    }
    golden.check();
    for (Map.Entry<String, PeerResponse> entry : answers.entrySet()) {
      assertEquals(
          entry.getValue(), PeerCodec.readResponse(inputOf(golden.expected(entry.getKey()))));
    }
  }

  /** A later version may send more fields; they are ignored. */
  @Test
  void longerFramesAreReadAndOthersRejected() throws Exception {
    assertEquals(
        new PeerCodec.PeerRequest("a", "b"),
        PeerCodec.readRequest(inputOf("0000000793a161a162a163")));
    assertEquals(
        new PeerResponse(200, null, 1, 2),
        PeerCodec.readResponse(inputOf("0000000895ccc8c00102a178")));
    Golden golden = new Golden("peer-errors");
    for (String hex : new String[] {"00000000", "ffffffff", "00010001", "0000000391a161"}) {
      String message =
          assertThrows(IOException.class, () -> PeerCodec.readRequest(inputOf(hex))).getMessage();
      golden.add("question " + hex, message);
    }
    String shortAnswer = "0000000593ccc8c001";
    golden.add(
        "answer " + shortAnswer,
        assertThrows(IOException.class, () -> PeerCodec.readResponse(inputOf(shortAnswer)))
            .getMessage());
    golden.check();
  }
}
