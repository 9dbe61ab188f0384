package org.astershift.worker;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.astershift.http.HttpClient;
import org.astershift.http.JsonFormatException;
import org.astershift.http.RequestNotSentException;
import org.astershift.scheduler.Command;
import org.astershift.scheduler.Heartbeat;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends commands to workers over HTTP. Thread-safe. */
public final class CommandSender {
  private static final Logger LOG = LoggerFactory.getLogger(CommandSender.class);

  /** Maximum number of workers whose clients are kept, each with an idle connection. */
  private static final int KEPT_WORKER_CONNECTIONS = 100;

  private static final int MAX_PORT = 65_535;

  /**
   * The most recently used clients by address, guarded by the map's own lock. Their number is
   * bounded so that sockets are left for incoming connections.
   */
  private final Map<String, HttpClient> clients =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, HttpClient> eldest) {
          boolean overLimit = size() > KEPT_WORKER_CONNECTIONS;
          if (overLimit) {
            eldest.getValue().close();
          }
          return overLimit;
        }
      };

  /**
   * Result of a request with commands.
   *
   * @param outcomeUnknown whether the commands may have been executed, or may be executed later
   * @param heartbeat the worker's status in its response; null if there is none
   */
  public record Result(boolean outcomeUnknown, Heartbeat heartbeat) {}

  /**
   * Returns whether the worker responds to a request that needs no fencing token and changes
   * nothing.
   */
  public boolean isReachable(String address, int timeoutMs) {
    int separator = portSeparator(address);
    if (separator < 0) {
      return false;
    }
    try {
      return client(address, separator).call("GET", "/show", null, timeoutMs).status() == 200;
    } catch (IOException e) {
      LOG.debug("worker probe failed: address={}: {}", address, e.toString());
      return false;
    }
  }

  /**
   * Returns the index of the colon before the port; -1 if {@code address} is not a valid address.
   */
  private static int portSeparator(String address) {
    int separator = address.lastIndexOf(':');
    String port = address.substring(separator + 1);
    if (separator <= 0 || !port.matches("[0-9]{1,5}") || Integer.parseInt(port) > MAX_PORT) {
      LOG.info("invalid worker address: address={}", address);
      return -1;
    }
    return separator;
  }

  /**
   * Sends commands to a worker's agent. They may reach an agent that has restarted meanwhile, also
   * minutes later and more than once.
   */
  public Result send(
      String address, long fencingToken, long epoch, List<Command> commands, int timeoutMs) {
    int separator = portSeparator(address);
    if (separator < 0) {
      return new Result(false, null);
    }
    HttpClient client = client(address, separator);
    try {
      HttpClient.Response response =
          client.call(
              "POST",
              "/orders",
              WorkerCodec.encodeCommandRequest(fencingToken, epoch, commands),
              timeoutMs);
      if (response.status() != 200 && response.status() != 409) {
        LOG.info("commands rejected: address={} status={}", address, response.status());
        return new Result(response.status() != 400, null);
      }
      return new Result(false, WorkerCodec.readHeartbeat(response.body()));
    } catch (RequestNotSentException e) {
      LOG.debug("commands not sent: address={}: {}", address, e.toString());
      return new Result(false, null);
    } catch (IOException | JsonFormatException e) {
      LOG.info(
          "no valid response to commands; outcome unknown: address={}: {}", address, e.toString());
      return new Result(true, null);
    }
  }

  private HttpClient client(String address, int separator) {
    synchronized (clients) {
      return clients.computeIfAbsent(
          address,
          key ->
              new HttpClient(
                  key.substring(0, separator), Integer.parseInt(key.substring(separator + 1)), 1));
    }
  }

  /** Closes the connections to a machine that no longer exists. */
  public void disconnect(String address) {
    synchronized (clients) {
      HttpClient client = clients.remove(address);
      if (client != null) {
        client.close();
      }
    }
  }
}
