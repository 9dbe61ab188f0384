package org.astershift.controller;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.astershift.cloud.CloudClient;
import org.astershift.cloud.CloudRejectedException;
import org.astershift.config.Settings;
import org.astershift.config.ThreadBudget;
import org.astershift.http.JsonFormatException;
import org.astershift.http.TaskPool;
import org.astershift.http.Threads;
import org.astershift.scheduler.Decision;
import org.astershift.scheduler.MachineType;
import org.astershift.scheduler.Scheduler;
import org.astershift.store.RateLimiter;
import org.astershift.store.RecordCodec;
import org.astershift.store.StoreClient;
import org.astershift.store.WatchCache;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The leader's dealings with the cloud: types, the list, renting and giving back. */
final class CloudProvisioner {
  private static final Logger LOG = LoggerFactory.getLogger(CloudProvisioner.class);
  private final CloudClient cloud;
  private final StoreClient store;
  private final WatchCache watchCache;
  private final Runnable requestPass;
  private final TaskPool provisionPool = Threads.pool("rent", ThreadBudget.PROVISION_THREADS);
  private final TaskPool releasePool = Threads.pool("return", ThreadBudget.RELEASE_THREADS);
  private volatile Map<String, MachineType> types = Map.of();

  CloudProvisioner(
      Settings settings, StoreClient store, WatchCache watchCache, Runnable requestPass) {
    this.cloud = new CloudClient(settings);
    this.store = store;
    this.watchCache = watchCache;
    this.requestPass = requestPass;
  }

  Map<String, MachineType> types() {
    return types;
  }

  /** Work that found no thread gets one as soon as there is one. */
  void startQueuedTasks() {
    provisionPool.startWaitingWork();
    releasePool.startWaitingWork();
  }

  /** What the leader noted of the types, for nodes that start while the cloud is away. */
  void onTypesRecord(Map<String, Object> value) {
    try {
      types = RecordCodec.decodeTypes(value);
    } catch (JsonFormatException e) {
      LOG.error("record of machine types: {}", e.getMessage());
    }
  }

  // ---- list and types ----

  void pollLoop(LeaderTerm term) {
    long typesFetchedMs = 0;
    while (!term.ended()) {
      try {
        long nowMs = LeaderTerm.nowMs();
        if (typesFetchedMs == 0 || nowMs - typesFetchedMs > LoopTiming.MACHINE_TYPES_INTERVAL_MS) {
          refreshTypes(term);
          typesFetchedMs = nowMs;
        }
        long requestedMs = LeaderTerm.nowMs();
        List<Scheduler.ListedMachine> listed = cloud.listMachines();
        term.scheduler.onMachineList(listed, requestedMs);
        requestPass.run();
        Thread.sleep(LoopTiming.MACHINE_LIST_INTERVAL_MS);
      } catch (IOException e) {
        LOG.info("the cloud does not answer as it should: {}", e.getMessage());
        sleep();
      } catch (InterruptedException e) {
        return;
      } catch (RuntimeException e) {
        LOG.error("cloud loop failed", e);
        Threads.backOff();
      }
    }
  }

  private void refreshTypes(LeaderTerm term) throws IOException, InterruptedException {
    Map<String, MachineType> fetchedTypes = cloud.listMachineTypes();
    boolean changed = !typesFingerprint(fetchedTypes).equals(typesFingerprint(types));
    types = fetchedTypes;
    term.scheduler.updateMachineTypes(fetchedTypes);
    requestPass.run();
    if (changed || watchCache.get(RecordCodec.TYPES) == null) {
      StoreClient.Transaction txn =
          term.transaction().put(RecordCodec.TYPES, RecordCodec.encodeTypes(fetchedTypes));
      term.checkLeadershipLost(
          store.commit(txn, RateLimiter.Urgency.INTERACTIVE, StoreClient.STORE_RATE_WAIT_MS));
    }
  }

  /** What is worth a write when it changes; prices move all the time. */
  private static String typesFingerprint(Map<String, MachineType> types) {
    StringBuilder fingerprint = new StringBuilder();
    for (MachineType type : types.values()) {
      fingerprint
          .append(type.name())
          .append(type.cpus())
          .append(type.gpus())
          .append(type.memoryGb())
          .append(type.zones());
    }
    return fingerprint.toString();
  }

