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

/** What a node concludes from responses of the store, and from their absence. */
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

  private static long write(StoreClient client, StoreClient.Transaction transaction)
      throws InterruptedException {
    Outcome outcome = client.commit(transaction, RateLimiter.Urgency.INTERACTIVE, 10_000);
    return assertInstanceOf(Outcome.Committed.class, outcome).revision();
  }

  private void startWatchCache() throws InterruptedException {
    Thread starter =
        new Thread(
            threads,
            () ->
                watchCache.start(
                    rows ->
                        rows.forEach(
                            row ->
                                notifications.add(row.key() + (row.data() == null ? "-" : "+")))));
    starter.start();
    starter.join();
  }

  /** A transaction counts as rejected only if it certainly is not applied. */
  @Test
  void unknownOutcomeIsNotReportedAsRejected() throws Exception {
    StoreClient.Transaction transaction = new StoreClient.Transaction().put(key(1), Map.of());
    storeEmulator.loseResponses(1);
    Outcome lost = store.commit(transaction, RateLimiter.Urgency.INTERACTIVE, 1000);
    storeEmulator.loseResponses(0);
    assertInstanceOf(Outcome.Unknown.class, lost);
    assertTrue(storeEmulator.containsKey(key(1)), "the transaction was committed");
    address.rejectRequests(true);
    assertInstanceOf(
        Outcome.Rejected.class, store.commit(transaction, RateLimiter.Urgency.INTERACTIVE, 1000));
    long before = store.silenceMs();
    assertThrows(IOException.class, () -> store.get(key(1)));
    assertTrue(store.silenceMs() >= before, "a rejection does not count as a response");
    Await.until("the store to count as unavailable", store::isUnavailable);
    address.rejectRequests(false);
    assertNotNull(store.get(key(1)).data());
    assertTrue(!store.isUnavailable());
  }

  /** Rows are written and deleted between the read of the first page and that of the last. */
  @Test
  void pagesReadAtDifferentRevisionsAreMerged() throws Exception {
    int rows = StoreClient.MAX_LIST_ROWS * 3 / 2;
    for (int i = 0; i < rows; i += 100) {
      StoreClient.Transaction transaction = new StoreClient.Transaction();
      for (int j = i; j < i + 100; j++) {
        transaction.put(key(j), Map.of());
      }
      write(otherClient, transaction);
    }
    AtomicBoolean once = new AtomicBoolean();
    address.setObserver(
        (request, executed) -> {
          if (executed && request.path().equals("/store") && once.compareAndSet(false, true)) {
            write(
                otherClient,
                new StoreClient.Transaction().delete(key(3)).put(key(rows - 1), Map.of("n", 2)));
            write(otherClient, new StoreClient.Transaction().put(key(4), Map.of("n", 2)));
          }
        });
    startWatchCache();
    Await.until("all pages to be loaded", watchCache::isLoaded);
    long last = write(otherClient, new StoreClient.Transaction().put(key(rows), Map.of()));
    assertTrue(watchCache.awaitRevision(last, 60_000));
    assertTrue(once.get());
    assertNull(watchCache.get(key(3)), "deleted after its page was read");
    assertEquals("2", String.valueOf(watchCache.get(key(rows - 1)).data().get("n")));
    assertEquals("2", String.valueOf(watchCache.get(key(4)).data().get("n")));
    assertEquals(rows, watchCache.entriesWithPrefix(RecordCodec.LIVE_PREFIX).size());
  }

  /** A node was partitioned from the store for so long that its watch cannot resume. */
  @Test
  void changesMissedByWatchAreReported() throws Exception {
    write(otherClient, new StoreClient.Transaction().put(key(1), Map.of()).put(key(2), Map.of()));
    startWatchCache();
    Await.until("the first load", watchCache::isLoaded);
    address.rejectRequests(true);
    write(
        otherClient, new StoreClient.Transaction().put(key(9), Map.of())); // ends the pending watch
    Await.until("the watch to be rejected", store::isUnavailable);
    write(otherClient, new StoreClient.Transaction().delete(key(1)).put(key(3), Map.of()));
    storeEmulator.compact();
    notifications.clear();
    address.rejectRequests(false);
    Await.until("the second load", () -> notifications.contains(key(3) + "+"));
    assertTrue(
        notifications.contains(key(1) + "-"),
        "a deleted row is reported: " + List.copyOf(notifications));
    assertNull(watchCache.get(key(1)));
    assertTrue(!notifications.contains(key(2) + "+"), "an unchanged row is not reported");
  }

  /** Pauses before a rejected read is repeated, which leaves the processor to the other threads. */
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
   * Users cause more reads than this node may send to the store. The lease of the leader is renewed
   * before their reads: queued behind them it expired, and so did that of the next leader.
   */
  @Test
  void leaseIsRenewedHoweverManyReadsWait() throws Exception {
    StoreClient limitedStore = new StoreClient(Emulators.settings(dir, address.port(), 1, 40));
    long lease = limitedStore.grantLease(60_000);
    AtomicBoolean stopped = new AtomicBoolean();
    AtomicInteger rejected = new AtomicInteger();
    List<Thread> users = new ArrayList<>();
    for (int i = 0; i < 150; i++) {
      Thread user =
          new Thread(
              threads,
              () -> {
                while (!stopped.get()) {
                  try {
                    limitedStore.get(key(1));
                  } catch (IOException e) {
                    rejected.incrementAndGet();
                    pauseBeforeRetry();
                  }
                }
              });
      users.add(user);
      user.start();
    }
    try {
      Await.until("more reads than the limit allows", () -> rejected.get() > 100);
      for (int i = 0; i < 5; i++) {
        assertTrue(limitedStore.renewLease(lease));
      }
    } finally {
      stopped.set(true);
    }
    for (Thread user : users) {
      user.join();
    }
  }
}
