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
 * The class list names all classes of the program. The class archive that shortens startup is made
 * from it: a class missing there is read from the jar at each start, and startup time is charged.
 * The list once lacked 48 classes.
 */
class ClassListTest {
  private static final Path LIST = Path.of("src/main/cds/classes.lst");
  private static final Path CLASSES = Path.of("target/classes");
  private static final String PACKAGE_PREFIX = "org/astershift/";

  /**
   * Compares the list with the compiled classes. With {@code -Dtraces.write=true} the part of the
   * list that names classes of this program is rewritten instead.
   */
  @Test
  void listsOwnClasses() throws IOException {
    TreeSet<String> compiled = new TreeSet<>();
    try (Stream<Path> files = Files.walk(CLASSES.resolve(PACKAGE_PREFIX))) {
      files
          .map(file -> CLASSES.relativize(file).toString().replace('\\', '/'))
          .filter(file -> file.endsWith(".class") && !file.endsWith("package-info.class"))
          .forEach(file -> compiled.add(file.substring(0, file.length() - ".class".length())));
    }
    List<String> lines = Files.readAllLines(LIST);
    TreeSet<String> listed = new TreeSet<>();
    for (String line : lines) {
      if (line.startsWith(PACKAGE_PREFIX)) {
        listed.add(line.trim());
      }
    }
    if (Boolean.getBoolean("traces.write") && !listed.equals(compiled)) {
      List<String> updated = new ArrayList<>(lines);
      updated.removeIf(line -> line.startsWith(PACKAGE_PREFIX) && !compiled.contains(line.trim()));
      compiled.stream().filter(name -> !listed.contains(name)).forEach(updated::add);
      Files.write(LIST, updated);
      return;
    }
    assertEquals(String.join("\n", compiled), String.join("\n", listed));
  }
}
