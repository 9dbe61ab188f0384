package org.astershift.controller;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.astershift.cloud.CloudClient;
import org.astershift.http.JsonFormatException;
import org.astershift.http.Threads;
import org.astershift.scheduler.ListedMachine;
import org.astershift.scheduler.MachineType;
import org.astershift.store.RateLimiter;
import org.astershift.store.RecordCodec;
import org.astershift.store.StoreClient;
import org.astershift.store.WatchCache;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Polls the cloud for its machine list and machine types, for the leader's scheduler. */
final class CloudPoller {
  private static final Logger LOG = LoggerFactory.getLogger(CloudPoller.class);

  private final CloudClient cloud;
  private final StoreClient store;
  private final WatchCache watchCache;
  private final Runnable requestPass;
  private volatile Map<String, MachineType> machineTypes = Map.of();

  CloudPoller(CloudClient cloud, StoreClient store, WatchCache watchCache, Runnable requestPass) {
    this.cloud = cloud;
    this.store = store;
    this.watchCache = watchCache;
    this.requestPass = requestPass;
  }

  /**
   * Returns the machine types by name; empty until they were read from the cloud or the store.
   * Callable from any thread.
   */
  Map<String, MachineType> machineTypes() {
    return machineTypes;
  }

  /**
   * Sets the machine types from the leader's record, so that a controller that starts while the
   * cloud is unavailable knows the types.
   */
  void onTypesRecord(Map<String, Object> value) {
    try {
      machineTypes = RecordCodec.decodeMachineTypes(value);
    } catch (JsonFormatException e) {
      LOG.error("machine types record cannot be decoded: {}", e.getMessage());
    }
  }

  /** Polls machines and machine types until the term ends or the thread is interrupted. */
  void pollLoop(LeaderTerm term) {
    long typesFetchedMs = 0;
    while (CloudBackoff.shouldContinue(term)) {
      try {
        long nowMs = LeaderTerm.nowMs();
        if (typesFetchedMs == 0 || nowMs - typesFetchedMs > LoopTiming.MACHINE_TYPES_INTERVAL_MS) {
          refreshTypes(term);
          typesFetchedMs = nowMs;
        }
        refreshMachines(term);
        Thread.sleep(LoopTiming.MACHINE_LIST_INTERVAL_MS);
      } catch (IOException e) {
        LOG.info("cloud call failed; will retry: token={}: {}", term.token, e.getMessage());
        CloudBackoff.sleep();
      } catch (InterruptedException e) {
        return;
      } catch (RuntimeException e) {
        LOG.error("cloud poll failed; will retry: token={}", term.token, e);
        Threads.backOff();
      }
    }
  }

  private void refreshMachines(LeaderTerm term) throws IOException {
    long requestedMs = LeaderTerm.nowMs();
    List<ListedMachine> listed = cloud.listMachines();
    term.scheduler.onMachineList(listed, requestedMs);
    requestPass.run();
  }

  private void refreshTypes(LeaderTerm term) throws IOException, InterruptedException {
    Map<String, MachineType> fetchedTypes = cloud.listMachineTypes();
    boolean changed = !fingerprint(fetchedTypes).equals(fingerprint(machineTypes));
    machineTypes = fetchedTypes;
    term.scheduler.updateMachineTypes(fetchedTypes);
    requestPass.run();
    if (changed || watchCache.get(RecordCodec.MACHINE_TYPES_KEY) == null) {
      StoreClient.Transaction txn =
          term.newFencedTransaction()
              .put(RecordCodec.MACHINE_TYPES_KEY, RecordCodec.encodeMachineTypes(fetchedTypes));
      term.stepDownIfLeadershipLost(
          store.commit(txn, RateLimiter.Urgency.INTERACTIVE, StoreClient.STORE_RATE_WAIT_MS));
    }
  }

  /**
   * Returns the attributes whose changes are written to the store. Prices are omitted, since they
   * change constantly.
   */
  private static String fingerprint(Map<String, MachineType> types) {
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
}
