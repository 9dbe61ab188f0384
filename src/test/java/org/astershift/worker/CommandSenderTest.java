package org.astershift.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.astershift.http.HttpServer;
import org.astershift.http.HttpServer.Response;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** When the outcome of commands is unknown. */
class CommandSenderTest {
  private static final String HEARTBEAT =
      "{\"vessel\":\"vm-1\",\"addr\":\"127.0.0.1:1\",\"hull\":\"small\",\"harbor\":\"a\","
          + "\"ebbtide\":false,\"watch\":1,\"tick\":7,\"helm\":5,\"shards\":[]}";

  private static String sendTo(String address) {
    CommandSender.Result result = new CommandSender().send(address, 5, 1, List.of(), 2000);
    return (result.outcomeUnknown() ? "unknown" : "known")
        + (result.heartbeat() == null ? "" : " with a heartbeat");
  }

  private static String sendToWorkerAnswering(int status, String body) throws Exception {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    try (HttpServer worker =
        new HttpServer("127.0.0.1", 0, 5, request -> new Response(status, bytes, 0))) {
      worker.start();
      return sendTo("127.0.0.1:" + worker.port());
    }
  }

  @Test
  void outcomeIsKnownOnlyIfNothingCanHaveHappened() throws Exception {
    assertEquals("known with a heartbeat", sendToWorkerAnswering(200, HEARTBEAT));
    assertEquals("known with a heartbeat", sendToWorkerAnswering(409, HEARTBEAT));
    assertEquals(
        "known", sendToWorkerAnswering(400, "{}"), "rejected as malformed: nothing is executed");
    assertEquals(
        "unknown",
        sendToWorkerAnswering(200, HEARTBEAT.substring(0, 60)),
        "it may have been executed before the response broke off");
    HttpServer closedServer = new HttpServer("127.0.0.1", 0, 5, request -> Response.of(200, null));
    String address = "127.0.0.1:" + closedServer.port();
    closedServer.close();
    assertEquals("known", sendTo(address), "no connection: nothing was sent");
    assertEquals("known", sendTo("nowhere"));
    assertEquals("known", sendTo("127.0.0.1:70000"), "not a port");
    assertFalse(new CommandSender().isReachable("127.0.0.1:70000", 2000));
  }

  /** Other errors leave it open whether the commands were executed. */
  @ParameterizedTest
  @ValueSource(ints = {404, 500, 503})
  void outcomeIsUnknownAfterAnError(int status) throws Exception {
    assertEquals("unknown", sendToWorkerAnswering(status, "{}"));
  }
}
