package org.astershift.simulation;

import static org.astershift.simulation.CombinedFaults.ENDLESS_MS;
import static org.astershift.simulation.CombinedFaults.assertDetected;
import static org.astershift.simulation.CombinedFaults.assertNoViolations;
import static org.astershift.simulation.CombinedFaults.createSimulationWithArrays;
import static org.astershift.simulation.CombinedFaults.runForS;
import static org.astershift.simulation.UserFaults.LeaderChange;
import static org.astershift.simulation.UserFaults.apply;
import static org.astershift.simulation.UserFaults.assertJobsEnded;
import static org.astershift.simulation.UserFaults.submitJobs;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.astershift.scheduler.JobKind;
import org.junit.jupiter.api.Test;

/**
 * User requests that meet other faults, each shown to have occurred. For most cases a mutation
 * shows that the checker detects the failure that the test guards against.
 */
class UserCombinedFaultsTest {
  private static final int SEEDS = 6;
  private static final int MUTANT_SEEDS = 80;

  /**
   * Users ask all controllers again and again within milliseconds of an acceptance, an end or a
   * confirmation that any controller reported, and repeat the submission; some cancel at once.
   * Threads are slow in every other seed, and the leader changes meanwhile, or not.
   */
  @Test
  void answersAreConsistentWithinMilliseconds() {
    int queries = 0;
    int repeats = 0;
    int cancelled = 0;
    for (LeaderChange change : LeaderChange.values()) {
      for (long seed = 1; seed <= SEEDS; seed++) {
        Simulation simulation = playCloseQueries(seed, change);
        assertNoViolations(simulation);
        assertJobsEnded(simulation, 100, 24);
        queries += simulation.users.closeQueriesAnswered;
        repeats += simulation.users.resubmissionsAnswered;
        cancelled += simulation.users.cancelledOnAccept;
      }
    }
    assertTrue(
        queries > 10_000 && repeats > 2000,
        queries + " queries, " + repeats + " repeated submissions");
    assertTrue(cancelled > 100, cancelled + " jobs cancelled at once");
    for (Mutation mutation :
        List.of(Mutation.JOIN_REQUEST_IN_FLIGHT, Mutation.ANSWER_FROM_WATCH_CACHE)) {
      assertDetected(
          mutation, MUTANT_SEEDS, seed -> playCloseQueries(seed, LeaderChange.NONE, mutation));
    }
  }

  private static Simulation playCloseQueries(
      long seed, LeaderChange change, Mutation... mutations) {
    Simulation simulation = createSimulationWithArrays(seed, 12, 3, mutations);
    simulation.threadStallMs = seed % 2 == 0 ? 1500 : 0;
    simulation.users.closeQueryShare = 1;
    simulation.users.cancelOnAcceptShare = 0.3;
    simulation.pollAllJobs();
    submitJobs(simulation, 100, 24, 20_000, 3000);
    simulation.after(10_000, () -> apply(simulation, change));
    simulation.runTo(75);
    return simulation;
  }

  /**
   * Transactions are applied at once and only their answers are lost, while the other controllers
   * read what was written: acceptances, ends, cancellations and records. One controller does not
   * reach the leader and reads the store itself; the leader changes, or not.
   */
  @Test
  void answersAreConsistentWhenWriteAnswersAreLost() {
    for (LeaderChange change : LeaderChange.values()) {
      int live = 0;
      int ends = 0;
      int opened = 0;
      for (long seed = 1; seed <= SEEDS; seed++) {
        Simulation simulation = playLostAnswers(seed, change);
        assertNoViolations(simulation);
        assertJobsEnded(simulation, 100, 16);
        live += simulation.store.unansweredWritesRead.getOrDefault("j/", 0);
        ends += simulation.store.unansweredWritesRead.getOrDefault("d/", 0);
        opened += simulation.store.unansweredWritesRead.getOrDefault("o/", 0);
      }
      assertTrue(
          live > 10 && ends > 10 && opened > 10,
          live + " live jobs, " + ends + " ends, " + opened + " opened jobs read");
    }
    assertDetected(
        Mutation.ANSWER_WHILE_ENDING,
        MUTANT_SEEDS,
        seed -> playLostAnswers(seed, LeaderChange.NONE, Mutation.ANSWER_WHILE_ENDING));
  }

