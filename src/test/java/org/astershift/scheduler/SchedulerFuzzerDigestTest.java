package org.astershift.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.List;
import org.astershift.DigestRun;
import org.astershift.KeptDigests;
import org.junit.jupiter.api.Test;

/**
 * Checks that the scheduler makes the same decisions under the fuzzer as when the digests were
 * recorded. The build plays the first {@link KeptDigests#LAST_SEED_IN_BUILD} seeds, {@link
 * DigestRun} plays all. A commit that changes the behaviour intentionally also rewrites the digests
 * with {@code -Ddigests.write=true}.
 */
class SchedulerFuzzerDigestTest {
  @Test
  void everySeedMatchesItsKeptDigest() throws IOException {
    List<String> different = SchedulerFuzzerDigests.kept().differencesInBuild();
    assertEquals("", String.join("\n", different));
  }
}
