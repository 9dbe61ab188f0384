import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The state service of PROTOCOL-astershift.md, "Controller nodes -> state service", with its limits.
 * Each controller gets a port of its own, so that one alone can be refused.
 */
final class Store {
  private record Value(Object data, long stamp, long mooring) {}

  private record Change(long stamp, String key, Map<String, Object> news) {}

  /** The limits in force: changes a transaction, KiB a value, changes and requests a second. */
  record Limits(int txnOps, double valueKb, double writeRps, double rps) {}

  private final Log log;
  private final TreeMap<String, Value> rows = new TreeMap<>();
  private final List<Change> changes = new ArrayList<>();
  private final Map<Long, long[]> grants = new HashMap<>();
  private final Map<Integer, Long> refusedUntilMs = new HashMap<>();
  private long epoch = 1;
  private long lastGrant;
  private Limits limits;
  private double requestTokens;
  private double writeTokens;
  private long refilledMs = System.currentTimeMillis();

  /** Requests that were refused for their size, by the prefix of their keys. */
  final Map<String, Integer> tooLarge = new TreeMap<>();

  long overRate;

  /** Share of transactions that get no answer and are carried out 2 to 12 s later. */
  volatile double lateWriteShare;

  /** Share of transactions that are carried out at once, without an answer. */
  volatile double lostAnswerShare;

  Store(Limits limits, Log log) {
    this.limits = limits;
    this.log = log;
    this.requestTokens = limits.rps();
    this.writeTokens = limits.writeRps();
    Thread expiry = new Thread(this::expiryLoop, "grants");
    expiry.setDaemon(true);
    expiry.start();
  }

  /** Serves on a new port; returns it. */
  int open(int node) throws Exception {
    return Net.serve(0, (method, path, query, body) -> handle(node, method, path, query, body))
        .getAddress()
        .getPort();
  }

  synchronized void setLimits(Limits newLimits) {
    limits = newLimits;
    log.line("store: limits are now " + newLimits);
  }

  /** Answers 503 to this node (-1: to all) for a time. */
  synchronized void refuse(int node, long forMs) {
    refusedUntilMs.put(node, now() + forMs);
    log.line("store: refuses node " + node + " for " + forMs + " ms");
  }

  synchronized Object read(String key) {
    Value value = rows.get(key);
    return value == null ? null : value.data();
  }

