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

/** Who keeps a place when there are more connections than threads. */
class ConnectionSlotsTest {
  private long now;

  private Connection come(ConnectionSlots places, List<Connection> closed) {
    Connection c = new Connection(++now);
    closed.addAll(places.admit(c));
    return c;
  }

  private Connection come(ConnectionSlots places, boolean worker, List<Connection> closed) {
    Connection c = come(places, closed);
    c.onRequestStarted(now);
    closed.addAll(places.onRequest(c, worker));
    c.onIdle(++now);
    return c;
  }

  /** A storm of users took the places of workers, whose reports keep leases alive. */
  @Test
  void usersStormLeavesWorkersTheirPlaces() {
    ConnectionSlots places = new ConnectionSlots(100, 30);
    List<Connection> closed = new ArrayList<>();
    List<Connection> workers = new ArrayList<>();
    for (int i = 0; i < 70; i++) {
      workers.add(come(places, true, closed));
    }
    closed.clear();
    for (int i = 0; i < 5000; i++) {
      come(places, false, closed);
    }
    closed.retainAll(workers);
    assertEquals(List.of(), closed);
  }

  /** Connections that never ask for anything go first. */
  @Test
  void silentConnectionsKeepNobodyOut() {
    ConnectionSlots places = new ConnectionSlots(10, 3);
    List<Connection> closed = new ArrayList<>();
    List<Connection> silent = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      silent.add(come(places, closed));
    }
    assertEquals(List.of(), closed);
    for (int i = 0; i < 7; i++) {
      come(places, true, closed);
    }
    assertEquals(silent.subList(0, 7), closed);
  }

  /** As long as there is room, a group may have more than its part: workers that of the users. */
  @Test
  void workersUseWhatUsersLeave() {
    ConnectionSlots places = new ConnectionSlots(10, 3);
    List<Connection> closed = new ArrayList<>();
    List<Connection> workers = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      workers.add(come(places, true, closed));
    }
    assertEquals(List.of(), closed);
    come(places, false, closed);
    assertEquals(workers.subList(0, 1), closed, "beyond the workers' part the idlest goes");
  }

  /** One report on its connection, or on a new one; null if it ends with the answer. */
  private Connection report(ConnectionSlots places, Connection open, List<Connection> closed) {
    Connection c = open == null ? come(places, closed) : open;
    c.onRequestStarted(++now);
    closed.addAll(places.onRequest(c, true));
    boolean stays = places.mayKeepAlive(c);
    c.onIdle(++now);
    if (!stays) {
      places.release(c);
    }
    return stays ? c : null;
  }

  /**
   * At 1,676 machines and 1,533 places each new connection gave up an idle one: 40,000 in a day,
   * and each worker that lost its connection so took the node for dead and tried another.
   */
  @Test
  void moreWorkersThanPlacesComeAndGoWithTheirReports() {
    ConnectionSlots places = new ConnectionSlots(100, 30);
    List<Connection> closed = new ArrayList<>();
    Connection[] workers = new Connection[170];
    int handshakes = 0;
    for (int round = 0; round < 10; round++) {
      for (int i = 0; i < workers.length; i++) {
        handshakes += workers[i] == null ? 1 : 0;
        workers[i] = report(places, workers[i], closed);
      }
    }
    for (int i = 0; i < 20; i++) {
      come(places, false, closed);
      for (int j = 5 * i; j < 5 * (i + 1); j++) {
        workers[j] = report(places, workers[j], closed);
      }
    }
    assertEquals(List.of(), closed, "nobody who waits for an answer or is idle is cut off");
    assertTrue(handshakes < 10 * 85 + 90, handshakes + " connections: those kept stay");
  }

  /** All machines connect in one second after a cut: users and health checks still get in. */
  @Test
  void allWorkersAtOnceLeaveRoomForUsers() {
    ConnectionSlots places = new ConnectionSlots(100, 30);
    List<Connection> closed = new ArrayList<>();
    List<Connection> refused = new ArrayList<>();
    for (int i = 0; i < 170; i++) {
      Connection c = come(places, closed);
      c.onRequestStarted(++now);
      for (Connection over : places.onRequest(c, true)) {
        refused.add(over);
        assertEquals(c, over, "a report at work is not given up for another");
      }
    }
    assertTrue(refused.size() <= 170 - 90, refused.size() + " refused");
    for (int i = 0; i < 5; i++) {
      come(places, false, closed).onRequestStarted(++now);
    }
    assertEquals(List.of(), closed);
  }

  /** Old connections of machines that come anew are half open: they go first. */
  @Test
  void halfOpenConnectionsGoFirst() {
    ConnectionSlots places = new ConnectionSlots(100, 30);
    List<Connection> closed = new ArrayList<>();
    List<Connection> dead = new ArrayList<>();
    for (int i = 0; i < 80; i++) {
      dead.add(report(places, null, closed));
    }
    for (int i = 0; i < 90; i++) {
      Connection c = come(places, closed);
      c.onRequestStarted(++now);
      closed.addAll(places.onRequest(c, true));
    }
    assertTrue(closed.size() > 50, closed.size() + " closed");
    assertEquals(dead.subList(0, closed.size()), closed);
  }

  /** Whoever finds all others at work is told so instead of waiting unserved. */
  @Test
  void nobodyAtWorkIsGivenUp() {
    ConnectionSlots places = new ConnectionSlots(2, 2);
    List<Connection> closed = new ArrayList<>();
    come(places, false, closed).onRequestStarted(now);
    come(places, false, closed).onRequestStarted(now);
    Connection third = come(places, closed);
    assertEquals(List.of(third), closed);
  }

  /** A connection closed and reported twice must not free two places. */
  @Test
  void leavingTwiceFreesOnePlace() {
    ConnectionSlots places = new ConnectionSlots(2, 2);
    List<Connection> closed = new ArrayList<>();
    Connection first = come(places, false, closed);
    come(places, false, closed);
    places.release(first);
    places.release(first);
    come(places, false, closed);
    assertEquals(List.of(), closed);
    come(places, false, closed);
    assertEquals(1, closed.size());
  }

  /** 0.75 of 3,473 sockets were 2,604 threads, beside pools of over 90, where 2,000 are allowed. */
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
