package org.astershift.simulation;

import java.util.List;
import java.util.SplittableRandom;
import org.astershift.simulation.Simulation.Setup;

/**
 * The kinds of faults and work in a randomized scenario. They are drawn from random numbers of
 * their own, so that this class and the simulation can change independently.
 */
final class RandomSetup {
  final Setup setup;

  /** A bit for each kind of fault of {@link FaultInjector}. */
  final int faultKinds;

  /** A bit for each kind of fault of {@link UserFaultInjector}. */
  final int userFaultKinds;

  final boolean withTeamLimit;

  /** Share of the heartbeats of which a duplicate is kept for the next leader. */
  final double duplicateKeepShare;

  /** Share of the heartbeats that are held back until a new leader has made its first decision. */
  final double heartbeatHoldShare;

  /**
   * Whether there are several teams at their limits, with task sizes, accelerators and priorities.
   */
  final boolean withTeams;

  /** Whether a third of the jobs are gangs. */
  final boolean withGangs;

  /** Whether there are spot machines, which are preempted, and jobs that may use them. */
  final boolean withSpot;

  /** Whether tasks fail on some machines, so that these are drained and released. */
  final boolean withFaultyMachines;

  /** Whether messages wait in the leader's process, and all controllers crash together once. */
  final boolean withMessageQueueing;

  /** Longest wait of a message in the leader's process, in milliseconds. */
  final long maxMessageWaitMs;

  /** When all controllers crash, as a share of the time in which faults occur. */
  final double crashAtShare;

  /** Draws the setup. The order of the draws is part of each seed's scenario. */
  RandomSetup(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    int controllers = random.nextBoolean() ? 3 : 5;
    List<String> zones = random.nextBoolean() ? List.of("a", "b", "c") : List.of("a", "b");
    setup = new Setup(controllers, 20 + random.nextInt(20), zones, 2000, 14_000);
    faultKinds = 1 + random.nextInt((1 << FaultInjector.KINDS) - 1);
    withTeamLimit = random.nextInt(3) == 0;
    int likelyKinds = random.nextInt(1 << UserFaultInjector.KINDS);
    // Each kind occurs in a quarter of the seeds.
    userFaultKinds = likelyKinds & random.nextInt(1 << UserFaultInjector.KINDS);
    duplicateKeepShare = random.nextInt(3) == 0 ? 0.2 : 0;
    heartbeatHoldShare = random.nextInt(3) == 0 ? 0.02 + 0.2 * random.nextDouble() : 0;
    withTeams = random.nextInt(3) == 0;
    withGangs = random.nextBoolean();
    withSpot = random.nextInt(3) == 0;
    withFaultyMachines = random.nextInt(4) == 0;
    withMessageQueueing = random.nextInt(3) == 0;
    maxMessageWaitMs = 500 + random.nextInt(5500);
    crashAtShare = random.nextDouble();
  }
}
