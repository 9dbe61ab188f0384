package org.astershift.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.List;
import org.astershift.DigestRun;
import org.astershift.KeptDigests;
import org.junit.jupiter.api.Test;

/**
 * Checks that the randomized scenarios ({@code swarm} in {@link DigestRun}) decide and do what they
 * did when their digests were kept. The build plays the first {@link
 * KeptDigests#LAST_SEED_IN_BUILD} seeds, {@link DigestRun} plays all. A commit that changes
 * behaviour on purpose writes the digests anew with {@code -Ddigests.write=true}.
 */
class RandomizedScenarioDigestTest {
  @Test
  void everySeedMatchesItsKeptDigest() throws IOException {
    List<String> different = RandomizedScenarioDigests.kept().differencesInBuild();
    assertEquals("", String.join("\n", different));
  }
}
