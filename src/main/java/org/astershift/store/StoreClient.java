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
 * Client of the consensus-backed key-value store that stays within this controller's share of the
 * store's rate limits. Thread-safe; calls block up to their timeouts.
 */
public final class StoreClient {
  /**
   * Timeout of one attempt to renew the leader's lease, in milliseconds; leaves time for another
   * attempt within the lease's duration.
   */
  public static final int LEADER_LEASE_RENEW_TIMEOUT_MS = 700;

  /** Share of the store's rate limits that the leader may use; the followers divide the rest. */
  public static final double LEADER_STORE_SHARE = 0.6;

  /** Factor by which a follower may exceed its equal part of the rest: rarely all do at once. */
  private static final double FOLLOWER_OVERCOMMIT_FACTOR = 4;

  /**
   * Burst of a follower, in seconds of its share. A follower only accepts jobs, and submissions
   * arrive in bursts at one controller.
   */
  private static final double FOLLOWER_BURST_S = 3;

  /** Timeout of one request, in milliseconds. */
  public static final int STORE_TIMEOUT_MS = 1500;

  /** Time without a response after which the store counts as unavailable, in milliseconds. */
  public static final long STORE_UNAVAILABLE_AFTER_MS = 1500;

  /** Time for which a watch request blocks if there are no changes, in milliseconds. */
  public static final int WATCH_BLOCK_MS = 10_000;

  /** Maximum time that a write may wait for the rate limit, in milliseconds. */
  public static final long STORE_RATE_WAIT_MS = 3000;

  /** Maximum number of rows in one page of a list. */
  static final int MAX_LIST_ROWS = 1000;

  private static final int OVER_LIMIT_STATUS = 429;
  private static final String OVER_LIMIT_REASON = "status " + OVER_LIMIT_STATUS;
  private final HttpClient http;
  private final HttpClient watchHttp;
  private final RateLimiter requestLimiter;
  private final RateLimiter writeLimiter;
  private final int peerCount;
  private volatile long lastResponseNs = System.nanoTime();

  /** Creates a client of the store in the settings, with a follower's share of the rate limits. */
  public StoreClient(Settings settings) {
    String host = settings.store().host();
    int port = settings.store().port();
    this.http = new HttpClient(host, port, 6);
    this.watchHttp = new HttpClient(host, port, 1);
    this.requestLimiter = new RateLimiter(settings.storeLimits().rps());
    this.writeLimiter = new RateLimiter(settings.storeLimits().writeRps());
    this.peerCount = settings.peers().size();
    setLeading(false);
  }

  /**
   * Sets the share of the rate limits. The shares of all controllers add up to more than one, since
   * load is uneven; if all together exceed a limit, the store responds with 429.
   */
  public void setLeading(boolean leading) {
    if (peerCount > 0) {
      double share =
          leading
              ? LEADER_STORE_SHARE
              : Math.min(1, FOLLOWER_OVERCOMMIT_FACTOR * (1 - LEADER_STORE_SHARE) / peerCount);
      double burstS = leading ? 1 : FOLLOWER_BURST_S;
      requestLimiter.setShare(share, burstS);
      writeLimiter.setShare(share, burstS);
    }
  }

  /** Returns whether the store has not responded within {@link #STORE_UNAVAILABLE_AFTER_MS}. */
  public boolean isUnavailable() {
    return silenceMs() > STORE_UNAVAILABLE_AFTER_MS;
  }

  /** Returns the milliseconds since the store last responded, not counting 503 responses. */
  public long silenceMs() {
    return (System.nanoTime() - lastResponseNs) / 1_000_000;
  }

  private HttpClient.Response recordResponse(HttpClient.Response response) {
    if (response.status() != 503) {
      lastResponseNs = System.nanoTime();
    }
    return response;
  }

  /** Reason of a rejection that the same transaction would get again, since it is too large. */
  public static final String MALFORMED_REASON = "status 400";

  /** A key, its value (null if the key does not exist), and the revision of its last change. */
  public record Entry(String key, Map<String, Object> data, long revision) {}

  /** One page of the keys with a prefix, and the revision of the store when it was read. */
  public record Page(List<Entry> entries, boolean hasMore, long revision) {}

  /**
   * Changes after a revision, up to {@code revision}. If {@code compacted}, the store no longer has
   * these changes, and the keys must be listed again.
   */
  public record WatchResponse(List<Entry> entries, long revision, boolean compacted) {}

  /** A request to the store failed; whether a change that it asked for was applied is unknown. */
  public static final class StoreException extends IOException {
    private static final long serialVersionUID = 1L;

    StoreException(String message) {
      super(message);
    }
  }

