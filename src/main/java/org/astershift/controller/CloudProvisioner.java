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
 * Provisions machines on threads of its own. Each provisioning request has a unique name. A request
 * is recorded in the store before it is sent, and it is retried under its name until the cloud has
 * granted or permanently rejected it. After a failover the next leader sends it again, and the
 * cloud treats requests with the same name as one request.
 */
final class CloudProvisioner {
  private static final Logger LOG = LoggerFactory.getLogger(CloudProvisioner.class);

  private final CloudClient cloud;
  private final TaskPool pool = Threads.newPool("provision", ThreadBudget.PROVISION_THREADS);

  CloudProvisioner(CloudClient cloud) {
    this.cloud = cloud;
  }

  /** Starts a thread for queued requests if an earlier thread start failed. */
  void startQueuedTasks() {
    pool.startQueuedTasks();
  }

  /** Resends, under their names, the requests that an earlier leader left unsettled. */
  void resumeProvisioning(LeaderTerm term) {
    term.records
        .entries(LeaderRecords.RecordKind.RENTAL)
        .forEach((name, value) -> resume(term, name, value));
  }

  private void resume(LeaderTerm term, String name, Object value) {
    try {
      Decision.ProvisionMachines request = RecordCodec.decodeProvisionRequest(value);
      LOG.info(
          "resuming a provisioning request of an earlier leader: request={} token={}",
          name,
          term.token);
      term.scheduler.onProvisioningStarted(name, request);
      submit(term, name, request);
    } catch (JsonFormatException e) {
      LOG.error(
          "provisioning request record cannot be decoded: request={}: {}", name, e.getMessage());
    }
  }

  /** Records a request under a new name; it is sent once the record is durable. */
  void provision(LeaderTerm term, Decision.ProvisionMachines request) {
    String name = term.nextProvisioningRequestName();
    term.scheduler.onProvisioningStarted(name, request);
    term.records.put(
        LeaderRecords.RecordKind.RENTAL, name, RecordCodec.encodeProvisionRequest(request), 0);
  }

  /** Sends a request whose record has become durable. */
  void onRequestPersisted(LeaderTerm term, String name, Object value) throws JsonFormatException {
    submit(term, name, RecordCodec.decodeProvisionRequest(value));
  }

  private void submit(LeaderTerm term, String name, Decision.ProvisionMachines request) {
    pool.execute("rental", () -> provisionUntilSettled(term, name, request));
  }

  private void provisionUntilSettled(
      LeaderTerm term, String name, Decision.ProvisionMachines request) {
    while (CloudBackoff.shouldContinue(term) && !tryProvision(term, name, request)) {
      CloudBackoff.sleep();
    }
    if (CloudBackoff.shouldContinue(term)) {
      term.records.remove(LeaderRecords.RecordKind.RENTAL, name, LeaderRecords.REMOVAL_DELAY_MS);
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
          "no valid response to provisioning request; will retry: request={}: {}",
          name,
          e.toString());
    }
    return false;
  }

  /** Records the machines before they can get tasks, so that the next leader knows of them. */
  private static void onProvisioned(
      LeaderTerm term, String name, Decision.ProvisionMachines request, List<String> machineNames) {
    LOG.info(
        "machines provisioned: request={} count={} type={} zone={} machines={}",
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
          "cloud has no capacity; request abandoned: request={} type={} zone={} spot={}",
          name,
          request.typeName(),
          request.zone(),
          request.spot());
    } else if (rejection.reason() == CloudRejectedException.Reason.MALFORMED) {
      LOG.error(
          "cloud rejected malformed request; request abandoned: request={} count={} type={}",
          name,
          request.count(),
          request.typeName());
    }
    if (!rejection.reason().isPermanent()) {
      LOG.info(
          "provisioning request not accepted; will retry: request={}: {}",
          name,
          rejection.getMessage());
    }
  }
}
