import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A stand-in of the state service as PROTOCOL-astershift.md describes it, with its limits: value and
 * transaction sizes, changes a transaction, requests and changes a second.
 */
final class Store {
  private record Value(Object data, String text, long stamp, long lease) {}

  private record Event(long stamp, String key, String json) {}

  private static final class Bucket {
    final double rate;
    double tokens;
    long atNs = System.nanoTime();

    Bucket(double rate) {
      this.rate = rate;
      this.tokens = rate;
    }

    boolean take(double n) {
      long now = System.nanoTime();
      tokens = Math.min(rate, tokens + rate * (now - atNs) / 1e9);
      atNs = now;
      if (tokens < n) {
        return false;
      }
      tokens -= n;
      return true;
    }
  }

  private final TreeMap<String, Value> rows = new TreeMap<>();
  private final ArrayDeque<Event> events = new ArrayDeque<>();
  private final Map<Long, long[]> leases = new HashMap<>(); // id -> life, end
  private final Bucket requests;
  private final Bucket writes;
  private final double valueKb;
  private final int txnOps;
  private final Record record;
  private long epoch = 1;
  private long lastLease;
  private long dropped;
  private boolean down;
  private final Set<Integer> refused = new HashSet<>();
  final List<Http.Server> servers = new ArrayList<>();
  int tooLarge;

  Store(double rps, double writeRps, double valueKb, int txnOps, int nodes, Record record)
      throws Exception {
    this.requests = new Bucket(rps);
    this.writes = new Bucket(writeRps);
    this.valueKb = valueKb;
    this.txnOps = txnOps;
    this.record = record;
    for (int node = 0; node < nodes; node++) {
      int n = node;
      servers.add(new Http.Server(request -> handle(n, request)));
    }
    Http.daemon(
        "leases",
        () -> {
          while (true) {
            synchronized (this) {
              expire();
            }
            Util.sleep(20);
          }
        });
  }

  int port(int node) {
    return servers.get(node).port();
  }

  synchronized void down(boolean active) {
    expire();
    down = active;
    for (long[] lease : leases.values()) {
      lease[1] = Util.ms() + lease[0];
    }
    notifyAll();
  }

  synchronized void refuse(int node, boolean active) {
    if (active) {
      refused.add(node);
    } else {
      refused.remove(node);
    }
  }

  synchronized Set<String> keys(String prefix) {
    return new HashSet<>(rows.subMap(prefix, prefix + Character.MAX_VALUE).keySet());
  }

  synchronized String text(String key) {
    Value value = rows.get(key);
    return value == null ? null : value.text;
  }

  private void expire() {
    if (down) {
      return;
    }
    for (long id : new ArrayList<>(leases.keySet())) {
      if (leases.get(id)[1] <= Util.ms()) {
        endLease(id);
      }
    }
  }

  private void endLease(long id) {
    leases.remove(id);
    for (String key : new ArrayList<>(rows.keySet())) {
      if (rows.get(key).lease == id) {
        epoch++;
        remove(key);
      }
    }
    notifyAll();
  }

  private void remove(String key) {
    if (rows.remove(key) != null) {
      event(key, Json.write(Json.of("remove", key, "stamp", epoch)));
    }
  }

  private void event(String key, String json) {
    events.addLast(new Event(epoch, key, json));
    while (events.size() > 10_000) {
      dropped = events.removeFirst().stamp;
    }
  }

