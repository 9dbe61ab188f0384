package org.astershift;

/** Exit codes of the program. */
enum ExitCode {
  /** The help, version or check option was carried out. */
  OK(0),
  /** An address cannot be bound. */
  CANNOT_LISTEN(1),
  /** The usage or the settings are invalid. */
  USAGE(2);

  private final int value;

  ExitCode(int value) {
    this.value = value;
  }

  int value() {
    return value;
  }
}
