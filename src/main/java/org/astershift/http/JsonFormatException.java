package org.astershift.http;

/**
 * Input that is not JSON, or a field that is missing or of the wrong type; the message names it.
 */
public final class JsonFormatException extends Exception {
  private static final long serialVersionUID = 1L;

  /** The message names the field that is wrong. */
  public JsonFormatException(String message) {
    super(message);
  }
}
