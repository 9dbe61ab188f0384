package org.astershift.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.astershift.config.Constants;
import org.astershift.config.Settings;
import org.astershift.http.HttpClient;
import org.astershift.http.Json;

/** Speaks the state service's protocol, within this node's share of its limits. */
public final class StoreClient {
  private static final int OVER_LIMIT_STATUS = 429;
  private static final String OVER_LIMIT = "status " + OVER_LIMIT_STATUS;
  private final HttpClient http;
  private final HttpClient watching;
  private final RateLimiter requests;
  private final RateLimiter writes;
  private final int others;
  private volatile long answeredNs = System.nanoTime();

  /** A client of the state service that the settings name. */
  public StoreClient(Settings settings) {
    String host = settings.store().host();
    int port = settings.store().port();
    this.http = new HttpClient(host, port, 6);
    this.watching = new HttpClient(host, port, 1);
    this.requests = new RateLimiter(settings.storeLimits().rps());
    this.writes = new RateLimiter(settings.storeLimits().writeRps());
    this.others = settings.peers().size();
    leading(false);
  }

  /**
   * Whether this node spends as leader or as one of the others. Together the shares are more than
   * one: jobs come to some nodes more than to others, and the service says when it is too much.
   */
  public void leading(boolean leader) {
    if (others > 0) {
      double share =
          leader
              ? Constants.LEADER_BUDGET
              : Math.min(1, Constants.FOLLOWERS_AT_ONCE * (1 - Constants.LEADER_BUDGET) / others);
      double depthS = leader ? 1 : Constants.FOLLOWER_DEPTH_S;
      requests.share(share, depthS);
      writes.share(share, depthS);
    }
  }

  /** Whether the service has not served this node for a while. */
  public boolean lost() {
    return silenceMs() > Constants.STORE_LOST_MS;
  }

  /** Milliseconds since it last served this node. */
  public long silenceMs() {
    return (System.nanoTime() - answeredNs) / 1_000_000;
  }

  private HttpClient.Response noted(HttpClient.Response a) {
    if (a.status() != 503) {
      answeredNs = System.nanoTime();
    }
    return a;
  }

  /** Why a transaction was refused that will be refused again as it is: too large, too many. */
  public static final String MALFORMED = "status 400";

  /** One key; {@code data} null if it does not exist. */
  public record Entry(String key, Map<String, Object> data, long revision) {}

  /** Part of the keys below a prefix. */
  public record Page(List<Entry> rows, boolean more, long revision) {}

  /** Changes since a revision; {@code data} null for a removal. {@code tooOld}: read again. */
  public record WatchResponse(List<Entry> rows, long revision, boolean tooOld) {}

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
    record Rejected(String why) implements Outcome {}

