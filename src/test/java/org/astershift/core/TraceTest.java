package org.astershift.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * Plays every trace below src/test/resources/traces: events with their times in, decisions out. The
 * words are explained in the README there. With -Dtraces.write=true the answers are written anew,
 * to be read before they are kept. Traces named in KNOWN-RED.txt show faults that are not mended
 * yet: they are printed, and have to fail until their line is struck.
 */
class TraceTest {
  private static final Path TRACES = Path.of("src/test/resources/traces");
  private static final Path KNOWN_RED = Path.of("KNOWN-RED.txt");
  private static final int MOST_KNOWN_RED = 3;
  private static final String HERE = "TraceTest/";

  @TestFactory
  Stream<DynamicTest> traces() throws IOException {
    List<Path> files;
    try (Stream<Path> all = Files.list(TRACES)) {
      files = all.filter(p -> p.toString().endsWith(".trace")).sorted().toList();
    }
    assertFalse(files.isEmpty(), "no traces found");
    return files.stream()
        .map(f -> DynamicTest.dynamicTest(f.getFileName().toString(), () -> play(f)));
  }

  /** Each line names a trace that there is, its cause and its issue; there are three at most. */
  @Test
  void whatIsKnownToBeRedIsNamed() throws IOException {
    Map<String, String> red = knownRed();
    assertTrue(red.size() <= MOST_KNOWN_RED, "known to be red: " + red.keySet());
    for (Map.Entry<String, String> e : red.entrySet()) {
      assertTrue(Files.exists(TRACES.resolve(e.getKey())), e.getValue());
      assertEquals(3, e.getValue().split(" \\| ").length, e.getValue());
    }
  }

  /** The lines of KNOWN-RED.txt by the traces that they name. */
  private static Map<String, String> knownRed() throws IOException {
    if (!Files.exists(KNOWN_RED)) {
      return Map.of();
    }
    return Files.readAllLines(KNOWN_RED).stream()
        .collect(
            Collectors.toMap(
                line -> {
                  assertTrue(line.startsWith(HERE), "no other test may be red: " + line);
                  return line.substring(HERE.length()).split(" ")[0];
                },
                line -> line));
  }

  private static void play(Path file) throws IOException {
    List<String> kept = Files.readAllLines(file);
    List<String> played = new ArrayList<>();
    TracePlayer player = new TracePlayer();
    for (String line : kept) {
      if (line.startsWith(">")) {
        continue;
      }
      played.add(line);
      if (!line.isBlank() && !line.startsWith("#")) {
        for (String answer : player.event(line)) {
          played.add("> " + answer);
        }
      }
    }
    String red = knownRed().get(file.getFileName().toString());
    if (red != null) {
      System.out.println("KNOWN RED, passed over: " + red);
      assertNotEquals(
          String.join("\n", kept), String.join("\n", played), "red no more: strike " + red);
      return;
    }
    if (Boolean.getBoolean("traces.write")) {
      Files.write(file, played);
    }
    assertEquals(String.join("\n", kept), String.join("\n", played));
  }
}
