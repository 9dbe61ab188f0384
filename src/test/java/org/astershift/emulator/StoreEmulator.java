package org.astershift.emulator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import org.astershift.http.HttpServer;
import org.astershift.http.HttpServer.Request;
import org.astershift.http.HttpServer.Response;
import org.astershift.http.Json;
import org.astershift.http.JsonFormatException;
import org.astershift.store.StoreClient;

/**
 * An in-memory key-value store that speaks the published protocol. It can be made unavailable, and
 * it can commit transactions and lose their responses.
 */
public final class StoreEmulator implements AutoCloseable {
  private record Value(Object data, long revision, long lease) {}

  private static final class Lease {
    final long durationMs;
    long expiresAtMs;

    Lease(long durationMs) {
      this.durationMs = durationMs;
      renew();
    }

    void renew() {
      expiresAtMs = now() + durationMs;
    }
  }

  private record Event(long revision, Map<String, Object> change, String key) {}

  /** Delay of the expiry of leases beyond their duration, milliseconds. */
  private long leaseExpiryDelayMs;

  /** Changes up to this revision are compacted; -1 while none are. */
  private long compactedRevision = -1;

  private final TreeMap<String, Value> rows = new TreeMap<>();
  private final List<Event> events = new ArrayList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private long revision;
  private long lastLease;
  private boolean down;
  private final HttpServer http;

  /** Share of the committed transactions whose responses are lost. */
  private double lostResponseShare;

  private final SplittableRandom random = new SplittableRandom(7);
  private final Map<String, Integer> lostResponses = new HashMap<>();

  /** Keys written by committed transactions whose senders are waiting for a withheld response. */
  private final Set<String> unansweredKeys = new HashSet<>();

  private int readsOfUnansweredKeys;

  public StoreEmulator(int port) throws IOException {
    http = new HttpServer("127.0.0.1", port, 200, this::handle);
    http.start();
  }

  public int port() {
    return http.port();
  }

  /**
   * Observes requests: called before a request is executed or rejected, and again before its
   * response is sent.
   */
  public interface RequestObserver {
    /**
     * Observes a request; {@code executed} is false in the first call and true in the second. An
     * exception rejects the request.
     */
    void onRequest(Request request, boolean executed) throws Exception;
  }

  /**
   * An address of the store for one node, whose requests can be rejected while those of others are
   * served.
   */
  public final class StoreAddress implements AutoCloseable {
    private final HttpServer server;
    private volatile boolean rejectsRequests;
    private volatile RequestObserver observer = (request, executed) -> {};
    private boolean holdsCompletions;

    private StoreAddress() throws IOException {
      server = new HttpServer("127.0.0.1", 0, 200, this::answer);
      server.start();
    }

    private Response answer(Request request) throws Exception {
      observer.onRequest(request, false);
      if (rejectsRequests) {
        return Response.error(503, "unavailable");
      }
      Response response = handle(request);
      observer.onRequest(request, true);
      boolean isCompletion =
          new String(request.body(), StandardCharsets.UTF_8).contains("\"set\":\"d/");
      synchronized (this) {
        while (holdsCompletions && isCompletion) {
          wait();
        }
      }
      return response;
    }

    /** Sets the observer of all requests to this address. */
    public void setObserver(RequestObserver newWatcher) {
      observer = newWatcher;
    }

    /** Sets whether responses to writes of job completions are held back after the commit. */
    public synchronized void holdCompletions(boolean active) {
      holdsCompletions = active;
      notifyAll();
    }

    public int port() {
      return server.port();
    }

    public void rejectRequests(boolean active) {
      rejectsRequests = active;
    }

    @Override
    public void close() throws IOException {
      server.close();
    }
  }

  /** Opens a new address, for one node. */
  public StoreAddress openAddress() throws IOException {
    return new StoreAddress();
  }

  /** Delays lease expiry by {@code delayMs}, so that no lease expires while a test is paused. */
  public synchronized void delayLeaseExpiry(long delayMs) {
    leaseExpiryDelayMs = delayMs;
  }

  /** Compacts all changes so far: no watch can resume from an earlier revision. */
  public synchronized void compact() {
    compactedRevision = revision;
    notifyAll();
  }

