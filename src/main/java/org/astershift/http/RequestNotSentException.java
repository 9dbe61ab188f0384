package org.astershift.http;

import java.io.IOException;

/**
 * Thrown if no connection was established, so that no part of the request was sent and a retry is
 * safe.
 */
public final class RequestNotSentException extends IOException {
  private static final long serialVersionUID = 1L;

  RequestNotSentException(IOException cause) {
    super("request not sent: " + cause, cause);
  }
}
