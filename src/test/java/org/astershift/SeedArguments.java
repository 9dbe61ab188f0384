package org.astershift;

import java.util.Arrays;
import java.util.List;
import java.util.Set;

/**
 * The command line of the programs that play seeds: the first seed, the last, and options.
 *
 * @param options what follows the two seeds
 */
public record SeedArguments(long first, long last, List<String> options) {
  private static final int BAD_USAGE = 2;

  /** Reads the arguments; bad ones are refused with one line that says what is wrong. */
  public static SeedArguments parse(String[] args, Set<String> known) {
    if (args.length < 2) {
      throw new IllegalArgumentException("usage: FIRST LAST [" + String.join("|", known) + "]...");
    }
    long first = seed(args[0]);
    long last = seed(args[1]);
    if (first > last) {
      throw new IllegalArgumentException("the first seed " + first + " is after the last " + last);
    }
    List<String> options = Arrays.asList(args).subList(2, args.length);
    for (String option : options) {
      if (!known.contains(option)) {
        throw new IllegalArgumentException("unknown option: " + option);
      }
    }
    return new SeedArguments(first, last, options);
  }

  /** The same for a program's main method: bad arguments end it with exit code 2 and one line. */
  public static SeedArguments parseOrExit(String[] args, Set<String> known) {
    try {
      return parse(args, known);
    } catch (IllegalArgumentException e) {
      System.err.println(e.getMessage());
      System.exit(BAD_USAGE);
      throw e;
    }
  }

  private static long seed(String text) {
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("not a seed: " + text);
    }
  }
}