  public synchronized boolean containsKey(String key) {
    return rows.containsKey(key);
  }

  /** Returns all keys with the prefix. */
  public synchronized Set<String> keysWithPrefix(String prefix) {
    return new TreeSet<>(rows.subMap(prefix, prefix + Character.MAX_VALUE).keySet());
  }

  /**
   * Sets the share of transactions that are committed and whose responses are lost. One in eight of
   * these responses is withheld until the sender has timed out; the others are cut short, so that
   * the sender notices at once.
   */
  public synchronized void loseResponses(double share) {
    lostResponseShare = share;
    notifyAll();
  }

  /**
   * Returns the number of keys directly below this prefix that were set by transactions whose
   * responses were lost.
   */
  public synchronized int lostResponses(String prefix) {
    return lostResponses.getOrDefault(prefix, 0);
  }

  /** Returns the number of reads of a key while its writer was waiting for a withheld response. */
  public synchronized int readsOfUnansweredKeys() {
    return readsOfUnansweredKeys;
  }

  /**
   * Sets whether the store is down. While it is, every request gets 503; each lease has its full
   * duration again afterwards.
   */
  public synchronized void down(boolean active) {
    down = active;
    leases.values().forEach(Lease::renew);
    notifyAll();
  }

  @Override
  public void close() throws IOException {
    http.close();
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  private synchronized Response handle(Request request) throws Exception {
    expire();
    if (down) {
      return Response.error(503, "unavailable");
    }
    String path = request.path();
    Map<String, String> query = parseQuery(request.query());
    if (path.equals("/store")) {
      return list(query);
    } else if (path.startsWith("/store/")) {
      return read(path.substring("/store/".length()));
    } else if (path.equals("/multi")) {
      return multi(Json.object(request.body()));
    } else if (path.equals("/watch")) {
      return watch(query);
    } else if (path.equals("/grants")) {
      return grantLease(Json.integer(Json.object(request.body()), "life_ms"));
    } else if (path.endsWith("/renew")) {
      return renewLease(Long.parseLong(path.split("/")[2]));
    } else if (path.startsWith("/grants/") && request.method().equals("DELETE")) {
      return revokeLease(Long.parseLong(path.split("/")[2]));
    }
    return Response.error(404, "no such path");
  }

  private static Map<String, String> parseQuery(String text) {
    Map<String, String> query = new HashMap<>();
    for (String pair : text.split("&")) {
      int equals = pair.indexOf('=');
      if (equals > 0) {
        query.put(pair.substring(0, equals), pair.substring(equals + 1));
      }
    }
    return query;
  }

  private Response read(String key) {
    Value value = rows.get(key);
    readsOfUnansweredKeys += unansweredKeys.contains(key) ? 1 : 0;
    return value == null
        ? Response.of(404, Map.of("epoch", revision))
        : Response.of(200, row(key, value));
  }

  private Response grantLease(long durationMs) {
    leases.put(++lastLease, new Lease(durationMs));
    return Response.of(200, Map.of("mooring", lastLease));
  }

  private Response renewLease(long id) {
    Lease lease = leases.get(id);
    if (lease == null) {
      return Response.error(404, "no such lease");
    }
    lease.renew();
    return Response.of(200, Map.of("mooring", id));
  }

  private Response revokeLease(long id) {
    Lease lease = leases.get(id);
    if (lease != null) {
      lease.expiresAtMs = 0;
      expire();
    }
    return Response.of(200, Map.of());
  }

  private void expire() {
    if (down) {
      return;
    }
    for (long id : new ArrayList<>(leases.keySet())) {
      if (leases.get(id).expiresAtMs + leaseExpiryDelayMs <= now()) {
        leases.remove(id);
        for (String key : new ArrayList<>(rows.keySet())) {
          if (rows.get(key).lease() == id) {
            revision++;
            remove(key);
          }
        }
      }
    }
  }

  private void remove(String key) {
    rows.remove(key);
    Map<String, Object> event = new LinkedHashMap<>();
    event.put("remove", key);
    event.put("stamp", revision);
    events.add(new Event(revision, event, key));
    notifyAll();
  }

  private static Map<String, Object> row(String key, Value value) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("k", key);
    fields.put("data", value.data());
    fields.put("stamp", value.revision());
    if (value.lease() != 0) {
      fields.put("mooring", value.lease());
    }
    return fields;
  }

