package org.astershift.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.astershift.http.HttpClient;
import org.astershift.http.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A cloud emulator must not affect the next test after it is closed. */
@Timeout(200)
class CloudEmulatorTest {

  /** A provisioning request in flight when a test ends must not create a worker. */
  @Test
  void requestInFlightAtCloseProvisionsNoMachine() throws Exception {
    CloudEmulator cloud = new CloudEmulator(0, List.of(1), 0);
    int port = cloud.port();
    Thread requester = new Thread(() -> provision(port));
    synchronized (cloud) {
      requester.start();
      Await.until(
          "the request to reach the handler of the cloud", CloudEmulatorTest::isRequestWaiting);
      cloud.close();
    }
    requester.join();
    Await.until("the request to end", () -> !isRequestWaiting());
    synchronized (cloud) {
      assertEquals(List.of(), cloud.workersEverProvisioned());
    }
  }

  private static void provision(int port) {
    byte[] body = Json.encode(Map.of("charter", "r", "hull", "small", "harbor", "a", "number", 1L));
    try (HttpClient client = new HttpClient("127.0.0.1", port, 1)) {
      client.call("POST", "/hosts", body, 10_000);
    } catch (IOException e) {
      // closing the cloud closes the connection; only the effect on the cloud matters
    }
  }

  /** Returns whether a thread is in the cloud's request handler. */
  private static boolean isRequestWaiting() {
    return Thread.getAllStackTraces().values().stream()
        .flatMap(Arrays::stream)
        .anyMatch(CloudEmulatorTest::isHandlerFrame);
  }

  private static boolean isHandlerFrame(StackTraceElement frame) {
    return frame.getClassName().equals(CloudEmulator.class.getName())
        && frame.getMethodName().equals("handle");
  }
}
