package org.astershift.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.astershift.scheduler.SchedulingPolicy;
import org.ini4j.Config;
import org.ini4j.Ini;
import org.ini4j.Profile;

/** The operators' own settings: an INI file, every key optional, nothing unknown allowed. */
public final class OperatorSettings {
  /** Tasks of the queue looked at for a machine, as in the paper (section 4). */
  private static final int WINDOW_TASKS = 2500;

  /** Utilization from which a machine without a cached image stays free; paper, section 2.2. */
  private static final double UTILIZATION_THRESHOLD_SHARE = 0.9;

  /** Tasks given to one machine in one pass; ours. */
  private static final int MACHINE_BATCH_TASKS = 64;

  /** Seconds after which a task takes any machine, where no aim says so; ours. */
  private static final double WAITING_AGE_S = 5;

  /** Seconds without work after which a machine is returned; paper, section 4.1. */
  private static final double IDLE_RELEASE_S = 30;

  private OperatorSettings() {}

  private static final Map<String, Set<String>> KNOWN_KEYS =
      Map.of(
          "placement", Set.of("window", "utilization", "batch", "waiting_age_s"),
          "fleet", Set.of("idle_release_s"));

  /** What holds without a file. */
  public static SchedulingPolicy defaults() {
    return new SchedulingPolicy(
        WINDOW_TASKS,
        UTILIZATION_THRESHOLD_SHARE,
        MACHINE_BATCH_TASKS,
        WAITING_AGE_S,
        IDLE_RELEASE_S);
  }

  /** Reads and checks a file, and names everything that is wrong with it. */
  public static SchedulingPolicy load(Path file) throws ConfigurationException {
    Ini ini = new Ini();
    Config config = new Config();
    config.setGlobalSection(true);
    ini.setConfig(config);
    try (var in = Files.newBufferedReader(file)) {
      ini.load(in);
    } catch (IOException e) {
      String reason = e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
      throw new ConfigurationException(
          file + ": cannot be read: " + reason.replaceAll("\\s+", " "));
    }
    List<String> problems = new ArrayList<>();
    for (Profile.Section section : ini.values()) {
      Set<String> keys = KNOWN_KEYS.get(section.getName());
      if (keys == null) {
        problems.add("[" + section.getName() + "] is not a known section");
        continue;
      }
      for (String key : section.keySet()) {
        if (!keys.contains(key)) {
          problems.add(section.getName() + "." + key + " is not a known key");
        }
      }
    }
    SchedulingPolicy defaults = defaults();
    SchedulingPolicy policy =
        new SchedulingPolicy(
            (int)
                readNumber(
                    ini, "placement", "window", defaults.windowTasks(), 1, 1_000_000, problems),
            readNumber(
                ini, "placement", "utilization", defaults.utilizationThreshold(), 0, 1, problems),
            (int)
                readNumber(
                    ini, "placement", "batch", defaults.machineBatchTasks(), 1, 100_000, problems),
            readNumber(
                ini, "placement", "waiting_age_s", defaults.waitingAgeS(), 0, 86_400, problems),
            readNumber(
                ini, "fleet", "idle_release_s", defaults.idleReleaseS(), 0, 86_400, problems));
    if (!problems.isEmpty()) {
      throw new ConfigurationException(file + ": " + String.join("; ", problems));
    }
    return policy;
  }

  private static double readNumber(
      Ini ini,
      String section,
      String key,
      double fallback,
      double minimum,
      double maximum,
      List<String> problems) {
    String text = ini.get(section, key);
    if (text == null) {
      return fallback;
    }
    try {
      double number = Double.parseDouble(text.trim());
      if (number >= minimum && number <= maximum) {
        return number;
      }
      problems.add(section + "." + key + " is out of range: " + text);
    } catch (NumberFormatException e) {
      problems.add(section + "." + key + " is not a number: " + text);
    }
    return fallback;
  }
}
