package org.astershift.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import org.astershift.core.JobSpec;
import org.astershift.core.Priority;
import org.astershift.http.HttpServer;
import org.astershift.standin.Await;
import org.astershift.standin.PortBlock;
import org.astershift.standin.StandInCloud;
import org.astershift.standin.StandInStore;
import org.astershift.standin.StandIns;
import org.astershift.store.RateBudget;
import org.astershift.store.Records;
import org.astershift.store.StoreClient;
import org.astershift.store.StoreClient.Outcome;
import org.astershift.world.JobDraft;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/**
 * One node in this process, and another client of the state service that acts in its place between
 * two of its steps.
 */
abstract class FenceCase {
  static final String ID = "wk-000001";
  static final String LIVE = Records.JOB + ID;
  static final String OVER = Records.ENDED + ID;
  @TempDir Path dir;
  StandInStore service;
  StandInStore.Door door;
  StandInStore.Door otherDoor;
  StandInCloud cloud;
  PortBlock ports;
  OneNode node;
  StoreClient other;

  @BeforeEach
  void start() throws Exception {
    service = new StandInStore(0);
    service.leasesEndLate(60_000);
    door = service.door();
    otherDoor = service.door();
    ports = PortBlock.take();
    cloud = new StandInCloud(0, ports.ports(1), 0); // where nobody listens unless a test says so
    node = new OneNode(dir, door, cloud);
    other = new StoreClient(StandIns.settings(dir, otherDoor.port(), cloud.port()));
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
    return JobDraft.array(ID, tasks).of("demo").in("c", Priority.LOW).estimate(1).spec();
  }

  static Map<String, Object> record() {
    return record(job());
  }

  static Map<String, Object> record(JobSpec job) {
    return Records.job(new Records.JobRecord(job, System.currentTimeMillis()));
  }

  /** A row as it is on record, however busy the machine. */
  StoreClient.Row read(String key) throws Exception {
    StoreClient.Row[] row = new StoreClient.Row[1];
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

  Outcome write(StoreClient.Txn txn) throws InterruptedException {
    return other.commit(txn, RateBudget.Use.URGENT, 10_000);
  }

  void accept() throws Exception {
    assertEquals(201, node.desk.submit(job()).status());
  }

  void endElsewhere(boolean cancelled) throws InterruptedException {
    Records.Ended end = new Records.Ended(cancelled, 1);
    StoreClient.Txn txn = new StoreClient.Txn().delete(LIVE).put(OVER, Records.ended(end));
    assertTrue(write(txn) instanceof Outcome.Applied);
  }

  /** Another node is recorded as leader, as it may be as soon as the lease is over. */
  void anotherLeads() throws InterruptedException {
    StoreClient.Txn txn = new StoreClient.Txn();
    txn.delete(Records.LEADER).put(Records.LEADER, Records.leader("another"));
    assertTrue(write(txn) instanceof Outcome.Applied);
  }

  static boolean says(HttpServer.Request r, String part) {
    return (r.path() + new String(r.body(), StandardCharsets.UTF_8)).contains(part);
  }
}
