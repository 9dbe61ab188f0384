package org.astershift.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.astershift.emulator.Await;
import org.astershift.emulator.Emulators;
import org.astershift.emulator.StoreEmulator;
import org.astershift.store.StoreClient.Outcome;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** What a node takes the state service's answers, and their absence, for. */
@Timeout(200)
class StoreClientTest {
  private final ThreadGroup threads = new ThreadGroup("mirror");
  private final ConcurrentLinkedQueue<String> notifications = new ConcurrentLinkedQueue<>();
  @TempDir Path dir;
  private StoreEmulator storeEmulator;
  private StoreEmulator.StoreAddress address;
  private StoreEmulator.StoreAddress otherAddress;
  private StoreClient store;
  private StoreClient otherClient;
  private WatchCache watchCache;

  @BeforeEach
  void start() throws Exception {
    storeEmulator = new StoreEmulator(0);
    address = storeEmulator.openAddress();
    otherAddress = storeEmulator.openAddress();
    store = new StoreClient(Emulators.settings(dir, address.port(), 1));
    otherClient = new StoreClient(Emulators.settings(dir, otherAddress.port(), 1));
    watchCache = new WatchCache(store);
  }

  @AfterEach
  void stop() throws Exception {
    threads.interrupt();
    address.close();
    otherAddress.close();
    storeEmulator.close();
  }

  private static String key(int i) {
    return String.format("%sj/wk-%06d", RecordCodec.LIVE_PREFIX, i);
  }

  private static long write(StoreClient by, StoreClient.Transaction txn)
      throws InterruptedException {
    Outcome o = by.commit(txn, RateLimiter.Urgency.INTERACTIVE, 10_000);
    return assertInstanceOf(Outcome.Committed.class, o).revision();
  }

  private void startWatchCache() throws InterruptedException {
    Thread t =
        new Thread(
            threads,
            () ->
                watchCache.start(
                    rows ->
                        rows.forEach(
                            r -> notifications.add(r.key() + (r.data() == null ? "-" : "+")))));
    t.start();
    t.join();
  }

  /** Only what certainly is not applied may be taken for that. */
  @Test
  void unknownOutcomeIsNotReportedAsRejected() throws Exception {
    StoreClient.Transaction txn = new StoreClient.Transaction().put(key(1), Map.of());
    storeEmulator.loseResponses(1);
    Outcome lost = store.commit(txn, RateLimiter.Urgency.INTERACTIVE, 1000);
    storeEmulator.loseResponses(0);
    assertInstanceOf(Outcome.Unknown.class, lost);
    assertTrue(storeEmulator.containsKey(key(1)), "and it is applied");
    address.rejectRequests(true);
    assertInstanceOf(
        Outcome.Rejected.class, store.commit(txn, RateLimiter.Urgency.INTERACTIVE, 1000));
    long before = store.silenceMs();
    assertThrows(IOException.class, () -> store.get(key(1)));
    assertTrue(store.silenceMs() >= before, "a refusal is no service");
    Await.until("the service to count as lost", store::isUnavailable);
    address.rejectRequests(false);
    assertNotNull(store.get(key(1)).data());
    assertTrue(!store.isUnavailable());
  }

  /** Records come and go between the first page that is read and the last. */
  @Test
  void pagesReadAtDifferentRevisionsAreMerged() throws Exception {
    int rows = StoreClient.MAX_LIST_ROWS * 3 / 2;
    for (int i = 0; i < rows; i += 100) {
      StoreClient.Transaction some = new StoreClient.Transaction();
      for (int j = i; j < i + 100; j++) {
        some.put(key(j), Map.of());
      }
      write(otherClient, some);
    }
    AtomicBoolean once = new AtomicBoolean();
    address.setObserver(
        (r, done) -> {
          if (done && r.path().equals("/store") && once.compareAndSet(false, true)) {
            write(
                otherClient,
                new StoreClient.Transaction().delete(key(3)).put(key(rows - 1), Map.of("n", 2)));
            write(otherClient, new StoreClient.Transaction().put(key(4), Map.of("n", 2)));
          }
        });
    startWatchCache();
    Await.until("the pages", watchCache::isLoaded);
    long last = write(otherClient, new StoreClient.Transaction().put(key(rows), Map.of()));
    assertTrue(watchCache.awaitRevision(last, 60_000));
    assertTrue(once.get());
    assertNull(watchCache.get(key(3)), "gone after its page was read");
    assertEquals("2", String.valueOf(watchCache.get(key(rows - 1)).data().get("n")));
    assertEquals("2", String.valueOf(watchCache.get(key(4)).data().get("n")));
    assertEquals(rows, watchCache.entriesWithPrefix(RecordCodec.LIVE_PREFIX).size());
  }

  /** A node that was cut off for so long that its watch cannot go on. */
  @Test
  void changesMissedByWatchAreReported() throws Exception {
    write(otherClient, new StoreClient.Transaction().put(key(1), Map.of()).put(key(2), Map.of()));
    startWatchCache();
    Await.until("the first reading", watchCache::isLoaded);
    address.rejectRequests(true);
    write(
        otherClient,
        new StoreClient.Transaction().put(key(9), Map.of())); // ends the watch that waits
    Await.until("the watch to be refused", store::isUnavailable);
    write(otherClient, new StoreClient.Transaction().delete(key(1)).put(key(3), Map.of()));
    storeEmulator.compact();
    notifications.clear();
    address.rejectRequests(false);
    Await.until("the second reading", () -> notifications.contains(key(3) + "+"));
    assertTrue(
        notifications.contains(key(1) + "-"),
        "what is gone is told: " + List.copyOf(notifications));
    assertNull(watchCache.get(key(1)));
    assertTrue(!notifications.contains(key(2) + "+"), "what did not change is no news");
  }

  /** Who was refused comes again a little later, and leaves the processor to the others. */
  private static void pauseBeforeRetry() {
    Object pause = new Object();
    synchronized (pause) {
      try {
        pause.wait(20);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /**
   * Users ask for more than this node may ask of the state service. The leader's lease is renewed
   * before their questions are answered: behind them it ran out, and the next leader's did, too.
   */
  @Test
  void leaseIsRenewedHoweverManyReadsWait() throws Exception {
    StoreClient narrow = new StoreClient(Emulators.settings(dir, address.port(), 1, 40));
    long lease = narrow.grantLease(60_000);
    AtomicBoolean over = new AtomicBoolean();
    AtomicInteger refused = new AtomicInteger();
    List<Thread> users = new ArrayList<>();
    for (int i = 0; i < 150; i++) {
      Thread t =
          new Thread(
              threads,
              () -> {
                while (!over.get()) {
                  try {
                    narrow.get(key(1));
                  } catch (IOException e) {
                    refused.incrementAndGet();
                    pauseBeforeRetry();
                  }
                }
              });
      users.add(t);
      t.start();
    }
    try {
      Await.until("more questions than may be asked", () -> refused.get() > 100);
      for (int i = 0; i < 5; i++) {
        assertTrue(narrow.renewLease(lease));
      }
    } finally {
      over.set(true);
    }
    for (Thread t : users) {
      t.join();
    }
  }
}
