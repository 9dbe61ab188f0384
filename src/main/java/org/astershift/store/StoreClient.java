package org.astershift.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.astershift.config.Settings;
import org.astershift.http.HttpClient;
import org.astershift.http.Json;
import org.astershift.http.JsonFormatException;
import org.astershift.http.RequestNotSentException;

/** Speaks the state service's protocol, within this node's share of its limits. */
public final class StoreClient {
  /**
   * Milliseconds after which a renewal of the lease is given up and tried again: answers normally
   * take under 10 ms, now and then a few hundred, and a busy node reads them late.
   */
  public static final int LEADER_LEASE_RENEW_TIMEOUT_MS = 700;

  /** The leader's share of the state service's limits; the others have parts of the rest. */
  public static final double LEADER_STORE_SHARE = 0.6;

  /** Times their equal part of the rest that each of the others may spend: rarely all do. */
  private static final double FOLLOWER_OVERCOMMIT_FACTOR = 4;

  /**
   * Seconds of its share that a follower may spend at once: it only accepts jobs, which come in
   * bursts on one node while the others rest.
   */
  private static final double FOLLOWER_BURST_S = 3;

  /**
   * Deadline of one request to the state service, milliseconds: slow answers take a few hundred.
   */
  public static final int STORE_TIMEOUT_MS = 1500;

  /** Milliseconds without service after which this node asks the others whether it is an outage. */
  public static final long STORE_OUTAGE_CHECK_AFTER_MS = 1500;

  /** How long a watch of the state service blocks. */
  public static final int WATCH_BLOCK_MS = 10_000;

  /** How long a write may wait for its share of the limits. */
  public static final long STORE_RATE_WAIT_MS = 3000;

  /** Rows asked for in one list of the state service. */
  static final int MAX_LIST_ROWS = 1000;

  private static final int OVER_LIMIT_STATUS = 429;
  private static final String OVER_LIMIT_REASON = "status " + OVER_LIMIT_STATUS;
  private final HttpClient http;
  private final HttpClient watchHttp;
  private final RateLimiter requests;
  private final RateLimiter writes;
  private final int peerCount;
  private volatile long lastServedNs = System.nanoTime();

  /** A client of the state service that the settings name. */
  public StoreClient(Settings settings) {
    String host = settings.store().host();
    int port = settings.store().port();
    this.http = new HttpClient(host, port, 6);
    this.watchHttp = new HttpClient(host, port, 1);
    this.requests = new RateLimiter(settings.storeLimits().rps());
    this.writes = new RateLimiter(settings.storeLimits().writeRps());
    this.peerCount = settings.peers().size();
    setLeading(false);
  }

  /**
   * Whether this node spends as leader or as one of the others. Together the shares are more than
   * one: jobs come to some nodes more than to others, and the service says when it is too much.
   */
  public void setLeading(boolean leading) {
    if (peerCount > 0) {
      double share =
          leading
              ? LEADER_STORE_SHARE
              : Math.min(1, FOLLOWER_OVERCOMMIT_FACTOR * (1 - LEADER_STORE_SHARE) / peerCount);
      double burstS = leading ? 1 : FOLLOWER_BURST_S;
      requests.setShare(share, burstS);
      writes.setShare(share, burstS);
    }
  }

  /** Whether the service has not served this node for a while. */
  public boolean unavailable() {
    return silenceMs() > STORE_OUTAGE_CHECK_AFTER_MS;
  }

  /** Milliseconds since it last served this node. */
  public long silenceMs() {
    return (System.nanoTime() - lastServedNs) / 1_000_000;
  }

  private HttpClient.Response recordAnswer(HttpClient.Response response) {
    if (response.status() != 503) {
      lastServedNs = System.nanoTime();
    }
    return response;
  }

  /** Why a transaction was refused that will be refused again as it is: too large, too many. */
  public static final String MALFORMED_REASON = "status 400";

  /** One key; {@code data} null if it does not exist. */
  public record Entry(String key, Map<String, Object> data, long revision) {}

  /** Part of the keys below a prefix. */
  public record Page(List<Entry> entries, boolean hasMore, long revision) {}

  /** Changes since a revision; {@code data} null for a removal. {@code compacted}: read again. */
  public record WatchResponse(List<Entry> entries, long revision, boolean compacted) {}

  /** The service did not answer as it should; nothing is known of the effect of a change. */
  public static final class StoreException extends IOException {
    private static final long serialVersionUID = 1L;

    StoreException(String message) {
      super(message);
    }
  }

  /** What became of a transaction. */
  public sealed interface Outcome {
    /** Applied, at this revision. */
    record Committed(long revision) implements Outcome {}

