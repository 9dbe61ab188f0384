package org.astershift.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.FutureTask;
import java.util.concurrent.Semaphore;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Who may share an answer with whom. */
@Timeout(60)
class RequestCoalescerTest {
  /** The store as it changes, and what is asked of it. */
  private final Semaphore readPermits = new Semaphore(0);

  private final CountDownLatch firstReadStarted = new CountDownLatch(1);
  private final ConcurrentLinkedQueue<String> reads = new ConcurrentLinkedQueue<>();
  private volatile String state = "queued";

  private String read(String job) throws InterruptedException {
    String seen = state;
    reads.add(job + " " + seen);
    firstReadStarted.countDown();
    readPermits.acquire();
    return seen;
  }

  private static FutureTask<String> startRequest(RequestCoalescer<String> shared, String job) {
    FutureTask<String> task = new FutureTask<>(() -> shared.get(job));
    Thread t = new Thread(task);
    t.setDaemon(true);
    t.start();
    while (t.getState() != Thread.State.WAITING && t.getState() != Thread.State.TERMINATED) {
      Thread.onSpinWait(); // until it reads, or waits for the others
    }
    return task;
  }

  /**
   * The job ends while the first question is read; a user hears so elsewhere and asks here. The
   * answer in work is older than that and must not be his.
   */
  @Test
  void noRequestSharesReadStartedBeforeIt() throws Exception {
    RequestCoalescer<String> shared = new RequestCoalescer<>(this::read);
    FutureTask<String> first = startRequest(shared, "job");
    firstReadStarted.await();
    state = "done";
    List<FutureTask<String>> later = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      later.add(startRequest(shared, "job"));
    }
    FutureTask<String> other = startRequest(shared, "other job");
    readPermits.release(100);
    assertEquals("queued", first.get());
    for (FutureTask<String> f : later) {
      assertEquals("done", f.get());
    }
    assertEquals("done", other.get());
    assertEquals(3, reads.size(), "twenty questions share one read: " + reads);
  }

  /** A failure is its own asker's; those who shared it are told that there is no answer. */
  @Test
  void failureReleasesAllWaiters() throws Exception {
    CountDownLatch go = new CountDownLatch(1);
    RequestCoalescer<String> shared =
        new RequestCoalescer<>(
            job -> {
              go.await();
              throw new IllegalStateException("broken");
            });
    FutureTask<String> first = startRequest(shared, "job");
    FutureTask<String> second = startRequest(shared, "job");
    FutureTask<String> third = startRequest(shared, "job");
    go.countDown();
    assertEquals(IllegalStateException.class, causeOfFailure(first));
    assertEquals(IllegalStateException.class, causeOfFailure(second));
    assertEquals(null, third.get());
  }

  private static Class<?> causeOfFailure(FutureTask<String> task) throws InterruptedException {
    try {
      task.get();
      return null;
    } catch (java.util.concurrent.ExecutionException e) {
      return e.getCause().getClass();
    }
  }
}
