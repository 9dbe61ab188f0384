package org.astershift.controller;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.astershift.emulator.Await;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A provisioning request that the cloud will never accept is abandoned and occupies no thread. */
@Timeout(30)
class RentalRejectedTest extends FencingTestCase {
  /**
   * When they were repeated indefinitely, two such requests held both provisioning threads, and
   * nothing was provisioned.
   */
  @Test
  void malformedProvisioningRequestIsAbandoned() throws Exception {
    cloud.rejectProvisioning(400);
    controller.start();
    LeaderTerm term = controller.awaitLeadership();
    submitJob();
    Await.until(
        "more rejected requests than provisioning threads",
        () -> cloud.rejectedRequestIds().size() > 2);
    assertTrue(cloud.workersEverProvisioned().isEmpty());
    cloud.rejectProvisioning(0);
    Await.until("a machine to be provisioned", () -> !cloud.workersEverProvisioned().isEmpty());
    Await.until(
        "no provisioning request to be pending",
        () -> term.records.entries(LeaderRecords.RecordKind.RENTAL).isEmpty());
  }
}
