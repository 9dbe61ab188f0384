package org.astershift.cloud;

import java.io.IOException;

/** The cloud did not carry out a request, and nothing of it was done. */
public final class CloudRejectedException extends IOException {
  private static final long serialVersionUID = 1L;

  /** Why a request was rejected. */
  public enum Reason {
    /** The cloud has no such machines at present. */
    NO_CAPACITY,
    /** The cloud will never carry out the request as it is. */
    MALFORMED,
    /** The request may succeed if it is sent again. */
    RETRYABLE;

    /** Whether the same request must not be sent again. */
    public boolean isPermanent() {
      return this != RETRYABLE;
    }
  }

  private final Reason reason;

  CloudRejectedException(String message, Reason reason) {
    super(message);
    this.reason = reason;
  }

  /** Why it was rejected. */
  public Reason reason() {
    return reason;
  }
}
