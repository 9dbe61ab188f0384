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

/** The operators' own settings, an INI file. All keys are optional; unknown ones are errors. */
public final class OperatorSettings {
  /**
   * Default number of tasks of the wait queue that are considered for a machine; see section 4 of
   * the paper.
   */
  private static final int WINDOW_TASKS = 2500;

  /**
   * Default utilization above which a machine that lacks the cached image of a task is left free;
   * see section 2.2 of the paper.
   */
  private static final double UTILIZATION_THRESHOLD_SHARE = 0.9;

  /** Default maximum number of tasks that are placed on one machine in one pass. */
  private static final int MACHINE_BATCH_TASKS = 64;

  /** Default waiting time after which a task without an objective takes any machine, in seconds. */
  private static final double WAITING_AGE_S = 5;

  /**
   * Default idle time after which a machine is released, in seconds; see section 4.1 of the paper.
   */
  private static final double IDLE_RELEASE_S = 30;

  /** Known keys by section. */
  private static final Map<String, Set<String>> KNOWN_KEYS =
      Map.of(
          "placement", Set.of("window", "utilization", "batch", "waiting_age_s"),
          "fleet", Set.of("idle_release_s"));

  private OperatorSettings() {}

  /** Returns the policy that applies without a settings file. */
  public static SchedulingPolicy defaults() {
    return new SchedulingPolicy(
        WINDOW_TASKS,
        UTILIZATION_THRESHOLD_SHARE,
        MACHINE_BATCH_TASKS,
        WAITING_AGE_S,
        IDLE_RELEASE_S);
  }

  /** Reads and checks a settings file; the exception names everything that is wrong with it. */
  public static SchedulingPolicy load(Path file) throws ConfigurationException {
    Ini ini = parse(file);
    List<String> problems = new ArrayList<>();
    findUnknownKeys(ini, problems);
    SchedulingPolicy policy = readPolicy(ini, problems);
    if (!problems.isEmpty()) {
      throw new ConfigurationException(file + ": " + String.join("; ", problems));
    }
    return policy;
  }

  private static Ini parse(Path file) throws ConfigurationException {
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
    return ini;
  }

  private static void findUnknownKeys(Ini ini, List<String> problems) {
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
  }

  private static SchedulingPolicy readPolicy(Ini ini, List<String> problems) {
    double window = readNumber(ini, "placement", "window", WINDOW_TASKS, 1, 1_000_000, problems);
    double utilization =
        readNumber(ini, "placement", "utilization", UTILIZATION_THRESHOLD_SHARE, 0, 1, problems);
    double batch = readNumber(ini, "placement", "batch", MACHINE_BATCH_TASKS, 1, 100_000, problems);
    double waitingAgeS =
        readNumber(ini, "placement", "waiting_age_s", WAITING_AGE_S, 0, 86_400, problems);
    double idleReleaseS =
        readNumber(ini, "fleet", "idle_release_s", IDLE_RELEASE_S, 0, 86_400, problems);
    return new SchedulingPolicy((int) window, utilization, (int) batch, waitingAgeS, idleReleaseS);
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
