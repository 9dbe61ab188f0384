package org.astershift.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.astershift.emulator.Await;
import org.astershift.scheduler.Decision;
import org.astershift.store.RecordCodec;
import org.astershift.store.StoreClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Fencing at the start of a term, and of actions that need a durable record first. */
@Timeout(200)
class FailoverFencingTest extends FencingTestCase {
  private static final String MACHINE_NAME = "vm-000007";

  private static Object machine(String name, boolean fresh) {
    return RecordCodec.encodeMachine(
        new Decision.RegisterMachine(name, "127.0.0.1:1", "small", "a", false, fresh));
  }

  /**
   * A new term loads opened jobs, machines that may hold their tasks, and completed tasks from the
   * records of earlier terms.
   */
  @Test
  void termLoadsRecordsOfEarlierTerm() throws Exception {
    BitSet done = new BitSet();
    done.set(0);
    // One of two tasks is left: progress of a job that is complete is not reported from memory.
    StoreClient.Transaction records = new StoreClient.Transaction().put(JOB_KEY, jobRecord(job(2)));
    records.put(
        RecordCodec.LEADER_PAGE_PREFIX + "o0", Map.of(ID, RecordCodec.encodePlacement(List.of())));
    records.put(
        RecordCodec.LEADER_PAGE_PREFIX + "m0", Map.of(MACHINE_NAME, machine(MACHINE_NAME, false)));
    records.put(
        RecordCodec.LEADER_PAGE_PREFIX + "p0",
        Map.of(RecordCodec.progressKey(ID, 0), RecordCodec.encodeSegment(done, 0)));
    write(records);
    controller.start();
    LeaderTerm term = controller.awaitLeadership();
    assertEquals(1, term.progressIfCurrent(ID).doneTasks());
    boolean confirmable =
        term.scheduler.callLocked(scheduler -> scheduler.canConfirmCancellation(ID));
    assertFalse(confirmable, "a machine that may hold its tasks has sent no heartbeat");
  }

  /**
   * A job is recorded after the term has read the jobs and before changes are reported to the term.
   */
  @Test
  void jobRecordedWhileTermLoadsIsAdopted() throws Exception {
    AtomicBoolean once = new AtomicBoolean();
    controller.afterPrefixRead =
        prefix -> {
          if (prefix.equals(RecordCodec.LIVE_JOB_PREFIX) && once.compareAndSet(false, true)) {
            try {
              write(new StoreClient.Transaction().put(JOB_KEY, jobRecord()));
              Await.until(
                  "the job in the watch cache", () -> controller.watchCache.get(JOB_KEY) != null);
              // The next change is applied only after the listeners were notified of the job.
              write(new StoreClient.Transaction().put(RecordCodec.LIVE_PREFIX + "x", Map.of()));
              Await.until(
                  "the next change in the watch cache",
                  () -> controller.watchCache.get(RecordCodec.LIVE_PREFIX + "x") != null);
            } catch (Exception e) {
              throw new IllegalStateException(e);
            }
          }
        };
    controller.start();
    LeaderTerm term = controller.awaitLeadership();
    assertTrue(once.get());
    Await.until("the job to be managed by the term", () -> term.manages(ID));
  }

  /** The node learns of a later leader while its term is still loading records. */
  @Test
  void termEndedBeforeItsStartDoesNotStart() throws Exception {
    storeEmulator.delayLeaseExpiry(0);
    AtomicLong overToken = new AtomicLong();
    controller.afterPrefixRead =
        prefix -> {
          if (prefix.equals(RecordCodec.LIVE_JOB_PREFIX) && overToken.get() == 0) {
            overToken.set(controller.watchCache.get(RecordCodec.LEADER_KEY).revision());
            controller.runtime.onLeaderObserved(Long.MAX_VALUE);
          }
        };
    controller.start();
    Await.until("a term", () -> controller.runtime.currentTerm() != null);
    assertNotEquals(0, overToken.get());
    assertTrue(
        controller.runtime.currentTerm().token > overToken.get(),
        "the node leads with a term that had ended");
  }

  /**
   * A node removes the leader key that its previous process left, but not a key that was replaced
   * meanwhile.
   */
  @Test
  void onlyOwnStaleLeaderKeyIsRemoved() throws Exception {
    write(
        new StoreClient.Transaction().put(RecordCodec.LEADER_KEY, RecordCodec.encodeLeader("one")));
    AtomicBoolean once = new AtomicBoolean();
    AtomicBoolean answered = new AtomicBoolean();
    storeAddress.setObserver(
        (request, executed) -> {
          boolean removal = requestContains(request, "\"remove\":\"" + RecordCodec.LEADER_KEY);
          if (!executed && removal && once.compareAndSet(false, true)) {
            recordOtherLeader();
          } else if (executed && removal) {
            answered.set(true);
          }
        });
    controller.start();
    Await.until("the removal to be answered", answered::get);
    Await.until(
        "the leader to be known", () -> "another".equals(controller.runtime.remoteLeader()));
    assertEquals("another", read(RecordCodec.LEADER_KEY).data().get("node"));
    assertEquals(0, controller.runtime.token());
  }

