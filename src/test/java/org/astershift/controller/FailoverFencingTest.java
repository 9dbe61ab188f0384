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

/** Fences of a term's beginning, and of what it has to note before it acts. */
@Timeout(200)
class FailoverFencingTest extends FencingTestCase {
  private static final String MACHINE_NAME = "vm-000007";

  private static Object machine(String name, boolean fresh) {
    return RecordCodec.encodeMachine(
        new Decision.RegisterMachine(name, "127.0.0.1:1", "small", "a", false, fresh));
  }

  /** Opened jobs, machines that may hold their tasks, and done tasks come from the notes. */
  @Test
  void termLoadsRecordsOfEarlierTerm() throws Exception {
    BitSet done = new BitSet();
    done.set(0);
    // Of two tasks one is left: of a job that is complete nothing is told from memory any more.
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
    boolean confirmable = term.scheduler.call(scheduler -> scheduler.canConfirmCancellation(ID));
    assertFalse(confirmable, "a machine that may hold it is unheard");
  }

  /** A job comes after the jobs were read, and before news is told to the new term. */
  @Test
  void jobRecordedWhileTermLoadsIsAdopted() throws Exception {
    AtomicBoolean once = new AtomicBoolean();
    controller.afterPrefixRead =
        prefix -> {
          if (prefix.equals(RecordCodec.LIVE_JOB_PREFIX) && once.compareAndSet(false, true)) {
            try {
              write(new StoreClient.Transaction().put(JOB_KEY, jobRecord()));
              Await.until("the job", () -> controller.watchCache.get(JOB_KEY) != null);
              // The next news is applied after the listeners were told of this.
              write(new StoreClient.Transaction().put(RecordCodec.LIVE_PREFIX + "x", Map.of()));
              Await.until(
                  "the next news",
                  () -> controller.watchCache.get(RecordCodec.LIVE_PREFIX + "x") != null);
            } catch (Exception e) {
              throw new IllegalStateException(e);
            }
          }
        };
    controller.start();
    LeaderTerm term = controller.awaitLeadership();
    assertTrue(once.get());
    Await.until("the job to be kept", () -> term.manages(ID));
  }

