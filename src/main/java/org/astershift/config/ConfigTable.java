package org.astershift.config;

import com.electronwill.nightconfig.core.UnmodifiableConfig;
import java.util.List;

/**
 * A table of the settings file with its path there, for messages.
 *
 * @param config null if the table is missing; its fields are then not reported as missing, too
 */
record ConfigTable(UnmodifiableConfig config, String path) {
  boolean isMissing() {
    return config == null;
  }

  /** The value of a field; null if there is none. */
  Object get(String name) {
    return config == null ? null : config.get(List.of(name));
  }

  /** The path of a field. */
  String pathOf(String name) {
    return path.isEmpty() ? name : path + "." + name;
  }
}
