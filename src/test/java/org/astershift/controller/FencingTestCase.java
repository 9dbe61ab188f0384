package org.astershift.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import org.astershift.emulator.Await;
import org.astershift.emulator.CloudEmulator;
import org.astershift.emulator.Emulators;
import org.astershift.emulator.PortBlock;
import org.astershift.emulator.StoreEmulator;
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
 * One node in this process, and another client of the state service that acts in its place between
 * two of its steps.
 */
abstract class FencingTestCase {
  static final String ID = "wk-000001";
  static final String LIVE = RecordCodec.LIVE_JOB_PREFIX + ID;
  static final String OVER = RecordCodec.ENDED_JOB_PREFIX + ID;
  @TempDir Path dir;
  StoreEmulator service;
  StoreEmulator.StoreAddress door;
  StoreEmulator.StoreAddress otherDoor;
  CloudEmulator cloud;
  PortBlock ports;
  SingleController node;
  StoreClient other;

  @BeforeEach
  void start() throws Exception {
    service = new StoreEmulator(0);
    service.leasesEndLate(60_000);
    door = service.door();
    otherDoor = service.door();
    ports = PortBlock.take();
    cloud = new CloudEmulator(0, ports.ports(1), 0); // where nobody listens unless a test says so
    node = new SingleController(dir, door, cloud);
    other = new StoreClient(Emulators.settings(dir, otherDoor.port(), cloud.port()));
  }

  @AfterEach
  void stop() throws Exception {
    node.close();
    cloud.close();
    door.close();
    otherDoor.close();
    service.close();
    ports.close();
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

  static Map<String, Object> record() {
    return record(job());
  }

  static Map<String, Object> record(JobSpec job) {
    return RecordCodec.encodeJob(new RecordCodec.JobRecord(job, System.currentTimeMillis()));
  }

  /** A row as it is on record, however busy the machine. */
  StoreClient.Entry read(String key) throws Exception {
    StoreClient.Entry[] row = new StoreClient.Entry[1];
    Await.until(
        "a read of " + key,
        () -> {
          try {
            row[0] = other.get(key);
          } catch (IOException e) {
            return false;
          }
          return true;
        });
    return row[0];
  }

  Outcome write(StoreClient.Transaction txn) throws InterruptedException {
    return other.commit(txn, RateLimiter.Urgency.INTERACTIVE, 10_000);
  }

  void accept() throws Exception {
    assertEquals(201, node.jobService.submit(job()).status());
  }

  void endElsewhere(boolean cancelled) throws InterruptedException {
    RecordCodec.JobEnd end = new RecordCodec.JobEnd(cancelled, 1);
    StoreClient.Transaction txn =
        new StoreClient.Transaction().delete(LIVE).put(OVER, RecordCodec.encodeJobEnd(end));
    assertTrue(write(txn) instanceof Outcome.Committed);
  }

  /** Another node is recorded as leader, as it may be as soon as the lease is over. */
  void anotherLeads() throws InterruptedException {
    StoreClient.Transaction txn = new StoreClient.Transaction();
    txn.delete(RecordCodec.LEADER_KEY)
        .put(RecordCodec.LEADER_KEY, RecordCodec.encodeLeader("another"));
    assertTrue(write(txn) instanceof Outcome.Committed);
  }

  static boolean says(HttpServer.Request r, String part) {
    return (r.path() + new String(r.body(), StandardCharsets.UTF_8)).contains(part);
  }
}
