package org.astershift.world;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

/**
 * Plays many seeds of the swarm on all processors, for a search longer than the tests are: {@code
 * Seeds FIRST LAST [story] [MUTANT...]}. It prints each seed that fails and what failed, with the
 * log of all hosts where {@code story} is asked for; exit 1 if any did.
 */
public final class Seeds {
  private Seeds() {}

  /** Plays the seeds and says which fail. */
  public static void main(String[] args) {
    long first = Long.parseLong(args[0]);
    long last = Long.parseLong(args[1]);
    List<String> rest = Arrays.asList(args).subList(2, args.length);
    boolean story = rest.contains("story");
    Mutant[] mutants =
        rest.stream().filter(a -> !a.equals("story")).map(Mutant::valueOf).toArray(Mutant[]::new);
    TreeMap<Long, String> failed =
        LongStream.rangeClosed(first, last)
            .parallel()
            .boxed()
            .map(seed -> new Object[] {seed, play(seed, story, mutants)})
            .filter(r -> r[1] != null)
            .collect(
                Collectors.toMap(
                    r -> (Long) r[0], r -> (String) r[1], (a, b) -> a, () -> new TreeMap<>()));
    failed.forEach((seed, what) -> System.out.println(seed + ": " + what));
    System.out.println((last - first + 1) + " seeds, " + failed.size() + " failed");
    System.exit(failed.isEmpty() ? 0 : 1);
  }

  private static String play(long seed, boolean story, Mutant... mutants) {
    Swarm s = Swarm.play(seed, mutants);
    if (!s.failed()) {
      return null;
    }
    String what =
        Set.copyOf(s.world.checker.broken) + " " + s.world.checker.healthyReturned + s.unserved();
    return what + (story ? "\n" + s.world.wholeStory() : "");
  }
}
