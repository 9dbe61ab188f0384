package org.astershift.cloud;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.astershift.config.Settings;
import org.astershift.http.HttpClient;
import org.astershift.http.JsonFormatException;
import org.astershift.http.RequestNotSentException;
import org.astershift.scheduler.Decision;
import org.astershift.scheduler.ListedMachine;
import org.astershift.scheduler.MachineType;
import org.astershift.store.RateLimiter;

/**
 * Client of the cloud provider's API that stays within the API's rate limit. Calls block. They
 * throw {@link CloudRejectedException} if the request had no effect; after any other {@link
 * IOException} its effect is unknown. Thread-safe.
 */
public final class CloudClient {
  /**
   * Share of the rate limit that this client uses: the other controllers are followers, which make
   * no calls.
   */
  private static final double CLOUD_RATE_SHARE = 0.85;

  /** Timeout of one call, in milliseconds. */
  private static final int CLOUD_TIMEOUT_MS = 5000;

  private static final int MALFORMED_STATUS = 400;
  private static final int UNAVAILABLE_STATUS = 503;

  private final HttpClient http;
  private final RateLimiter rateLimiter;

  /** Creates a client of the cloud API that the settings name. */
  public CloudClient(Settings settings) {
    this.http = new HttpClient(settings.cloud().host(), settings.cloud().port(), 3);
    this.rateLimiter = new RateLimiter(settings.cloudRps());
    this.rateLimiter.setShare(CLOUD_RATE_SHARE, 1);
  }

  /** Returns the machine types on offer by name, in the order in which the cloud lists them. */
  public Map<String, MachineType> listMachineTypes() throws IOException {
    byte[] body = call(RateLimiter.Urgency.INTERACTIVE, "GET", "/flavors", null);
    try {
      return CloudCodec.decodeMachineTypes(body);
    } catch (JsonFormatException e) {
      throw new IOException("machine types: " + e.getMessage());
    }
  }

  /** Provisions machines and returns their names; idempotent by {@code requestId}. */
  public List<String> provisionMachines(String requestId, Decision.ProvisionMachines request)
      throws IOException {
    byte[] body =
        call(
            RateLimiter.Urgency.INTERACTIVE,
            "POST",
            "/hosts",
            CloudCodec.encodeProvision(requestId, request));
    try {
      return CloudCodec.decodeProvisioned(body);
    } catch (JsonFormatException e) {
      throw new IOException("rental: " + e.getMessage());
    }
  }

  /** Releases machines. After success, none of their tasks runs any more. */
  public void releaseMachines(List<String> machineNames) throws IOException {
    call(
        RateLimiter.Urgency.INTERACTIVE,
        "POST",
        "/hosts/return",
        CloudCodec.encodeRelease(machineNames));
  }

  /**
   * Returns the whole machine list. It is read page by page, so it is not a consistent snapshot.
   */
  public List<ListedMachine> listMachines() throws IOException {
    List<ListedMachine> machines = new ArrayList<>();
    String after = "";
    boolean hasMore = true;
    try {
      while (hasMore) {
        String path = "/hosts?limit=500" + (after.isEmpty() ? "" : "&from=" + after);
        CloudCodec.MachinePage page =
            CloudCodec.decodeMachinePage(call(RateLimiter.Urgency.BACKGROUND, "GET", path, null));
        machines.addAll(page.machines());
        if (!machines.isEmpty()) {
          after = machines.get(machines.size() - 1).name();
        }
        hasMore = page.hasMore();
      }
    } catch (JsonFormatException e) {
      throw new IOException("machine list: " + e.getMessage());
    }
    return machines;
  }

  private byte[] call(RateLimiter.Urgency urgency, String method, String path, byte[] body)
      throws IOException {
    awaitPermit(urgency);
    HttpClient.Response response;
    try {
      response = http.call(method, path, body, CLOUD_TIMEOUT_MS);
    } catch (RequestNotSentException e) {
      throw new CloudRejectedException(e.getMessage(), CloudRejectedException.Reason.RETRYABLE);
    }
    if (response.status() == 200) {
      return response.body();
    }
    throw new CloudRejectedException("status " + response.status(), rejectionReason(response));
  }

  private void awaitPermit(RateLimiter.Urgency urgency) throws CloudRejectedException {
    try {
      if (!rateLimiter.acquire(urgency, 1, CLOUD_TIMEOUT_MS)) {
        throw new CloudRejectedException(
            "timed out waiting for the rate limit of cloud calls",
            CloudRejectedException.Reason.RETRYABLE);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CloudRejectedException("interrupted", CloudRejectedException.Reason.RETRYABLE);
    }
  }

  private static CloudRejectedException.Reason rejectionReason(HttpClient.Response response) {
    if (response.status() == MALFORMED_STATUS) {
      return CloudRejectedException.Reason.MALFORMED;
    }
    return response.status() == UNAVAILABLE_STATUS && CloudCodec.isNoCapacity(response.body())
        ? CloudRejectedException.Reason.NO_CAPACITY
        : CloudRejectedException.Reason.RETRYABLE;
  }
}
