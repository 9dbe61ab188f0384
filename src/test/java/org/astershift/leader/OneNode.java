package org.astershift.leader;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.astershift.api.PublicApi;
import org.astershift.config.Operator;
import org.astershift.config.Settings;
import org.astershift.http.HttpServer;
import org.astershift.standin.Await;
import org.astershift.standin.StandInCloud;
import org.astershift.standin.StandInStore;
import org.astershift.standin.StandIns;
import org.astershift.store.Mirror;
import org.astershift.store.StoreClient;

/**
 * One node of the program in this process, against stand-ins, with its insides in reach. Its
 * threads form a group, and end with it.
 */
final class OneNode implements AutoCloseable {
  private final ThreadGroup threads = new ThreadGroup("node");
  final StoreClient store;
  final Mirror mirror;
  final Director director;
  final UserDesk desk;
  private HttpServer http;

  /** What happens after its term has read the rows below a prefix; the prefix is told. */
  volatile Consumer<String> loaded = prefix -> {};

  OneNode(Path dir, StandInStore.Door door, StandInCloud cloud) throws Exception {
    Settings settings = StandIns.settings(dir, door.port(), cloud.port());
    store = new StoreClient(settings);
    mirror =
        new Mirror(store) {
          @Override
          public List<StoreClient.Row> below(String prefix) {
            List<StoreClient.Row> rows = super.below(prefix);
            loaded.accept(prefix);
            return rows;
          }
        };
    director = new Director(settings, Operator.defaults(), store, mirror, Map.of());
    desk = new UserDesk(director, store, Map.of());
  }

  /** Starts it. */
  OneNode start() throws Exception {
    Thread t = new Thread(threads, director::start);
    t.start();
    t.join();
    return this;
  }

  /** Workers and users reach it here. */
  OneNode listens(int port) throws Exception {
    http = new HttpServer("127.0.0.1", port, 50, new PublicApi(director, desk, Map.of()));
    http.start();
    return this;
  }

  /** Its term, once it certainly leads. */
  Term leads() throws Exception {
    Await.until(
        "the node to lead", () -> director.term() != null && director.valid(director.term()));
    return director.term();
  }

  @Override
  public void close() throws IOException {
    if (http != null) {
      http.close();
    }
    Term term = director.term();
    if (term != null) {
      director.end(term.token, "the test is over");
    }
    threads.interrupt();
  }
}
