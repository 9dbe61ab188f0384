package org.astershift.office;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.astershift.config.Constants;
import org.astershift.office.StateReach.Found;
import org.junit.jupiter.api.Test;

/** What a node takes the state service's silence for. */
class StateReachTest {
  private final StateReach reach = new StateReach();

  @Test
  void anOutageIsToldByOthersThatAreNotServedEither() {
    for (long ms = 0; ms < 60_000; ms += 500) {
      assertEquals(Found.OUTAGE, reach.asked(4, 1, false, ms));
    }
  }

  @Test
  void whoHearsNobodyAtAllIsCutOffAfterAWhile() {
    assertEquals(Found.OUTAGE, reach.asked(4, 0, false, 1000));
    assertEquals(Found.OUTAGE, reach.asked(4, 0, false, 1000 + Constants.ALONE_MS - 1));
    assertEquals(Found.ALONE, reach.asked(4, 0, false, 1000 + Constants.ALONE_MS));
    // One that answers ends it, and so does the state service: the time counts anew.
    assertEquals(Found.OUTAGE, reach.asked(4, 1, false, 20_000));
    assertEquals(Found.OUTAGE, reach.asked(4, 0, false, 20_500));
    assertEquals(Found.ALONE, reach.asked(4, 0, false, 30_000));
    reach.served();
    assertEquals(Found.OUTAGE, reach.asked(4, 0, false, 40_000));
  }

  @Test
  void otherNodesThatAreServedShowItAtOnce() {
    assertEquals(Found.APART, reach.asked(4, 1, true, 500));
  }

  @Test
  void aNodeWithoutOthersIsNeverCutOffFromThem() {
    assertEquals(Found.OUTAGE, reach.asked(0, 0, false, 0));
    assertEquals(Found.OUTAGE, reach.asked(0, 0, false, 60_000));
  }
}
