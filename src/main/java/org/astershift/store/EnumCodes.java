package org.astershift.store;

import org.astershift.scheduler.JobKind;
import org.astershift.scheduler.Priority;

/**
 * Codes of job kinds and priorities in stored records. Records outlive releases: the meaning of a
 * code never changes, even if the enum constants are reordered or renamed.
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

  /**
   * Returns the job kind with this code; throws {@link IllegalArgumentException} for a code that no
   * release has written.
   */
  static JobKind jobKind(long code) {
    return switch ((int) code) {
      case 0 -> JobKind.ARRAY;
      case 1 -> JobKind.GANG;
      case 2 -> JobKind.SERVICE;
      default -> throw new IllegalArgumentException("unknown job kind code: " + code);
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

  /**
   * Returns the priority with this code; throws {@link IllegalArgumentException} for a code that no
   * release has written.
   */
  static Priority priority(long code) {
    return switch ((int) code) {
      case 0 -> Priority.PRODUCTION;
      case 1 -> Priority.HIGH;
      case 2 -> Priority.NORMAL;
      case 3 -> Priority.LOW;
      default -> throw new IllegalArgumentException("unknown priority code: " + code);
    };
  }
}
