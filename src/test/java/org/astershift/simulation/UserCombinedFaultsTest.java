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
 * Requests of users that meet other faults, each time seen to have happened. For most a mutation
 * shows that the checker detects what it is about.
 */
class UserCombinedFaultsTest {
  private static final int SEEDS = 6;
  private static final int MUTANT_SEEDS = 80;

  /**
   * Users ask all controllers within milliseconds of an acceptance, an end or a confirmation told
   * by any controller, again and again, and repeat the submission; some cancel at once. Threads are
   * slow in every other seed, and the leader changes in the middle, or not.
   */
  @Test
  void answersAreConsistentWithinMilliseconds() {
    int looks = 0;
    int repeats = 0;
    int cancelled = 0;
    for (LeaderChange change : LeaderChange.values()) {
      for (long seed = 1; seed <= SEEDS; seed++) {
        Simulation simulation = playCloseQueries(seed, change);
        assertNoViolations(simulation);
        assertJobsEnded(simulation, 100, 24);
        looks += simulation.users.closeQueriesAnswered;
        repeats += simulation.users.resubmissionsAnswered;
        cancelled += simulation.users.cancelledOnAccept;
      }
    }
    assertTrue(looks > 10_000 && repeats > 2000, looks + " looks, " + repeats + " repeats");
    assertTrue(cancelled > 100, cancelled + " cancelled at once");
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
   * Transactions are carried out at once and only their answer is lost, while the other controllers
   * read what they wrote: acceptances, ends, cancellations and records; one does not reach the
   * leader and reads the store itself; the leader changes, or not.
   */
  @Test
  void answersAreConsistentWhenWriteAnswersAreLost() {
    for (LeaderChange change : LeaderChange.values()) {
      int live = 0;
      int ends = 0;
      int notes = 0;
      for (long seed = 1; seed <= SEEDS; seed++) {
        Simulation simulation = playLostAnswers(seed, change);
        assertNoViolations(simulation);
        assertJobsEnded(simulation, 100, 16);
        live += simulation.store.unansweredRead.getOrDefault("j/", 0);
        ends += simulation.store.unansweredRead.getOrDefault("d/", 0);
        notes += simulation.store.unansweredRead.getOrDefault("o/", 0);
      }
      assertTrue(live > 10 && ends > 10 && notes > 10, live + " " + ends + " " + notes);
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
    ControllerModel apart =
        simulation.controllers.get(simulation.controllers.indexOf(leader) == 0 ? 1 : 0);
    simulation.cutBoth(leader.name, apart.name);
    submitJobs(simulation, 100, 16, 15_000, 3000);
    simulation.after(8000, () -> apply(simulation, change));
    simulation.runTo(50);
    simulation.store.unansweredShare = 0;
    simulation.healAll();
    simulation.runTo(80);
    return simulation;
  }

  /**
   * Jobs are cancelled, many within a fifth of a second, in the moment in which one controller's
   * work changes hands: some run for long, of others the starts are on their way.
   */
  @Test
  void cancellationsAreConfirmedDuringFailover() {
    int byTheNext = 0;
    int starting = 0;
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
            byTheNext +=
                simulation.checker.cancelConfirmedMs(job) > 20_000 + 1000 + afterMs ? 1 : 0;
          }
          starting += simulation.checker.leftAtConfirmation;
        }
      }
    }
    assertTrue(byTheNext > 300, byTheNext + " confirmed after the change");
    assertTrue(starting > 100, starting + " tasks left as their job was confirmed");
    Mutation mutation = Mutation.CONFIRM_CANCEL_WHILE_STARTING;
    assertDetected(
        mutation,
        MUTANT_SEEDS,
        seed -> playFailover(seed, LeaderChange.HANDS_OVER, 25 * (int) seed, mutation));
  }

  private static Simulation playFailover(
      long seed, LeaderChange change, int afterMs, Mutation... mutations) {
    Simulation simulation = createSimulationWithArrays(seed, 16, 3, mutations);
    simulation.store.answerDelayMs = seed % 2 == 0 ? 1500 : 0; // the next leader's watch cache lags
    // Half of these are accepted within the last moments before it.
    for (int i = 0; i < 12; i++) {
      String job = "wk-" + (100 + i);
      long atMs = i < 6 ? 0 : 600 + simulation.random.nextLong(300);
      simulation.after(
          atMs,
          () -> simulation.userSubmits(JobDraft.job(job, JobKind.ARRAY, 2), ENDLESS_MS, () -> {}));
    }
    simulation.after(
        1000,
        () -> {
          for (int i = 0; i < 18; i++) {
            String job = "wk-" + (i < 6 ? 10 + i : 94 + i);
            simulation.after(simulation.random.nextLong(200), () -> simulation.userCancels(job));
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
   * milliseconds of it, and within the time in which that gets around; nothing else is wrong.
   */
  @Test
  void jobsCancelledAsLastTaskEndsHaveOneEnd() {
    int askedOrder = 0;
    int confirmed = 0;
    int looks = 0;
    for (long seed = 1; seed <= 2 * SEEDS; seed++) {
      Simulation simulation = playCancellationAtEnd(seed);
      assertNoViolations(simulation);
      assertJobsEnded(simulation, 100, 40);
      askedOrder += simulation.users.cancelledAtEnd;
      confirmed += simulation.checker.cancelsConfirmed();
      looks += simulation.users.closeQueriesAnswered + simulation.users.resubmissionsAnswered;
    }
    assertTrue(askedOrder > 200, askedOrder + " cancelled around their end");
    assertTrue(confirmed > 20 && confirmed < askedOrder - 20, confirmed + " of " + askedOrder);
    assertTrue(looks > 5000, looks + " looks");
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
   * milliseconds before, and after; a second later it is down for all, for longer than a cancelled
   * task may live, and workers go on reporting to the old leader.
   */
  @Test
  void cancellationsAreConfirmedWhenStoreRefusesLeader() {
    int onRecord = 0;
    int not = 0;
    int withUncertainLease = 0;
    for (int afterMs : List.of(2, 6, 12, 60, 250)) {
      for (boolean hands : List.of(false, true)) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          RefusalPlay played = playRefusal(seed, afterMs, hands);
          assertNoViolations(played.simulation);
          onRecord += played.onRecord;
          not += 6 - played.onRecord;
          withUncertainLease += played.leaseUncertain;
          for (int i = 10; i < 16; i++) {
            assertNotNull(
                played.simulation.checker.cancelConfirmedMs("wk-" + i),
                played.simulation.fullLog());
          }
        }
      }
    }
    assertTrue(onRecord > 30 && not > 30, onRecord + " on record before the outage, not " + not);
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
      long seed, int afterMs, boolean hands, Mutation... mutations) {
    Simulation simulation = createSimulationWithArrays(seed, 12, 3, mutations);
    ControllerModel old = simulation.leaders().get(0);
    for (int i = 10; i < 16; i++) {
      simulation.userCancels("wk-" + i);
    }
    simulation.runTo((simulation.now() + afterMs) / 1000.0);
    if (hands) {
      old.resign();
      for (ControllerModel controller : simulation.controllers) {
        if (controller != old) {
          simulation.cutBoth(
              controller.name,
              "zone b"); // which the next leader hears while its own lease is uncertain
          simulation.after(6000, () -> simulation.healBoth(controller.name, "zone b"));
        }
      }
      simulation.runTo((simulation.now() + 10) / 1000.0);
    }
    simulation.store.refuse(old.name, true);
    runForS(simulation, 1);
    int onRecord = 0;
    for (int i = 10; i < 16; i++) {
      onRecord += simulation.store.get("d/wk-" + i) == null ? 0 : 1;
    }
    simulation.store.unavailable(true);
    int before = old.answeredWithUncertainLease();
    simulation.runTo((simulation.now() + InvariantChecker.CANCEL_MS) / 1000.0 + 10);
    int withUncertainLease = old.answeredWithUncertainLease() - before;
    simulation.store.refuse(old.name, false);
    simulation.store.unavailable(false);
    runForS(simulation, 40);
    return new RefusalPlay(simulation, onRecord, withUncertainLease);
  }
}
