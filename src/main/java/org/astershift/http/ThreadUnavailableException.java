package org.astershift.http;

/** A thread could not be started because the process has as many as the system allows. */
public final class ThreadUnavailableException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  ThreadUnavailableException(String name, OutOfMemoryError cause) {
    super("no thread for " + name + ": " + cause.getMessage(), cause);
  }
}
