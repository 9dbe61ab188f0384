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
 * Progress is put on record though users and starts use up the limit of changes. Until it is, a
 * machine keeps its done tasks in its reports, which name four hundred at most.
 */
@Timeout(60)
class ProgressRecordsTest {
  private static final double WRITES_PER_SECOND = 40;
  private static final int WRITERS = 80;
  private static final String JOB = "wk-000001";

  @TempDir Path dir;

  @Test
  void progressIsRecordedWhileWriteLimitIsExhausted() throws Exception {
    try (StoreEmulator service = new StoreEmulator(0)) {
      Settings settings = Emulators.settings(dir, service.port(), 1, WRITES_PER_SECOND);
      StoreClient store = new StoreClient(settings);
      long token = recordLeader(store);
      AtomicBoolean over = new AtomicBoolean();
      List<Thread> writers = startWriters(store, over);
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
        Await.until("the progress to be on record", durable::get);
        records.close();
        loop.join();
      } finally {
        over.set(true);
      }
      for (Thread t : writers) {
        t.join();
      }
    }
  }

  private static long recordLeader(StoreClient store) throws Exception {
    StoreClient.Transaction txn =
        new StoreClient.Transaction().put(RecordCodec.LEADER_KEY, RecordCodec.encodeLeader("n"));
    StoreClient.Outcome o = store.commit(txn, RateLimiter.Urgency.LEASE, 10_000);
    return ((StoreClient.Outcome.Committed) o).revision();
  }

  /** Each waits for its turn all the time, so that what can wait never finds the line empty. */
  private static List<Thread> startWriters(StoreClient store, AtomicBoolean over) {
    List<Thread> writers = new ArrayList<>();
    for (int i = 0; i < WRITERS; i++) {
      String key = "x/" + i;
      Thread t = new Thread(() -> writeRepeatedly(store, key, over));
      writers.add(t);
      t.start();
    }
    return writers;
  }

  private static void writeRepeatedly(StoreClient store, String key, AtomicBoolean over) {
    try {
      while (!over.get()) {
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
