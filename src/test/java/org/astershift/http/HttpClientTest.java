package org.astershift.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.FutureTask;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Connections that are kept for the next request, and end meanwhile. */
@Timeout(60)
class HttpClientTest {
  private static final int KEPT = 6;

  /**
   * The service was away and is back. One request learns that by failing, since it may have been
   * carried out; the others that are kept have ended, too. Each of them failed one renewal of the
   * leader's lease, and six in a row took longer than it lives.
   */
  @Test
  void oneRequestLearnsThatTheServiceBeganAnew() throws Exception {
    CountDownLatch all = new CountDownLatch(KEPT);
    HttpServer before =
        new HttpServer(
            "127.0.0.1",
            0,
            50,
            r -> {
              all.countDown();
              all.await();
              return HttpServer.Response.of(200, Map.of());
            });
    before.start();
    try (HttpClient client = new HttpClient("127.0.0.1", before.port(), KEPT)) {
      List<FutureTask<Integer>> together = new ArrayList<>();
      for (int i = 0; i < KEPT; i++) {
        FutureTask<Integer> f = new FutureTask<>(() -> status(client));
        together.add(f);
        new Thread(f).start();
      }
      for (FutureTask<Integer> f : together) {
        assertEquals(200, f.get());
      }
      before.close();
      try (HttpServer after =
          new HttpServer(
              "127.0.0.1", before.port(), 50, r -> HttpServer.Response.of(200, Map.of()))) {
        after.start();
        List<Integer> said = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
          said.add(status(client));
        }
        assertEquals(List.of(0, 200, 200), said);
      }
    }
  }

  /** 0 without an answer. */
  private static int status(HttpClient client) {
    try {
      return client.call("GET", "/", null, 5000).status();
    } catch (IOException e) {
      return 0;
    }
  }
}
