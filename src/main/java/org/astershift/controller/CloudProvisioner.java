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
 * Provisions machines on threads of its own. Each provisioning request, called a rental, has a
 * unique name. A rental is recorded in the store before its request is sent, and the request is
 * retried under that name until the cloud has answered. After a failover the next leader sends it
 * again, and the cloud treats requests with the same name as one request.
 */
final class CloudProvisioner {
  private static final Logger LOG = LoggerFactory.getLogger(CloudProvisioner.class);

  private final CloudClient cloud;
  private final TaskPool pool = Threads.newPool("provision", ThreadBudget.PROVISION_THREADS);

  CloudProvisioner(CloudClient cloud) {
    this.cloud = cloud;
  }

  /** Starts a thread for queued rentals if an earlier thread start failed. */
  void startQueuedTasks() {
    pool.startQueuedTasks();
  }

  /** Resends the rentals that an earlier leader left without an answer, under their names. */
  void resumeProvisioning(LeaderTerm term) {
    term.records
        .entries(LeaderRecords.RecordKind.PROVISIONING_REQUEST)
        .forEach((name, value) -> resume(term, name, value));
  }

  private void resume(LeaderTerm term, String name, Object value) {
    try {
      Decision.ProvisionMachines request = RecordCodec.decodeProvisionRequest(value);
      LOG.info("resuming a rental of an earlier leader, rental={} token={}", name, term.token);
      term.scheduler.onProvisioningStarted(name, request);
      submit(term, name, request);
    } catch (JsonFormatException e) {
      LOG.error("rental record cannot be decoded, rental={}: {}", name, e.getMessage());
    }
  }

  /** Records a rental under a new name; its request is sent once the record is durable. */
  void provision(LeaderTerm term, Decision.ProvisionMachines request) {
    String name = term.nextProvisioningRequestName();
    term.scheduler.onProvisioningStarted(name, request);
    term.records.put(
        LeaderRecords.RecordKind.PROVISIONING_REQUEST,
        name,
        RecordCodec.encodeProvisionRequest(request),
        0);
  }

  /** Sends the request of a rental whose record has become durable. */
  void onRequestPersisted(LeaderTerm term, String name, Object value) throws JsonFormatException {
    submit(term, name, RecordCodec.decodeProvisionRequest(value));
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
      term.records.remove(
          LeaderRecords.RecordKind.PROVISIONING_REQUEST, name, LeaderRecords.REMOVAL_DELAY_MS);
    }
  }

  /** Sends the request once; returns false if it has to be retried. */
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
      LOG.info(
          "no usable response to rental request; will retry, rental={}: {}", name, e.toString());
    }
    return false;
  }

  /** Records the machines before they may get tasks, so that the next leader knows of them. */
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
          "cloud has no capacity; rental abandoned, rental={} type={} zone={} spot={}",
          name,
          request.typeName(),
          request.zone(),
          request.spot());
    } else if (rejection.reason() == CloudRejectedException.Reason.MALFORMED) {
      LOG.error(
          "cloud rejected rental as malformed; rental abandoned, rental={} count={} type={}",
          name,
          request.count(),
          request.typeName());
    }
    if (!rejection.reason().isPermanent()) {
      LOG.info(
          "rental request not accepted; will retry, rental={}: {}", name, rejection.getMessage());
    }
  }
}
