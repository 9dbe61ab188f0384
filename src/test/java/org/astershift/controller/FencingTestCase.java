package org.astershift.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.astershift.emulator.Await;
import org.astershift.emulator.CloudEmulator;
import org.astershift.emulator.Emulators;
import org.astershift.emulator.PortBlock;
import org.astershift.emulator.StoreEmulator;
import org.astershift.emulator.WorkerEmulator;
import org.astershift.http.HttpServer;
import org.astershift.scheduler.JobSpec;
import org.astershift.scheduler.Priority;
import org.astershift.simulation.JobDraft;
import org.astershift.store.RateLimiter;
import org.astershift.store.RecordCodec;
import org.astershift.store.StoreClient;
import org.astershift.store.StoreClient.Outcome;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/**
 * Base class of tests with one controller in this process and a second client of the store, which
 * acts as another node between two steps of the controller.
 */
abstract class FencingTestCase {
  static final String ID = "wk-000001";
  static final String JOB_KEY = RecordCodec.LIVE_JOB_PREFIX + ID;
  static final String END_KEY = RecordCodec.ENDED_JOB_PREFIX + ID;
  @TempDir Path dir;
  StoreEmulator storeEmulator;
  StoreEmulator.StoreAddress storeAddress;
  StoreEmulator.StoreAddress otherStoreAddress;
  CloudEmulator cloud;
  PortBlock portBlock;
  SingleController controller;
  StoreClient otherClient;

  @BeforeEach
  void start() throws Exception {
    storeEmulator = new StoreEmulator(0);
    storeEmulator.delayLeaseExpiry(60_000);
    storeAddress = storeEmulator.openAddress();
    otherStoreAddress = storeEmulator.openAddress();
    portBlock = PortBlock.acquire();
    cloud = new CloudEmulator(0, portBlock.ports(1), 0); // nobody listens there unless a test does
    controller = new SingleController(dir, storeAddress, cloud);
    otherClient = new StoreClient(Emulators.settings(dir, otherStoreAddress.port(), cloud.port()));
  }

  @AfterEach
  void stop() throws Exception {
    controller.close();
    cloud.close();
    storeAddress.close();
    otherStoreAddress.close();
    storeEmulator.close();
    portBlock.close();
  }

  static JobSpec job() {
    return job(1);
  }

  static JobSpec job(int tasks) {
    return job(ID, tasks);
  }

  static JobSpec job(String id, int tasks) {
    return JobDraft.array(id, tasks)
        .forTeam("demo")
        .classAndPriority("c", Priority.LOW)
        .estimate(1)
        .spec();
  }

  static Map<String, Object> jobRecord() {
    return jobRecord(job());
  }

  static Map<String, Object> jobRecord(JobSpec job) {
    return RecordCodec.encodeJob(new RecordCodec.JobRecord(job, System.currentTimeMillis()));
  }

  /** Reads a row from the store; retries until a read succeeds, however busy the machine is. */
  StoreClient.Entry read(String key) throws Exception {
    StoreClient.Entry[] row = new StoreClient.Entry[1];
    Await.until(
        "a read of " + key,
        () -> {
          try {
            row[0] = otherClient.get(key);
          } catch (IOException e) {
            return false;
          }
          return true;
        });
    return row[0];
  }

  Outcome write(StoreClient.Transaction transaction) throws InterruptedException {
    return otherClient.commit(transaction, RateLimiter.Urgency.INTERACTIVE, 10_000);
  }

  void submitJob() throws Exception {
    assertEquals(201, controller.jobService.submit(job()).status());
  }

  void cancelJob(String id) throws Exception {
    Await.until(
        "the job to be cancelled", () -> controller.jobService.cancel(id, true).status() == 200);
  }

  /** Returns all starts of tasks so far, machine by machine. */
  List<WorkerEmulator.Start> starts() {
    return cloud.workersEverProvisioned().stream()
        .flatMap(worker -> worker.starts().stream())
        .toList();
  }

  void endJobElsewhere(boolean cancelled) throws InterruptedException {
    RecordCodec.JobEnd end = new RecordCodec.JobEnd(cancelled, 1);
    StoreClient.Transaction transaction =
        new StoreClient.Transaction().delete(JOB_KEY).put(END_KEY, RecordCodec.encodeJobEnd(end));
    assertTrue(write(transaction) instanceof Outcome.Committed);
  }

  /** Records another node as leader, as is possible once the lease has expired. */
  void recordOtherLeader() throws InterruptedException {
    StoreClient.Transaction transaction = new StoreClient.Transaction();
    transaction
        .delete(RecordCodec.LEADER_KEY)
        .put(RecordCodec.LEADER_KEY, RecordCodec.encodeLeader("another"));
    assertTrue(write(transaction) instanceof Outcome.Committed);
  }

  static boolean requestContains(HttpServer.Request request, String part) {
    return (request.path() + new String(request.body(), StandardCharsets.UTF_8)).contains(part);
  }
}