  private static Simulation playLostAnswers(long seed, LeaderChange change, Mutation... mutations) {
    Simulation simulation = createSimulationWithArrays(seed, 12, 3, mutations);
    simulation.users.closeQueryShare = 1;
    simulation.users.cancelOnAcceptShare = 0.2;
    simulation.pollAllJobs();
    simulation.store.unansweredShare = 0.4;
    ControllerModel leader = simulation.leaders().get(0);
    ControllerModel partitioned =
        simulation.controllers.get(simulation.controllers.indexOf(leader) == 0 ? 1 : 0);
    simulation.cutBoth(leader.name, partitioned.name);
    submitJobs(simulation, 100, 16, 15_000, 3000);
    simulation.after(8000, () -> apply(simulation, change));
    simulation.runTo(50);
    simulation.store.unansweredShare = 0;
    simulation.healAll();
    simulation.runTo(80);
    return simulation;
  }

  /**
   * Jobs are cancelled, many within a fifth of a second, at the moment at which leadership passes
   * from one controller to another: some run for long, and the start commands of others are in
   * flight.
   */
  @Test
  void cancellationsAreConfirmedDuringFailover() {
    int byNextLeader = 0;
    int tasksLeft = 0;
    for (LeaderChange change :
        List.of(
            LeaderChange.HANDS_OVER, LeaderChange.CRASHES, LeaderChange.HANDS_OVER_THEN_CRASHES)) {
      for (int afterMs : List.of(0, 5, 100, 400)) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          Simulation simulation = playFailover(seed, change, afterMs);
          assertNoViolations(simulation);
          for (int i = 0; i < 18; i++) {
            String job = "wk-" + (i < 6 ? 10 + i : 94 + i);
            assertNotNull(simulation.checker.cancelConfirmedMs(job), job + simulation.fullLog());
            byNextLeader +=
                simulation.checker.cancelConfirmedMs(job) > 20_000 + 1000 + afterMs ? 1 : 0;
          }
          tasksLeft += simulation.checker.leftAtConfirmation;
        }
      }
    }
    assertTrue(
        byNextLeader > 300, byNextLeader + " cancellations confirmed after the leader change");
    assertTrue(tasksLeft > 100, tasksLeft + " tasks left when their cancellation was confirmed");
    Mutation mutation = Mutation.CONFIRM_CANCEL_WHILE_STARTING;
    assertDetected(
        mutation,
        MUTANT_SEEDS,
        seed -> playFailover(seed, LeaderChange.HANDS_OVER, 25 * (int) seed, mutation));
  }

  private static Simulation playFailover(
      long seed, LeaderChange change, int afterMs, Mutation... mutations) {
    Simulation simulation = createSimulationWithArrays(seed, 16, 3, mutations);
    // The watch cache of the next leader lags.
    simulation.store.answerDelayMs = seed % 2 == 0 ? 1500 : 0;
    // Half of these jobs are accepted within the last moments before the leader changes.
    for (int i = 0; i < 12; i++) {
      String job = "wk-" + (100 + i);
      long atMs = i < 6 ? 0 : 600 + simulation.random.nextLong(300);
      simulation.after(
          atMs,
          () -> simulation.submitAsUser(JobDraft.job(job, JobKind.ARRAY, 2), ENDLESS_MS, () -> {}));
    }
    simulation.after(
        1000,
        () -> {
          for (int i = 0; i < 18; i++) {
            String job = "wk-" + (i < 6 ? 10 + i : 94 + i);
            simulation.after(simulation.random.nextLong(200), () -> simulation.cancelAsUser(job));
          }
        });
    simulation.after(1000 + afterMs, () -> apply(simulation, change));
    simulation.runTo(30);
    simulation.store.answerDelayMs = 0;
    simulation.runTo(80);
    return simulation;
  }

  /**
   * Cancellations, questions and repeated submissions meet the end of a job's last task: within ten
   * milliseconds of it, and within the time that the news of it takes to spread; there is no other
   * fault.
   */
  @Test
  void jobsCancelledAsLastTaskEndsHaveOneEnd() {
    int cancelledAtEnd = 0;
    int confirmed = 0;
    int queries = 0;
    for (long seed = 1; seed <= 2 * SEEDS; seed++) {
      Simulation simulation = playCancellationAtEnd(seed);
      assertNoViolations(simulation);
      assertJobsEnded(simulation, 100, 40);
      cancelledAtEnd += simulation.users.cancelledAtEnd;
      confirmed += simulation.checker.cancelsConfirmed();
      queries += simulation.users.closeQueriesAnswered + simulation.users.resubmissionsAnswered;
    }
    assertTrue(cancelledAtEnd > 200, cancelledAtEnd + " jobs cancelled around their end");
    assertTrue(
        confirmed > 20 && confirmed < cancelledAtEnd - 20,
        confirmed + " cancellations confirmed of " + cancelledAtEnd);
    assertTrue(queries > 5000, queries + " queries and repeated submissions");
    assertDetected(
        Mutation.OVERWRITE_JOB_END,
        MUTANT_SEEDS,
        seed -> playCancellationAtEnd(seed, Mutation.OVERWRITE_JOB_END));
  }

  private static Simulation playCancellationAtEnd(long seed, Mutation... mutations) {
    Simulation simulation = createSimulationWithArrays(seed, 16, 3, mutations);
    simulation.users.closeQueryShare = 1;
    simulation.users.cancelAtEndShare = 1;
    simulation.pollAllJobs();
    submitJobs(simulation, 100, 40, 20_000, 2000);
    simulation.runTo(60);
    return simulation;
  }

  /**
   * Jobs are cancelled at the very moment at which the store refuses the leader alone, some
   * milliseconds before it, and after it; a second later the store is unavailable to all, for
   * longer than a cancelled task may live, while workers keep sending heartbeats to the old leader.
   */
  @Test
  void cancellationsAreConfirmedWhenStoreRefusesLeader() {
    int onRecord = 0;
    int notOnRecord = 0;
    int withUncertainLease = 0;
    for (int afterMs : List.of(2, 6, 12, 60, 250)) {
      for (boolean handsOver : List.of(false, true)) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          RefusalPlay played = playRefusal(seed, afterMs, handsOver);
          assertNoViolations(played.simulation);
          onRecord += played.onRecord;
          notOnRecord += 6 - played.onRecord;
          withUncertainLease += played.leaseUncertain;
          for (int i = 10; i < 16; i++) {
            assertNotNull(
                played.simulation.checker.cancelConfirmedMs("wk-" + i),
                played.simulation.fullLog());
          }
        }
      }
    }
    assertTrue(
        onRecord > 30 && notOnRecord > 30,
        onRecord + " ends on record before the outage, not on record: " + notOnRecord);
    assertTrue(
        withUncertainLease > 500,
        withUncertainLease + " heartbeats answered with an uncertain lease");
    assertDetected(
        Mutation.NO_STOPS_WITH_UNCERTAIN_LEASE,
        MUTANT_SEEDS,
        seed ->
            playRefusal(seed, 4 + (int) seed % 12, true, Mutation.NO_STOPS_WITH_UNCERTAIN_LEASE)
                .simulation);
  }

  private record RefusalPlay(Simulation simulation, int onRecord, int leaseUncertain) {}

  private static RefusalPlay playRefusal(
      long seed, int afterMs, boolean handsOver, Mutation... mutations) {
    Simulation simulation = createSimulationWithArrays(seed, 12, 3, mutations);
    ControllerModel old = simulation.leaders().get(0);
    for (int i = 10; i < 16; i++) {
      simulation.cancelAsUser("wk-" + i);
    }
    simulation.runTo((simulation.now() + afterMs) / 1000.0);
    if (handsOver) {
      old.resign();
      for (ControllerModel controller : simulation.controllers) {
        if (controller != old) {
          // The next leader receives heartbeats of zone b only while its own lease is uncertain.
          simulation.cutBoth(controller.name, "zone b");
          simulation.after(6000, () -> simulation.healBoth(controller.name, "zone b"));
        }
      }
      simulation.runTo((simulation.now() + 10) / 1000.0);
    }
    simulation.store.setRefused(old.name, true);
    runForS(simulation, 1);
    int onRecord = 0;
    for (int i = 10; i < 16; i++) {
      onRecord += simulation.store.get("d/wk-" + i) == null ? 0 : 1;
    }
    simulation.store.setUnavailable(true);
    int before = old.answeredWithUncertainLease();
    simulation.runTo((simulation.now() + InvariantChecker.CANCEL_DEADLINE_MS) / 1000.0 + 10);
    int withUncertainLease = old.answeredWithUncertainLease() - before;
    simulation.store.setRefused(old.name, false);
    simulation.store.setUnavailable(false);
    runForS(simulation, 40);
    return new RefusalPlay(simulation, onRecord, withUncertainLease);
  }
}
