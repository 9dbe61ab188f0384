package org.astershift.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.astershift.config.ThreadBudget;
import org.astershift.http.ConnectionSlots.Connection;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Which connections keep a slot when there are more connections than slots. */
class ConnectionSlotsTest {
  private long now;

  private Connection connect(ConnectionSlots slots, List<Connection> closed) {
    Connection connection = new Connection(++now);
    closed.addAll(slots.admit(connection));
    return connection;
  }

  private Connection connect(ConnectionSlots slots, boolean worker, List<Connection> closed) {
    Connection connection = connect(slots, closed);
    connection.onRequestStarted(now);
    closed.addAll(slots.onRequest(connection, worker));
    connection.onIdle(++now);
    return connection;
  }

  /** Workers' heartbeats keep leases alive: users cannot take their reserved slots. */
  @Test
  void usersCannotTakeReservedSlots() {
    ConnectionSlots slots = new ConnectionSlots(100, 30);
    List<Connection> closed = new ArrayList<>();
    List<Connection> workers = new ArrayList<>();
    for (int i = 0; i < 70; i++) {
      workers.add(connect(slots, true, closed));
    }
    closed.clear();
    for (int i = 0; i < 5000; i++) {
      connect(slots, false, closed);
    }
    closed.retainAll(workers);
    assertEquals(List.of(), closed);
  }

  /** Connections that never send a request are evicted first. */
  @Test
  void connectionsWithoutRequestsAreEvictedFirst() {
    ConnectionSlots slots = new ConnectionSlots(10, 3);
    List<Connection> closed = new ArrayList<>();
    List<Connection> silent = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      silent.add(connect(slots, closed));
    }
    assertEquals(List.of(), closed);
    for (int i = 0; i < 7; i++) {
      connect(slots, true, closed);
    }
    assertEquals(silent.subList(0, 7), closed);
  }

  /** While slots are free, workers may exceed their share and use that of the users. */
  @Test
  void workersUseFreeSlotsOfUsers() {
    ConnectionSlots slots = new ConnectionSlots(10, 3);
    List<Connection> closed = new ArrayList<>();
    List<Connection> workers = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      workers.add(connect(slots, true, closed));
    }
    assertEquals(List.of(), closed);
    connect(slots, false, closed);
    assertEquals(
        workers.subList(0, 1), closed, "beyond the workers' share the longest idle is evicted");
  }

  /**
   * Handles a heartbeat on the connection, or on a new one if it is null. Returns the connection,
   * or null if it closes with the response.
   */
  private Connection heartbeat(ConnectionSlots slots, Connection current, List<Connection> closed) {
    Connection connection = current == null ? connect(slots, closed) : current;
    connection.onRequestStarted(++now);
    closed.addAll(slots.onRequest(connection, true));
    boolean stays = slots.mayKeepAlive(connection);
    connection.onIdle(++now);
    if (!stays) {
      slots.release(connection);
    }
    return stays ? connection : null;
  }

  /**
   * With more workers than slots no idle connection is closed: its worker would switch to another
   * node.
   */
  @Test
  void moreWorkersThanSlotsReconnectForHeartbeats() {
    ConnectionSlots slots = new ConnectionSlots(100, 30);
    List<Connection> closed = new ArrayList<>();
    Connection[] workers = new Connection[170];
    int handshakes = 0;
    for (int round = 0; round < 10; round++) {
      for (int i = 0; i < workers.length; i++) {
        handshakes += workers[i] == null ? 1 : 0;
        workers[i] = heartbeat(slots, workers[i], closed);
      }
    }
    for (int i = 0; i < 20; i++) {
      connect(slots, false, closed);
      for (int j = 5 * i; j < 5 * (i + 1); j++) {
        workers[j] = heartbeat(slots, workers[j], closed);
      }
    }
    assertEquals(List.of(), closed, "no idle or busy connection is evicted");
    assertTrue(
        handshakes < 10 * 85 + 90, handshakes + " connections opened: those kept alive are reused");
  }

  /** All machines connect at once after a partition: users and health checks are still admitted. */
  @Test
  void workersAtOnceLeaveRoomForUsers() {
    ConnectionSlots slots = new ConnectionSlots(100, 30);
    List<Connection> closed = new ArrayList<>();
    List<Connection> refused = new ArrayList<>();
    for (int i = 0; i < 170; i++) {
      Connection connection = connect(slots, closed);
      connection.onRequestStarted(++now);
      for (Connection evicted : slots.onRequest(connection, true)) {
        refused.add(evicted);
        assertEquals(connection, evicted, "a busy heartbeat is not evicted for another");
      }
    }
    assertTrue(refused.size() <= 170 - 90, refused.size() + " rejected");
    for (int i = 0; i < 5; i++) {
      connect(slots, false, closed).onRequestStarted(++now);
    }
    assertEquals(List.of(), closed);
  }

  /** Old connections of machines that reconnect are half open: they are evicted first. */
  @Test
  void halfOpenConnectionsAreEvictedFirst() {
    ConnectionSlots slots = new ConnectionSlots(100, 30);
    List<Connection> closed = new ArrayList<>();
    List<Connection> dead = new ArrayList<>();
    for (int i = 0; i < 80; i++) {
      dead.add(heartbeat(slots, null, closed));
    }
    for (int i = 0; i < 90; i++) {
      Connection connection = connect(slots, closed);
      connection.onRequestStarted(++now);
      closed.addAll(slots.onRequest(connection, true));
    }
    assertTrue(closed.size() > 50, closed.size() + " closed");
    assertEquals(dead.subList(0, closed.size()), closed);
  }

  /** A connection that finds all others busy is rejected instead of waiting. */
  @Test
  void busyConnectionsAreNotEvicted() {
    ConnectionSlots slots = new ConnectionSlots(2, 2);
    List<Connection> closed = new ArrayList<>();
    connect(slots, false, closed).onRequestStarted(now);
    connect(slots, false, closed).onRequestStarted(now);
    Connection third = connect(slots, closed);
    assertEquals(List.of(third), closed);
  }

  /** A connection released twice must not free two slots. */
  @Test
  void releasingTwiceFreesOneSlot() {
    ConnectionSlots slots = new ConnectionSlots(2, 2);
    List<Connection> closed = new ArrayList<>();
    Connection first = connect(slots, false, closed);
    connect(slots, false, closed);
    slots.release(first);
    slots.release(first);
    connect(slots, false, closed);
    assertEquals(List.of(), closed);
    connect(slots, false, closed);
    assertEquals(1, closed.size());
  }

  /** However many sockets are allowed, connections and pools fit into the allowed threads. */
  @ParameterizedTest
  @ValueSource(ints = {16, 1200, 1500, 2411, 3473, 1_000_000})
  void threadsStayWithinTheirLimit(int sockets) {
    int connections = ThreadBudget.maxConnections(sockets);
    int pools =
        ThreadBudget.COMMAND_THREADS
            + ThreadBudget.MACHINE_PROBE_THREADS
            + ThreadBudget.PROVISION_THREADS
            + ThreadBudget.RELEASE_THREADS;
    int rest =
        ThreadBudget.PEER_CONNECTIONS + ThreadBudget.LOOP_THREADS + ThreadBudget.RUNTIME_THREADS;
    assertTrue(connections > 0 && connections <= sockets);
    assertTrue(connections + pools + rest <= 0.9 * ThreadBudget.MAX_THREADS);
  }
}
