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
  private OperatorSettings() {}

  private static final Map<String, Set<String>> KNOWN =
      Map.of(
          "placement", Set.of("window", "utilization", "batch", "waiting_age_s"),
          "fleet", Set.of("idle_release_s"));

  /** What holds without a file. */
  public static SchedulingPolicy defaults() {
    return new SchedulingPolicy(
        Constants.WINDOW,
        Constants.UTILIZATION,
        Constants.BATCH,
        Constants.WAITING_AGE_S,
        Constants.IDLE_RELEASE_S);
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
      String why = e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
      throw new ConfigurationException(file + ": cannot be read: " + why.replaceAll("\\s+", " "));
    }
    List<String> problems = new ArrayList<>();
    for (Profile.Section section : ini.values()) {
      Set<String> keys = KNOWN.get(section.getName());
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
    SchedulingPolicy d = defaults();
    SchedulingPolicy policy =
        new SchedulingPolicy(
            (int) value(ini, "placement", "window", d.window(), 1, 1_000_000, problems),
            value(ini, "placement", "utilization", d.utilization(), 0, 1, problems),
            (int) value(ini, "placement", "batch", d.batch(), 1, 100_000, problems),
            value(ini, "placement", "waiting_age_s", d.waitingAgeS(), 0, 86_400, problems),
            value(ini, "fleet", "idle_release_s", d.idleReleaseS(), 0, 86_400, problems));
    if (!problems.isEmpty()) {
      throw new ConfigurationException(file + ": " + String.join("; ", problems));
    }
    return policy;
  }

  private static double value(
      Ini ini,
      String section,
      String key,
      double otherwise,
      double least,
      double most,
      List<String> problems) {
    String text = ini.get(section, key);
    if (text == null) {
      return otherwise;
    }
    try {
      double v = Double.parseDouble(text.trim());
      if (v >= least && v <= most) {
        return v;
      }
      problems.add(section + "." + key + " is out of range: " + text);
    } catch (NumberFormatException e) {
      problems.add(section + "." + key + " is not a number: " + text);
    }
    return otherwise;
  }
}
