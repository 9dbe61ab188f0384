package org.astershift.controller;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.astershift.api.PublicApi;
import org.astershift.config.OperatorSettings;
import org.astershift.config.Settings;
import org.astershift.emulator.Await;
import org.astershift.emulator.CloudEmulator;
import org.astershift.emulator.Emulators;
import org.astershift.emulator.StoreEmulator;
import org.astershift.http.HttpServer;
import org.astershift.store.StoreClient;
import org.astershift.store.WatchCache;

/**
 * One controller in this process, connected to emulators, with its components accessible to tests.
 * Its threads form a group and are interrupted when it is closed.
 */
final class SingleController implements AutoCloseable {
  private final ThreadGroup threads = new ThreadGroup("node");
  final StoreClient store;
  final WatchCache watchCache;
  final ControllerRuntime runtime;
  final JobService jobService;
  private HttpServer http;

  /** Called with the prefix each time the watch cache has returned the rows below a prefix. */
  volatile Consumer<String> afterPrefixRead = prefix -> {};

  SingleController(Path dir, StoreEmulator.StoreAddress storeAddress, CloudEmulator cloud)
      throws Exception {
    Settings settings = Emulators.settings(dir, storeAddress.port(), cloud.port());
    store = new StoreClient(settings);
    watchCache =
        new WatchCache(store) {
          @Override
          public List<StoreClient.Entry> entriesWithPrefix(String prefix) {
            List<StoreClient.Entry> rows = super.entriesWithPrefix(prefix);
            afterPrefixRead.accept(prefix);
            return rows;
          }
        };
    runtime =
        new ControllerRuntime(settings, OperatorSettings.defaults(), store, watchCache, Map.of());
    jobService = new JobService(runtime, store, Map.of());
  }

  /** Starts the controller. */
  SingleController start() throws Exception {
    Thread starter = new Thread(threads, runtime::start);
    starter.start();
    starter.join();
    return this;
  }

  /** Serves workers and users on this port. */
  SingleController listen(int port) throws Exception {
    http = new HttpServer("127.0.0.1", port, 50, new PublicApi(runtime, jobService, Map.of()));
    http.start();
    return this;
  }

  /** Waits until the controller leads with a certain lease; returns its term. */
  LeaderTerm awaitLeadership() throws Exception {
    Await.until(
        "the node to lead",
        () -> runtime.currentTerm() != null && runtime.isLeaseCertain(runtime.currentTerm()));
    return runtime.currentTerm();
  }

  @Override
  public void close() throws IOException {
    if (http != null) {
      http.close();
    }
    LeaderTerm term = runtime.currentTerm();
    if (term != null) {
      runtime.onTermEnd(term.token, "the test is over");
    }
    threads.interrupt();
  }
}
