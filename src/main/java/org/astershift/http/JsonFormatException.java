package org.astershift.http;

/**
 * Thrown for input that is not JSON, and for a field that is missing or has the wrong type; the
 * message names the field.
 */
public final class JsonFormatException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception whose message names the field that is missing or wrong. */
  public JsonFormatException(String message) {
    super(message);
  }
}
