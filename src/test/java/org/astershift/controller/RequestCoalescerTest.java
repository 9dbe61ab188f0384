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

/** Which requests may share the result of one read. */
@Timeout(60)
class RequestCoalescerTest {
  /** Each permit lets one read of the store return. */
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

  private static FutureTask<String> startRequest(RequestCoalescer<String> coalescer, String job) {
    FutureTask<String> task = new FutureTask<>(() -> coalescer.get(job));
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
    while (thread.getState() != Thread.State.WAITING
        && thread.getState() != Thread.State.TERMINATED) {
      Thread.onSpinWait(); // until the thread reads, or waits for another request
    }
    return task;
  }

  /**
   * The job ends while the first request reads its state; a user learns so elsewhere and sends a
   * request here. The read in progress is older than that and must not answer the user.
   */
  @Test
  void noRequestSharesReadStartedBeforeIt() throws Exception {
    RequestCoalescer<String> coalescer = new RequestCoalescer<>(this::read);
    FutureTask<String> first = startRequest(coalescer, "job");
    firstReadStarted.await();
    state = "done";
    List<FutureTask<String>> later = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      later.add(startRequest(coalescer, "job"));
    }
    FutureTask<String> otherJob = startRequest(coalescer, "other job");
    readPermits.release(100);
    assertEquals("queued", first.get());
    for (FutureTask<String> request : later) {
      assertEquals("done", request.get());
    }
    assertEquals("done", otherJob.get());
    assertEquals(3, reads.size(), "twenty requests share one read: " + reads);
  }

  /**
   * A failure is reported to the request that computed the result; requests that share it get no
   * answer.
   */
  @Test
  void failureReleasesAllWaiters() throws Exception {
    CountDownLatch readsMayFail = new CountDownLatch(1);
    RequestCoalescer<String> coalescer =
        new RequestCoalescer<>(
            job -> {
              readsMayFail.await();
              throw new IllegalStateException("broken");
            });
    FutureTask<String> first = startRequest(coalescer, "job");
    FutureTask<String> second = startRequest(coalescer, "job");
    FutureTask<String> third = startRequest(coalescer, "job");
    readsMayFail.countDown();
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
