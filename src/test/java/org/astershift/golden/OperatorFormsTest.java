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

/** Values read from the operators' file, and the one-line errors for invalid files. */
class OperatorFormsTest {
  private static final String FULL =
      "; a remark\n# another\n[placement]\nwindow = 77\nutilization=0.5\nbatch = 12\n"
          + "waiting_age_s = 3.5\n\n[fleet]\nidle_release_s = 99.25\n";

  @TempDir Path dir;

  private Path writeFile(String text) throws Exception {
    return Files.writeString(dir.resolve("operator.ini"), text);
  }

  private static String describe(SchedulingPolicy policy) {
    return policy.windowTasks()
        + " "
        + policy.utilizationThreshold()
        + " "
        + policy.machineBatchTasks()
        + " "
        + policy.waitingAgeS()
        + " "
        + policy.idleReleaseS();
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
    Map<String, String> files = new LinkedHashMap<>();
    String[] lines = {"window = 77", "utilization=0.5", "batch = 12", "waiting_age_s = 3.5"};
    for (String line : lines) {
      String name = line.replaceAll(" ?=.*", "");
      for (String wrong : new String[] {"", "x", "-1", "1e9", "NaN"}) {
        files.put(name + " is " + wrong, FULL.replace(line, name + " = " + wrong));
      }
    }
    files.put("idle_release_s", FULL.replace("99.25", "86400.5"));
    files.put("unknown key", FULL.replace("window", "widow"));
    files.put("unknown section", FULL.replace("[fleet]", "[flat]"));
    files.put("key of another section", FULL + "window = 4\n");
    files.put("key without section", "window = 4\n");
    files.put("several", "[placement]\nwindow = x\nbatch = 0\n[fleet]\nidle_release_s = -1\n");
    files.put("no INI", "[placement\nwindow");
    files.put("no value", "[placement]\nwindow\n");
    return files;
  }

  @Test
  void errors() throws Exception {
    Golden golden = new Golden("operator-errors");
    for (Map.Entry<String, String> entry : invalidFiles().entrySet()) {
      Path file = writeFile(entry.getValue());
      String message =
          assertThrows(
                  ConfigurationException.class, () -> OperatorSettings.load(file), entry.getKey())
              .getMessage();
      golden.add("<" + entry.getKey() + ">", message.replace(file.toString(), "FILE"));
    }
    Path missing = dir.resolve("none.ini");
    String message =
        assertThrows(ConfigurationException.class, () -> OperatorSettings.load(missing))
            .getMessage();
    golden.add("no file", message.replace(missing.toString(), "FILE"));
    golden.check();
  }
}
