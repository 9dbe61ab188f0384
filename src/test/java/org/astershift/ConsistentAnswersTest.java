package org.astershift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.astershift.ConcurrentUsers.Known;
import org.astershift.emulator.Await;
import org.astershift.emulator.WorkerEmulator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Users at all nodes of three real controllers within milliseconds after a job was accepted, ended
 * or confirmed as cancelled: no node tells anything older than another has told.
 */
@Timeout(240)
class ConsistentAnswersTest {
  private static final long TASK_MS = 150;
  @TempDir Path dir;
  private ControllerProcesses nodes;

  @BeforeEach
  void start() throws Exception {
    // Users ask far more often here than the limits of the first job's state service allow for.
    nodes =
        new ControllerProcesses(
            dir,
            TASK_MS,
            s -> s.replace("rps = 250.0", "rps = 20000.0").replace("rps = 100.0", "rps = 5000.0"));
    nodes.awaitReady();
  }

  @AfterEach
  void stop() throws Exception {
    if (nodes != null) {
      nodes.close();
    }
  }

  /** One-task jobs in a row, a quarter of them cancelled, and no other trouble. */
  @Test
  void aStreamOfShortJobs() throws Exception {
    try (ConcurrentUsers users = new ConcurrentUsers(nodes, 1, 150, 1)) {
      users.start(users.jobs().size());
      users.join();
      check(users);
    }
  }

  /**
   * A third of the state service's answers to transactions is lost, though they were carried out,
   * and others read what was written; the leader is killed, and the next one is refused by the
   * state service alone, so that it goes on in doubt while another leads.
   */
  @Test
  void answersAreLostAndLeadersChange() throws Exception {
    try (ConcurrentUsers users = new ConcurrentUsers(nodes, 1001, 150, 2)) {
      nodes.store.loseAnswers(0.33);
      // A part of the jobs is left for each trouble, however fast the users are.
      int part = users.jobs().size() / 3;
      users.start(part);
      Await.until("the first jobs to be over", () -> users.over() >= 20);
      int first = nodes.leader();
      nodes.kill(first);
      Await.until("another leader after a crash", () -> nodes.leader() != first);
      nodes.start(first);
      users.more(part);
      int half = users.over() + 20;
      Await.until("jobs to be over under the next leader", () -> users.over() >= half);
      int second = nodes.leader();
      nodes.doors.get(second).refuse(true);
      Await.until("another leader after a refusal", () -> nodes.leader() != second);
      users.more(users.jobs().size() - 2 * part);
      int late = users.over() + 20;
      Await.until("jobs to be over beside a leader in doubt", () -> users.over() >= late);
      nodes.doors.get(second).refuse(false);
      users.join();
      assertNotEquals(second, nodes.leader(), "leaders changed in the midst of it");
      assertTrue(nodes.store.lost("l/j/") > 20, nodes.store.lost("l/j/") + " acceptances");
      assertTrue(nodes.store.lost("d/") > 10, nodes.store.lost("d/") + " ends");
      assertTrue(nodes.store.readMeanwhile() > 10, nodes.store.readMeanwhile() + " read");
      check(users);
    }
  }

  private void check(ConcurrentUsers users) {
    assertEquals(List.of(), users.broken());
    Map<Known, Long> ends =
        users.jobs().stream().collect(Collectors.groupingBy(j -> j.known(), Collectors.counting()));
    assertEquals(users.jobs().size(), ends.get(Known.DONE) + ends.get(Known.CANCELLED));
    assertTrue(users.looks(Known.ACCEPTED) > users.jobs().size(), "close looks after acceptances");
    assertTrue(users.looks(Known.DONE) > ends.get(Known.DONE), "close looks after ends");
    assertTrue(users.looks(Known.CANCELLED) > ends.get(Known.CANCELLED), "after confirmations");
    List<String> started = new ArrayList<>();
    Map<String, Long> confirmed =
        users.jobs().stream().collect(Collectors.toMap(j -> j.id, j -> j.confirmedNs()));
    for (WorkerEmulator w : nodes.cloud.everRented()) {
      for (WorkerEmulator.Start s : w.starts()) {
        started.add(s.task());
        long lateMs = (s.atNs() - confirmed.get(s.task().split("/")[0])) / 1_000_000;
        assertTrue(lateMs < 0, s.task() + " was started " + lateMs + " ms after its cancellation");
      }
    }
    assertEquals(new HashSet<>(started).size(), started.size(), "started twice: " + started);
    for (ConcurrentUsers.Job j : users.jobs()) {
      boolean all = started.stream().filter(s -> s.startsWith(j.id + "/")).count() == tasks(j);
      assertTrue(j.known() != Known.DONE || all, j.id + " is done and was not started");
    }
  }

  private static int tasks(ConcurrentUsers.Job j) {
    return j.id.compareTo("wk-001000") < 0 ? 1 : 2;
  }
}
