package org.astershift.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Plays every trace in src/test/resources/traces: the input is events with their times, the output
 * is decisions. The README in that directory explains the trace language. With -Dtraces.write=true
 * the expected output is rewritten; review it before committing it.
 */
class TraceTest {
  private static final Path TRACES = Path.of("src/test/resources/traces");

  @TestFactory
  Stream<DynamicTest> traces() throws IOException {
    List<Path> files;
    try (Stream<Path> entries = Files.list(TRACES)) {
      files = entries.filter(path -> path.toString().endsWith(".trace")).sorted().toList();
    }
    assertFalse(files.isEmpty(), "no traces found");
    return files.stream()
        .map(file -> DynamicTest.dynamicTest(file.getFileName().toString(), () -> play(file)));
  }

  private static void play(Path file) throws IOException {
    List<String> expected = Files.readAllLines(file);
    List<String> played = new ArrayList<>();
    TracePlayer player = new TracePlayer();
    for (String line : expected) {
      if (line.startsWith(">")) {
        continue;
      }
      played.add(line);
      if (!line.isBlank() && !line.startsWith("#")) {
        for (String answer : player.play(line)) {
          played.add("> " + answer);
        }
      }
    }
    if (Boolean.getBoolean("traces.write")) {
      Files.write(file, played);
    }
    assertEquals(String.join("\n", expected), String.join("\n", played));
  }
}
