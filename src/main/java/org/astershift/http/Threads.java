package org.astershift.http;

import java.util.concurrent.ThreadFactory;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Creates all threads of the program, which are daemons, and keeps their loops running. */
public final class Threads {
  private static final Logger LOG = LoggerFactory.getLogger(Threads.class);

  /** Pause before a failed loop or request is tried again, milliseconds. */
  public static final long RETRY_BACKOFF_MS = 300;

  /** Stack size of a thread, bytes. */
  public static final long STACK_BYTES = 192 * 1024;

  /** Idle time after which a pooled thread ends, seconds. */
  static final long THREAD_IDLE_S = 10;

  private Threads() {}

  /** Work for a thread; an exception ends this run of it and is logged. */
  public interface Task {
    /** Does the work; what it throws is logged. */
    void run() throws Exception;
  }

  /**
   * Starts a thread, or throws {@link ThreadUnavailableException}: the runtime throws an {@link
   * OutOfMemoryError}, which would pass the handlers of loops and end them.
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

  /** A pool of at most {@code threads} threads; its callers have to bound the queue. */
  public static TaskPool newPool(String name, int threads) {
    return new TaskPool(threads, r -> newThread(name, r));
  }

  /** Wraps a body so that whatever ends it, errors included, is logged. */
  public static Runnable logFailures(String name, Task body) {
    return () -> {
      try {
        body.run();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } catch (Exception | Error e) {
        LOG.error("{} failed", name, e);
      }
    };
  }

  /** Makes the threads that serve connections. */
  static ThreadFactory connectionThreadFactory() {
    return r -> newThread("http", r);
  }

  private static Thread newThread(String name, Runnable body) {
    Thread thread = new Thread(null, body, name, STACK_BYTES);
    thread.setDaemon(true);
    return thread;
  }

  /** Waits for {@link #RETRY_BACKOFF_MS}, or until interrupted. */
  public static void backOff() {
    try {
      Thread.sleep(RETRY_BACKOFF_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
