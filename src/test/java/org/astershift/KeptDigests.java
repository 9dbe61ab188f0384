package org.astershift;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.LongFunction;
import java.util.stream.LongStream;

/**
 * The digests of many seeds as they were when they were recorded, one {@code seed TAB digest} per
 * line in a file below {@code src/test/resources/digests}.
 *
 * @param digestOf runs a seed and returns its digest; called on several threads at once
 */
public record KeptDigests(Path file, LongFunction<String> digestOf) {
  /** Digests are kept for seeds 1 to this one. */
  public static final long LAST_SEED = 200;

  /** Each build runs seeds 1 to this one; {@link DigestRun} runs the others too. */
  public static final long LAST_SEED_IN_BUILD = 60;

  private static final Path DIRECTORY = Path.of("src/test/resources/digests");

  /** Returns the digests in the file of this name. */
  public static KeptDigests in(String file, LongFunction<String> digestOf) {
    return new KeptDigests(DIRECTORY.resolve(file), digestOf);
  }

  /**
   * Runs the seeds of a build and returns a line for each whose digest differs. With {@code
   * -Ddigests.write=true} runs all seeds, rewrites the file and compares the new digests with those
   * that it held before, so that such a run fails where anything has changed.
   */
  public List<String> differencesInBuild() throws IOException {
    if (!Boolean.getBoolean("digests.write")) {
      return differences(1, LAST_SEED_IN_BUILD);
    }
    Map<Long, String> before = Files.exists(file) ? read() : Map.of();
    SortedMap<Long, String> computed = computeDigests(1, LAST_SEED);
    List<String> lines = new ArrayList<>();
    computed.forEach((seed, digest) -> lines.add(seed + "\t" + digest));
    Files.createDirectories(DIRECTORY);
    Files.write(file, lines);
    return compare(before, computed);
  }

  /**
   * Runs the seeds; returns a line for each whose digest differs from the one kept, or of which
   * none is kept.
   */
  public List<String> differences(long first, long last) throws IOException {
    return compare(read(), computeDigests(first, last));
  }

  private SortedMap<Long, String> computeDigests(long first, long last) {
    SortedMap<Long, String> computed = new ConcurrentSkipListMap<>();
    LongStream.rangeClosed(first, last)
        .parallel()
        .forEach(seed -> computed.put(seed, digestOf.apply(seed)));
    return computed;
  }

  private Map<Long, String> read() throws IOException {
    Map<Long, String> kept = new TreeMap<>();
    for (String line : Files.readAllLines(file)) {
      int tab = line.indexOf('\t');
      kept.put(Long.valueOf(line.substring(0, tab)), line.substring(tab + 1));
    }
    return kept;
  }

  private List<String> compare(Map<Long, String> kept, SortedMap<Long, String> computed) {
    List<String> different = new ArrayList<>();
    computed.forEach(
        (seed, digest) -> {
          if (!digest.equals(kept.get(seed))) {
            different.add(
                file.getFileName() + " seed " + seed + ": " + kept.get(seed) + ", now " + digest);
          }
        });
    return different;
  }
}
