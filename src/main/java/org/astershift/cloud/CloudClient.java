package org.astershift.cloud;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.astershift.config.Constants;
import org.astershift.config.Settings;
import org.astershift.http.HttpClient;
import org.astershift.http.Json;
import org.astershift.scheduler.Decision;
import org.astershift.scheduler.MachineType;
import org.astershift.scheduler.Scheduler.ListedMachine;
import org.astershift.store.RateLimiter;

/** Speaks the cloud's protocol, within its limit of calls. */
public final class CloudClient {
  private static final int MALFORMED_STATUS = 400;
  private static final int UNAVAILABLE_STATUS = 503;
  private static final String NO_CAPACITY = "no capacity";

  private final HttpClient http;
  private final RateLimiter calls;

  public CloudClient(Settings settings) {
    this.http = new HttpClient(settings.cloud().host(), settings.cloud().port(), 3);
    this.calls = new RateLimiter(settings.cloudRps());
    this.calls.share(Constants.CLOUD_BUDGET, 1);
  }

  /** The cloud refused: nothing was done. */
  public static final class CloudRejectedException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Why a request was refused. */
    public enum Reason {
      /** The cloud has no such machines now. */
      NO_CAPACITY,
      /** The cloud will never carry it out as it is. */
      MALFORMED,
      /** It may be carried out if it is sent again. */
      TROUBLE;

      /** Whether the same request is not to be sent again. */
      public boolean isFinal() {
        return this != TROUBLE;
      }
    }

    private final Reason reason;

    CloudRejectedException(String message, Reason reason) {
      super(message);
      this.reason = reason;
    }

    /** Why it was refused. */
    public Reason reason() {
      return reason;
    }
  }

  /** The machine types that can be rented, by name. */
  public Map<String, MachineType> types() throws IOException {
    try {
      Map<String, MachineType> out = new LinkedHashMap<>();
      for (Object o :
          Json.list(
              Json.object(call(RateLimiter.Urgency.URGENT, "GET", "/flavors", null)), "hulls")) {
        Map<String, Object> m = Json.object(o, "type");
        List<String> zones = new ArrayList<>();
        for (Object z : Json.list(m, "harbors")) {
          zones.add(String.valueOf(z));
        }
        Double gpus = Json.numberOrNull(m, "gpus");
        String name = Json.text(m, "name");
        out.put(
            name,
            new MachineType(
                name,
                Json.number(m, "vcpus"),
                gpus == null ? 0 : gpus,
                Json.number(m, "mem_gb"),
                Json.number(m, "local_gb"),
                Json.number(m, "pull_gb_per_s"),
                Json.number(m, "hourly"),
                Json.number(m, "low_price"),
                Json.number(m, "ready_s"),
                zones));
      }
      return out;
    } catch (Json.JsonFormatException e) {
      throw new IOException("machine types: " + e.getMessage());
    }
  }

  /** Rents under a name of its own; repeating the name repeats the answer. */
  public List<String> rent(String name, Decision.ProvisionMachines r) throws IOException {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("charter", name);
    body.put("hull", r.type());
    body.put("harbor", r.zone());
    body.put("ebbtide", r.spot());
    body.put("number", r.count());
    try {
      List<String> names = new ArrayList<>();
      for (Object o :
          Json.list(
              Json.object(call(RateLimiter.Urgency.URGENT, "POST", "/hosts", body)), "vessels")) {
        names.add(String.valueOf(o));
      }
      return names;
    } catch (Json.JsonFormatException e) {
      throw new IOException("rental: " + e.getMessage());
    }
  }

  /** The answer frees the tasks that a silent machine may hold. */
  public void giveBack(List<String> names) throws IOException {
    call(RateLimiter.Urgency.URGENT, "POST", "/hosts/return", Map.of("vessels", names));
  }

  /** The whole list, page by page. */
  public List<ListedMachine> list() throws IOException {
    List<ListedMachine> out = new ArrayList<>();
    String after = "";
    boolean more = true;
    try {
      while (more) {
        String path = "/hosts?limit=500" + (after.isEmpty() ? "" : "&from=" + after);
        Map<String, Object> m = Json.object(call(RateLimiter.Urgency.LAZY, "GET", path, null));
        List<?> rows = Json.list(m, "vessels");
        for (Object o : rows) {
          Map<String, Object> v = Json.object(o, "machine");
          Double age = Json.numberOrNull(v, "held_s");
          ListedMachine l =
              new ListedMachine(
                  Json.text(v, "id"),
                  Json.textOrNull(v, "addr"),
                  Json.text(v, "hull"),
                  Json.text(v, "harbor"),
                  Json.flagOr(v, "ebbtide", false),
                  Json.text(v, "phase"),
                  age == null ? 0 : age);
          out.add(l);
          after = l.name();
        }
        more = Json.flagOr(m, "more", false) && !rows.isEmpty();
      }
    } catch (Json.JsonFormatException e) {
      throw new IOException("machine list: " + e.getMessage());
    }
    return out;
  }

  private byte[] call(RateLimiter.Urgency use, String method, String path, Map<String, Object> body)
      throws IOException {
    try {
      if (!calls.acquire(use, 1, Constants.CLOUD_TIMEOUT_MS)) {
        throw new CloudRejectedException(
            "over the limit of calls", CloudRejectedException.Reason.TROUBLE);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CloudRejectedException("interrupted", CloudRejectedException.Reason.TROUBLE);
    }
    HttpClient.Response a;
    try {
      a =
          http.call(
              method, path, body == null ? null : Json.bytes(body), Constants.CLOUD_TIMEOUT_MS);
    } catch (HttpClient.RequestNotSentException e) {
      throw new CloudRejectedException(e.getMessage(), CloudRejectedException.Reason.TROUBLE);
    }
    if (a.status() == 200) {
      return a.body();
    }
    throw new CloudRejectedException("status " + a.status(), reason(a));
  }

  private static CloudRejectedException.Reason reason(HttpClient.Response a) {
    if (a.status() == MALFORMED_STATUS) {
      return CloudRejectedException.Reason.MALFORMED;
    }
    try {
      boolean full =
          a.status() == UNAVAILABLE_STATUS
              && NO_CAPACITY.equals(Json.object(a.body()).get("error"));
      return full
          ? CloudRejectedException.Reason.NO_CAPACITY
          : CloudRejectedException.Reason.TROUBLE;
    } catch (Json.JsonFormatException e) {
      return CloudRejectedException.Reason.TROUBLE;
    }
  }
}
