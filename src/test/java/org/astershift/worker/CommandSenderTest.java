package org.astershift.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.astershift.http.HttpServer;
import org.astershift.http.HttpServer.Response;
import org.astershift.scheduler.Command;
import org.junit.jupiter.api.Test;

/** What a start may have done of which no proper answer came: it holds its task's place. */
class CommandSenderTest {
  private static final String REPORT =
      "{\"vessel\":\"vm-1\",\"addr\":\"127.0.0.1:1\",\"hull\":\"small\",\"harbor\":\"a\","
          + "\"ebbtide\":false,\"watch\":1,\"tick\":7,\"helm\":5,\"shards\":[]}";

  private static String sent(String addr) {
    CommandSender.Result r = new CommandSender().send(addr, 5, 1, List::of, 2000);
    return (r.outcomeUnknown() ? "unknown" : "known")
        + (r.heartbeat() == null ? "" : " with a report");
  }

  private static String answered(int status, String body) throws Exception {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    try (HttpServer worker =
        new HttpServer("127.0.0.1", 0, 5, r -> new Response(status, bytes, 0))) {
      worker.start();
      return sent("127.0.0.1:" + worker.port());
    }
  }

  @Test
  void onlyWhatCertainlyDidNothingIsKnown() throws Exception {
    assertEquals("known with a report", answered(200, REPORT));
    assertEquals("known with a report", answered(409, REPORT));
    assertEquals("known", answered(400, "{}"), "refused as it is: nothing is executed");
    for (int status : new int[] {404, 500, 503}) {
      assertEquals("unknown", answered(status, "{}"));
    }
    assertEquals("unknown", answered(200, REPORT.substring(0, 60)), "it may have been executed");
    HttpServer gone = new HttpServer("127.0.0.1", 0, 5, r -> Response.of(200, null));
    String addr = "127.0.0.1:" + gone.port();
    gone.close();
    assertEquals("known", sent(addr), "no connection: nothing was sent");
    assertEquals("known", sent("nowhere"));
    assertEquals("known", sent("127.0.0.1:70000"), "no port");
    assertFalse(new CommandSender().isReachable("127.0.0.1:70000", 2000));
  }

  /**
   * What to send is decided once there is a connection: until then the leader's lease may have run
   * out, and who accepts it may have begun anew.
   */
  @Test
  void ordersAreMadeUpOnceThereIsAConnection() throws Exception {
    AtomicInteger madeUp = new AtomicInteger();
    Supplier<List<Command>> orders =
        () -> {
          madeUp.incrementAndGet();
          return List.of();
        };
    HttpServer gone = new HttpServer("127.0.0.1", 0, 5, r -> Response.of(200, null));
    String addr = "127.0.0.1:" + gone.port();
    gone.close();
    new CommandSender().send(addr, 5, 1, orders, 2000);
    assertEquals(0, madeUp.get(), "nobody accepts a connection");
    byte[] report = REPORT.getBytes(StandardCharsets.UTF_8);
    try (HttpServer worker = new HttpServer("127.0.0.1", 0, 5, r -> new Response(200, report, 0))) {
      worker.start();
      CommandSender sender = new CommandSender();
      for (int i = 1; i <= 2; i++) {
        sender.send("127.0.0.1:" + worker.port(), 5, 1, orders, 2000);
        assertEquals(i, madeUp.get(), "once a request, also over a connection that was kept");
      }
    }
  }
}
