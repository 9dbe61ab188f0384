package org.astershift.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.astershift.coordination.JobQuery.Source;
import org.astershift.coordination.JobQuery.View;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The source from which the state of a job may be answered. */
class JobQueryTest {
  private static View view(String known, boolean forward) {
    return new View(
        known.contains("over"),
        known.contains("leads"),
        known.contains("live"),
        known.contains("certain"),
        forward);
  }

  @ParameterizedTest(name = "{0}: {1}, forwarded: {2}")
  @CsvSource({
    "over, KNOWN_END, KNOWN_END",
    "over leads live certain, KNOWN_END, KNOWN_END",
    "leads live certain, LEADER_MEMORY, LEADER_MEMORY",
    "leads live, STORE, STORE",
    "leads certain, STORE, STORE",
    "leads, STORE, STORE",
    "follows, REMOTE_LEADER, STORE",
  })
  void sourceDependsOnKnownState(String known, Source ofUser, Source ofNode) {
    assertEquals(ofUser, JobQuery.selectSource(view(known, true)));
    assertEquals(ofNode, JobQuery.selectSource(view(known, false)), "asked by another controller");
  }

  /**
   * The state is answered from memory only if no other leader can have ended the job, whatever else
   * is known.
   */
  @Test
  void onlyLeaderWithCertainLeaseAnswersFromMemory() {
    for (int bits = 0; bits < 32; bits++) {
      boolean[] flags = new boolean[5];
      for (int i = 0; i < flags.length; i++) {
        flags[i] = (bits >> i & 1) == 1;
      }
      Source source =
          JobQuery.selectSource(new View(flags[0], flags[1], flags[2], flags[3], flags[4]));
      assertEquals(
          !flags[0] && flags[1] && flags[2] && flags[3], source == Source.LEADER_MEMORY, "" + bits);
      assertEquals(flags[0], source == Source.KNOWN_END, "" + bits);
      assertEquals(!flags[0] && !flags[1] && flags[4], source == Source.REMOTE_LEADER, "" + bits);
    }
  }
}
