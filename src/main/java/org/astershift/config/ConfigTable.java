package org.astershift.config;

import com.electronwill.nightconfig.core.UnmodifiableConfig;
import java.util.List;

/**
 * A table of the settings file.
 *
 * @param config null if the table is missing; its fields are then not reported as missing as well
 * @param path the table's path in the settings file, for error messages
 */
record ConfigTable(UnmodifiableConfig config, String path) {
  boolean isMissing() {
    return config == null;
  }

  /** Returns the value of a field; null if the field or the table is missing. */
  Object get(String name) {
    return config == null ? null : config.get(List.of(name));
  }

  /** Returns the path of a field in the settings file. */
  String pathOf(String name) {
    return path.isEmpty() ? name : path + "." + name;
  }
}
