package org.astershift.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A golden file with one line per case, {@code label = text}, which is compared byte for byte. With
 * {@code -Dgolden.write=true} the file is rewritten; read the changes before keeping them, as other
 * versions and other parties depend on these formats.
 */
public final class Golden {
  private static final Path DIR = Path.of("src/test/resources/golden");
  private static final String SEPARATOR = " = ";
  private final Path file;
  private final Map<String, String> cases = new LinkedHashMap<>();

  public Golden(String name) {
    this.file = DIR.resolve(name + ".txt");
  }

  /** Adds a case; its text must be one line. */
  public Golden add(String label, String text) {
    if (text.indexOf('\n') >= 0 || label.contains(SEPARATOR)) {
      throw new IllegalArgumentException(label + SEPARATOR + text);
    }
    assertNull(cases.put(label, text), "duplicate case: " + label);
    return this;
  }

  /** Adds a case whose text is given as UTF-8 bytes. */
  public Golden add(String label, byte[] text) {
    return add(label, new String(text, StandardCharsets.UTF_8));
  }

  /** Compares all cases with the file. */
  public void check() throws IOException {
    StringBuilder out = new StringBuilder();
    cases.forEach((label, text) -> out.append(label).append(SEPARATOR).append(text).append('\n'));
    if (Boolean.getBoolean("golden.write")) {
      Files.createDirectories(DIR);
      Files.writeString(file, out);
    }
    byte[] kept = Files.readAllBytes(file);
    assertEquals(new String(kept, StandardCharsets.UTF_8), out.toString(), file.toString());
  }

  /** Returns the text of a case in the file, for decoding. */
  public String expected(String label) throws IOException {
    String start = label + SEPARATOR;
    String found = null;
    for (String line : Files.readString(file).split("\n")) {
      if (line.startsWith(start)) {
        found = line.substring(start.length());
      }
    }
    assertNotNull(found, "no such case: " + label);
    return found;
  }
}
