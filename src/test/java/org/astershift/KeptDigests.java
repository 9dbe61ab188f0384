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
 * The digests of many seeds as they were when they were written, one {@code seed TAB digest} a line
 * in a file below {@code src/test/resources/digests}.
 *
 * @param digestOf plays a seed and gives its digest; called on several threads at once
 */
public record KeptDigests(Path file, LongFunction<String> digestOf) {
  /** Seeds 1 to this are kept. */
  public static final long LAST_SEED = 200;

  /** Seeds 1 to this are played by each build; {@link DigestRun} plays the others too. */
  public static final long LAST_SEED_IN_BUILD = 60;

  private static final Path DIRECTORY = Path.of("src/test/resources/digests");

  /** Those in the file of this name. */
  public static KeptDigests in(String file, LongFunction<String> digestOf) {
    return new KeptDigests(DIRECTORY.resolve(file), digestOf);
  }

  /**
   * For the tests of a build: the seeds that differ, as lines. With {@code -Ddigests.write=true}
   * all seeds are played and written anew, and compared with what the file held before, so that
   * such a run fails where anything has changed.
   */
  public List<String> differencesInBuild() throws IOException {
    if (!Boolean.getBoolean("digests.write")) {
      return differences(1, LAST_SEED_IN_BUILD);
    }
    Map<Long, String> before = Files.exists(file) ? read() : Map.of();
    SortedMap<Long, String> played = computeDigests(1, LAST_SEED);
    List<String> lines = new ArrayList<>();
    played.forEach((seed, digest) -> lines.add(seed + "\t" + digest));
    Files.createDirectories(DIRECTORY);
    Files.write(file, lines);
    return compare(before, played);
  }

  /** Plays the seeds; a line for each whose digest is not the one kept, or that none is kept of. */
  public List<String> differences(long first, long last) throws IOException {
    return compare(read(), computeDigests(first, last));
  }

  private SortedMap<Long, String> computeDigests(long first, long last) {
    SortedMap<Long, String> played = new ConcurrentSkipListMap<>();
    LongStream.rangeClosed(first, last)
        .parallel()
        .forEach(seed -> played.put(seed, digestOf.apply(seed)));
    return played;
  }

  private Map<Long, String> read() throws IOException {
    Map<Long, String> kept = new TreeMap<>();
    for (String line : Files.readAllLines(file)) {
      int tab = line.indexOf('\t');
      kept.put(Long.valueOf(line.substring(0, tab)), line.substring(tab + 1));
    }
    return kept;
  }

  private List<String> compare(Map<Long, String> kept, SortedMap<Long, String> played) {
    List<String> different = new ArrayList<>();
    played.forEach(
        (seed, digest) -> {
          if (!digest.equals(kept.get(seed))) {
            different.add(
                file.getFileName() + " seed " + seed + ": " + kept.get(seed) + ", now " + digest);
          }
        });
    return different;
  }
}