    /** No answer: applied, or not, or applied later. */
    record Unknown(String why) implements Outcome {}
  }

  /** A transaction in the making. */
  public static final class Transaction {
    private final List<Map<String, Object>> conditions = new ArrayList<>();
    private final List<Map<String, Object>> changes = new ArrayList<>();

    /** Applied only if the key has this revision. */
    public Transaction when(String key, long revision) {
      Map<String, Object> c = new LinkedHashMap<>();
      c.put("k", key);
      c.put("stamp", revision);
      conditions.add(c);
      return this;
    }

    public Transaction put(String key, Map<String, Object> value) {
      return put(key, value, 0);
    }

    /** A lease of 0 attaches the key to none. */
    public Transaction put(String key, Map<String, Object> value, long lease) {
      Map<String, Object> p = new LinkedHashMap<>();
      p.put("set", key);
      p.put("data", value);
      if (lease != 0) {
        p.put("mooring", lease);
      }
      changes.add(p);
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
    HttpClient.Response a = call("GET", "/store/" + key, null);
    if (a.status() == 404) {
      return new Entry(key, null, 0);
    }
    try {
      Map<String, Object> m = Json.object(expect(a));
      return new Entry(key, Json.object(m.get("data"), "data"), Json.whole(m, "stamp"));
    } catch (Json.JsonFormatException e) {
      throw new StoreException(e.getMessage());
    }
  }

  /** The revision of the key if it hangs on this lease; 0 if it is not there, or does not. */
  public long revisionOn(long lease, String key) throws IOException {
    HttpClient.Response a = call(RateLimiter.Urgency.VITAL, "GET", "/store/" + key, null);
    if (a.status() == 404) {
      return 0;
    }
    try {
      Map<String, Object> m = Json.object(expect(a));
      boolean on = m.get("mooring") != null && Json.whole(m, "mooring") == lease;
      return on ? Json.whole(m, "stamp") : 0;
    } catch (Json.JsonFormatException e) {
      throw new StoreException(e.getMessage());
    }
  }

  /** One page of the rows below a prefix, after a key or from the first. */
  public Page list(String prefix, String after) throws IOException {
    String path = "/store?starts=" + prefix + "&limit=" + Constants.LIST_ROWS;
    if (after != null) {
      path += "&from=" + after;
    }
    try {
      Map<String, Object> m = Json.object(expect(call("GET", path, null)));
      List<Entry> rows = new ArrayList<>();
      for (Object o : Json.list(m, "rows")) {
        Map<String, Object> r = Json.object(o, "row");
        rows.add(
            new Entry(
                Json.text(r, "k"), Json.object(r.get("data"), "data"), Json.whole(r, "stamp")));
      }
      return new Page(rows, Json.flagOr(m, "more", false), Json.whole(m, "epoch"));
    } catch (Json.JsonFormatException e) {
      throw new StoreException(e.getMessage());
    }
  }

  /** Waits a while for changes below a prefix after a revision. */
  public WatchResponse watch(String prefix, long after) throws IOException {
    String path =
        "/watch?starts=" + prefix + "&from=" + after + "&block_ms=" + Constants.WATCH_BLOCK_MS;
    acquire(requests, RateLimiter.Urgency.URGENT);
    HttpClient.Response a =
        noted(
            watching.call(
                "GET", path, null, Constants.WATCH_BLOCK_MS + Constants.STORE_TIMEOUT_MS));
    standBack(a);
    if (a.status() == 410) {
      return new WatchResponse(List.of(), after, true);
    }
    try {
      Map<String, Object> m = Json.object(expect(a));
      List<Entry> rows = new ArrayList<>();
      for (Object o : Json.list(m, "news")) {
        Map<String, Object> r = Json.object(o, "change");
        String set = Json.textOrNull(r, "set");
        rows.add(
            set != null
                ? new Entry(set, Json.object(r.get("data"), "data"), Json.whole(r, "stamp"))
                : new Entry(Json.text(r, "remove"), null, Json.whole(r, "stamp")));
      }
      return new WatchResponse(rows, Json.whole(m, "epoch"), false);
    } catch (Json.JsonFormatException e) {
      throw new StoreException(e.getMessage());
    }
  }

  /** Applies a transaction, if this node's share of the limits allows it within its patience. */
  public Outcome commit(Transaction txn, RateLimiter.Urgency use, long patienceMs)
      throws InterruptedException {
    long deadline = System.nanoTime() + patienceMs * 1_000_000;
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("if", txn.conditions);
    body.put("writes", txn.changes);
    while (true) {
      long leftMs = (deadline - System.nanoTime()) / 1_000_000;
      if (!writes.acquire(use, txn.size(), leftMs) || !requests.acquire(use, 1, leftMs)) {
        return new Outcome.Rejected("over this node's share of the limits");
      }
      Outcome o = once(body);
      if (!(o instanceof Outcome.Rejected r && r.why().equals(OVER_LIMIT))) {
        return o;
      }
      writes.exhausted(); // the nodes' shares were spent at once: this one stands back
    }
  }

  private Outcome once(Map<String, Object> body) {
    try {
      HttpClient.Response a =
          noted(http.call("POST", "/multi", Json.bytes(body), Constants.STORE_TIMEOUT_MS));
      switch (a.status()) {
        case 200 -> {
          return new Outcome.Committed(Json.whole(Json.object(a.body()), "epoch"));
        }
        case 409 -> {
          Set<String> failed = new TreeSet<>();
          for (Object k : Json.list(Json.object(a.body()), "failed")) {
            failed.add(String.valueOf(k));
          }
          return new Outcome.ConditionFailed(failed);
        }
        default -> {
          return new Outcome.Rejected("status " + a.status());
        }
      }
    } catch (HttpClient.RequestNotSentException e) {
      return new Outcome.Rejected(e.getMessage());
    } catch (IOException | Json.JsonFormatException e) {
      return new Outcome.Unknown(e.toString());
    }
  }

  /** A new lease; 0 if the service did not give one. */
  public long grant(long ttlMs) throws IOException {
    try {
      byte[] body = Json.bytes(Map.of("life_ms", ttlMs));
      HttpClient.Response a = call(RateLimiter.Urgency.VITAL, "POST", "/grants", body);
      return Json.whole(Json.object(expect(a)), "mooring");
    } catch (Json.JsonFormatException e) {
      throw new StoreException(e.getMessage());
    }
  }

  /** False if the lease is over. */
  public boolean renew(long lease) throws IOException {
    String path = "/grants/" + lease + "/renew";
    HttpClient.Response a =
        call(RateLimiter.Urgency.VITAL, "POST", path, new byte[0], Constants.LEASE_TIMEOUT_MS);
    if (a.status() == 404) {
      return false;
    }
    expect(a);
    return true;
  }

  public void revoke(long lease) throws IOException {
    expect(call(RateLimiter.Urgency.VITAL, "DELETE", "/grants/" + lease, null));
  }

  private HttpClient.Response call(String method, String path, byte[] body) throws IOException {
    return call(RateLimiter.Urgency.URGENT, method, path, body);
  }

  private HttpClient.Response call(RateLimiter.Urgency use, String method, String path, byte[] body)
      throws IOException {
    return call(use, method, path, body, Constants.STORE_TIMEOUT_MS);
  }

  private HttpClient.Response call(
      RateLimiter.Urgency use, String method, String path, byte[] body, int timeoutMs)
      throws IOException {
    acquire(requests, use);
    HttpClient.Response a = noted(http.call(method, path, body, timeoutMs));
    standBack(a);
    return a;
  }

  /** The nodes' shares were spent at once: this one waits a little before its next request. */
  private void standBack(HttpClient.Response a) {
    if (a.status() == OVER_LIMIT_STATUS) {
      requests.exhausted();
    }
  }

  private static void acquire(RateLimiter budget, RateLimiter.Urgency use) throws IOException {
    try {
      if (!budget.acquire(use, 1, Constants.STORE_TIMEOUT_MS)) {
        throw new StoreException("over this node's share of the limits");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new StoreException("interrupted");
    }
  }

  private static byte[] expect(HttpClient.Response a) throws StoreException {
    if (a.status() != 200) {
      throw new StoreException("status " + a.status());
    }
    return a.body();
  }
}