  /** The outcome of a transaction. */
  public sealed interface Outcome {
    /** The transaction was applied, at this revision. */
    record Committed(long revision) implements Outcome {}

    /** The transaction was not applied, because these keys did not have the required revisions. */
    record ConditionFailed(Set<String> keys) implements Outcome {}

    /** The transaction will never be applied: the store rejected it, or it was not sent. */
    record Rejected(String reason) implements Outcome {}

    /** No valid response: the transaction was applied, was not applied, or is applied later. */
    record Unknown(String reason) implements Outcome {}
  }

  /** A compare-and-swap over several keys. Must be built by one thread. */
  public static final class Transaction {
    private final List<Map<String, Object>> conditions = new ArrayList<>();
    private final List<Map<String, Object>> changes = new ArrayList<>();

    /** Requires that the key has this revision (0: does not exist); else nothing is applied. */
    public Transaction requireRevision(String key, long revision) {
      Map<String, Object> condition = new LinkedHashMap<>();
      condition.put("k", key);
      condition.put("stamp", revision);
      conditions.add(condition);
      return this;
    }

    /** Adds a write of a key that is not attached to a lease. */
    public Transaction put(String key, Map<String, Object> value) {
      return put(key, value, 0);
    }

    /** Adds a write of a key that is deleted when {@code lease} ends; a lease of 0 means none. */
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

    /** Adds the deletion of a key. */
    public Transaction delete(String key) {
      changes.add(Map.of("remove", key));
      return this;
    }

    /** Returns the number of changes, each of which counts against the rate limit of writes. */
    public int changeCount() {
      return changes.size();
    }
  }

  /** Reads a key; the data of the returned entry is null if the key does not exist. */
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

  /** Returns the revision of the key if the key is attached to this lease; otherwise 0. */
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

  /**
   * Reads one page of the keys with a prefix. {@code after} is the last key of the previous page;
   * null for the first page.
   */
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

  /**
   * Returns the changes of keys with a prefix after revision {@code after}; waits up to {@link
   * #WATCH_BLOCK_MS} if there are none.
   */
  public WatchResponse watch(String prefix, long after) throws IOException {
    String path = "/watch?starts=" + prefix + "&from=" + after + "&block_ms=" + WATCH_BLOCK_MS;
    acquire(requestLimiter, RateLimiter.Urgency.INTERACTIVE);
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
   * Commits a transaction. If the rate limit does not allow a request within {@code timeoutMs}, the
   * transaction is not sent, and the outcome is {@link Outcome.Rejected}.
   */
  public Outcome commit(Transaction txn, RateLimiter.Urgency urgency, long timeoutMs)
      throws InterruptedException {
    long deadlineNs = System.nanoTime() + timeoutMs * 1_000_000;
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("if", txn.conditions);
    body.put("writes", txn.changes);
    while (true) {
      long remainingMs = (deadlineNs - System.nanoTime()) / 1_000_000;
      if (!writeLimiter.acquire(urgency, txn.changeCount(), remainingMs)
          || !requestLimiter.acquire(urgency, 1, remainingMs)) {
        return new Outcome.Rejected("rate limit: timed out waiting for this controller's share");
      }
      Outcome outcome = sendOnce(body);
      if (!(outcome instanceof Outcome.Rejected rejected
          && rejected.reason().equals(OVER_LIMIT_REASON))) {
        return outcome;
      }
      writeLimiter.drain(); // all controllers together have reached the limit
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

  /** Grants a lease with a duration of {@code ttlMs} and returns its id. */
  public long grantLease(long ttlMs) throws IOException {
    try {
      byte[] body = Json.encode(Map.of("life_ms", ttlMs));
      HttpClient.Response response = call(RateLimiter.Urgency.LEASE, "POST", "/grants", body);
      return Json.integer(Json.object(requireOk(response)), "mooring");
    } catch (JsonFormatException e) {
      throw new StoreException(e.getMessage());
    }
  }

  /** Renews a lease; returns false if the lease has ended. */
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

  /** Ends a lease, which also deletes the keys attached to it. */
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
    acquire(requestLimiter, urgency);
    HttpClient.Response response = recordResponse(http.call(method, path, body, timeoutMs));
    backOffIfOverLimit(response);
    return response;
  }

  /** Pauses this controller's requests if all controllers together have reached the limit. */
  private void backOffIfOverLimit(HttpClient.Response response) {
    if (response.status() == OVER_LIMIT_STATUS) {
      requestLimiter.drain();
    }
  }

  private static void acquire(RateLimiter limiter, RateLimiter.Urgency urgency) throws IOException {
    try {
      if (!limiter.acquire(urgency, 1, STORE_TIMEOUT_MS)) {
        throw new StoreException("rate limit: timed out waiting for this controller's share");
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
