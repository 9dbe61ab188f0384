import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in of the cloud as PROTOCOL-astershift.md describes it. */
final class Cloud {
  record Type(
      String name,
      double cpus,
      double gpus,
      double memoryGb,
      double pullGbPerS,
      double hourly,
      double lowPrice,
      double readyS,
      List<String> zones) {}

  private static final class Host {
    Worker worker;
    Type type;
    String zone;
    boolean spot;
    long rentedMs;
    long readyMs;
  }

  private final Day day;
  private final Map<String, Type> types = new LinkedHashMap<>();
  private final TreeMap<String, Host> hosts = new TreeMap<>();
  private final Map<String, List<Object>> charters = new HashMap<>();
  private final Map<String, Integer> capacity = new HashMap<>();
  private int count;
  private volatile boolean down;
  final Http.Server server;

  Cloud(Day day) throws Exception {
    this.day = day;
    this.server = new Http.Server(this::handle);
    Http.daemon("boot", this::boot);
  }

  void type(Type type) {
    types.put(type.name(), type);
  }

  /** Sets how many machines of a type and zone there may be, spot or not. */
  synchronized void capacity(String type, String zone, int machines) {
    capacity.put(type + "/" + zone, machines);
  }

  void down(boolean active) {
    down = active;
  }

  /** Adds a machine that is up at the start. */
  synchronized Worker up(String type, String zone) throws Exception {
    Host host = host(types.get(type), zone, false, 0);
    host.rentedMs = Util.ms() - 60_000;
    startWorker(host);
    return host.worker;
  }

  private Host host(Type type, String zone, boolean spot, double bootS) {
    Host host = new Host();
    host.type = type;
    host.zone = zone;
    host.spot = spot;
    host.rentedMs = Util.ms();
    host.readyMs = Util.ms() + (long) (bootS * 1000);
    hosts.put(String.format("vm-%06d", ++count), host);
    return host;
  }

  private String nameOf(Host host) {
    for (Map.Entry<String, Host> entry : hosts.entrySet()) {
      if (entry.getValue() == host) {
        return entry.getKey();
      }
    }
    return null;
  }

  private void startWorker(Host host) throws Exception {
    host.worker = new Worker(nameOf(host), host.type, host.zone, host.spot, day);
  }

  private void boot() {
    while (true) {
      Util.sleep(50);
      synchronized (this) {
        for (Host host : hosts.values()) {
          if (host.worker == null && Util.ms() >= host.readyMs) {
            try {
              startWorker(host);
            } catch (Exception e) {
              throw new IllegalStateException(e);
            }
          }
        }
      }
    }
  }

  synchronized List<Worker> workers() {
    List<Worker> result = new ArrayList<>();
    for (Host host : hosts.values()) {
      if (host.worker != null) {
        result.add(host.worker);
      }
    }
    return result;
  }

  private synchronized Http.Response handle(Http.Request request) {
    if (down) {
      return Http.Response.of(503, Json.of("error", "trouble"));
    }
    switch (request.path()) {
      case "/flavors" -> {
        List<Object> rows = new ArrayList<>();
        for (Type type : types.values()) {
          rows.add(
              Json.of(
                  "name", type.name(), "vcpus", type.cpus(), "gpus", type.gpus(), "mem_gb",
                  type.memoryGb(), "local_gb", 40.0, "pull_gb_per_s", type.pullGbPerS(), "hourly",
                  type.hourly(), "low_price", type.lowPrice(), "ready_s", type.readyS(),
                  "harbors", type.zones()));
        }
        return Http.Response.of(200, Json.of("hulls", rows));
      }
      case "/hosts" -> {
        return request.method().equals("POST")
            ? rent(Json.map(request.body()))
            : list(request.query());
      }
      case "/hosts/return" -> {
        for (Object name : Json.list(Json.map(request.body()), "vessels")) {
          Host host = hosts.remove(name);
          if (host != null) {
            day.record.limited("return", 60, "cloud: %s returned", name);
            if (host.worker != null) {
              host.worker.take();
            }
          }
        }
        return Http.Response.of(200, Json.of());
      }
      default -> {
        return Http.Response.of(404, Json.of("error", "no such path"));
      }
    }
  }

  private Http.Response rent(Map<String, Object> body) {
    String charter = (String) body.get("charter");
    List<Object> names = charters.get(charter);
    if (names == null) {
      Type type = types.get(body.get("hull"));
      String zone = (String) body.get("harbor");
      boolean spot = Boolean.TRUE.equals(body.get("ebbtide"));
      long number = Json.num(body, "number");
      if (type == null || number > 50 || number < 1) {
        return Http.Response.of(400, Json.of("error", "malformed"));
      }
      int left = capacity.getOrDefault(type.name() + "/" + zone, 0);
      for (Host host : hosts.values()) {
        left -= host.type == type && host.zone.equals(zone) ? 1 : 0;
      }
      if (left <= 0) {
        day.record.limited("full", 5, "cloud: no capacity for %s", body);
        return Http.Response.of(503, Json.of("error", "no capacity"));
      }
      names = new ArrayList<>();
      for (long i = Math.min(left, number); i > 0; i--) {
        names.add(nameOf(host(type, zone, spot, type.readyS())));
      }
      charters.put(charter, names);
      day.record.limited("rent", 60, "cloud: rented %s for %s", names, body);
    }
    return Http.Response.of(200, Json.of("vessels", names));
  }

  private Http.Response list(String query) {
    String from = "";
    int limit = 500;
    for (String pair : query.split("&")) {
      if (pair.startsWith("from=")) {
        from = pair.substring(5);
      } else if (pair.startsWith("limit=")) {
        limit = Math.min(500, Integer.parseInt(pair.substring(6)));
      }
    }
    List<Object> rows = new ArrayList<>();
    boolean more = false;
    for (Map.Entry<String, Host> entry : hosts.tailMap(from, false).entrySet()) {
      if (rows.size() == limit) {
        more = true;
        break;
      }
      Host host = entry.getValue();
      Map<String, Object> row =
          Json.of(
              "id", entry.getKey(), "hull", host.type.name(), "harbor", host.zone, "ebbtide",
              host.spot, "phase", host.worker == null ? "starting" : "running", "held_s",
              (Util.ms() - host.rentedMs) / 1000.0);
      if (host.worker != null) {
        row.put("addr", host.worker.addr());
      }
      rows.add(row);
    }
    return Http.Response.of(200, Json.of("vessels", rows, "more", more));
  }
}
