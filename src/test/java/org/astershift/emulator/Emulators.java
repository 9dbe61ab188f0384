package org.astershift.emulator;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.astershift.config.Settings;

/** Runs the store and cloud emulators on fixed ports, for the first job in the README. */
public final class Emulators {
  private Emulators() {}

  /**
   * Returns the settings of a single node that uses emulators on these ports, written to the
   * directory {@code dir}, with store limits that no test reaches.
   */
  public static Settings settings(Path dir, int store, int cloud) throws Exception {
    return settings(dir, store, cloud, 20_000);
  }

  /**
   * Returns the same settings with store limits of {@code rps} requests and as many writes per
   * second.
   */
  public static Settings settings(Path dir, int store, int cloud, double rps) throws Exception {
    String text =
        Files.readString(Path.of("src/test/resources/first-job.toml"))
            .replace("127.0.0.1:18443", "127.0.0.1:" + cloud)
            .replace("127.0.0.1:18379", "127.0.0.1:" + store)
            .replace("rps = 250.0", "rps = " + rps)
            .replace("rps = 100.0", "rps = " + rps);
    return Settings.load(Files.writeString(dir.resolve("node.toml"), text));
  }

  /** Runs the emulators until the process is killed. */
  public static void main(String[] args) throws Exception {
    StoreEmulator store = new StoreEmulator(18_379);
    CloudEmulator cloud = new CloudEmulator(18_443, List.of(18_080), 2000);
    System.out.println(
        "emulators are ready: key-value store on " + store.port() + ", cloud on " + cloud.port());
    Thread.currentThread().join();
  }
}
