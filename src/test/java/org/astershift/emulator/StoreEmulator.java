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
import org.astershift.store.StoreClient;

/**
 * A state service in memory, by its published protocol; it can be down, and it can carry
 * transactions out and lose the answers.
 */
public final class StoreEmulator implements AutoCloseable {
  private record Value(Object data, long revision, long lease) {}

  private record Event(long revision, Map<String, Object> news, String key) {}

  /** By so much leases end late. */
  private long lateMs;

  /** Changes up to this revision are not kept any more. */
  private long forgotten = -1;

  private final TreeMap<String, Value> rows = new TreeMap<>();
  private final List<Event> events = new ArrayList<>();
  private final Map<Long, long[]> leases = new HashMap<>();
  private long revision;
  private long lastLease;
  private boolean down;
  private final HttpServer http;

  /** Of the transactions carried out, so many get no answer. */
  private double lostShare;

  private final SplittableRandom random = new SplittableRandom(7);
  private final Map<String, Integer> lost = new HashMap<>();

  /** Keys written by transactions whose senders wait for an answer that does not come. */
  private final Set<String> unanswered = new HashSet<>();

  private int readMeanwhile;

  public StoreEmulator(int port) throws IOException {
    http = new HttpServer("127.0.0.1", port, 200, this::handle);
    http.start();
  }

  public int port() {
    return http.port();
  }

  /**
   * Sees a request before it is carried out or refused, and again before it is answered; if it
   * throws, the request is refused.
   */
  public interface Watcher {
    void sees(Request r, boolean carriedOut) throws Exception;
  }

  /** A way in for one node, which can be refused there while all others are served. */
  public final class StoreAddress implements AutoCloseable {
    private final HttpServer server;
    private volatile boolean refused;
    private volatile Watcher watcher = (r, carriedOut) -> {};
    private boolean held;

    private StoreAddress() throws IOException {
      server = new HttpServer("127.0.0.1", 0, 200, this::answer);
      server.start();
    }

    private Response answer(Request r) throws Exception {
      watcher.sees(r, false);
      if (refused) {
        return Response.error(503, "trouble");
      }
      Response answer = handle(r);
      watcher.sees(r, true);
      boolean end = new String(r.body(), StandardCharsets.UTF_8).contains("\"set\":\"d/");
      synchronized (this) {
        while (held && end) {
          wait();
        }
      }
      return answer;
    }

    /** Whatever comes through here is shown to this one. */
    public void watched(Watcher by) {
      watcher = by;
    }

    /** From now on ends of jobs are written and their writer gets no answer, until let go. */
    public synchronized void holdEnds(boolean is) {
      held = is;
      notifyAll();
    }

    public int port() {
      return server.port();
    }

    public void refuse(boolean is) {
      refused = is;
    }

    @Override
    public void close() throws IOException {
      server.close();
    }
  }

  public StoreAddress door() throws IOException {
    return new StoreAddress();
  }

  /** Leases end so much too late, so that a test that stands still for a while loses none. */
  public synchronized void leasesEndLate(long ms) {
    lateMs = ms;
  }

  /** No watch can go on from what happened so far. */
  public synchronized void forgetChanges() {
    forgotten = revision;
    notifyAll();
  }

  public synchronized boolean has(String key) {
    return rows.containsKey(key);
  }

  /** All keys below a prefix. */
  public synchronized Set<String> below(String prefix) {
    return new TreeSet<>(rows.subMap(prefix, prefix + Character.MAX_VALUE).keySet());
  }

  /**
   * From now on this share of transactions is carried out at once, and only the answer is lost: of
   * every eight such one is never answered, and the others break off, so that their sender knows at
   * once that it knows nothing.
   */
  public synchronized void loseAnswers(double share) {
    lostShare = share;
    notifyAll();
  }

  /** So many transactions that set a key with this prefix have lost their answers. */
  public synchronized int lost(String prefix) {
    return lost.getOrDefault(prefix, 0);
  }

  /** So often somebody read a key while the one who wrote it waited for an answer in vain. */
  public synchronized int readMeanwhile() {
    return readMeanwhile;
  }

  /** While down every request gets 503; afterwards each lease has its full time again. */
  public synchronized void down(boolean is) {
    down = is;
    for (long[] lease : leases.values()) {
      lease[1] = now() + lease[0];
    }
    notifyAll();
  }

