package org.astershift.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Malformed HTTP gets the right status, and no response shows internals. */
class HostileInputTest {
  @ParameterizedTest(name = "{0}")
  @CsvSource(
      delimiter = '|',
      value = {
        "a plain request | GET / HTTP/1.1~~ | 200",
        "an empty line before it | ~GET / HTTP/1.1~~ | 200",
        "lone line feeds | GET / HTTP/1.1^^ | 200",
        "a chunked body | POST / HTTP/1.1~Transfer-Encoding: chunked~~2~ab~0~~ | 200",
        "no version | GET /~~ | 400",
        "a full URL | GET http://x/ HTTP/1.1~~ | 400",
        "a header without a colon | GET / HTTP/1.1~nonsense~~ | 400",
        "a folded header | GET / HTTP/1.1~A: b~ c: d~~ | 400",
        "a space before the colon | GET / HTTP/1.1~A : b~~ | 400",
        "a negative length | POST / HTTP/1.1~Content-Length: -1~~ | 400",
        "two lengths | POST / HTTP/1.1~Content-Length: 1~Content-Length: 2~~ | 400",
        "length and chunks | POST / HTTP/1.1~Content-Length: 1~Transfer-Encoding: chunked~~ | 400",
        "a bad chunk size | POST / HTTP/1.1~Transfer-Encoding: chunked~~zz~ | 400",
        "a huge chunk | POST / HTTP/1.1~Transfer-Encoding: chunked~~ffffffff~ | 413",
        "a body over the limit | POST / HTTP/1.1~Content-Length: 65537~~ | 413",
        "an unknown encoding | POST / HTTP/1.1~Transfer-Encoding: gzip~~ | 501"
      })
  void requestGetsExpectedStatus(String what, String request, int status) throws Exception {
    String text = request.replace("~", "\r\n").replace("^", "\n");
    String response = exchange(text);
    assertEquals("HTTP/1.1 " + status, response.substring(0, 12), response);
    assertFalse(response.contains("Exception") || response.contains("org.astershift"), response);
  }

  @Test
  void oversizedHeadersAreRejected() throws Exception {
    String head =
        "GET / HTTP/1.1\r\nA: " + "x".repeat(HttpMessageReader.MAX_HEAD_BYTES) + "\r\n\r\n";
    assertEquals("HTTP/1.1 431", exchange(head).substring(0, 12));
  }

  @Test
  void internalErrorsAreNotShown() throws Exception {
    try (HttpServer server =
        new HttpServer(
            "127.0.0.1",
            0,
            10,
            request -> {
              throw new IllegalStateException("secret");
            })) {
      server.start();
      HttpClient client = new HttpClient("127.0.0.1", server.port(), 1);
      HttpClient.Response response = client.call("GET", "/", null, 5000);
      assertEquals(503, response.status());
      assertFalse(new String(response.body(), StandardCharsets.UTF_8).contains("secret"));
    }
  }

  private static String exchange(String text) throws Exception {
    try (HttpServer server =
        new HttpServer(
            "127.0.0.1",
            0,
            10,
            request -> HttpServer.Response.of(200, Map.of("n", request.body().length)))) {
      server.start();
      try (Socket socket = new Socket("127.0.0.1", server.port())) {
        socket.setSoTimeout(20_000);
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        byte[] buffer = new byte[4096];
        int count = socket.getInputStream().read(buffer);
        return new String(buffer, 0, Math.max(count, 0), StandardCharsets.ISO_8859_1);
      }
    }
  }
}
