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
 * One node of the program in this process, against stand-ins, with its insides in reach. Its
 * threads form a group, and end with it.
 */
final class SingleController implements AutoCloseable {
  private final ThreadGroup threads = new ThreadGroup("node");
  final StoreClient store;
  final WatchCache watchCache;
  final ControllerRuntime runtime;
  final JobService jobService;
  private HttpServer http;

  /** What happens after its term has read the rows below a prefix; the prefix is told. */
  volatile Consumer<String> afterPrefixRead = prefix -> {};

  SingleController(Path dir, StoreEmulator.StoreAddress door, CloudEmulator cloud)
      throws Exception {
    Settings settings = Emulators.settings(dir, door.port(), cloud.port());
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

  /** Starts it. */
  SingleController start() throws Exception {
    Thread t = new Thread(threads, runtime::start);
    t.start();
    t.join();
    return this;
  }

  /** Workers and users reach it here. */
  SingleController listen(int port) throws Exception {
    http = new HttpServer("127.0.0.1", port, 50, new PublicApi(runtime, jobService, Map.of()));
    http.start();
    return this;
  }

  /** Its term, once it certainly leads. */
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
