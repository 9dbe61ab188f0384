package org.astershift;

/** Exit codes of the program. */
enum ExitCode {
  /** The request was carried out: help, version or check. */
  OK(0),
  /** An address cannot be bound. */
  CANNOT_LISTEN(1),
  /** Bad usage or bad settings. */
  USAGE(2);

  private final int value;

  ExitCode(int value) {
    this.value = value;
  }

  int value() {
    return value;
  }
}
