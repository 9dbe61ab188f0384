package org.astershift.controller;

import java.io.IOException;
import java.util.List;
import org.astershift.cloud.CloudClient;
import org.astershift.cloud.CloudRejectedException;
import org.astershift.config.ThreadBudget;
import org.astershift.http.JsonFormatException;
import org.astershift.http.TaskPool;
import org.astershift.http.Threads;
import org.astershift.scheduler.Decision;
import org.astershift.store.RecordCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rents machines, in threads of its own. A rental is recorded before it is requested, and requested
 * under its own name until the cloud has answered: a successor repeats it, and the cloud treats the
 * repeated request as the same one.
 */
final class CloudProvisioner {
  private static final Logger LOG = LoggerFactory.getLogger(CloudProvisioner.class);

  private final CloudClient cloud;
  private final TaskPool pool = Threads.pool("provision", ThreadBudget.PROVISION_THREADS);

  CloudProvisioner(CloudClient cloud) {
    this.cloud = cloud;
  }

  /** Starts queued rentals that found no thread. */
  void startQueuedTasks() {
    pool.startWaitingWork();
  }

  /** Repeats the rentals that an earlier leader left open, under their own names. */
  void resumeProvisioning(LeaderTerm term) {
    term.records
        .entries(LeaderRecords.RecordKind.RENTAL)
        .forEach((name, value) -> resume(term, name, value));
  }

  private void resume(LeaderTerm term, String name, Object value) {
    try {
      Decision.ProvisionMachines request = RecordCodec.decodeRental(value);
      LOG.info("resuming an earlier leader's rental, rental={} token={}", name, term.token);
      term.scheduler.onProvisioningStarted(name, request);
      submit(term, name, request);
    } catch (JsonFormatException e) {
      LOG.error("rental record cannot be decoded, rental={}: {}", name, e.getMessage());
    }
  }

  /** Records a rental under a name of its own; requested when that is durable. */
  void provision(LeaderTerm term, Decision.ProvisionMachines request) {
    String name = term.nextRentalName();
    term.scheduler.onProvisioningStarted(name, request);
    term.records.put(LeaderRecords.RecordKind.RENTAL, name, RecordCodec.encodeRental(request), 0);
  }

  /** The rental's record is durable. */
  void onRentalPersisted(LeaderTerm term, String name, Object value) throws JsonFormatException {
    submit(term, name, RecordCodec.decodeRental(value));
  }

  private void submit(LeaderTerm term, String name, Decision.ProvisionMachines request) {
    pool.execute("rental", () -> provisionUntilAnswered(term, name, request));
  }

  private void provisionUntilAnswered(
      LeaderTerm term, String name, Decision.ProvisionMachines request) {
    while (CloudBackoff.shouldContinue(term) && !tryProvision(term, name, request)) {
      CloudBackoff.sleep();
    }
    if (CloudBackoff.shouldContinue(term)) {
      term.records.remove(LeaderRecords.RecordKind.RENTAL, name, LeaderRecords.REMOVAL_DELAY_MS);
    }
  }

  /** False if the request has to be repeated. */
  private boolean tryProvision(LeaderTerm term, String name, Decision.ProvisionMachines request) {
    try {
      onProvisioned(term, name, request, cloud.provisionMachines(name, request));
      return true;
    } catch (CloudRejectedException e) {
      logRejection(name, request, e);
      if (e.reason().isPermanent()) {
        term.scheduler.onProvisioningRejected(name, request);
        return true;
      }
    } catch (IOException e) {
      LOG.info("rental has no answer yet, rental={}: {}", name, e.toString());
    }
    return false;
  }

  /** Records the machines before they may get tasks, so that a successor knows of them. */
  private static void onProvisioned(
      LeaderTerm term, String name, Decision.ProvisionMachines request, List<String> machineNames) {
    LOG.info(
        "rental granted, rental={} count={} type={} zone={} machines={}",
        name,
        request.count(),
        request.typeName(),
        request.zone(),
        machineNames);
    for (String machineName : machineNames) {
      Decision.RegisterMachine machine =
          new Decision.RegisterMachine(
              machineName, null, request.typeName(), request.zone(), request.spot(), true);
      term.records.putIfAbsent(
          LeaderRecords.RecordKind.MACHINE, machineName, RecordCodec.encodeMachine(machine));
    }
    term.scheduler.onMachinesProvisioned(name, machineNames, request);
  }

  private static void logRejection(
      String name, Decision.ProvisionMachines request, CloudRejectedException rejection) {
    if (rejection.reason() == CloudRejectedException.Reason.NO_CAPACITY) {
      LOG.info(
          "no capacity in the cloud, rental={} type={} zone={} spot={}",
          name,
          request.typeName(),
          request.zone(),
          request.spot());
    } else if (rejection.reason() == CloudRejectedException.Reason.MALFORMED) {
      LOG.error(
          "rental is malformed for the cloud, rental={} count={} type={}",
          name,
          request.count(),
          request.typeName());
    }
    if (!rejection.reason().isPermanent()) {
      LOG.info("rental rejected for now, rental={}: {}", name, rejection.getMessage());
    }
  }
}
