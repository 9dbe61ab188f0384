package org.astershift;

import java.io.IOException;
import java.net.BindException;
import java.util.HashMap;
import java.util.Map;
import org.astershift.api.PublicApi;
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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Creates the components of a controller, connects them and starts them. */
final class ControllerLauncher {
  private static final Logger LOG = LoggerFactory.getLogger(ControllerLauncher.class);

  /**
   * Maximum wait for an address that is in use, in milliseconds: this controller's previous process
   * may be about to end, and the platform restarts a process that fails to start only after a
   * delay.
   */
  private static final long LISTEN_TIMEOUT_MS = 20_000;

  private ControllerLauncher() {}

  /** Starts a controller on its own threads; throws if an address cannot be bound. */
  static void start(Settings settings, SchedulingPolicy policy) throws IOException {
    StoreClient store = new StoreClient(settings);
    Map<String, JobService.PeerChannel> peerChannels = createPeerChannels(settings);
    ControllerRuntime controller =
        new ControllerRuntime(settings, policy, store, new WatchCache(store), peerChannels);
    JobService jobService = new JobService(controller, store, peerChannels);
    // Both addresses are bound before anything else starts, which shows that this controller's
    // previous process has ended: only then may this process delete a leader key that the previous
    // one left behind.
    PeerServer peerServer = retryWhileAddressInUse(() -> openPeerServer(settings, jobService));
    PublicApi api = new PublicApi(controller, jobService, settings.limits().teams());
    HttpServer http = retryWhileAddressInUse(() -> openHttpServer(settings, api));
    peerServer.start();
    controller.start();
    http.start();
    new Thread(null, ControllerLauncher::keepAlive, "keep-alive", Threads.STACK_BYTES).start();
  }

  private static Map<String, JobService.PeerChannel> createPeerChannels(Settings settings) {
    Map<String, JobService.PeerChannel> channels = new HashMap<>();
    for (Settings.Peer peer : settings.peers()) {
      PeerClient client = new PeerClient(peer.endpoint());
      channels.put(peer.nodeName(), client::send);
    }
    return channels;
  }

  private static PeerServer openPeerServer(Settings settings, JobService jobService)
      throws IOException {
    Settings.Endpoint address = settings.peerListen();
    return new PeerServer(address.host(), address.port(), jobService::handlePeerRequest);
  }

  private static HttpServer openHttpServer(Settings settings, PublicApi api) throws IOException {
    int connections = ThreadBudget.maxConnections(settings.maxSockets());
    int userConnections = (int) (connections * ThreadBudget.USER_CONNECTIONS_SHARE);
    return new HttpServer(
        settings.listen().host(),
        settings.listen().port(),
        new ConnectionSlots(connections, userConnections),
        PublicApi::isHeartbeatPath,
        api);
  }

  /** Creates a server that is bound to an address. */
  interface SocketOpener<T> {
    T open() throws IOException;
  }

  /**
   * Returns the result of {@code opener}. Retries for up to {@link #LISTEN_TIMEOUT_MS} while the
   * address is in use, since this controller's previous process may still hold it.
   */
  static <T> T retryWhileAddressInUse(SocketOpener<T> opener) throws IOException {
    long startNs = System.nanoTime();
    boolean logged = false;
    while (true) {
      try {
        return opener.open();
      } catch (BindException e) {
        if ((System.nanoTime() - startNs) / 1_000_000 > LISTEN_TIMEOUT_MS) {
          throw e;
        }
        if (!logged) {
          LOG.info("waiting for address: {}", e.getMessage());
        }
        logged = true;
        Threads.backOff();
      }
    }
  }

  /** Keeps the process alive, since all other threads are daemon threads. */
  private static void keepAlive() {
    while (true) {
      try {
        Thread.sleep(Long.MAX_VALUE);
      } catch (InterruptedException e) {
        // only the platform ends the process
      }
    }
  }
}
