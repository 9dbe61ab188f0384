package org.astershift.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Field;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Whoever adds a count to the constants says at how many machines it binds. */
class SizingTest {
  /** Constants with one of these units in their name are no counts. */
  private static final String UNIT = ".*_(MS|S|NS)|STACK_BYTES";

  @Test
  void eachCountHasALineInTheOperatorsPage() throws Exception {
    String page = Files.readString(Path.of("docs/operations.md"));
    List<String> missing = new ArrayList<>();
    int counts = 0;
    for (Field f : Constants.class.getDeclaredFields()) {
      boolean whole = f.getType() == int.class || f.getType() == long.class;
      if (whole && !f.getName().matches(UNIT)) {
        counts++;
        if (!page.contains("`" + f.getName() + "`")) {
          missing.add(f.getName());
        }
      }
    }
    assertEquals(List.of(), missing, "docs/operations.md, What binds where");
    assertTrue(counts > 30, "it looks at " + counts);
  }
}
