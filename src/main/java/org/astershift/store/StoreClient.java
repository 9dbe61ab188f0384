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

/**
 * Client of the consensus-backed key-value store, within this node's share of its rate limits.
 * Callable from any thread; calls block up to their timeouts.
 */
public final class StoreClient {
  /**
   * Timeout of one attempt to renew the lease, milliseconds: leaves time for another attempt within
   * the lease's duration.
   */
  public static final int LEADER_LEASE_RENEW_TIMEOUT_MS = 700;

  /** The leader's share of the store's limits; the followers share the rest. */
  public static final double LEADER_STORE_SHARE = 0.6;

  /** Multiple of its equal part of the rest that a follower may use: rarely all do at once. */
  private static final double FOLLOWER_OVERCOMMIT_FACTOR = 4;

  /**
   * Burst of a follower, as seconds of its share: it only accepts jobs, which come in bursts at one
   * node.
   */
  private static final double FOLLOWER_BURST_S = 3;

  /** Timeout of one request, milliseconds. */
  public static final int STORE_TIMEOUT_MS = 1500;

  /** Milliseconds without a response after which the store counts as unavailable. */
  public static final long STORE_UNAVAILABLE_AFTER_MS = 1500;

  /** Milliseconds that a watch blocks without changes. */
  public static final int WATCH_BLOCK_MS = 10_000;

  /** Milliseconds that a write may wait for the rate limit. */
  public static final long STORE_RATE_WAIT_MS = 3000;

  /** Most rows in one page of a list. */
  static final int MAX_LIST_ROWS = 1000;

  private static final int OVER_LIMIT_STATUS = 429;
  private static final String OVER_LIMIT_REASON = "status " + OVER_LIMIT_STATUS;
  private final HttpClient http;
  private final HttpClient watchHttp;
  private final RateLimiter requests;
  private final RateLimiter writes;
  private final int peerCount;
  private volatile long lastResponseNs = System.nanoTime();

  /** A client of the store in the settings, with a follower's share. */
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
   * Sets the share of the rate limits. All shares add up to more than one, since load is uneven;
   * the store answers 429 when it is too much.
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

  /** Whether the store has not responded to this node for a while. */
  public boolean isUnavailable() {
    return silenceMs() > STORE_UNAVAILABLE_AFTER_MS;
  }

  /** Milliseconds since the store last responded to this node. */
  public long silenceMs() {
    return (System.nanoTime() - lastResponseNs) / 1_000_000;
  }

  private HttpClient.Response recordResponse(HttpClient.Response response) {
    if (response.status() != 503) {
      lastResponseNs = System.nanoTime();
    }
    return response;
  }

  /** Reason of a rejection that repeats as long as the transaction is the same: too large. */
  public static final String MALFORMED_REASON = "status 400";

  /** One key; {@code data} null if it does not exist. */
  public record Entry(String key, Map<String, Object> data, long revision) {}

  /** Part of the keys below a prefix. */
  public record Page(List<Entry> entries, boolean hasMore, long revision) {}

  /** Changes since a revision; {@code compacted}: they are gone, and the keys must be listed. */
  public record WatchResponse(List<Entry> entries, long revision, boolean compacted) {}

  /** The store answered with an error; whether a change was applied is unknown. */
  public static final class StoreException extends IOException {
    private static final long serialVersionUID = 1L;

    StoreException(String message) {
      super(message);
    }
  }

  /** The outcome of a transaction. */
  public sealed interface Outcome {
    /** Applied, at this revision. */
    record Committed(long revision) implements Outcome {}

    /** Not applied: these keys had other revisions. */
    record ConditionFailed(Set<String> keys) implements Outcome {}

    /** Not applied and never will be: rejected by the store, or not sent. */
    record Rejected(String reason) implements Outcome {}

    /** No response: applied, not applied, or applied later. */
    record Unknown(String reason) implements Outcome {}
  }

  /** A compare-and-swap over several keys. Built by one thread. */
  public static final class Transaction {
    private final List<Map<String, Object>> conditions = new ArrayList<>();
    private final List<Map<String, Object>> changes = new ArrayList<>();

    /** Applied only if the key has this revision. */
    public Transaction requireRevision(String key, long revision) {
      Map<String, Object> condition = new LinkedHashMap<>();
      condition.put("k", key);
      condition.put("stamp", revision);
      conditions.add(condition);
      return this;
    }

    /** Sets a key without a lease. */
    public Transaction put(String key, Map<String, Object> value) {
      return put(key, value, 0);
    }

    /** Sets a key, which is deleted when the lease ends; 0: no lease. */
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

    /** Deletes a key. */
    public Transaction delete(String key) {
      changes.add(Map.of("remove", key));
      return this;
    }

    /** Number of changes, which the rate limit counts. */
    public int size() {
      return changes.size();
    }
  }

  /** Reads a key; its entry has no data if it does not exist. */
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

  /** The revision of the key if it is attached to this lease; otherwise 0. */
  public long revisionIfAttached(long lease, String key) throws IOException {
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

  /** One page of the keys with a prefix; {@code after}: the last key before it, or null. */
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

  /** Blocks up to {@link #WATCH_BLOCK_MS} for changes of keys with a prefix after a revision. */
  public WatchResponse watch(String prefix, long after) throws IOException {
    String path = "/watch?starts=" + prefix + "&from=" + after + "&block_ms=" + WATCH_BLOCK_MS;
    acquire(requests, RateLimiter.Urgency.INTERACTIVE);
    HttpClient.Response response =
        recordResponse(watchHttp.call("GET", path, null, WATCH_BLOCK_MS + STORE_TIMEOUT_MS));
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

  /**
   * Commits a transaction; rejected without being sent if the rate limit does not allow it within
   * {@code timeoutMs}.
   */
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
      writes.drain(); // the nodes together reached the limit
    }
  }

  private Outcome sendOnce(Map<String, Object> body) {
    try {
      HttpClient.Response response =
          recordResponse(http.call("POST", "/multi", Json.encode(body), STORE_TIMEOUT_MS));
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

  /** Grants a lease of this duration. */
  public long grantLease(long ttlMs) throws IOException {
    try {
      byte[] body = Json.encode(Map.of("life_ms", ttlMs));
      HttpClient.Response response = call(RateLimiter.Urgency.LEASE, "POST", "/grants", body);
      return Json.integer(Json.object(requireOk(response)), "mooring");
    } catch (JsonFormatException e) {
      throw new StoreException(e.getMessage());
    }
  }

  /** Renews a lease; false if it has ended. */
  public boolean renewLease(long lease) throws IOException {
    String path = "/grants/" + lease + "/renew";
    HttpClient.Response response =
        call(RateLimiter.Urgency.LEASE, "POST", path, new byte[0], LEADER_LEASE_RENEW_TIMEOUT_MS);
    if (response.status() == 404) {
      return false;
    }
    requireOk(response);
    return true;
  }

  /** Ends a lease and deletes the keys attached to it. */
  public void revokeLease(long lease) throws IOException {
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
    HttpClient.Response response = recordResponse(http.call(method, path, body, timeoutMs));
    backOffIfOverLimit(response);
    return response;
  }

  /** The nodes together reached the limit: pauses this one. */
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
