package org.astershift.config;

/**
 * Thrown for settings that cannot be used; the message names file, field and reason in one line.
 */
public final class ConfigurationException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception whose message is printed as it is: one line with file, field and reason.
   */
  public ConfigurationException(String message) {
    super(message);
  }
}
