package org.astershift;

import java.io.IOException;
import java.io.PrintStream;
import java.net.BindException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.astershift.api.PublicApi;
import org.astershift.config.ConfigurationException;
import org.astershift.config.OperatorSettings;
import org.astershift.config.Settings;
import org.astershift.config.ThreadBudget;
import org.astershift.controller.ControllerRuntime;
import org.astershift.controller.JobService;
import org.astershift.http.ConnectionSlots;
import org.astershift.http.HttpServer;
import org.astershift.http.Threads;
import org.astershift.peer.PeerClient;
import org.astershift.peer.PeerServer;
import org.astershift.scheduler.SchedulingPolicy;
import org.astershift.store.StoreClient;
import org.astershift.store.WatchCache;
import org.slf4j.LoggerFactory;

/** Command line and wiring. */
public final class Main {
  /**
   * Milliseconds for which a start waits for its addresses: its predecessor's process may be about
   * to end, and a process that ends by itself is only started again.
   */
  private static final long LISTEN_TIMEOUT_MS = 20_000;

  private Main() {}

  /** Entry point; ends only for bad usage, bad settings, or an address that cannot be had. */
  public static void main(String[] args) {
    int code = run(args, System.out, System.err);
    if (code >= 0) {
      System.exit(code);
    }
  }

  /** The exit code, or -1 if the service now runs on its own threads. */
  static int run(String[] args, PrintStream out, PrintStream err) {
    Options options = new Options();
    options.addOption(
        Option.builder()
            .longOpt("config")
            .hasArg()
            .argName("FILE")
            .desc("settings (TOML)")
            .build());
    options.addOption(
        Option.builder()
            .longOpt("ini")
            .hasArg()
            .argName("FILE")
            .desc("operators' own settings (INI); default: $ASTERSHIFT_INI")
            .build());
    options.addOption(null, "check", false, "check the settings and exit");
    options.addOption(null, "help", false, "print this and exit");
    options.addOption(null, "version", false, "print the version and exit");
    Settings settings;
    SchedulingPolicy policy;
    try {
      CommandLine line = new DefaultParser().parse(options, args);
      if (line.hasOption("help")) {
        HelpFormatter formatter = new HelpFormatter();
        java.io.PrintWriter writer = new java.io.PrintWriter(out, true);
        formatter.printHelp(
            writer, 80, "astershift [OPTION...] --config FILE", "", options, 2, 2, "");
        return 0;
      }
      if (line.hasOption("version")) {
        String version = Main.class.getPackage().getImplementationVersion();
        out.println("astershift " + (version == null ? "(unpackaged)" : version));
        return 0;
      }
      if (!line.getArgList().isEmpty()) {
        throw new ParseException("unexpected argument: " + line.getArgList().get(0));
      }
      if (!line.hasOption("config")) {
        throw new ParseException("--config FILE is required");
      }
      settings = Settings.load(Path.of(line.getOptionValue("config")));
      String ini = line.getOptionValue("ini", System.getenv("ASTERSHIFT_INI"));
      policy = ini == null ? OperatorSettings.defaults() : OperatorSettings.load(Path.of(ini));
      configureLogging(System.getenv("LOG_LEVEL"));
      if (line.hasOption("check")) {
        out.println("settings are fine");
        return 0;
      }
    } catch (ParseException e) {
      err.println("astershift: " + e.getMessage() + " (see --help)");
      return 2;
    } catch (ConfigurationException e) {
      err.println("astershift: " + e.getMessage());
      return 2;
    }
    try {
      start(settings, policy);
      return -1;
    } catch (IOException e) {
      err.println("astershift: cannot listen: " + e.getMessage());
      return 1;
    }
  }

  private static void configureLogging(String level) throws ConfigurationException {
    String normalizedLevel =
        level == null || level.isEmpty() ? "info" : level.toLowerCase(Locale.ROOT);
    if (!Set.of("error", "info", "debug").contains(normalizedLevel)) {
      throw new ConfigurationException("LOG_LEVEL is not error, info or debug: " + level);
    }
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", normalizedLevel);
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
  }

  private static void start(Settings settings, SchedulingPolicy policy) throws IOException {
    StoreClient store = new StoreClient(settings);
    Map<String, JobService.PeerChannel> peerChannels = new HashMap<>();
    for (Settings.Peer peer : settings.peers()) {
      PeerClient client = new PeerClient(peer.endpoint());
      peerChannels.put(peer.nodeName(), client::ask);
    }
    ControllerRuntime controller =
        new ControllerRuntime(settings, policy, store, new WatchCache(store), peerChannels);
    JobService jobService = new JobService(controller, store, peerChannels);
    // Both addresses are had before anything else begins: that this node's former process is gone
    // is what lets this one remove a leader's key that it left.
    PeerServer peerServer =
        retryWhileAddressInUse(
            () ->
                new PeerServer(
                    settings.peerListen().host(),
                    settings.peerListen().port(),
                    jobService::answerPeer));
    int maxConnections = ThreadBudget.maxConnections(settings.sockets());
    PublicApi api = new PublicApi(controller, jobService, settings.limits().teams());
    HttpServer http =
        retryWhileAddressInUse(
            () ->
                new HttpServer(
                    settings.listen().host(),
                    settings.listen().port(),
                    new ConnectionSlots(
                        maxConnections,
                        (int) (maxConnections * ThreadBudget.USER_CONNECTIONS_SHARE)),
                    PublicApi::isHeartbeatPath,
                    api));
    peerServer.start();
    controller.start();
    http.start();
    Thread keepAliveThread = new Thread(null, Main::keepAlive, "keep-alive", Threads.STACK_BYTES);
    keepAliveThread.start();
  }

  /** Something that takes an address. */
  interface SocketOpener<T> {
    T open() throws IOException;
  }

  /**
   * Waits for an address that is still taken: by this node's former process, which was killed a
   * moment ago or is about to end.
   */
  static <T> T retryWhileAddressInUse(SocketOpener<T> opener) throws IOException {
    long beganNs = System.nanoTime();
    boolean logged = false;
    while (true) {
      try {
        return opener.open();
      } catch (BindException e) {
        if ((System.nanoTime() - beganNs) / 1_000_000 > LISTEN_TIMEOUT_MS) {
          throw e;
        }
        if (!logged) {
          LoggerFactory.getLogger(Main.class).info("waits for its address: {}", e.getMessage());
        }
        logged = true;
        Threads.backOff();
      }
    }
  }

  /** All other threads are daemons: this one keeps the process until it is killed. */
  private static void keepAlive() {
    while (true) {
      try {
        Thread.sleep(Long.MAX_VALUE);
      } catch (InterruptedException e) {
        // nothing to do: only the platform ends the process
      }
    }
  }
}
