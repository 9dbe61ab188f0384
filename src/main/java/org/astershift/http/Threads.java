package org.astershift.http;

import java.util.concurrent.ThreadFactory;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** How all threads of the program are made, and how their loops survive a failure. */
public final class Threads {
  private static final Logger LOG = LoggerFactory.getLogger(Threads.class);

  /** Pause after a failed request to the state service or the cloud, milliseconds. */
  public static final long RETRY_BACKOFF_MS = 300;

  /** Stack of a connection's thread, bytes. */
  public static final long STACK_BYTES = 192 * 1024;

  /** Seconds after which a pool's thread without work ends. */
  static final long THREAD_IDLE_S = 10;

  private Threads() {}

  /** What a thread does; an exception ends this one run of it and is logged. */
  public interface Task {
    void run() throws Exception;
  }

  /**
   * Starts a thread, or throws {@link ThreadUnavailableException}. The system's refusal comes as an
   * error, which would pass by every loop's handler and end the loop; as an exception it is handled
   * there.
   */
  public static void start(String name, Task body) {
    start(thread(name, logFailures(name, body)));
  }

  private static void start(Thread thread) {
    try {
      thread.start();
    } catch (OutOfMemoryError e) {
      throw new ThreadUnavailableException(thread.getName(), e);
    }
  }

  /** A loop that has to live as long as the process: whatever ends its body, it begins again. */
  public static void startLoop(String name, Task body) {
    Runnable once = logFailures(name, body);
    start(
        thread(
            name,
            () -> {
              while (!Thread.currentThread().isInterrupted()) {
                once.run();
                backOff();
              }
            }));
  }

  /** Threads come with the work and go when there is none; what waits is bounded by its askers. */
  public static TaskPool pool(String name, int threads) {
    return new TaskPool(threads, r -> thread(name, r));
  }

  /** Logs whatever ends this run of the body, errors included: nothing ends without a line. */
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

  /** Threads that serve a connection each. */
  static ThreadFactory connectionThreadFactory() {
    return r -> thread("http", r);
  }

  private static Thread thread(String name, Runnable body) {
    Thread thread = new Thread(null, body, name, STACK_BYTES);
    thread.setDaemon(true);
    return thread;
  }

  /** The short wait of every loop before it tries again. */
  public static void backOff() {
    try {
      Thread.sleep(RETRY_BACKOFF_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
