package org.astershift.config;

/** A file of settings that cannot be used; the message names file, field and reason in one line. */
public final class BadConfig extends Exception {
  private static final long serialVersionUID = 1L;

  public BadConfig(String message) {
    super(message);
  }
}
