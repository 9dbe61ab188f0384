package org.astershift;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * The class archive that shortens a start holds what the kept list names: a class missing there is
 * read from the jar at each start, and starts are charged. The list lacked 48 classes once.
 */
class ClassListTest {
  private static final Path LIST = Path.of("src/main/cds/classes.lst");
  private static final Path CLASSES = Path.of("target/classes");
  private static final String PACKAGE_PREFIX = "org/astershift/";

  /** With {@code -Dtraces.write=true} the list's own part is written anew. */
  @Test
  void listsOwnClasses() throws IOException {
    TreeSet<String> compiled = new TreeSet<>();
    try (Stream<Path> files = Files.walk(CLASSES.resolve(PACKAGE_PREFIX))) {
      files
          .map(f -> CLASSES.relativize(f).toString().replace('\\', '/'))
          .filter(f -> f.endsWith(".class") && !f.endsWith("package-info.class"))
          .forEach(f -> compiled.add(f.substring(0, f.length() - ".class".length())));
    }
    List<String> lines = Files.readAllLines(LIST);
    TreeSet<String> listed = new TreeSet<>();
    for (String line : lines) {
      if (line.startsWith(PACKAGE_PREFIX)) {
        listed.add(line.trim());
      }
    }
    if (Boolean.getBoolean("traces.write") && !listed.equals(compiled)) {
      List<String> out = new ArrayList<>(lines);
      out.removeIf(line -> line.startsWith(PACKAGE_PREFIX) && !compiled.contains(line.trim()));
      compiled.stream().filter(c -> !listed.contains(c)).forEach(out::add);
      Files.write(LIST, out);
      return;
    }
    assertEquals(String.join("\n", compiled), String.join("\n", listed));
  }
}
