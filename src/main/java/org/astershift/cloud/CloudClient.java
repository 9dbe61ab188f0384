package org.astershift.cloud;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.astershift.config.Settings;
import org.astershift.http.HttpClient;
import org.astershift.http.Json;
import org.astershift.http.JsonFormatException;
import org.astershift.http.RequestNotSentException;
import org.astershift.scheduler.Decision;
import org.astershift.scheduler.MachineType;
import org.astershift.scheduler.Scheduler.ListedMachine;
import org.astershift.store.RateLimiter;

/** Speaks the cloud's protocol, within its limit of calls. */
public final class CloudClient {
  /** Share of the limit of cloud calls that is used: the others are followers and call nothing. */
  private static final double CLOUD_RATE_SHARE = 0.85;

  /** Deadline of one cloud call, milliseconds: replies take about a hundred. */
  private static final int CLOUD_TIMEOUT_MS = 5000;

  private static final int MALFORMED_STATUS = 400;
  private static final int UNAVAILABLE_STATUS = 503;
  private static final String NO_CAPACITY = "no capacity";

  private final HttpClient http;
  private final RateLimiter rateLimiter;

  public CloudClient(Settings settings) {
    this.http = new HttpClient(settings.cloud().host(), settings.cloud().port(), 3);
    this.rateLimiter = new RateLimiter(settings.cloudRps());
    this.rateLimiter.setShare(CLOUD_RATE_SHARE, 1);
  }

  /** The machine types that can be rented, by name. */
  public Map<String, MachineType> listMachineTypes() throws IOException {
    try {
      Map<String, MachineType> typesByName = new LinkedHashMap<>();
      for (Object item :
          Json.list(
              Json.object(call(RateLimiter.Urgency.INTERACTIVE, "GET", "/flavors", null)),
              "hulls")) {
        Map<String, Object> fields = Json.object(item, "type");
        List<String> zones = new ArrayList<>();
        for (Object zone : Json.list(fields, "harbors")) {
          zones.add(String.valueOf(zone));
        }
        Double gpus = Json.numberOrNull(fields, "gpus");
        String typeName = Json.string(fields, "name");
        typesByName.put(
            typeName,
            new MachineType(
                typeName,
                Json.number(fields, "vcpus"),
                gpus == null ? 0 : gpus,
                Json.number(fields, "mem_gb"),
                Json.number(fields, "local_gb"),
                Json.number(fields, "pull_gb_per_s"),
                Json.number(fields, "hourly"),
                Json.number(fields, "low_price"),
                Json.number(fields, "ready_s"),
                zones));
      }
      return typesByName;
    } catch (JsonFormatException e) {
      throw new IOException("machine types: " + e.getMessage());
    }
  }

  /** Rents under a name of its own; repeating the name repeats the answer. */
  public List<String> provisionMachines(String requestId, Decision.ProvisionMachines request)
      throws IOException {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("charter", requestId);
    body.put("hull", request.typeName());
    body.put("harbor", request.zone());
    body.put("ebbtide", request.spot());
    body.put("number", request.count());
    try {
      List<String> machineNames = new ArrayList<>();
      for (Object item :
          Json.list(
              Json.object(call(RateLimiter.Urgency.INTERACTIVE, "POST", "/hosts", body)),
              "vessels")) {
        machineNames.add(String.valueOf(item));
      }
      return machineNames;
    } catch (JsonFormatException e) {
      throw new IOException("rental: " + e.getMessage());
    }
  }

  /** The answer frees the tasks that a silent machine may hold. */
  public void releaseMachines(List<String> machineNames) throws IOException {
    call(RateLimiter.Urgency.INTERACTIVE, "POST", "/hosts/return", Map.of("vessels", machineNames));
  }

  /** The whole list, page by page. */
  public List<ListedMachine> listMachines() throws IOException {
    List<ListedMachine> machines = new ArrayList<>();
    String after = "";
    boolean more = true;
    try {
      while (more) {
        String path = "/hosts?limit=500" + (after.isEmpty() ? "" : "&from=" + after);
        Map<String, Object> page =
            Json.object(call(RateLimiter.Urgency.BACKGROUND, "GET", path, null));
        List<?> rows = Json.list(page, "vessels");
        for (Object row : rows) {
          Map<String, Object> fields = Json.object(row, "machine");
          Double age = Json.numberOrNull(fields, "held_s");
          ListedMachine machine =
              new ListedMachine(
                  Json.string(fields, "id"),
                  Json.stringOrNull(fields, "addr"),
                  Json.string(fields, "hull"),
                  Json.string(fields, "harbor"),
                  Json.boolOr(fields, "ebbtide", false),
                  Json.string(fields, "phase"),
                  age == null ? 0 : age);
          machines.add(machine);
          after = machine.name();
        }
        more = Json.boolOr(page, "more", false) && !rows.isEmpty();
      }
    } catch (JsonFormatException e) {
      throw new IOException("machine list: " + e.getMessage());
    }
    return machines;
  }

  private byte[] call(
      RateLimiter.Urgency urgency, String method, String path, Map<String, Object> body)
      throws IOException {
    try {
      if (!rateLimiter.acquire(urgency, 1, CLOUD_TIMEOUT_MS)) {
        throw new CloudRejectedException(
            "over the limit of calls", CloudRejectedException.Reason.RETRYABLE);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CloudRejectedException("interrupted", CloudRejectedException.Reason.RETRYABLE);
    }
    HttpClient.Response response;
    try {
      response = http.call(method, path, body == null ? null : Json.bytes(body), CLOUD_TIMEOUT_MS);
    } catch (RequestNotSentException e) {
      throw new CloudRejectedException(e.getMessage(), CloudRejectedException.Reason.RETRYABLE);
    }
    if (response.status() == 200) {
      return response.body();
    }
    throw new CloudRejectedException("status " + response.status(), reason(response));
  }

  private static CloudRejectedException.Reason reason(HttpClient.Response response) {
    if (response.status() == MALFORMED_STATUS) {
      return CloudRejectedException.Reason.MALFORMED;
    }
    try {
      boolean noCapacity =
          response.status() == UNAVAILABLE_STATUS
              && NO_CAPACITY.equals(Json.object(response.body()).get("error"));
      return noCapacity
          ? CloudRejectedException.Reason.NO_CAPACITY
          : CloudRejectedException.Reason.RETRYABLE;
    } catch (JsonFormatException e) {
      return CloudRejectedException.Reason.RETRYABLE;
    }
  }
}
