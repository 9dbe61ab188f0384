package org.astershift.http;

import java.util.concurrent.ThreadFactory;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Creates the program's daemon threads and keeps their loops running. */
public final class Threads {
  private static final Logger LOG = LoggerFactory.getLogger(Threads.class);

  /** Pause before a failed loop or request is retried, in milliseconds. */
  public static final long RETRY_BACKOFF_MS = 300;

  /** Stack size of a thread, in bytes. */
  public static final long STACK_BYTES = 192 * 1024;

  /** Idle time after which a pooled thread ends, in seconds. */
  static final long THREAD_IDLE_S = 10;

  private Threads() {}

  /** Work for a thread; an exception ends the current run of the task and is logged. */
  public interface Task {
    /** Does the work; an exception that it throws is logged. */
    void run() throws Exception;
  }

  /**
   * Starts a thread. Throws {@link ThreadUnavailableException} if that fails, instead of the
   * runtime's {@link OutOfMemoryError}, which the exception handlers of loops would not catch and
   * which would end the loops.
   */
  public static void start(String name, Task body) {
    start(newThread(name, logFailures(name, body)));
  }

  private static void start(Thread thread) {
    try {
      thread.start();
    } catch (OutOfMemoryError e) {
      throw new ThreadUnavailableException(thread.getName(), e);
    }
  }

  /** Starts a loop that lives as long as the process: its body is run again whenever it ends. */
  public static void startLoop(String name, Task body) {
    Runnable once = logFailures(name, body);
    start(
        newThread(
            name,
            () -> {
              while (!Thread.currentThread().isInterrupted()) {
                once.run();
                backOff();
              }
            }));
  }

  /** Creates a pool of at most {@code threads} threads. The callers have to bound its queue. */
  public static TaskPool newPool(String name, int threads) {
    return new TaskPool(threads, r -> newThread(name, r));
  }

  /** Wraps a task so that any exception or error that ends it is logged. */
  public static Runnable logFailures(String name, Task body) {
    return () -> {
      try {
        body.run();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } catch (Exception | Error e) {
        LOG.error("task failed: name={}", name, e);
      }
    };
  }

  /** Returns the factory of the threads that serve connections. */
  static ThreadFactory connectionThreadFactory() {
    return r -> newThread("http", r);
  }

  private static Thread newThread(String name, Runnable body) {
    Thread thread = new Thread(null, body, name, STACK_BYTES);
    thread.setDaemon(true);
    return thread;
  }

  /** Waits for {@link #RETRY_BACKOFF_MS}, or until the thread is interrupted. */
  public static void backOff() {
    try {
      Thread.sleep(RETRY_BACKOFF_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
