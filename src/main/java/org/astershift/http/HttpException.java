package org.astershift.http;

import java.io.IOException;

/** A received message that violates HTTP; {@code status} is the status to respond with. */
public final class HttpException extends IOException {
  private static final long serialVersionUID = 1L;
  private final int status;

  /** Creates an exception for a message to be answered with {@code status}. */
  public HttpException(int status, String message) {
    super(message);
    this.status = status;
  }

  /** Returns the status to respond with. */
  public int status() {
    return status;
  }
}