  @Override
  public void close() throws IOException {
    http.close();
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  private synchronized Response handle(Request r) throws Exception {
    expire();
    if (down) {
      return Response.error(503, "trouble");
    }
    Map<String, String> q = new HashMap<>();
    for (String pair : r.query().split("&")) {
      int eq = pair.indexOf('=');
      if (eq > 0) {
        q.put(pair.substring(0, eq), pair.substring(eq + 1));
      }
    }
    String path = r.path();
    if (path.equals("/store")) {
      return list(q);
    } else if (path.startsWith("/store/")) {
      String key = path.substring("/store/".length());
      Value v = rows.get(key);
      readMeanwhile += unanswered.contains(key) ? 1 : 0;
      return v == null
          ? Response.of(404, Map.of("epoch", revision))
          : Response.of(200, row(key, v));
    } else if (path.equals("/multi")) {
      return multi(Json.object(r.body()));
    } else if (path.equals("/watch")) {
      return watch(q);
    } else if (path.equals("/grants")) {
      leases.put(++lastLease, new long[] {Json.integer(Json.object(r.body()), "life_ms"), 0});
      leases.get(lastLease)[1] = now() + leases.get(lastLease)[0];
      return Response.of(200, Map.of("mooring", lastLease));
    } else if (path.endsWith("/renew")) {
      long[] lease = leases.get(Long.parseLong(path.split("/")[2]));
      if (lease == null) {
        return Response.error(404, "no such lease");
      }
      lease[1] = now() + lease[0];
      return Response.of(200, Map.of("mooring", Long.parseLong(path.split("/")[2])));
    } else if (path.startsWith("/grants/") && r.method().equals("DELETE")) {
      long[] lease = leases.get(Long.parseLong(path.split("/")[2]));
      if (lease != null) {
        lease[1] = 0;
        expire();
      }
      return Response.of(200, Map.of());
    }
    return Response.error(404, "no such path");
  }

  private void expire() {
    if (down) {
      return;
    }
    for (long id : new ArrayList<>(leases.keySet())) {
      if (leases.get(id)[1] + lateMs <= now()) {
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
    Map<String, Object> news = new LinkedHashMap<>();
    news.put("remove", key);
    news.put("stamp", revision);
    events.add(new Event(revision, news, key));
    notifyAll();
  }

  private static Map<String, Object> row(String key, Value v) {
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("k", key);
    m.put("data", v.data());
    m.put("stamp", v.revision());
    if (v.lease() != 0) {
      m.put("mooring", v.lease());
    }
    return m;
  }

  private Response list(Map<String, String> q) {
    int limit = Integer.parseInt(q.getOrDefault("limit", "1000"));
    List<Object> out = new ArrayList<>();
    boolean more = false;
    for (Map.Entry<String, Value> e : rows.tailMap(q.getOrDefault("from", ""), false).entrySet()) {
      if (e.getKey().startsWith(q.get("starts"))) {
        if (out.size() == limit) {
          more = true;
          break;
        }
        out.add(row(e.getKey(), e.getValue()));
      }
    }
    return Response.of(200, Map.of("rows", out, "more", more, "epoch", revision));
  }

  private Response multi(Map<String, Object> body) throws Exception {
    List<Object> failed = new ArrayList<>();
    for (Object o : Json.list(body, "if")) {
      Map<String, Object> c = Json.object(o, "condition");
      Value v = rows.get(Json.string(c, "k"));
      if ((v == null ? 0 : v.revision()) != Json.integer(c, "stamp")) {
        failed.add(c.get("k"));
      }
    }
    if (!failed.isEmpty()) {
      return Response.of(409, Map.of("failed", failed, "epoch", revision));
    }
    List<?> changes = Json.list(body, "writes");
    for (Object o : changes) {
      Map<String, Object> c = Json.object(o, "change");
      if (c.get("mooring") != null && !leases.containsKey(Json.integer(c, "mooring"))) {
        return Response.error(400, "no such lease");
      }
    }
    revision++;
    for (Object o : changes) {
      Map<String, Object> c = Json.object(o, "change");
      String key = Json.stringOrNull(c, "set");
      if (key == null) {
        remove(Json.string(c, "remove"));
        continue;
      }
      long lease = c.get("mooring") == null ? 0 : Json.integer(c, "mooring");
      rows.put(key, new Value(c.get("data"), revision, lease));
      Map<String, Object> news = new LinkedHashMap<>();
      news.put("set", key);
      news.put("data", c.get("data"));
      news.put("stamp", revision);
      events.add(new Event(revision, news, key));
    }
    notifyAll();
    Response answer = Response.of(200, Map.of("epoch", revision));
    return random.nextDouble() < lostShare ? lost(changes, answer) : answer;
  }

  /** The transaction is carried out, and its sender is not to learn of it. */
  private Response lost(List<?> changes, Response answer) throws Exception {
    List<String> keys = new ArrayList<>();
    for (Object o : changes) {
      String key = Json.stringOrNull(Json.object(o, "change"), "set");
      if (key != null) {
        keys.add(key);
        lost.merge(key.substring(0, key.lastIndexOf('/') + 1), 1, Integer::sum);
      }
    }
    if (random.nextInt(8) > 0) {
      return new Response(200, new byte[0], 0);
    }
    unanswered.addAll(keys);
    long until = now() + 2 * StoreClient.STORE_TIMEOUT_MS;
    while (now() < until && lostShare > 0) {
      wait(Math.max(1, until - now()));
    }
    unanswered.removeAll(keys);
    return answer; // nobody hears it any more
  }

  private Response watch(Map<String, String> q) throws InterruptedException {
    long from = Long.parseLong(q.get("from"));
    long deadline = now() + Long.parseLong(q.getOrDefault("block_ms", "0"));
    while (true) {
      expire();
      if (from < forgotten) {
        return Response.error(410, "too old");
      }
      List<Object> news = new ArrayList<>();
      for (Event e : events) {
        if (e.revision() > from && e.key().startsWith(q.get("starts"))) {
          news.add(e.news());
        }
      }
      if (!down && (!news.isEmpty() || now() >= deadline)) {
        return Response.of(200, Map.of("epoch", revision, "news", news));
      }
      wait(20);
    }
  }
}
