package org.astershift.http;

import java.io.IOException;

/** A message that violates HTTP; {@code status} is the response code for its sender. */
public final class HttpException extends IOException {
  private static final long serialVersionUID = 1L;
  private final int status;

  /** A message that is answered with this status. */
  public HttpException(int status, String message) {
    super(message);
    this.status = status;
  }

  /** The status for its sender. */
  public int status() {
    return status;
  }
}
