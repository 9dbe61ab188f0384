package org.astershift.simulation;

import org.astershift.EventDigest;
import org.astershift.KeptDigests;

/** Digests of the randomized scenarios. */
public final class RandomizedScenarioDigests {
  private RandomizedScenarioDigests() {}

  /** Returns the kept digests, with the function that plays a seed and computes its digest. */
  public static KeptDigests kept() {
    return KeptDigests.in("swarm.tsv", RandomizedScenarioDigests::digestOf);
  }

  private static String digestOf(long seed) {
    RandomizedScenario scenario = RandomizedScenario.play(seed);
    Simulation simulation = scenario.simulation;
    EventDigest digest = simulation.digest;
    digest.endOfRun(simulation.now(), simulation.eventsRun(), !scenario.hasFailed());
    return digest.hex();
  }
}
