package org.astershift.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Each constant that is a count is listed for operators with the number of machines at which it
 * becomes the limit.
 */
class SizingTest {
  /** Constants with one of these units in their name are not counts. */
  private static final String UNIT = ".*_(MS|S|NS|STATUS)|STACK_BYTES|serialVersionUID";

  @Test
  void everyCountIsDocumentedForOperators() throws Exception {
    String page = Files.readString(Path.of("docs/operations.md"));
    List<String> missing = new ArrayList<>();
    int counts = 0;
    for (Class<?> type : programClasses()) {
      for (Field field : type.getDeclaredFields()) {
        if (isCount(field)) {
          counts++;
          if (!page.contains("`" + field.getName() + "`")) {
            missing.add(type.getSimpleName() + "." + field.getName());
          }
        }
      }
    }
    assertEquals(List.of(), missing, "docs/operations.md, What binds where");
    assertTrue(counts > 30, "counts found: " + counts);
  }

  private static boolean isCount(Field field) {
    boolean constant =
        Modifier.isStatic(field.getModifiers()) && Modifier.isFinal(field.getModifiers());
    boolean whole = field.getType() == int.class || field.getType() == long.class;
    return constant && whole && !field.isSynthetic() && !field.getName().matches(UNIT);
  }

  /** Returns all classes of the program, loaded without running their initializers. */
  private static List<Class<?>> programClasses() throws Exception {
    Path root = Path.of(Settings.class.getProtectionDomain().getCodeSource().getLocation().toURI());
    List<Class<?>> classes = new ArrayList<>();
    try (Stream<Path> files = Files.walk(root)) {
      for (Path file : files.filter(path -> path.toString().endsWith(".class")).toList()) {
        String name = root.relativize(file).toString().replace('/', '.');
        String binaryName = name.substring(0, name.length() - ".class".length());
        classes.add(Class.forName(binaryName, false, SizingTest.class.getClassLoader()));
      }
    }
    return classes;
  }
}
