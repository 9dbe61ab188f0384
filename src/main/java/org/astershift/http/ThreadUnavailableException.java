package org.astershift.http;

/** Thrown if a thread cannot be started because the process has as many as the system allows. */
public final class ThreadUnavailableException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  ThreadUnavailableException(String name, OutOfMemoryError cause) {
    super("cannot start a thread for " + name + ": " + cause.getMessage(), cause);
  }
}
