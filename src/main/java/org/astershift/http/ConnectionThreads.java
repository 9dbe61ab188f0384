package org.astershift.http;

import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Threads that serve one connection after another. They are reused because starting a thread costs
 * some thirty system calls, and users open a connection for nearly each request. The caller limits
 * how many there are.
 */
final class ConnectionThreads {
  private final ThreadPoolExecutor executor;

  ConnectionThreads(ThreadFactory factory) {
    this.executor =
        new ThreadPoolExecutor(
            0,
            Integer.MAX_VALUE,
            Threads.THREAD_IDLE_S,
            TimeUnit.SECONDS,
            new SynchronousQueue<>(),
            factory);
  }

  /** Runs the body on a thread at once, or throws {@link ThreadUnavailableException}. */
  void execute(Threads.Task body) {
    try {
      executor.execute(Threads.logFailures("connection", body));
    } catch (OutOfMemoryError e) {
      throw new ThreadUnavailableException("a connection", e);
    }
  }
}
