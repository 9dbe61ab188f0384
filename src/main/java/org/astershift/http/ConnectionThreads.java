package org.astershift.http;

import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Threads that serve connections, one after another. The threads are reused because starting one
 * costs about thirty system calls, and users open a connection for nearly every request. The caller
 * limits the number of connections and thereby of threads.
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

  /**
   * Runs {@code body} on a thread immediately; throws {@link ThreadUnavailableException} if no
   * thread is idle and none can be started.
   */
  void execute(Threads.Task body) {
    try {
      executor.execute(Threads.logFailures("connection", body));
    } catch (OutOfMemoryError e) {
      throw new ThreadUnavailableException("a connection", e);
    }
  }
}
