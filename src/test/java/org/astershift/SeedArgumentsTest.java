package org.astershift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** How the programs that run seeds treat an invalid command line. */
@Timeout(60)
class SeedArgumentsTest {
  private static final Set<String> KNOWN = Set.of("story");

  @Test
  void invalidArgumentsAreRejectedWithOneLine() {
    String[][] invalid = {{}, {"1"}, {"1", "x"}, {"", "2"}, {"3", "2"}, {"1", "2", "tale"}};
    for (String[] args : invalid) {
      IllegalArgumentException error =
          assertThrows(
              IllegalArgumentException.class,
              () -> SeedArguments.parse(args, KNOWN),
              String.join(" ", args));
      assertEquals(1, error.getMessage().lines().count(), error.getMessage());
    }
  }

  @Test
  void validArgumentsAreParsed() {
    SeedArguments expected = new SeedArguments(1, 20, List.of("story"));
    assertEquals(expected, SeedArguments.parse(new String[] {"1", "20", "story"}, KNOWN));
  }

  @Test
  void programsExitWithCodeTwo() throws Exception {
    for (String program :
        List.of(
            "org.astershift.simulation.SeedRunner", "org.astershift.scheduler.SchedulerFuzzer")) {
      String java = System.getProperty("java.home") + "/bin/java";
      String classPath = System.getProperty("java.class.path");
      Process process =
          new ProcessBuilder(java, "-cp", classPath, program, "one", "2")
              .redirectErrorStream(true)
              .start();
      String output = new String(process.getInputStream().readAllBytes());
      process.waitFor(50, TimeUnit.SECONDS);
      assertEquals(2, process.exitValue(), program + ": " + output);
      assertEquals(List.of("not a seed: one"), output.lines().toList(), program);
    }
  }
}
