package org.astershift.simulation;

import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.astershift.SeedArguments;

/**
 * Plays many seeds of the randomized scenario on all processors, for a longer search than the
 * tests: {@code SeedRunner FIRST LAST [story] [MUTATION...]}. It prints each failing seed with its
 * failures, and with the log of all hosts if {@code story} is given; the exit code is 1 if any seed
 * failed.
 */
public final class SeedRunner {
  private static final String PRINT_LOG_OPTION = "story";

  private SeedRunner() {}

  private static Set<String> options() {
    Set<String> options =
        Stream.of(Mutation.values()).map(Mutation::name).collect(Collectors.toSet());
    options.add(PRINT_LOG_OPTION);
    return options;
  }

  /** Plays the seeds and prints those that fail. */
  public static void main(String[] args) {
    SeedArguments arguments = SeedArguments.parseOrExit(args, options());
    long first = arguments.first();
    long last = arguments.last();
    boolean printsLog = arguments.options().contains(PRINT_LOG_OPTION);
    Mutation[] mutations =
        arguments.options().stream()
            .filter(option -> !option.equals(PRINT_LOG_OPTION))
            .map(Mutation::valueOf)
            .toArray(Mutation[]::new);
    TreeMap<Long, String> failed =
        LongStream.rangeClosed(first, last)
            .parallel()
            .boxed()
            .map(seed -> new Object[] {seed, play(seed, printsLog, mutations)})
            .filter(result -> result[1] != null)
            .collect(
                Collectors.toMap(
                    result -> (Long) result[0],
                    result -> (String) result[1],
                    (kept, duplicate) -> kept,
                    () -> new TreeMap<>()));
    failed.forEach((seed, failure) -> System.out.println(seed + ": " + failure));
    System.out.println((last - first + 1) + " seeds, " + failed.size() + " failed");
    System.exit(failed.isEmpty() ? 0 : 1);
  }

  private static String play(long seed, boolean printsLog, Mutation... mutations) {
    RandomizedScenario scenario = RandomizedScenario.play(seed, mutations);
    if (!scenario.hasFailed()) {
      return null;
    }
    String failure =
        Set.copyOf(scenario.simulation.checker.violations)
            + " "
            + scenario.simulation.checker.healthyReleased
            + scenario.describeUnserved();
    return failure + (printsLog ? "\n" + scenario.simulation.fullLog() : "");
  }
}
