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
import org.astershift.ConcurrentUsers.KnownState;
import org.astershift.emulator.Await;
import org.astershift.emulator.WorkerEmulator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Monotonic reads over three real controllers: within milliseconds after a job was accepted, ended
 * or cancelled, no node answers with a state older than one that another node has reported.
 */
@Timeout(240)
class ConsistentAnswersTest {
  private static final long TASK_MS = 150;

  /** Bounds the rounds of users that bring about what the test counts. */
  private static final int MAX_ROUNDS = 6;

  @TempDir Path dir;
  private ControllerProcesses nodes;

  @BeforeEach
  void start() throws Exception {
    // Users poll far more often here than the limits of the default settings allow.
    nodes =
        new ControllerProcesses(
            dir,
            TASK_MS,
            start ->
                start
                    .replace("rps = 250.0", "rps = 20000.0")
                    .replace("rps = 100.0", "rps = 5000.0"));
    nodes.awaitReady();
  }

  @AfterEach
  void stop() throws Exception {
    if (nodes != null) {
      nodes.close();
    }
  }

  /** Single-task jobs, a quarter of them cancelled, without faults. */
  @Test
  void streamOfShortJobs() throws Exception {
    try (ConcurrentUsers users = new ConcurrentUsers(nodes, 1, 150, 1)) {
      users.start(users.jobs().size());
      users.join();
      checkConsistency(List.of(users));
    }
  }

  /**
   * A third of the responses to committed transactions is lost while other nodes read the writes;
   * the leader is killed, and the next one is partitioned from the store, so that it continues with
   * an uncertain lease while another leads.
   */
  @Test
  void responsesAreLostAndLeadersChange() throws Exception {
    try (ConcurrentUsers users = new ConcurrentUsers(nodes, 1001, 150, 2)) {
      nodes.store.loseResponses(0.33);
      // Some jobs are left for each fault, however fast the users are.
      int jobsPerFault = users.jobs().size() / 3;
      users.start(jobsPerFault);
      Await.until("the first jobs to end", () -> users.endedJobs() >= 20);
      int firstLeader = nodes.leader();
      nodes.kill(firstLeader);
      Await.until("another leader after a crash", () -> nodes.leader() != firstLeader);
      nodes.start(firstLeader);
      users.permitStarts(jobsPerFault);
      int endedUnderNextLeader = users.endedJobs() + 20;
      Await.until(
          "jobs to end under the next leader", () -> users.endedJobs() >= endedUnderNextLeader);
      int secondLeader = nodes.leader();
      nodes.storeAddresses.get(secondLeader).rejectRequests(true);
      Await.until("another leader after a partition", () -> nodes.leader() != secondLeader);
      users.permitStarts(users.jobs().size() - 2 * jobsPerFault);
      int endedBesideOldLeader = users.endedJobs() + 20;
      Await.until(
          "jobs to end while another leader has an uncertain lease",
          () -> users.endedJobs() >= endedBesideOldLeader);
      nodes.storeAddresses.get(secondLeader).rejectRequests(false);
      users.join();
      assertNotEquals(secondLeader, nodes.leader(), "leaders changed during the test");
      List<ConcurrentUsers> rounds = new ArrayList<>(List.of(users));
      while (nodes.store.readsOfUnansweredKeys() <= 10 && rounds.size() < MAX_ROUNDS) {
        int first = 1001 + 1000 * rounds.size();
        try (ConcurrentUsers further = new ConcurrentUsers(nodes, first, 50, 2)) {
          rounds.add(further);
          further.start(further.jobs().size());
          further.join();
        }
      }
      assertTrue(
          nodes.store.lostResponses("l/j/") > 20,
          nodes.store.lostResponses("l/j/") + " responses to acceptances lost");
      assertTrue(
          nodes.store.lostResponses("d/") > 10,
          nodes.store.lostResponses("d/") + " responses to ends lost");
      assertTrue(
          nodes.store.readsOfUnansweredKeys() > 10,
          nodes.store.readsOfUnansweredKeys() + " reads of keys whose writers wait");
      checkConsistency(rounds);
    }
  }

  private void checkConsistency(List<ConcurrentUsers> rounds) {
    List<ConcurrentUsers.Job> jobs = new ArrayList<>();
    for (ConcurrentUsers users : rounds) {
      checkAnswers(users);
      jobs.addAll(users.jobs());
    }
    checkStarts(jobs);
  }

  private static void checkAnswers(ConcurrentUsers users) {
    assertEquals(List.of(), users.violations());
    Map<KnownState, Long> ends =
        users.jobs().stream()
            .collect(Collectors.groupingBy(job -> job.knownState(), Collectors.counting()));
    assertEquals(users.jobs().size(), ends.get(KnownState.DONE) + ends.get(KnownState.CANCELLED));
    assertTrue(
        users.followUps(KnownState.ACCEPTED) > users.jobs().size(), "follow-ups after acceptances");
    assertTrue(
        users.followUps(KnownState.DONE) > ends.get(KnownState.DONE), "follow-ups after ends");
    assertTrue(
        users.followUps(KnownState.CANCELLED) > ends.get(KnownState.CANCELLED),
        "follow-ups after confirmed cancellations");
  }

  private void checkStarts(List<ConcurrentUsers.Job> jobs) {
    List<String> started = new ArrayList<>();
    Map<String, Long> confirmed =
        jobs.stream().collect(Collectors.toMap(job -> job.id, job -> job.cancelConfirmedNs()));
    for (WorkerEmulator worker : nodes.cloud.workersEverProvisioned()) {
      for (WorkerEmulator.Start start : worker.starts()) {
        started.add(start.task());
        long lateMs = (start.atNs() - confirmed.get(start.task().split("/")[0])) / 1_000_000;
        assertTrue(
            lateMs < 0, start.task() + " was started " + lateMs + " ms after its cancellation");
      }
    }
    assertEquals(new HashSet<>(started).size(), started.size(), "started twice: " + started);
    for (ConcurrentUsers.Job job : jobs) {
      boolean allStarted =
          started.stream().filter(start -> start.startsWith(job.id + "/")).count()
              == taskCount(job);
      assertTrue(
          job.knownState() != KnownState.DONE || allStarted,
          job.id + " is done and not all of its tasks were started");
    }
  }

  private static int taskCount(ConcurrentUsers.Job job) {
    return job.id.compareTo("wk-001000") < 0 ? 1 : 2;
  }
}
