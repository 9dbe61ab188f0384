package org.astershift.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.astershift.coordination.JobQuery.Source;
import org.astershift.coordination.JobQuery.View;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Where an answer about a job may come from. */
class JobQueryTest {
  private static View view(String says, boolean forward) {
    return new View(
        says.contains("over"),
        says.contains("leads"),
        says.contains("live"),
        says.contains("certain"),
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
    assertEquals(ofUser, JobQuery.source(view(known, true)));
    assertEquals(ofNode, JobQuery.source(view(known, false)), "asked by another controller");
  }

  /** From memory only where nobody else can have ended the job, whatever else is known. */
  @Test
  void onlyLeaderWithCertainLeaseAnswersFromMemory() {
    for (int bits = 0; bits < 32; bits++) {
      boolean[] b = new boolean[5];
      for (int i = 0; i < b.length; i++) {
        b[i] = (bits >> i & 1) == 1;
      }
      Source source = JobQuery.source(new View(b[0], b[1], b[2], b[3], b[4]));
      assertEquals(!b[0] && b[1] && b[2] && b[3], source == Source.LEADER_MEMORY, "" + bits);
      assertEquals(b[0], source == Source.KNOWN_END, "" + bits);
      assertEquals(!b[0] && !b[1] && b[4], source == Source.REMOTE_LEADER, "" + bits);
    }
  }
}
