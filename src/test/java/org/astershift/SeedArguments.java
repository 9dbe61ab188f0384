package org.astershift;

import java.util.Arrays;
import java.util.List;
import java.util.Set;

/**
 * The command line of programs that run seeds: the first seed, the last, and options.
 *
 * @param options the arguments after the two seeds
 */
public record SeedArguments(long first, long last, List<String> options) {
  private static final int BAD_USAGE = 2;

  /**
   * Parses the arguments. Throws an IllegalArgumentException with a one-line message for invalid
   * ones.
   */
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

  /**
   * Parses the arguments of a program's main method: invalid ones end the process with exit code 2
   * and one line.
   */
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