    /** Not applied: these keys had other revisions. */
    record ConditionFailed(Set<String> keys) implements Outcome {}

    /** Not applied and never will be: refused, or not even sent. */
    record Rejected(String reason) implements Outcome {}

    /** No answer: applied, or not, or applied later. */
    record Unknown(String reason) implements Outcome {}
  }

  /** A transaction in the making. */
  public static final class Transaction {
    private final List<Map<String, Object>> conditions = new ArrayList<>();
    private final List<Map<String, Object>> changes = new ArrayList<>();

    /** Applied only if the key has this revision. */
    public Transaction when(String key, long revision) {
      Map<String, Object> condition = new LinkedHashMap<>();
      condition.put("k", key);
      condition.put("stamp", revision);
      conditions.add(condition);
      return this;
    }

    public Transaction put(String key, Map<String, Object> value) {
      return put(key, value, 0);
    }

    /** A lease of 0 attaches the key to none. */
    public Transaction put(String key, Map<String, Object> value, long lease) {
      Map<String, Object> change = new LinkedHashMap<>();
      change.put("set", key);
      change.put("data", value);
      if (lease != 0) {
        change.put("mooring", lease);
      }
      changes.add(change);
      return this;
    }

    public Transaction delete(String key) {
      changes.add(Map.of("remove", key));
      return this;
    }

    public int size() {
      return changes.size();
    }
  }

  /** Reads a key; its row has no data if there is none. */
  public Entry get(String key) throws IOException {
    HttpClient.Response response = call("GET", "/store/" + key, null);
    if (response.status() == 404) {
      return new Entry(key, null, 0);
    }
    try {
      Map<String, Object> fields = Json.object(requireOk(response));
      return new Entry(key, Json.object(fields.get("data"), "data"), Json.integer(fields, "stamp"));
    } catch (JsonFormatException e) {
      throw new StoreException(e.getMessage());
    }
  }

  /** The revision of the key if it hangs on this lease; 0 if it is not there, or does not. */
  public long revisionOnLease(long lease, String key) throws IOException {
    HttpClient.Response response = call(RateLimiter.Urgency.LEASE, "GET", "/store/" + key, null);
    if (response.status() == 404) {
      return 0;
    }
    try {
      Map<String, Object> fields = Json.object(requireOk(response));
      boolean attached = fields.get("mooring") != null && Json.integer(fields, "mooring") == lease;
      return attached ? Json.integer(fields, "stamp") : 0;
    } catch (JsonFormatException e) {
      throw new StoreException(e.getMessage());
    }
  }

  /** One page of the rows below a prefix, after a key or from the first. */
  public Page list(String prefix, String after) throws IOException {
    String path = "/store?starts=" + prefix + "&limit=" + MAX_LIST_ROWS;
    if (after != null) {
      path += "&from=" + after;
    }
    try {
      Map<String, Object> body = Json.object(requireOk(call("GET", path, null)));
      List<Entry> entries = new ArrayList<>();
      for (Object row : Json.list(body, "rows")) {
        Map<String, Object> fields = Json.object(row, "row");
        entries.add(
            new Entry(
                Json.string(fields, "k"),
                Json.object(fields.get("data"), "data"),
                Json.integer(fields, "stamp")));
      }
      return new Page(entries, Json.boolOr(body, "more", false), Json.integer(body, "epoch"));
    } catch (JsonFormatException e) {
      throw new StoreException(e.getMessage());
    }
  }

  /** Waits a while for changes below a prefix after a revision. */
  public WatchResponse watch(String prefix, long after) throws IOException {
    String path = "/watch?starts=" + prefix + "&from=" + after + "&block_ms=" + WATCH_BLOCK_MS;
    acquire(requests, RateLimiter.Urgency.INTERACTIVE);
    HttpClient.Response response =
        recordAnswer(watchHttp.call("GET", path, null, WATCH_BLOCK_MS + STORE_TIMEOUT_MS));
    backOffIfOverLimit(response);
    if (response.status() == 410) {
      return new WatchResponse(List.of(), after, true);
    }
    try {
      Map<String, Object> body = Json.object(requireOk(response));
      List<Entry> entries = new ArrayList<>();
      for (Object change : Json.list(body, "news")) {
        Map<String, Object> fields = Json.object(change, "change");
        String setKey = Json.stringOrNull(fields, "set");
        entries.add(
            setKey != null
                ? new Entry(
                    setKey, Json.object(fields.get("data"), "data"), Json.integer(fields, "stamp"))
                : new Entry(Json.string(fields, "remove"), null, Json.integer(fields, "stamp")));
      }
      return new WatchResponse(entries, Json.integer(body, "epoch"), false);
    } catch (JsonFormatException e) {
      throw new StoreException(e.getMessage());
    }
  }

