package org.astershift.worker;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.astershift.core.Order;
import org.astershift.core.Report;
import org.astershift.http.HttpClient;
import org.astershift.http.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends commands straight to workers. */
public final class OrderSender {
  private static final Logger LOG = LoggerFactory.getLogger(OrderSender.class);
  private final Map<String, HttpClient> clients = new ConcurrentHashMap<>();

  /** What came of an order. {@code unknown}: it may have been executed, or may be later. */
  public record Result(boolean unknown, Report report) {}

  public Result send(String addr, long token, long session, List<Order> orders, int timeoutMs) {
    int colon = addr.lastIndexOf(':');
    if (colon <= 0 || !addr.substring(colon + 1).matches("[0-9]{1,5}")) {
      LOG.info("not a worker's address: {}", addr);
      return new Result(false, null);
    }
    HttpClient client =
        clients.computeIfAbsent(
            addr,
            a ->
                new HttpClient(
                    a.substring(0, colon), Integer.parseInt(a.substring(colon + 1)), 1));
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("helm", token);
    body.put("watch", session);
    body.put("orders", WorkerCodec.orders(orders));
    try {
      HttpClient.Answer a =
          client.call("POST", "/orders", Json.bytes(body), timeoutMs);
      if (a.status() != 200 && a.status() != 409) {
        LOG.info("orders to {} got status {}", addr, a.status());
        return new Result(a.status() != 400, null);
      }
      return new Result(false, WorkerCodec.report(Json.object(a.body())));
    } catch (HttpClient.NotSent e) {
      LOG.debug("orders to {}: {}", addr, e.toString());
      return new Result(false, null);
    } catch (IOException | Json.Bad e) {
      LOG.info("orders to {} without an answer: {}", addr, e.toString());
      return new Result(true, null);
    }
  }

  /** Forgets the connections to a machine that is gone. */
  public void forget(String addr) {
    clients.remove(addr);
  }
}
