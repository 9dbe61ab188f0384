package org.astershift;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.astershift.scheduler.SchedulerFuzzerDigests;
import org.astershift.simulation.RandomizedScenarioDigests;

/**
 * Runs seeds of the randomized scenario ({@code swarm}) and of the scheduler fuzzer ({@code
 * adversary}) on all processors, and compares their digests with those kept: {@code DigestRun FIRST
 * LAST [swarm|adversary]...}, both where neither is named. A build runs only the first {@link
 * KeptDigests#LAST_SEED_IN_BUILD} of each, since all {@link KeptDigests#LAST_SEED} would make it a
 * minute longer or more. To be run from the root of the project; exits with 1 if any digest
 * differs.
 */
public final class DigestRun {
  private static final String SWARM = "swarm";
  private static final String ADVERSARY = "adversary";

  private DigestRun() {}

  /** Runs the seeds and prints those whose digests differ. */
  public static void main(String[] args) throws IOException {
    SeedArguments arguments = SeedArguments.parseOrExit(args, Set.of(SWARM, ADVERSARY));
    List<String> options = arguments.options();
    List<String> different = new ArrayList<>();
    if (options.isEmpty() || options.contains(SWARM)) {
      different.addAll(run(SWARM, RandomizedScenarioDigests.kept(), arguments));
    }
    if (options.isEmpty() || options.contains(ADVERSARY)) {
      different.addAll(run(ADVERSARY, SchedulerFuzzerDigests.kept(), arguments));
    }
    System.exit(different.isEmpty() ? 0 : 1);
  }

  private static List<String> run(String name, KeptDigests kept, SeedArguments arguments)
      throws IOException {
    long startNs = System.nanoTime();
    List<String> different = kept.differences(arguments.first(), arguments.last());
    long durationMs = (System.nanoTime() - startNs) / 1_000_000;
    different.forEach(System.out::println);
    long seeds = arguments.last() - arguments.first() + 1;
    System.out.println(
        name + ": " + seeds + " seeds, " + different.size() + " differ, " + durationMs + " ms");
    return different;
  }
}