  synchronized Map<String, Integer> sizes(String prefix) {
    Map<String, Integer> sizes = new TreeMap<>();
    for (Map.Entry<String, Value> row : rows.tailMap(prefix).entrySet()) {
      if (!row.getKey().startsWith(prefix)) {
        break;
      }
      sizes.put(row.getKey(), Json.write(row.getValue().data()).length());
    }
    return sizes;
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  private boolean isRefused(int node) {
    return now() < refusedUntilMs.getOrDefault(node, 0L) || now() < refusedUntilMs.getOrDefault(-1, 0L);
  }

  private void expiryLoop() {
    while (true) {
      try {
        Thread.sleep(20);
      } catch (InterruptedException e) {
        return;
      }
      synchronized (this) {
        if (now() < refusedUntilMs.getOrDefault(-1, 0L)) {
          // Once an outage ends, every lease has its full time again.
          grants.values().forEach(grant -> grant[1] = now() + grant[0]);
          continue;
        }
        for (Long grant : new ArrayList<>(grants.keySet())) {
          if (now() > grants.get(grant)[1] + 20) {
            endGrant(grant);
          }
        }
      }
    }
  }

  private void endGrant(long grant) {
    grants.remove(grant);
    List<String> keys = new ArrayList<>();
    rows.forEach(
        (key, value) -> {
          if (value.mooring() == grant) {
            keys.add(key);
          }
        });
    if (!keys.isEmpty()) {
      epoch++;
      keys.forEach(this::remove);
      notifyAll();
    }
  }

  private boolean takeTokens(int requests, int writes) {
    long nowMs = System.currentTimeMillis();
    double passedS = Math.max(0, nowMs - refilledMs) / 1000.0;
    refilledMs = nowMs;
    requestTokens = Math.min(limits.rps(), requestTokens + passedS * limits.rps());
    writeTokens = Math.min(limits.writeRps(), writeTokens + passedS * limits.writeRps());
    if (requestTokens < requests || writeTokens < writes) {
      overRate++;
      return false;
    }
    requestTokens -= requests;
    writeTokens -= writes;
    return true;
  }

  private Net.Answer handle(int node, String method, String path, String query, String body)
      throws Exception {
    synchronized (this) {
      if (isRefused(node)) {
        return error(503, "unavailable");
      }
      if (!takeTokens(1, 0)) {
        return error(429, "too many requests");
      }
      if (path.equals("/watch")) {
        return watch(node, parameters(query));
      }
      if (path.equals("/multi")) {
        if (Math.random() < lateWriteShare) {
          applyLate(body);
          return null;
        }
        Net.Answer answer = multi(body);
        return Math.random() < lostAnswerShare ? null : answer;
      }
      if (path.equals("/grants")) {
        long lifeMs = Json.integer(Json.object(body).get("life_ms"));
        grants.put(++lastGrant, new long[] {lifeMs, now() + lifeMs});
        return ok(Json.of("mooring", lastGrant));
      }
      if (path.startsWith("/grants/")) {
        return grant(method, path.substring("/grants/".length()));
      }
      if (path.equals("/store")) {
        return list(parameters(query));
      }
      Value value = rows.get(path.substring("/store/".length()));
      if (value == null) {
        return new Net.Answer(404, Json.write(Json.of("epoch", epoch)));
      }
      Map<String, Object> row = row(path.substring("/store/".length()), value);
      if (value.mooring() != 0) {
        row.put("mooring", value.mooring());
      }
      return ok(row);
    }
  }

  private Net.Answer grant(String method, String rest) {
    long grant = Long.parseLong(rest.split("/")[0]);
    long[] state = grants.get(grant);
    if (state == null) {
      return error(404, "no such lease");
    }
    if (method.equals("DELETE")) {
      endGrant(grant);
    } else {
      state[1] = now() + state[0];
    }
    return ok(Json.of("mooring", grant));
  }

  private static Map<String, Object> row(String key, Value value) {
    return Json.of("k", key, "data", value.data(), "stamp", value.stamp());
  }

  private Net.Answer list(Map<String, String> parameters) {
    String prefix = parameters.get("starts");
    int limit = Math.min(1000, Integer.parseInt(parameters.getOrDefault("limit", "1000")));
    List<Object> found = new ArrayList<>();
    int bytes = 0;
    boolean more = false;
    for (Map.Entry<String, Value> row :
        rows.tailMap(parameters.getOrDefault("from", ""), false).entrySet()) {
      if (!row.getKey().startsWith(prefix)) {
        continue;
      }
      Map<String, Object> item = row(row.getKey(), row.getValue());
      bytes += Json.write(item).length();
      if (found.size() == limit || bytes > 512 * 1024) {
        more = true;
        break;
      }
      found.add(item);
    }
    return ok(Json.of("rows", found, "more", more, "epoch", epoch));
  }

  private Net.Answer multi(String body) {
    Map<String, Object> fields = Json.object(body);
    List<?> conditions = Json.list(fields.get("if"));
    List<?> writes = Json.list(fields.get("writes"));
    if (writes.size() > limits.txnOps()
        || conditions.size() > 4 * limits.txnOps()
        || body.length() > 64 * 1024) {
      return tooLarge(writes, writes.size() + " changes, " + conditions.size() + " conditions, "
          + body.length() + " bytes");
    }
    for (Object write : writes) {
      Object data = Json.map(write).get("data");
      int bytes = data == null ? 0 : Json.write(data).length();
      if (bytes > limits.valueKb() * 1024) {
        return tooLarge(writes, "the value of " + Json.map(write).get("set") + " has " + bytes + " bytes");
      }
    }
    if (!takeTokens(0, writes.size())) {
      return error(429, "too many changes");
    }
    List<Object> failed = new ArrayList<>();
    for (Object item : conditions) {
      Map<String, Object> condition = Json.map(item);
      Value value = rows.get((String) condition.get("k"));
      if ((value == null ? 0 : value.stamp()) != Json.integer(condition.get("stamp"))) {
        failed.add(condition.get("k"));
      }
    }
    if (!failed.isEmpty()) {
      return new Net.Answer(409, Json.write(Json.of("failed", failed, "epoch", epoch)));
    }
    for (Object item : writes) {
      Object mooring = Json.map(item).get("mooring");
      if (mooring != null && !grants.containsKey(Json.integer(mooring))) {
        return error(400, "no such lease");
      }
    }
    if (!writes.isEmpty()) {
      epoch++;
      for (Object item : writes) {
        apply(Json.map(item));
      }
      notifyAll();
    }
    return ok(Json.of("epoch", epoch));
  }

  private void applyLate(String body) {
    long afterMs = 2000 + (long) (10_000 * Math.random());
    Net.THREADS.execute(
        () -> {
          try {
            Thread.sleep(afterMs);
          } catch (InterruptedException e) {
            return;
          }
          synchronized (this) {
            multi(body);
          }
        });
  }

  private Net.Answer tooLarge(List<?> writes, String what) {
    List<Object> keys = new ArrayList<>();
    for (Object item : writes) {
      Map<String, Object> write = Json.map(item);
      keys.add(write.containsKey("set") ? write.get("set") : "-" + write.get("remove"));
    }
    String first = String.valueOf(keys.get(0)).replaceAll("wk-.*", "");
    if (tooLarge.merge(first, 1, Integer::sum) <= 3) {
      log.line("store: 400 to a transaction over the limits: " + what + ": " + keys);
    }
    return error(400, "over the limits");
  }

  private void apply(Map<String, Object> write) {
    String key = (String) write.get("set");
    if (key == null) {
      remove((String) write.get("remove"));
      return;
    }
    long mooring = write.get("mooring") == null ? 0 : Json.integer(write.get("mooring"));
    rows.put(key, new Value(write.get("data"), epoch, mooring));
    changes.add(
        new Change(epoch, key, Json.of("set", key, "data", write.get("data"), "stamp", epoch)));
  }

  private void remove(String key) {
    if (rows.remove(key) != null) {
      changes.add(new Change(epoch, key, Json.of("remove", key, "stamp", epoch)));
    }
  }

  private Net.Answer watch(int node, Map<String, String> parameters) throws InterruptedException {
    String prefix = parameters.get("starts");
    long from = Long.parseLong(parameters.get("from"));
    long untilMs = now() + Long.parseLong(parameters.getOrDefault("block_ms", "0"));
    int first = changes.size();
    while (first > 0 && changes.get(first - 1).stamp() > from) {
      first--;
    }
    while (true) {
      List<Object> news = new ArrayList<>();
      for (int i = first; i < changes.size(); i++) {
        if (changes.get(i).key().startsWith(prefix)) {
          news.add(changes.get(i).news());
        }
      }
      if (!isRefused(node) && (!news.isEmpty() || now() >= untilMs)) {
        return ok(Json.of("epoch", epoch, "news", news));
      }
      wait(isRefused(node) ? 50 : Math.max(1, Math.min(1000, untilMs - now())));
    }
  }

  private static Map<String, String> parameters(String query) {
    Map<String, String> parameters = new LinkedHashMap<>();
    for (String part : query.split("&")) {
      int equals = part.indexOf('=');
      if (equals > 0) {
        parameters.put(part.substring(0, equals), part.substring(equals + 1));
      }
    }
    return parameters;
  }

  private static Net.Answer ok(Map<String, Object> body) {
    return new Net.Answer(200, Json.write(body));
  }

  private static Net.Answer error(int status, String text) {
    return new Net.Answer(status, Json.write(Json.of("error", text)));
  }
}
