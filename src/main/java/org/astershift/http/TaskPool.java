package org.astershift.http;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A thread pool of bounded size that never drops a task because a thread could not be started. A
 * plain executor throws to its caller and drops the task, so that a thread that waits for the
 * task's result waits indefinitely. Here the task stays queued for a running thread or for {@link
 * #startQueuedTasks}. Thread-safe. Created by {@link Threads#newPool}.
 */
public final class TaskPool {
  private static final Logger LOG = LoggerFactory.getLogger(TaskPool.class);

  private final ThreadPoolExecutor executor;

  TaskPool(int threads, ThreadFactory factory) {
    this.executor =
        new ThreadPoolExecutor(
            threads,
            threads,
            Threads.THREAD_IDLE_S,
            TimeUnit.SECONDS,
            new LinkedBlockingQueue<>(),
            factory);
    this.executor.allowCoreThreadTimeOut(true);
  }

  /**
   * Queues a task, and starts a thread for it if the pool is not full; a failure of the task is
   * logged.
   */
  public void execute(String name, Threads.Task body) {
    executor.getQueue().add(Threads.logFailures(name, body));
    startThread();
  }

  /** Starts a thread if tasks are queued and no thread is running; must be called periodically. */
  public void startQueuedTasks() {
    if (executor.getPoolSize() == 0 && !executor.getQueue().isEmpty()) {
      startThread();
    }
  }

  private void startThread() {
    try {
      executor.prestartCoreThread();
    } catch (OutOfMemoryError e) {
      LOG.error(
          "starting a pool thread failed; tasks stay queued: queued={}: {}",
          executor.getQueue().size(),
          e.toString());
    }
  }
}
