package org.astershift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What the programs that play seeds do with a command line that they cannot read. */
@Timeout(60)
class SeedArgumentsTest {
  private static final Set<String> KNOWN = Set.of("story");

  @Test
  void invalidArgumentsAreRejectedWithOneLine() {
    String[][] bad = {{}, {"1"}, {"1", "x"}, {"", "2"}, {"3", "2"}, {"1", "2", "tale"}};
    for (String[] args : bad) {
      IllegalArgumentException e =
          assertThrows(
              IllegalArgumentException.class,
              () -> SeedArguments.parse(args, KNOWN),
              String.join(" ", args));
      assertEquals(1, e.getMessage().lines().count(), e.getMessage());
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
      String path = System.getProperty("java.class.path");
      Process p =
          new ProcessBuilder(java, "-cp", path, program, "one", "2")
              .redirectErrorStream(true)
              .start();
      String said = new String(p.getInputStream().readAllBytes());
      p.waitFor(50, TimeUnit.SECONDS);
      assertEquals(2, p.exitValue(), program + ": " + said);
      assertEquals(List.of("not a seed: one"), said.lines().toList(), program);
    }
  }
}
