package org.astershift.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.List;
import org.astershift.DigestRun;
import org.astershift.KeptDigests;
import org.junit.jupiter.api.Test;

/**
 * The core decides against the adversary as it did when the digests were kept. The build plays the
 * first {@link KeptDigests#LAST_SEED_IN_BUILD} seeds, {@link DigestRun} all. A change of behaviour
 * that is meant writes them anew with {@code -Ddigests.write=true}, in the commit that changes it.
 */
class SchedulerFuzzerDigestTest {
  @Test
  void everySeedMatchesItsKeptDigest() throws IOException {
    List<String> different = SchedulerFuzzerDigests.kept().differencesInBuild();
    assertEquals("", String.join("\n", different));
  }
}
