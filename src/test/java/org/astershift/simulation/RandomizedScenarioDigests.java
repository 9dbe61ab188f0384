package org.astershift.simulation;

import org.astershift.EventDigest;
import org.astershift.KeptDigests;

/** The digests of the swarm's seeds. */
public final class RandomizedScenarioDigests {
  private RandomizedScenarioDigests() {}

  /** Those kept, and how to play a seed. */
  public static KeptDigests kept() {
    return KeptDigests.in("swarm.tsv", RandomizedScenarioDigests::of);
  }

  private static String of(long seed) {
    RandomizedScenario swarm = RandomizedScenario.play(seed);
    Simulation world = swarm.world;
    EventDigest digest = world.digest;
    digest.endOfPlay(world.now(), world.events(), !swarm.failed());
    return digest.hex();
  }
}
