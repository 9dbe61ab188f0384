package org.astershift.config;

import com.electronwill.nightconfig.core.UnmodifiableConfig;
import java.util.ArrayList;
import java.util.List;

/**
 * Type-checked access to the fields of a settings file. For an invalid field, it records the
 * problem and returns a placeholder instead of stopping: the values are usable only if {@link
 * #problems} is empty.
 */
final class ConfigReader {
  private static final String MISSING_TEXT = "?";
  private static final double MAX_OPTIONAL_NUMBER = 1e12;
  private static final int MAX_PORT = 65_535;

  private final List<String> problems = new ArrayList<>();

  /** Returns the problems found so far, one line each. */
  List<String> problems() {
    return problems;
  }

  /** Returns a required table. */
  ConfigTable table(ConfigTable parent, String name) {
    Object value = parent.get(name);
    if (value instanceof UnmodifiableConfig child) {
      return new ConfigTable(child, parent.pathOf(name));
    }
    if (!parent.isMissing()) {
      problems.add(parent.pathOf(name) + (value == null ? " is missing" : " is not a table"));
    }
    return new ConfigTable(null, parent.pathOf(name));
  }

  /** Returns an optional list of tables; empty if the field is missing. */
  List<ConfigTable> tables(ConfigTable parent, String name) {
    List<ConfigTable> children = new ArrayList<>();
    String path = parent.pathOf(name);
    Object value = parent.get(name);
    if (value == null) {
      return children;
    }
    if (!(value instanceof List<?> list)) {
      problems.add(path + " is not a list of tables");
      return children;
    }
    for (Object element : list) {
      if (element instanceof UnmodifiableConfig child) {
        children.add(new ConfigTable(child, path + "[" + children.size() + "]"));
      } else {
        problems.add(path + " is not a list of tables");
      }
    }
    return children;
  }

  /** Returns a required text, which must not be empty. */
  String string(ConfigTable table, String name) {
    Object value = table.get(name);
    if (value instanceof String string && !string.isEmpty()) {
      return string;
    }
    if (!table.isMissing()) {
      problems.add(table.pathOf(name) + (value == null ? " is missing" : " is not a text"));
    }
    return MISSING_TEXT;
  }

  /** Returns an optional text; {@code fallback} if the field is missing. */
  String stringOr(ConfigTable table, String name, String fallback) {
    return table.get(name) == null ? fallback : string(table, name);
  }

  /** Returns a required number, which must lie within the bounds, both included. */
  double number(ConfigTable table, String name, double minimum, double maximum) {
    Object value = table.get(name);
    if (value instanceof Number n) {
      double number = n.doubleValue();
      if (number >= minimum && number <= maximum) {
        return number;
      }
      problems.add(table.pathOf(name) + " is out of range: " + value);
    } else if (!table.isMissing()) {
      problems.add(table.pathOf(name) + (value == null ? " is missing" : " is not a number"));
    }
    return minimum;
  }

  /**
   * Returns an optional number, which must not be negative; {@code fallback} if the field is
   * missing.
   */
  double numberOr(ConfigTable table, String name, double fallback) {
    return table.get(name) == null ? fallback : number(table, name, 0, MAX_OPTIONAL_NUMBER);
  }

  /** Returns a required address of the form host:port. */
  Settings.Endpoint endpoint(ConfigTable table, String name) {
    String address = string(table, name);
    int colon = address.lastIndexOf(':');
    try {
      int port = Integer.parseInt(address.substring(colon + 1));
      if (colon > 0 && port > 0 && port <= MAX_PORT) {
        return new Settings.Endpoint(address.substring(0, colon), port);
      }
    } catch (NumberFormatException e) {
      // reported below, like any other malformed address
    }
    if (!address.equals(MISSING_TEXT)) {
      problems.add(table.pathOf(name) + " is not host:port: " + address);
    }
    return new Settings.Endpoint(MISSING_TEXT, 0);
  }
}
