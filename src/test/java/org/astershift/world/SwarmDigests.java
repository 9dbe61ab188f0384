package org.astershift.world;

import org.astershift.EventDigest;
import org.astershift.KeptDigests;

/** The digests of the swarm's seeds. */
public final class SwarmDigests {
  private SwarmDigests() {}

  /** Those kept, and how to play a seed. */
  public static KeptDigests kept() {
    return KeptDigests.in("swarm.tsv", SwarmDigests::of);
  }

  private static String of(long seed) {
    Swarm swarm = Swarm.play(seed);
    World world = swarm.world;
    EventDigest digest = world.digest;
    digest.endOfPlay(world.now(), world.events(), !swarm.failed());
    return digest.hex();
  }
}