  // ---- renting ----

  /** Rentals that an earlier leader left open are asked for again, under their own names. */
  void resumeProvisioning(LeaderTerm term) {
    term.records
        .entries(LeaderRecords.RecordKind.RENTAL)
        .forEach(
            (name, value) -> {
              try {
                Decision.ProvisionMachines request = RecordCodec.decodeRental(value);
                LOG.info("rental {} was left open by an earlier leader: asked again", name);
                term.scheduler.onProvisioningStarted(name, request);
                submitRental(term, name, request);
              } catch (JsonFormatException e) {
                LOG.error("rental {} cannot be read: {}", name, e.getMessage());
              }
            });
  }

  /**
   * Notes a rental under a name of its own; it is sent when that is durable, so that a successor
   * learns what came of it.
   */
  void provision(LeaderTerm term, Decision.ProvisionMachines request) {
    String name = term.nextRentalName();
    term.scheduler.onProvisioningStarted(name, request);
    term.records.put(LeaderRecords.RecordKind.RENTAL, name, RecordCodec.encodeRental(request), 0);
  }

  /** The rental is on record. */
  void onRentalPersisted(LeaderTerm term, String name, Object value) throws JsonFormatException {
    submitRental(term, name, RecordCodec.decodeRental(value));
  }

  private void submitRental(LeaderTerm term, String name, Decision.ProvisionMachines request) {
    provisionPool.execute("rental", () -> provisionUntilAnswered(term, name, request));
  }

  /** A call without an answer is repeated under the same name until it has one. */
  private void provisionUntilAnswered(
      LeaderTerm term, String name, Decision.ProvisionMachines request) {
    while (!term.ended()) {
      try {
        List<String> names = cloud.provisionMachines(name, request);
        LOG.info(
            "rental {} of {} {} in {} brings {}",
            name,
            request.count(),
            request.typeName(),
            request.zone(),
            names);
        for (String machine : names) {
          Decision.RegisterMachine e =
              new Decision.RegisterMachine(
                  machine, null, request.typeName(), request.zone(), request.spot(), true);
          term.records.putNew(
              LeaderRecords.RecordKind.MACHINE, machine, RecordCodec.encodeMachine(e));
        }
        term.scheduler.onMachinesProvisioned(name, names, request);
        break;
      } catch (CloudRejectedException e) {
        if (e.reason() == CloudRejectedException.Reason.NO_CAPACITY) {
          LOG.info(
              "no capacity for {} in {}{}",
              request.typeName(),
              request.zone(),
              request.spot() ? ", spot" : "");
        } else if (e.reason() == CloudRejectedException.Reason.MALFORMED) {
          // Repeated for ever, two of them held all threads that rent.
          LOG.error(
              "rental {} of {} {} is malformed for the cloud",
              name,
              request.count(),
              request.typeName());
        }
        if (e.reason().isPermanent()) {
          term.scheduler.onProvisioningRejected(name, request);
          break;
        }
        LOG.info("rental {}: {}", name, e.getMessage());
      } catch (IOException e) {
        LOG.info("rental {}: {}", name, e.toString());
      }
      sleep();
    }
    if (!term.ended()) {
      term.records.remove(LeaderRecords.RecordKind.RENTAL, name, LeaderRecords.DEREGISTER_DELAY_MS);
    }
  }

  private static void sleep() {
    try {
      Thread.sleep(LoopTiming.CLOUD_RETRY_BACKOFF_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  // ---- giving back ----

  void releaseMachines(LeaderTerm term, Decision.ReleaseMachines request) {
    releasePool.execute("return", () -> sendRelease(term, request));
  }

  private void sendRelease(LeaderTerm term, Decision.ReleaseMachines request) {
    if (term.ended()) {
      return;
    }
    try {
      cloud.releaseMachines(request.machineNames());
      term.scheduler.onMachinesReleased(request.machineNames());
      requestPass.run();
    } catch (IOException e) {
      LOG.info("return of {}: {}", request.machineNames(), e.toString());
      sleep();
      term.scheduler.onReleaseFailed(request.machineNames());
    }
  }
}
