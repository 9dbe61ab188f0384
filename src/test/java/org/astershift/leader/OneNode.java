package org.astershift.leader;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.astershift.config.Operator;
import org.astershift.config.Settings;
import org.astershift.standin.Await;
import org.astershift.standin.StandInCloud;
import org.astershift.standin.StandInStore;
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

  OneNode(Path dir, StandInStore.Door door, StandInCloud cloud) throws Exception {
    Settings settings = settings(dir, door.port(), cloud.port());
    store = new StoreClient(settings);
    mirror = new Mirror(store);
    director = new Director(settings, Operator.defaults(), store, mirror, Map.of());
    desk = new UserDesk(director, store, Map.of());
  }

  static Settings settings(Path dir, int store, int cloud) throws Exception {
    String text =
        Files.readString(Path.of("src/test/resources/first-job.toml"))
            .replace("127.0.0.1:18443", "127.0.0.1:" + cloud)
            .replace("127.0.0.1:18379", "127.0.0.1:" + store);
    return Settings.load(Files.writeString(dir.resolve("node.toml"), text));
  }

  /** Starts it. */
  OneNode start() throws Exception {
    Thread t = new Thread(threads, director::start);
    t.start();
    t.join();
    return this;
  }

  /** Its term, once it certainly leads. */
  Term leads() throws Exception {
    Await.until(
        "the node to lead", () -> director.term() != null && director.valid(director.term()));
    return director.term();
  }

  @Override
  public void close() {
    Term term = director.term();
    if (term != null) {
      director.end(term.token, "the test is over");
    }
    threads.interrupt();
  }
}
