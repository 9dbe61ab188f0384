package org.astershift.worker;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.astershift.config.Constants;
import org.astershift.http.HttpClient;
import org.astershift.http.Json;
import org.astershift.scheduler.Command;
import org.astershift.scheduler.Heartbeat;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends commands straight to workers. */
public final class CommandSender {
  private static final Logger LOG = LoggerFactory.getLogger(CommandSender.class);

  private static final int MOST_PORT = 65_535;

  /** The clients used last keep their connections; the others' sockets are for incoming ones. */
  private final Map<String, HttpClient> clients =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, HttpClient> eldest) {
          boolean over = size() > Constants.KEPT_WORKERS;
          if (over) {
            eldest.getValue().close();
          }
          return over;
        }
      };

  /** What came of an order. {@code unknown}: it may have been executed, or may be later. */
  public record Result(boolean unknown, Heartbeat report) {}

  /** Whether the worker answers a question that needs no token and changes nothing. */
  public boolean answers(String addr, int timeoutMs) {
    int colon = port(addr);
    if (colon < 0) {
      return false;
    }
    try {
      return client(addr, colon).call("GET", "/show", null, timeoutMs).status() == 200;
    } catch (IOException e) {
      LOG.debug("asking {}: {}", addr, e.toString());
      return false;
    }
  }

  /** Where the port begins; -1 if this is no address. */
  private static int port(String addr) {
    int colon = addr.lastIndexOf(':');
    String port = addr.substring(colon + 1);
    if (colon <= 0 || !port.matches("[0-9]{1,5}") || Integer.parseInt(port) > MOST_PORT) {
      LOG.info("not a worker's address: {}", addr);
      return -1;
    }
    return colon;
  }

  /** {@code orders}: those still to be sent once there is a connection; not asked for without. */
  public Result send(
      String addr, long token, long session, Supplier<List<Command>> orders, int timeoutMs) {
    int colon = port(addr);
    if (colon < 0) {
      return new Result(false, null);
    }
    HttpClient client = client(addr, colon);
    try {
      HttpClient.Response a =
          client.callConnected(
              "POST", "/orders", () -> WorkerCodec.direct(token, session, orders.get()), timeoutMs);
      if (a.status() != 200 && a.status() != 409) {
        LOG.info("orders to {} got status {}", addr, a.status());
        return new Result(a.status() != 400, null);
      }
      return new Result(false, WorkerCodec.report(a.body()));
    } catch (HttpClient.RequestNotSentException e) {
      LOG.debug("orders to {}: {}", addr, e.toString());
      return new Result(false, null);
    } catch (IOException | Json.JsonFormatException e) {
      LOG.info("orders to {} without an answer: {}", addr, e.toString());
      return new Result(true, null);
    }
  }

  private HttpClient client(String addr, int colon) {
    synchronized (clients) {
      return clients.computeIfAbsent(
          addr,
          a -> new HttpClient(a.substring(0, colon), Integer.parseInt(a.substring(colon + 1)), 1));
    }
  }

  /** Forgets the connections to a machine that is gone. */
  public void forget(String addr) {
    synchronized (clients) {
      HttpClient client = clients.remove(addr);
      if (client != null) {
        client.close();
      }
    }
  }
}
