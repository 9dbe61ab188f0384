package org.astershift.golden;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import org.astershift.config.ConfigurationException;
import org.astershift.config.OperatorSettings;
import org.astershift.scheduler.SchedulingPolicy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What the operators' file yields, and the one line that is said of a bad one. */
class OperatorFormsTest {
  private static final String FULL =
      "; a remark\n# another\n[placement]\nwindow = 77\nutilization=0.5\nbatch = 12\n"
          + "waiting_age_s = 3.5\n\n[fleet]\nidle_release_s = 99.25\n";

  @TempDir Path dir;

  private Path writeFile(String text) throws Exception {
    return Files.writeString(dir.resolve("operator.ini"), text);
  }

  private static String describe(SchedulingPolicy p) {
    return p.windowTasks()
        + " "
        + p.utilizationThreshold()
        + " "
        + p.machineBatchTasks()
        + " "
        + p.waitingAgeS()
        + " "
        + p.idleReleaseS();
  }

  @Test
  void values() throws Exception {
    new Golden("operator-values")
        .add("defaults", describe(OperatorSettings.defaults()))
        .add("empty", describe(OperatorSettings.load(writeFile(""))))
        .add("empty sections", describe(OperatorSettings.load(writeFile("[placement]\n[fleet]\n"))))
        .add("one key", describe(OperatorSettings.load(writeFile("[fleet]\nidle_release_s = 0\n"))))
        .add("full", describe(OperatorSettings.load(writeFile(FULL))))
        .add(
            "fractions",
            describe(OperatorSettings.load(writeFile("[placement]\nwindow=9.9\nbatch=1.5\n"))))
        .add(
            "twice",
            describe(OperatorSettings.load(writeFile("[placement]\nwindow = 1\nwindow = 2\n"))))
        .add(
            "bounds",
            describe(OperatorSettings.load(writeFile("[placement]\nwindow=1e6\nutilization=1\n"))))
        .check();
  }

  private static Map<String, String> invalidFiles() {
    Map<String, String> out = new LinkedHashMap<>();
    String[] lines = {"window = 77", "utilization=0.5", "batch = 12", "waiting_age_s = 3.5"};
    for (String line : lines) {
      String name = line.replaceAll(" ?=.*", "");
      for (String wrong : new String[] {"", "x", "-1", "1e9", "NaN"}) {
        out.put(name + " is " + wrong, FULL.replace(line, name + " = " + wrong));
      }
    }
    out.put("idle_release_s", FULL.replace("99.25", "86400.5"));
    out.put("unknown key", FULL.replace("window", "widow"));
    out.put("unknown section", FULL.replace("[fleet]", "[flat]"));
    out.put("key of another section", FULL + "window = 4\n");
    out.put("key without section", "window = 4\n");
    out.put("several", "[placement]\nwindow = x\nbatch = 0\n[fleet]\nidle_release_s = -1\n");
    out.put("no INI", "[placement\nwindow");
    out.put("no value", "[placement]\nwindow\n");
    return out;
  }

  @Test
  void errors() throws Exception {
    Golden g = new Golden("operator-errors");
    for (Map.Entry<String, String> e : invalidFiles().entrySet()) {
      Path file = writeFile(e.getValue());
      String said =
          assertThrows(ConfigurationException.class, () -> OperatorSettings.load(file), e.getKey())
              .getMessage();
      g.add("<" + e.getKey() + ">", said.replace(file.toString(), "FILE"));
    }
    Path none = dir.resolve("none.ini");
    String said =
        assertThrows(ConfigurationException.class, () -> OperatorSettings.load(none)).getMessage();
    g.add("no file", said.replace(none.toString(), "FILE"));
    g.check();
  }
}
