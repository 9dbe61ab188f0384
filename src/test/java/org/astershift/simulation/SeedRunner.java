package org.astershift.simulation;

import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.astershift.SeedArguments;

/**
 * Plays many seeds of the randomized scenario on all processors, for a longer search than the
 * tests: {@code SeedRunner FIRST LAST [story] [MUTANT...]}. It prints each seed that fails and what
 * failed, with the log of all hosts where {@code story} is asked for; exit 1 if any did.
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

  /** Plays the seeds and prints which fail. */
  public static void main(String[] args) {
    SeedArguments arguments = SeedArguments.parseOrExit(args, options());
    long first = arguments.first();
    long last = arguments.last();
    boolean story = arguments.options().contains(PRINT_LOG_OPTION);
    Mutation[] mutations =
        arguments.options().stream()
            .filter(a -> !a.equals(PRINT_LOG_OPTION))
            .map(Mutation::valueOf)
            .toArray(Mutation[]::new);
    TreeMap<Long, String> failed =
        LongStream.rangeClosed(first, last)
            .parallel()
            .boxed()
            .map(seed -> new Object[] {seed, play(seed, story, mutations)})
            .filter(r -> r[1] != null)
            .collect(
                Collectors.toMap(
                    r -> (Long) r[0], r -> (String) r[1], (a, b) -> a, () -> new TreeMap<>()));
    failed.forEach((seed, what) -> System.out.println(seed + ": " + what));
    System.out.println((last - first + 1) + " seeds, " + failed.size() + " failed");
    System.exit(failed.isEmpty() ? 0 : 1);
  }

  private static String play(long seed, boolean story, Mutation... mutations) {
    RandomizedScenario scenario = RandomizedScenario.play(seed, mutations);
    if (!scenario.hasFailed()) {
      return null;
    }
    String what =
        Set.copyOf(scenario.simulation.checker.violations)
            + " "
            + scenario.simulation.checker.healthyReleased
            + scenario.describeUnserved();
    return what + (story ? "\n" + scenario.simulation.fullLog() : "");
  }
}