  /** It is told of a later leader while it still takes in what there is. */
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
        controller.runtime.currentTerm().token > overToken.get(), "the one that was over leads");
  }

  /** Its own key, left by the process before it, is removed; one that is not the same stays. */
  @Test
  void onlyOwnStaleLeaderKeyIsRemoved() throws Exception {
    write(
        new StoreClient.Transaction().put(RecordCodec.LEADER_KEY, RecordCodec.encodeLeader("one")));
    AtomicBoolean once = new AtomicBoolean();
    AtomicBoolean answered = new AtomicBoolean();
    storeAddress.setObserver(
        (r, done) -> {
          boolean removal = requestContains(r, "\"remove\":\"" + RecordCodec.LEADER_KEY);
          if (!done && removal && once.compareAndSet(false, true)) {
            recordOtherLeader();
          } else if (done && removal) {
            answered.set(true);
          }
        });
    controller.start();
    Await.until("the removal to be answered", answered::get);
    Await.until("the leader to be known", () -> "another".equals(controller.runtime.otherLeader()));
    assertEquals("another", read(RecordCodec.LEADER_KEY).data().get("node"));
    assertEquals(0, controller.runtime.token());
  }

  /** A claim without an answer was carried out: its key stands, so it leads with that. */
  @Test
  void unansweredClaimWhoseKeyExistsLeads() throws Exception {
    AtomicInteger claims = new AtomicInteger();
    AtomicInteger revoked = new AtomicInteger();
    storeAddress.setObserver(
        (r, done) -> {
          if (!done && requestContains(r, "\"set\":\"" + RecordCodec.LEADER_KEY)) {
            storeEmulator.loseResponses(claims.incrementAndGet() == 1 ? 1 : 0);
          }
          revoked.addAndGet(!done && r.method().equals("DELETE") ? 1 : 0);
        });
    controller.start();
    LeaderTerm term = controller.awaitLeadership();
    storeEmulator.loseResponses(0);
    assertEquals(read(RecordCodec.LEADER_KEY).revision(), term.token);
    assertEquals("1 claims, 0 ended", claims + " claims, " + revoked + " ended");
  }

  /** It was not, or its key is gone: the lease is ended, so that it stands for nobody later. */
  @Test
  void unansweredClaimWhoseKeyIsMissingIsRevoked() throws Exception {
    AtomicInteger claims = new AtomicInteger();
    AtomicInteger revoked = new AtomicInteger();
    storeAddress.setObserver(
        (r, done) -> {
          if (requestContains(r, "\"set\":\"" + RecordCodec.LEADER_KEY)) {
            if (!done) {
              storeEmulator.loseResponses(claims.incrementAndGet() == 1 ? 1 : 0);
            } else if (claims.get() == 1) {
              storeEmulator.loseResponses(0);
              write(new StoreClient.Transaction().delete(RecordCodec.LEADER_KEY));
            }
          }
          revoked.addAndGet(!done && r.method().equals("DELETE") ? 1 : 0);
        });
    controller.start();
    Await.until("the lease of the lost claim to be ended", () -> revoked.get() > 0);
    controller.awaitLeadership();
  }

  /** The key is recorded while this node's mirror hangs: it does not lead before it has read it. */
  @Test
  void winnerCatchesUpToItsTokenBeforeLeading() throws Exception {
    AtomicBoolean hangs = new AtomicBoolean();
    AtomicLong won = new AtomicLong();
    storeAddress.setObserver(
        (r, done) -> {
          if (!done
              && won.get() == 0
              && requestContains(r, "\"set\":\"" + RecordCodec.LEADER_KEY)) {
            hangs.set(true);
            write(new StoreClient.Transaction().put(JOB_KEY, jobRecord()));
          } else if (done
              && won.get() == 0
              && requestContains(r, "\"set\":\"" + RecordCodec.LEADER_KEY)) {
            won.set(read(RecordCodec.LEADER_KEY).revision());
          }
          if (done && r.path().equals("/watch")) {
            Await.until("the mirror to go on", () -> !hangs.get());
          }
        });
    controller.start();
    Await.until("the key", () -> won.get() > 0);
    LeaderTerm[] early = new LeaderTerm[1];
    Await.until(
        "it to give up or to lead",
        () -> {
          early[0] = controller.runtime.currentTerm();
          return early[0] != null || read(RecordCodec.LEADER_KEY).data() == null;
        });
    assertEquals(null, early[0], "it leads and has not read the jobs");
    hangs.set(false);
    assertTrue(controller.awaitLeadership().token > won.get());
    assertTrue(controller.runtime.currentTerm().manages(ID));
  }

  /** Only what is on record is rented, so that a successor asks for it under the same name. */
  @Test
  void nothingIsProvisionedBeforeItsRecordIsDurable() throws Exception {
    AtomicInteger tries = new AtomicInteger();
    AtomicBoolean refuses = new AtomicBoolean(true);
    storeAddress.setObserver(
        (r, done) -> {
          if (!done
              && requestContains(r, "\"" + RecordCodec.LEADER_PAGE_PREFIX + "i")
              && refuses.get()) {
            tries.incrementAndGet();
            throw new IllegalStateException("refused");
          }
        });
    controller.start();
    controller.awaitLeadership();
    submitJob();
    Await.until("the note of a rental to be refused", () -> tries.get() >= 5);
    assertEquals(List.of(), cloud.workersEverProvisioned());
    refuses.set(false);
    Await.until("a machine", () -> !cloud.workersEverProvisioned().isEmpty());
  }

  /** A machine is on record with tasks before the answer to its rental comes. */
  @Test
  void machineRecordedBeforeProvisioningResponseIsNotNew() throws Exception {
    controller.start();
    LeaderTerm term = controller.awaitLeadership();
    cloud.setProvisionListener(
        m -> term.records.put(LeaderRecords.RecordKind.MACHINE, m, machine(m, false), 0));
    submitJob();
    Await.until(
        "the rental to be settled",
        () -> {
          boolean rented = !cloud.workersEverProvisioned().isEmpty();
          return rented && term.records.entries(LeaderRecords.RecordKind.RENTAL).isEmpty();
        });
    Map<String, Object> machines = term.records.entries(LeaderRecords.RecordKind.MACHINE);
    assertFalse(machines.isEmpty());
    for (Map.Entry<String, Object> m : machines.entrySet()) {
      assertFalse(
          RecordCodec.decodeMachine(m.getKey(), m.getValue()).newlyProvisioned(), m.getKey());
    }
  }
}
