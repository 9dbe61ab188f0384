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

/**
 * An in-memory cloud with one machine type. Its machines boot at once, each as a {@link
 * WorkerEmulator}.
 */
public final class CloudEmulator implements AutoCloseable {
  private final List<Integer> controllers;
  private final Map<String, List<String>> machinesByRequest = new HashMap<>();
  private final TreeMap<String, WorkerEmulator> machines = new TreeMap<>();
  private final List<WorkerEmulator> allWorkers = new ArrayList<>();
  private final long taskMs;
  private int machineCount;
  private int rejectionStatus;
  private boolean closed;
  private final Set<String> rejectedRequests = new HashSet<>();
  private Consumer<String> provisionListener = name -> {};
  private final HttpServer http;

  /**
   * Serves requests on {@code port}. Workers send heartbeats to the ports of {@code controllers};
   * their tasks take {@code taskMs} milliseconds, or run indefinitely if it is 0.
   */
  public CloudEmulator(int port, List<Integer> controllers, long taskMs) throws IOException {
    this.controllers = controllers;
    this.taskMs = taskMs;
    this.http = new HttpServer("127.0.0.1", port, 50, this::handle);
    http.start();
  }

  public int port() {
    return http.port();
  }

  /** Returns the workers of the machines that are provisioned now. */
  public synchronized List<WorkerEmulator> workers() {
    return new ArrayList<>(machines.values());
  }

  /** Sets the listener that gets the name of each new machine before the response is sent. */
  public synchronized void setProvisionListener(Consumer<String> listener) {
    provisionListener = listener;
  }

  /** Returns the workers of all machines provisioned so far, including those released. */
  public synchronized List<WorkerEmulator> workersEverProvisioned() {
    return new ArrayList<>(allWorkers);
  }

  /** Closes the cloud and all workers that it ever had; none of them sends anything afterwards. */
  @Override
  public void close() throws IOException {
    List<WorkerEmulator> workers = stopServing();
    for (WorkerEmulator worker : workers) {
      worker.close();
    }
    for (WorkerEmulator worker : workers) {
      worker.awaitTermination();
    }
  }

  private synchronized List<WorkerEmulator> stopServing() throws IOException {
    closed = true;
    http.close();
    return workersEverProvisioned();
  }

  private synchronized Response handle(Request request) throws Exception {
    if (closed) {
      return Response.error(503, "closed");
    }
    switch (request.path()) {
      case "/flavors" -> {
        Map<String, Object> type = new LinkedHashMap<>();
        type.put("name", "small");
        type.put("vcpus", 4.0);
        type.put("gpus", 0.0);
        type.put("mem_gb", 16.0);
        type.put("local_gb", 50.0);
        type.put("pull_gb_per_s", 1.0);
        type.put("hourly", 0.2);
        type.put("low_price", 0.1);
        type.put("ready_s", 1.0);
        type.put("harbors", List.of("a", "b"));
        return Response.of(200, Map.of("hulls", List.of(type)));
      }
      case "/hosts" -> {
        return request.method().equals("POST") ? provision(Json.object(request.body())) : list();
      }
      case "/hosts/return" -> {
        for (Object name : Json.list(Json.object(request.body()), "vessels")) {
          WorkerEmulator worker = machines.remove(String.valueOf(name));
          if (worker != null) {
            worker.close();
          }
        }
        return Response.of(200, Map.of());
      }
      default -> {
        return Response.error(404, "no such path");
      }
    }
  }

  /** Sets the status with which provisioning requests are rejected; 0 accepts them. */
  public synchronized void rejectProvisioning(int status) {
    rejectionStatus = status;
  }

  /** Returns the ids of the provisioning requests that were rejected with this status. */
  public synchronized Set<String> rejectedRequestIds() {
    return new HashSet<>(rejectedRequests);
  }

  private Response provision(Map<String, Object> fields) throws Exception {
    String requestId = Json.string(fields, "charter");
    if (rejectionStatus != 0) {
      rejectedRequests.add(requestId);
      return Response.error(rejectionStatus, "malformed");
    }
    List<String> names = machinesByRequest.get(requestId);
    if (names == null) {
      names = new ArrayList<>();
      for (long i = Json.integer(fields, "number"); i > 0; i--) {
        String name = String.format("vm-%06d", ++machineCount);
        WorkerEmulator worker =
            new WorkerEmulator(name, Json.string(fields, "harbor"), controllers, taskMs);
        machines.put(name, worker);
        allWorkers.add(worker);
        provisionListener.accept(name);
        names.add(name);
      }
      machinesByRequest.put(requestId, names);
    }
    return Response.of(200, Map.of("vessels", names));
  }

  private Response list() {
    List<Object> machineRows = new ArrayList<>();
    for (WorkerEmulator worker : machines.values()) {
      Map<String, Object> fields = new LinkedHashMap<>();
      fields.put("id", worker.name());
      fields.put("addr", worker.address());
      fields.put("hull", "small");
      fields.put("harbor", worker.zone());
      fields.put("ebbtide", false);
      fields.put("phase", "running");
      fields.put("held_s", 1.0);
      machineRows.add(fields);
    }
    return Response.of(200, Map.of("vessels", machineRows, "more", false));
  }
}
