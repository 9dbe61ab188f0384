package org.astershift.http;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.astershift.config.Constants;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** How all threads of the program are made, and how their loops survive a failure. */
public final class Threads {
  private static final Logger LOG = LoggerFactory.getLogger(Threads.class);

  private Threads() {}

  /** What a thread does; an exception ends this one run of it and is logged. */
  public interface Body {
    void run() throws Exception;
  }

  public static void start(String name, Body body) {
    thread(name, guarded(name, body)).start();
  }

  /** Threads come with the work and go when there is none; what waits is bounded by its askers. */
  public static ExecutorService pool(String name, int threads) {
    ThreadPoolExecutor p =
        new ThreadPoolExecutor(
            threads,
            threads,
            Constants.POOL_IDLE_S,
            TimeUnit.SECONDS,
            new LinkedBlockingQueue<>(),
            r -> thread(name, r));
    p.allowCoreThreadTimeOut(true);
    return p;
  }

  public static Runnable guarded(String what, Body body) {
    return () -> {
      try {
        body.run();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } catch (Exception e) {
        LOG.error("{} failed", what, e);
      }
    };
  }

  private static Thread thread(String name, Runnable body) {
    Thread t = new Thread(null, body, name, Constants.STACK_BYTES);
    t.setDaemon(true);
    return t;
  }

  /** The short wait of every loop before it tries again. */
  public static void pause() {
    try {
      Thread.sleep(Constants.RETRY_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
