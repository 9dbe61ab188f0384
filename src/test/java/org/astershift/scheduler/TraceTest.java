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
 * Plays every trace below src/test/resources/traces: events with their times in, decisions out. The
 * words are explained in the README there. With -Dtraces.write=true the answers are written anew,
 * to be read before they are kept.
 */
class TraceTest {
  private static final Path TRACES = Path.of("src/test/resources/traces");

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
        for (String answer : player.play(line)) {
          played.add("> " + answer);
        }
      }
    }
    if (Boolean.getBoolean("traces.write")) {
      Files.write(file, played);
    }
    assertEquals(String.join("\n", kept), String.join("\n", played));
  }
}
