package org.astershift.controller;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.astershift.emulator.Await;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A rental that the cloud will never carry out is given up, and holds no thread. */
@Timeout(30)
class RentalRejectedTest extends FencingTestCase {
  /** Asked on for ever, two such rentals held both threads that rent, and nothing was rented. */
  @Test
  void malformedProvisioningRequestIsAbandoned() throws Exception {
    cloud.rejectProvisioning(400);
    controller.start();
    LeaderTerm term = controller.awaitLeadership();
    submitJob();
    Await.until("more rentals than there are threads", () -> cloud.rejectedRequestIds().size() > 2);
    assertTrue(cloud.workersEverProvisioned().isEmpty());
    cloud.rejectProvisioning(0);
    Await.until("a machine", () -> !cloud.workersEverProvisioned().isEmpty());
    Await.until(
        "no rental to be open",
        () -> term.records.entries(LeaderRecords.RecordKind.RENTAL).isEmpty());
  }
}