  /** Applies a transaction, if this node's share of the limits allows it within its patience. */
  public Outcome commit(Transaction txn, RateLimiter.Urgency urgency, long timeoutMs)
      throws InterruptedException {
    long deadlineNs = System.nanoTime() + timeoutMs * 1_000_000;
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("if", txn.conditions);
    body.put("writes", txn.changes);
    while (true) {
      long remainingMs = (deadlineNs - System.nanoTime()) / 1_000_000;
      if (!writes.acquire(urgency, txn.size(), remainingMs)
          || !requests.acquire(urgency, 1, remainingMs)) {
        return new Outcome.Rejected("over this node's share of the limits");
      }
      Outcome outcome = sendOnce(body);
      if (!(outcome instanceof Outcome.Rejected rejected
          && rejected.reason().equals(OVER_LIMIT_REASON))) {
        return outcome;
      }
      writes.drain(); // the nodes' shares were spent at once: this one stands back
    }
  }

  private Outcome sendOnce(Map<String, Object> body) {
    try {
      HttpClient.Response response =
          recordAnswer(http.call("POST", "/multi", Json.bytes(body), STORE_TIMEOUT_MS));
      switch (response.status()) {
        case 200 -> {
          return new Outcome.Committed(Json.integer(Json.object(response.body()), "epoch"));
        }
        case 409 -> {
          Set<String> failed = new TreeSet<>();
          for (Object key : Json.list(Json.object(response.body()), "failed")) {
            failed.add(String.valueOf(key));
          }
          return new Outcome.ConditionFailed(failed);
        }
        default -> {
          return new Outcome.Rejected("status " + response.status());
        }
      }
    } catch (RequestNotSentException e) {
      return new Outcome.Rejected(e.getMessage());
    } catch (IOException | JsonFormatException e) {
      return new Outcome.Unknown(e.toString());
    }
  }

  /** A new lease; 0 if the service did not give one. */
  public long grant(long ttlMs) throws IOException {
    try {
      byte[] body = Json.bytes(Map.of("life_ms", ttlMs));
      HttpClient.Response response = call(RateLimiter.Urgency.LEASE, "POST", "/grants", body);
      return Json.integer(Json.object(requireOk(response)), "mooring");
    } catch (JsonFormatException e) {
      throw new StoreException(e.getMessage());
    }
  }

  /** False if the lease is over. */
  public boolean renew(long lease) throws IOException {
    String path = "/grants/" + lease + "/renew";
    HttpClient.Response response =
        call(RateLimiter.Urgency.LEASE, "POST", path, new byte[0], LEADER_LEASE_RENEW_TIMEOUT_MS);
    if (response.status() == 404) {
      return false;
    }
    requireOk(response);
    return true;
  }

  public void revoke(long lease) throws IOException {
    requireOk(call(RateLimiter.Urgency.LEASE, "DELETE", "/grants/" + lease, null));
  }

  private HttpClient.Response call(String method, String path, byte[] body) throws IOException {
    return call(RateLimiter.Urgency.INTERACTIVE, method, path, body);
  }

  private HttpClient.Response call(
      RateLimiter.Urgency urgency, String method, String path, byte[] body) throws IOException {
    return call(urgency, method, path, body, STORE_TIMEOUT_MS);
  }

  private HttpClient.Response call(
      RateLimiter.Urgency urgency, String method, String path, byte[] body, int timeoutMs)
      throws IOException {
    acquire(requests, urgency);
    HttpClient.Response response = recordAnswer(http.call(method, path, body, timeoutMs));
    backOffIfOverLimit(response);
    return response;
  }

  /** The nodes' shares were spent at once: this one waits a little before its next request. */
  private void backOffIfOverLimit(HttpClient.Response response) {
    if (response.status() == OVER_LIMIT_STATUS) {
      requests.drain();
    }
  }

  private static void acquire(RateLimiter limiter, RateLimiter.Urgency urgency) throws IOException {
    try {
      if (!limiter.acquire(urgency, 1, STORE_TIMEOUT_MS)) {
        throw new StoreException("over this node's share of the limits");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new StoreException("interrupted");
    }
  }

  private static byte[] requireOk(HttpClient.Response response) throws StoreException {
    if (response.status() != 200) {
      throw new StoreException("status " + response.status());
    }
    return response.body();
  }
}
