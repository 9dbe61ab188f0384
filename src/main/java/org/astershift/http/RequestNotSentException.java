package org.astershift.http;

import java.io.IOException;

/** No connection was established, so no part of the request was sent: a retry is safe. */
public final class RequestNotSentException extends IOException {
  private static final long serialVersionUID = 1L;

  RequestNotSentException(IOException cause) {
    super("not sent: " + cause, cause);
  }
}