  private Http.Response handle(int node, Http.Request request) throws Exception {
    synchronized (this) {
      expire();
      if (down || refused.contains(node)) {
        return Http.Response.of(503, Json.of("error", "unavailable"));
      }
      if (!requests.take(1)) {
        return Http.Response.of(429, Json.of("error", "too many"));
      }
      String path = request.path();
      Map<String, String> query = new HashMap<>();
      for (String pair : request.query().split("&")) {
        int equals = pair.indexOf('=');
        if (equals > 0) {
          query.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
      }
      if (path.equals("/store")) {
        return list(query);
      }
      if (path.startsWith("/store/")) {
        String key = path.substring(7);
        Value value = rows.get(key);
        if (value == null) {
          return Http.Response.of(404, Json.of("epoch", epoch));
        }
        Map<String, Object> row = Json.of("k", key, "data", value.data, "stamp", value.stamp);
        if (value.lease != 0) {
          row.put("mooring", value.lease);
        }
        return Http.Response.of(200, row);
      }
      if (path.equals("/multi")) {
        return multi(request.body());
      }
      if (path.equals("/grants")) {
        long life = Json.num(Json.map(request.body()), "life_ms");
        leases.put(++lastLease, new long[] {life, Util.ms() + life});
        return Http.Response.of(200, Json.of("mooring", lastLease));
      }
      if (path.startsWith("/grants/")) {
        long id = Long.parseLong(path.split("/")[2]);
        long[] lease = leases.get(id);
        if (lease == null) {
          return Http.Response.of(404, Json.of("error", "no such lease"));
        }
        if (path.endsWith("/renew")) {
          lease[1] = Util.ms() + lease[0];
        } else {
          endLease(id);
        }
        return Http.Response.of(200, Json.of("mooring", id));
      }
      if (path.equals("/watch")) {
        return watch(node, query);
      }
    }
    return Http.Response.of(404, Json.of("error", "no such path"));
  }

  private Http.Response list(Map<String, String> query) {
    int limit = Math.min(1000, Integer.parseInt(query.getOrDefault("limit", "1000")));
    String starts = query.getOrDefault("starts", "");
    List<Object> found = new ArrayList<>();
    int bytes = 0;
    boolean more = false;
    String from = query.get("from");
    for (Map.Entry<String, Value> entry :
        rows.tailMap(from == null ? starts : from, from == null).entrySet()) {
      if (!entry.getKey().startsWith(starts)) {
        break;
      }
      bytes += entry.getValue().text.length() + 60;
      if (found.size() == limit || bytes > 512 * 1024) {
        more = true;
        break;
      }
      Value value = entry.getValue();
      found.add(Json.of("k", entry.getKey(), "data", value.data, "stamp", value.stamp));
    }
    return Http.Response.of(200, Json.of("rows", found, "more", more, "epoch", epoch));
  }

  private Http.Response multi(String body) {
    if (body.length() > 64 * 1024) {
      tooLarge++;
      return Http.Response.of(400, Json.of("error", "transaction too large"));
    }
    Map<String, Object> txn = Json.map(body);
    List<Object> changes = Json.list(txn, "writes");
    List<Object> conditions = Json.list(txn, "if");
    if (changes.size() > txnOps || conditions.size() > 4 * txnOps) {
      return Http.Response.of(400, Json.of("error", "too many changes"));
    }
    if (!writes.take(changes.size())) {
      return Http.Response.of(429, Json.of("error", "too many changes a second"));
    }
    List<Object> failed = new ArrayList<>();
    for (Object item : conditions) {
      Map<String, Object> condition = Util.cast(item);
      Value value = rows.get((String) condition.get("k"));
      if ((value == null ? 0 : value.stamp) != Json.num(condition, "stamp")) {
        failed.add(condition.get("k"));
      }
    }
    for (Object item : changes) {
      Map<String, Object> change = Util.cast(item);
      if (change.get("mooring") != null && !leases.containsKey(Json.num(change, "mooring"))) {
        return Http.Response.of(400, Json.of("error", "no such lease"));
      }
      if (change.get("set") != null) {
        String text = Json.write(change.get("data"));
        if (text.length() > valueKb * 1024) {
          tooLarge++;
          record.line(
              "store: value refused with 400, longer than %.0f KiB: key=%s bytes=%d",
              valueKb, change.get("set"), text.length());
          return Http.Response.of(400, Json.of("error", "value too large"));
        }
      }
    }
    if (!failed.isEmpty()) {
      return Http.Response.of(409, Json.of("failed", failed, "epoch", epoch));
    }
    if (!changes.isEmpty()) {
      epoch++;
    }
    for (Object item : changes) {
      Map<String, Object> change = Util.cast(item);
      String key = (String) change.get("set");
      if (key == null) {
        remove((String) change.get("remove"));
        continue;
      }
      long lease = change.get("mooring") == null ? 0 : Json.num(change, "mooring");
      Object data = change.get("data");
      rows.put(key, new Value(data, Json.write(data), epoch, lease));
      event(key, Json.write(Json.of("set", key, "data", data, "stamp", epoch)));
    }
    notifyAll();
    return Http.Response.of(200, Json.of("epoch", epoch));
  }

  private Http.Response watch(int node, Map<String, String> query) throws InterruptedException {
    long from = Long.parseLong(query.get("from"));
    String starts = query.getOrDefault("starts", "");
    long until = Util.ms() + Math.min(60_000, Long.parseLong(query.getOrDefault("block_ms", "0")));
    while (true) {
      if (!down && !refused.contains(node)) {
        if (from < dropped) {
          return Http.Response.of(410, Json.of("error", "too old"));
        }
        StringBuilder news = new StringBuilder();
        for (Event event : events) {
          if (event.stamp > from && event.key.startsWith(starts)) {
            news.append(news.length() == 0 ? "" : ",").append(event.json);
          }
        }
        if (news.length() > 0 || Util.ms() >= until) {
          return new Http.Response(200, "{\"epoch\":" + epoch + ",\"news\":[" + news + "]}");
        }
      }
      wait(down || refused.contains(node) ? 50 : Math.max(1, Math.min(500, until - Util.ms())));
    }
  }
}
