package org.astershift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The classes that the documentation names as {@code package.Class} exist under that name. */
class DocumentedNamesTest {
  private static final Path PROGRAM = Path.of("src/main/java/org/astershift");
  private static final Pattern CLASS_NAME = Pattern.compile("`([a-z]+)\\.([A-Z][A-Za-z]+)[^`]*`");

  @ParameterizedTest
  @ValueSource(strings = {"docs/architecture.md", "docs/glossary.md"})
  void namedClassesExist(String page) throws IOException {
    Set<String> missing = new TreeSet<>();
    int named = 0;
    Matcher matcher = CLASS_NAME.matcher(Files.readString(Path.of(page)));
    while (matcher.find()) {
      named++;
      Path source = PROGRAM.resolve(matcher.group(1)).resolve(matcher.group(2) + ".java");
      if (!Files.exists(source)) {
        missing.add(matcher.group(1) + "." + matcher.group(2));
      }
    }
    assertTrue(named > 20, page + " names " + named + " classes");
    assertEquals(Set.of(), missing, page + " names classes that do not exist");
  }
}
