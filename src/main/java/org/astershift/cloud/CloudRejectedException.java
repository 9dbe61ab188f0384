package org.astershift.cloud;

import java.io.IOException;

/** Thrown if the cloud did not carry out a request, and no part of the request was done. */
public final class CloudRejectedException extends IOException {
  private static final long serialVersionUID = 1L;

  /** Why a request was rejected. */
  public enum Reason {
    /** The cloud has no such machines available at present. */
    NO_CAPACITY,
    /** The request is invalid: the cloud will never carry it out as it is. */
    MALFORMED,
    /** The request may succeed if it is sent again. */
    RETRYABLE;

    /** Returns whether the same request must not be sent again. */
    public boolean isPermanent() {
      return this != RETRYABLE;
    }
  }

  private final Reason reason;

  CloudRejectedException(String message, Reason reason) {
    super(message);
    this.reason = reason;
  }

  /** Returns why the request was rejected. */
  public Reason reason() {
    return reason;
  }
}
