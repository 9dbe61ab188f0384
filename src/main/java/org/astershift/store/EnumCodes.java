package org.astershift.store;

import org.astershift.scheduler.JobKind;
import org.astershift.scheduler.Priority;

/**
 * The numbers by which stored records name kinds and priorities. Records outlive releases: a number
 * never changes its meaning, whatever becomes of the order or the names in the enums.
 */
final class EnumCodes {
  private EnumCodes() {}

  static int codeOf(JobKind kind) {
    return switch (kind) {
      case ARRAY -> 0;
      case GANG -> 1;
      case SERVICE -> 2;
    };
  }

  /** Throws an unchecked exception for a number that no release has written. */
  static JobKind jobKind(long code) {
    return switch ((int) code) {
      case 0 -> JobKind.ARRAY;
      case 1 -> JobKind.GANG;
      case 2 -> JobKind.SERVICE;
      default -> throw new IllegalArgumentException("no job kind has the code " + code);
    };
  }

  static int codeOf(Priority priority) {
    return switch (priority) {
      case PRODUCTION -> 0;
      case HIGH -> 1;
      case NORMAL -> 2;
      case LOW -> 3;
    };
  }

  /** Throws an unchecked exception for a number that no release has written. */
  static Priority priority(long code) {
    return switch ((int) code) {
      case 0 -> Priority.PRODUCTION;
      case 1 -> Priority.HIGH;
      case 2 -> Priority.NORMAL;
      case 3 -> Priority.LOW;
      default -> throw new IllegalArgumentException("no priority has the code " + code);
    };
  }
}