  /**
   * A claim that got no response was executed: its key exists, so the node leads with its token.
   */
  @Test
  void unansweredClaimWhoseKeyExistsLeads() throws Exception {
    AtomicInteger claims = new AtomicInteger();
    AtomicInteger revoked = new AtomicInteger();
    storeAddress.setObserver(
        (request, executed) -> {
          if (!executed && requestContains(request, "\"set\":\"" + RecordCodec.LEADER_KEY)) {
            storeEmulator.loseResponses(claims.incrementAndGet() == 1 ? 1 : 0);
          }
          revoked.addAndGet(!executed && request.method().equals("DELETE") ? 1 : 0);
        });
    controller.start();
    LeaderTerm term = controller.awaitLeadership();
    storeEmulator.loseResponses(0);
    assertEquals(read(RecordCodec.LEADER_KEY).revision(), term.token);
    assertEquals("1 claims, 0 ended", claims + " claims, " + revoked + " ended");
  }

  /**
   * A claim that got no response was not executed, or its key is gone: the node revokes the lease,
   * so that the claim cannot make anybody leader later.
   */
  @Test
  void unansweredClaimWhoseKeyIsMissingIsRevoked() throws Exception {
    AtomicInteger claims = new AtomicInteger();
    AtomicInteger revoked = new AtomicInteger();
    storeAddress.setObserver(
        (request, executed) -> {
          if (requestContains(request, "\"set\":\"" + RecordCodec.LEADER_KEY)) {
            if (!executed) {
              storeEmulator.loseResponses(claims.incrementAndGet() == 1 ? 1 : 0);
            } else if (claims.get() == 1) {
              storeEmulator.loseResponses(0);
              write(new StoreClient.Transaction().delete(RecordCodec.LEADER_KEY));
            }
          }
          revoked.addAndGet(!executed && request.method().equals("DELETE") ? 1 : 0);
        });
    controller.start();
    Await.until("the lease of the unanswered claim to be revoked", () -> revoked.get() > 0);
    controller.awaitLeadership();
  }

  /**
   * The leader key is recorded while the watch cache of the node hangs: the node does not lead
   * before the cache has reached the key.
   */
  @Test
  void winnerCatchesUpToItsTokenBeforeLeading() throws Exception {
    AtomicBoolean watchHangs = new AtomicBoolean();
    AtomicLong keyRevision = new AtomicLong();
    storeAddress.setObserver(
        (request, executed) -> {
          if (!executed
              && keyRevision.get() == 0
              && requestContains(request, "\"set\":\"" + RecordCodec.LEADER_KEY)) {
            watchHangs.set(true);
            write(new StoreClient.Transaction().put(JOB_KEY, jobRecord()));
          } else if (executed
              && keyRevision.get() == 0
              && requestContains(request, "\"set\":\"" + RecordCodec.LEADER_KEY)) {
            keyRevision.set(read(RecordCodec.LEADER_KEY).revision());
          }
          if (executed && request.path().equals("/watch")) {
            Await.until("the watch to be answered again", () -> !watchHangs.get());
          }
        });
    controller.start();
    Await.until("the leader key to be recorded", () -> keyRevision.get() > 0);
    LeaderTerm[] currentTerm = new LeaderTerm[1];
    Await.until(
        "the node to give up the claim or to lead",
        () -> {
          currentTerm[0] = controller.runtime.currentTerm();
          return currentTerm[0] != null || read(RecordCodec.LEADER_KEY).data() == null;
        });
    assertEquals(null, currentTerm[0], "the node leads without having read the jobs");
    watchHangs.set(false);
    assertTrue(controller.awaitLeadership().token > keyRevision.get());
    assertTrue(controller.runtime.currentTerm().manages(ID));
  }

  /**
   * A machine is provisioned only once the request is durable, so that a successor repeats it under
   * the same id.
   */
  @Test
  void nothingIsProvisionedBeforeItsRecordIsDurable() throws Exception {
    AtomicInteger tries = new AtomicInteger();
    AtomicBoolean rejecting = new AtomicBoolean(true);
    storeAddress.setObserver(
        (request, executed) -> {
          if (!executed
              && requestContains(request, "\"" + RecordCodec.LEADER_PAGE_PREFIX + "i")
              && rejecting.get()) {
            tries.incrementAndGet();
            throw new IllegalStateException("rejected by the test");
          }
        });
    controller.start();
    controller.awaitLeadership();
    submitJob();
    Await.until("writes of the provisioning record to be rejected", () -> tries.get() >= 5);
    assertEquals(List.of(), cloud.workersEverProvisioned());
    rejecting.set(false);
    Await.until("a machine to be provisioned", () -> !cloud.workersEverProvisioned().isEmpty());
  }

  /** A machine is recorded with tasks before the response to its provisioning request arrives. */
  @Test
  void machineRecordedBeforeProvisioningResponseIsNotNew() throws Exception {
    controller.start();
    LeaderTerm term = controller.awaitLeadership();
    cloud.setProvisionListener(
        name -> term.records.put(LeaderRecords.RecordKind.MACHINE, name, machine(name, false), 0));
    submitJob();
    Await.until(
        "the provisioning request to be completed",
        () -> {
          boolean provisioned = !cloud.workersEverProvisioned().isEmpty();
          return provisioned && term.records.entries(LeaderRecords.RecordKind.RENTAL).isEmpty();
        });
    Map<String, Object> machines = term.records.entries(LeaderRecords.RecordKind.MACHINE);
    assertFalse(machines.isEmpty());
    for (Map.Entry<String, Object> machine : machines.entrySet()) {
      assertFalse(
          RecordCodec.decodeMachine(machine.getKey(), machine.getValue()).newlyProvisioned(),
          machine.getKey());
    }
  }
}
