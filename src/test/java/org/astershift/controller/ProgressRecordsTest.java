package org.astershift.controller;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.astershift.config.Settings;
import org.astershift.emulator.Await;
import org.astershift.emulator.Emulators;
import org.astershift.emulator.StoreEmulator;
import org.astershift.store.RateLimiter;
import org.astershift.store.RecordCodec;
import org.astershift.store.StoreClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Progress is recorded although users and starts use up the limit of writes. Until it is durable, a
 * machine keeps its completed tasks in its heartbeats, which list at most four hundred.
 */
@Timeout(60)
class ProgressRecordsTest {
  private static final double WRITES_PER_SECOND = 40;
  private static final int WRITERS = 80;
  private static final String JOB = "wk-000001";

  @TempDir Path dir;

  @Test
  void progressIsRecordedWhileWriteLimitIsExhausted() throws Exception {
    try (StoreEmulator storeEmulator = new StoreEmulator(0)) {
      Settings settings = Emulators.settings(dir, storeEmulator.port(), 1, WRITES_PER_SECOND);
      StoreClient store = new StoreClient(settings);
      long token = recordLeader(store);
      AtomicBoolean stopped = new AtomicBoolean();
      List<Thread> writers = startWriters(store, stopped);
      try {
        AtomicBoolean durable = new AtomicBoolean();
        LeaderRecords records =
            new LeaderRecords(
                token, store, settings.storeLimits(), (kind, key, value) -> durable.set(true));
        Thread loop = new Thread(() -> runWriteLoop(records));
        loop.start();
        BitSet done = new BitSet();
        done.set(0);
        records.put(
            LeaderRecords.RecordKind.PROGRESS,
            RecordCodec.progressKey(JOB, 0),
            RecordCodec.encodeSegment(done, 0),
            0);
        Await.until("the progress to be durable", durable::get);
        records.close();
        loop.join();
      } finally {
        stopped.set(true);
      }
      for (Thread writer : writers) {
        writer.join();
      }
    }
  }

  private static long recordLeader(StoreClient store) throws Exception {
    StoreClient.Transaction transaction =
        new StoreClient.Transaction().put(RecordCodec.LEADER_KEY, RecordCodec.encodeLeader("n"));
    StoreClient.Outcome outcome = store.commit(transaction, RateLimiter.Urgency.LEASE, 10_000);
    return ((StoreClient.Outcome.Committed) outcome).revision();
  }

  /**
   * Starts writers that always have a write waiting, so that deferrable writes never find an empty
   * queue.
   */
  private static List<Thread> startWriters(StoreClient store, AtomicBoolean stopped) {
    List<Thread> writers = new ArrayList<>();
    for (int i = 0; i < WRITERS; i++) {
      String key = "x/" + i;
      Thread writer = new Thread(() -> writeRepeatedly(store, key, stopped));
      writers.add(writer);
      writer.start();
    }
    return writers;
  }

  private static void writeRepeatedly(StoreClient store, String key, AtomicBoolean stopped) {
    try {
      while (!stopped.get()) {
        store.commit(
            new StoreClient.Transaction().put(key, Map.of()),
            RateLimiter.Urgency.INTERACTIVE,
            10_000);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void runWriteLoop(LeaderRecords records) {
    try {
      records.writeLoop(null);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
