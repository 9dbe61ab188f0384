package org.astershift.knownfailures;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * One line of KNOWN-RED.txt: a test case that fails because of a fault of the product that is not
 * fixed yet.
 *
 * @param test the case as {@code Class#method}, {@code Class/display name} for a dynamic test, or
 *     {@code review/N/run.sh} for a script, which the build does not play
 * @param reproduction command and seed that show the failure
 * @param observed what was observed
 * @param cause the cause, or "suspected: ..." while no evidence names it
 * @param issue the open issue
 */
record KnownFailure(String test, String reproduction, String observed, String cause, String issue) {
  static final Path FILE = Path.of("KNOWN-RED.txt");
  private static final Path TEST_CLASSES = Path.of("target/test-classes");
  private static final Path TRACES = Path.of("src/test/resources/traces");
  private static final int FIELDS = 5;
  private static final char METHOD = '#';
  private static final char DYNAMIC = '/';
  private static final Pattern SCRIPT = Pattern.compile("review/[0-9]+/run\\.sh");
  private static final Pattern TRACE = Pattern.compile("[a-z0-9-]+\\.trace");

  /** Reads the file; returns an empty list if there is none. */
  static List<KnownFailure> read() {
    try {
      return Files.exists(FILE) ? parse(Files.readAllLines(FILE)) : List.of();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Parses the lines. Throws an IllegalArgumentException for a line that lacks a field or repeats a
   * test.
   */
  static List<KnownFailure> parse(List<String> lines) {
    List<KnownFailure> entries = new ArrayList<>();
    Set<String> tests = new HashSet<>();
    for (String line : lines) {
      KnownFailure entry = parse(line);
      if (!tests.add(entry.test)) {
        throw new IllegalArgumentException("KNOWN-RED.txt lists a test twice: " + line);
      }
      entries.add(entry);
    }
    return entries;
  }

  private static KnownFailure parse(String line) {
    String[] fields = line.split(" \\| ", -1);
    boolean blank = Stream.of(fields).anyMatch(String::isBlank);
    if (fields.length != FIELDS || blank) {
      throw new IllegalArgumentException(
          "KNOWN-RED.txt: expected \"test | command and seed | seen | cause | issue\", got: "
              + line);
    }
    return new KnownFailure(fields[0], fields[1], fields[2], fields[3], fields[4]);
  }

  /**
   * Returns whether the entry names an existing test method, an existing trace file of a dynamic
   * test, or an existing script.
   */
  boolean namesExistingTest() {
    if (SCRIPT.matcher(test).matches()) {
      return Files.isRegularFile(Path.of(test));
    }
    int method = test.indexOf(METHOD);
    int dynamic = test.indexOf(DYNAMIC);
    if (method > 0) {
      return hasMethod(test.substring(0, method), test.substring(method + 1));
    }
    return dynamic > 0
        && classFile(test.substring(0, dynamic)) != null
        && TRACE.matcher(test.substring(dynamic + 1)).matches()
        && Files.exists(TRACES.resolve(test.substring(dynamic + 1)));
  }

  private static boolean hasMethod(String simpleClass, String method) {
    Path file = classFile(simpleClass);
    if (file == null) {
      return false;
    }
    String path = TEST_CLASSES.relativize(file).toString();
    String name = path.substring(0, path.length() - ".class".length()).replace('/', '.');
    try {
      return Stream.of(Class.forName(name).getDeclaredMethods())
          .anyMatch(m -> m.getName().equals(method));
    } catch (ClassNotFoundException e) {
      return false;
    }
  }

  private static Path classFile(String simpleClass) {
    try (Stream<Path> files = Files.walk(TEST_CLASSES)) {
      return files
          .filter(p -> p.getFileName().toString().equals(simpleClass + ".class"))
          .findFirst()
          .orElse(null);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