  private Response list(Map<String, String> query) {
    int limit = Integer.parseInt(query.getOrDefault("limit", "1000"));
    List<Object> rowsFound = new ArrayList<>();
    boolean more = false;
    for (Map.Entry<String, Value> entry :
        rows.tailMap(query.getOrDefault("from", ""), false).entrySet()) {
      if (entry.getKey().startsWith(query.get("starts"))) {
        if (rowsFound.size() == limit) {
          more = true;
          break;
        }
        rowsFound.add(row(entry.getKey(), entry.getValue()));
      }
    }
    return Response.of(200, Map.of("rows", rowsFound, "more", more, "epoch", revision));
  }

  private Response multi(Map<String, Object> body) throws Exception {
    List<Object> failed = failedConditions(Json.list(body, "if"));
    if (!failed.isEmpty()) {
      return Response.of(409, Map.of("failed", failed, "epoch", revision));
    }
    List<?> changes = Json.list(body, "writes");
    for (Object item : changes) {
      Map<String, Object> change = Json.object(item, "change");
      if (change.get("mooring") != null && !leases.containsKey(Json.integer(change, "mooring"))) {
        return Response.error(400, "no such lease");
      }
    }
    revision++;
    for (Object item : changes) {
      apply(Json.object(item, "change"));
    }
    notifyAll();
    Response response = Response.of(200, Map.of("epoch", revision));
    return random.nextDouble() < lostResponseShare ? lostResponses(changes, response) : response;
  }

  private List<Object> failedConditions(List<?> conditions) throws JsonFormatException {
    List<Object> failed = new ArrayList<>();
    for (Object item : conditions) {
      Map<String, Object> condition = Json.object(item, "condition");
      Value value = rows.get(Json.string(condition, "k"));
      if ((value == null ? 0 : value.revision()) != Json.integer(condition, "stamp")) {
        failed.add(condition.get("k"));
      }
    }
    return failed;
  }

  private void apply(Map<String, Object> change) throws JsonFormatException {
    String key = Json.stringOrNull(change, "set");
    if (key == null) {
      remove(Json.string(change, "remove"));
      return;
    }
    long lease = change.get("mooring") == null ? 0 : Json.integer(change, "mooring");
    rows.put(key, new Value(change.get("data"), revision, lease));
    Map<String, Object> event = new LinkedHashMap<>();
    event.put("set", key);
    event.put("data", change.get("data"));
    event.put("stamp", revision);
    events.add(new Event(revision, event, key));
  }

  /**
   * Loses the response of a committed transaction: returns a truncated response, or withholds it
   * until the sender has timed out.
   */
  private Response lostResponses(List<?> changes, Response response) throws Exception {
    List<String> keys = new ArrayList<>();
    for (Object item : changes) {
      String key = Json.stringOrNull(Json.object(item, "change"), "set");
      if (key != null) {
        keys.add(key);
        lostResponses.merge(key.substring(0, key.lastIndexOf('/') + 1), 1, Integer::sum);
      }
    }
    if (random.nextInt(8) > 0) {
      return new Response(200, new byte[0], 0);
    }
    unansweredKeys.addAll(keys);
    long untilMs = now() + 2 * StoreClient.STORE_TIMEOUT_MS;
    while (now() < untilMs && lostResponseShare > 0) {
      wait(Math.max(1, untilMs - now()));
    }
    unansweredKeys.removeAll(keys);
    return response; // the sender has timed out
  }

  private Response watch(Map<String, String> query) throws InterruptedException {
    long from = Long.parseLong(query.get("from"));
    long deadlineMs = now() + Long.parseLong(query.getOrDefault("block_ms", "0"));
    while (true) {
      expire();
      if (from < compactedRevision) {
        return Response.error(410, "too old");
      }
      List<Object> changes = new ArrayList<>();
      for (Event event : events) {
        if (event.revision() > from && event.key().startsWith(query.get("starts"))) {
          changes.add(event.change());
        }
      }
      if (!down && (!changes.isEmpty() || now() >= deadlineMs)) {
        return Response.of(200, Map.of("epoch", revision, "news", changes));
      }
      wait(20);
    }
  }
}
