package org.astershift.emulator;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.astershift.http.HttpServer;
import org.astershift.http.HttpServer.Request;
import org.astershift.http.HttpServer.Response;
import org.astershift.http.Json;

/** A cloud of one machine type whose machines boot at once, each with a {@link WorkerEmulator}. */
public final class CloudEmulator implements AutoCloseable {
  private final List<Integer> controllers;
  private final Map<String, List<String>> rentals = new HashMap<>();
  private final TreeMap<String, WorkerEmulator> machines = new TreeMap<>();
  private final List<WorkerEmulator> ever = new ArrayList<>();
  private final long taskMs;
  private int made;
  private int refusal;
  private boolean closed;
  private final Set<String> refused = new HashSet<>();
  private Consumer<String> beforeAnswer = name -> {};
  private final HttpServer http;

  /** Workers report to the controllers at these ports, and their tasks take so long. */
  public CloudEmulator(int port, List<Integer> controllers, long taskMs) throws IOException {
    this.controllers = controllers;
    this.taskMs = taskMs;
    this.http = new HttpServer("127.0.0.1", port, 50, this::handle);
    http.start();
  }

  public int port() {
    return http.port();
  }

  /** Workers of the machines that there are. */
  public synchronized List<WorkerEmulator> workers() {
    return new ArrayList<>(machines.values());
  }

  /** Called with each machine that is rented, before its renter knows of it. */
  public synchronized void rented(Consumer<String> by) {
    beforeAnswer = by;
  }

  /** The same with those of machines that were given back. */
  public synchronized List<WorkerEmulator> everRented() {
    return new ArrayList<>(ever);
  }

  /** Ends it with all workers that it ever had: none of them sends anything afterwards. */
  @Override
  public void close() throws IOException {
    List<WorkerEmulator> workers = closeToRequests();
    for (WorkerEmulator worker : workers) {
      worker.close();
    }
    for (WorkerEmulator worker : workers) {
      worker.awaitEnd();
    }
  }

  private synchronized List<WorkerEmulator> closeToRequests() throws IOException {
    closed = true;
    http.close();
    return everRented();
  }

  private synchronized Response handle(Request r) throws Exception {
    if (closed) {
      return Response.error(503, "closed");
    }
    switch (r.path()) {
      case "/flavors" -> {
        Map<String, Object> t = new LinkedHashMap<>();
        t.put("name", "small");
        t.put("vcpus", 4.0);
        t.put("gpus", 0.0);
        t.put("mem_gb", 16.0);
        t.put("local_gb", 50.0);
        t.put("pull_gb_per_s", 1.0);
        t.put("hourly", 0.2);
        t.put("low_price", 0.1);
        t.put("ready_s", 1.0);
        t.put("harbors", List.of("a", "b"));
        return Response.of(200, Map.of("hulls", List.of(t)));
      }
      case "/hosts" -> {
        return r.method().equals("POST") ? rent(Json.object(r.body())) : list();
      }
      case "/hosts/return" -> {
        for (Object name : Json.list(Json.object(r.body()), "vessels")) {
          WorkerEmulator w = machines.remove(String.valueOf(name));
          if (w != null) {
            w.close();
          }
        }
        return Response.of(200, Map.of());
      }
      default -> {
        return Response.error(404, "no such path");
      }
    }
  }

  /** From now on rentals are refused with this status; 0: they are carried out. */
  public synchronized void refuseRentals(int status) {
    refusal = status;
  }

  /** Names of the rentals that were refused so. */
  public synchronized Set<String> rentalsRefused() {
    return new HashSet<>(refused);
  }

  private Response rent(Map<String, Object> m) throws Exception {
    String rental = Json.string(m, "charter");
    if (refusal != 0) {
      refused.add(rental);
      return Response.error(refusal, "malformed");
    }
    List<String> names = rentals.get(rental);
    if (names == null) {
      names = new ArrayList<>();
      for (long i = Json.integer(m, "number"); i > 0; i--) {
        String name = String.format("vm-%06d", ++made);
        WorkerEmulator w = new WorkerEmulator(name, Json.string(m, "harbor"), controllers, taskMs);
        machines.put(name, w);
        ever.add(w);
        beforeAnswer.accept(name);
        names.add(name);
      }
      rentals.put(rental, names);
    }
    return Response.of(200, Map.of("vessels", names));
  }

  private Response list() {
    List<Object> out = new ArrayList<>();
    for (WorkerEmulator w : machines.values()) {
      Map<String, Object> m = new LinkedHashMap<>();
      m.put("id", w.name());
      m.put("addr", w.addr());
      m.put("hull", "small");
      m.put("harbor", w.zone());
      m.put("ebbtide", false);
      m.put("phase", "running");
      m.put("held_s", 1.0);
      out.add(m);
    }
    return Response.of(200, Map.of("vessels", out, "more", false));
  }
}
