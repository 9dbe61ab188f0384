package org.astershift.config;

import com.electronwill.nightconfig.core.UnmodifiableConfig;
import com.electronwill.nightconfig.core.io.ParsingException;
import com.electronwill.nightconfig.toml.TomlParser;
import java.io.IOException;
import java.io.Reader;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.astershift.scheduler.DeploymentLimits;
import org.astershift.scheduler.ServiceLevelObjective;
import org.astershift.scheduler.Team;

/** The settings file that the platform hands over. Fields unknown here are ignored. */
public record Settings(
    String nodeName,
    String zone,
    Endpoint listen,
    Endpoint peerListen,
    List<Peer> peers,
    Endpoint cloud,
    Endpoint store,
    StoreLimits storeLimits,
    double cloudRps,
    int sockets,
    DeploymentLimits limits) {

  /** Host and port of a TCP address. */
  public record Endpoint(String host, int port) {
    @Override
    public String toString() {
      return host + ":" + port;
    }
  }

  /** Another controller. */
  public record Peer(String nodeName, String zone, Endpoint endpoint) {}

  /** Limits of the state service. */
  public record StoreLimits(double rps, double writeRps, double valueKb, int txnOps) {}

  /** Reads and checks a file; all that is wrong with it is named at once. */
  public static Settings load(Path file) throws ConfigurationException {
    String text;
    try {
      text = Files.readString(file);
    } catch (IOException e) {
      throw new ConfigurationException(file + ": cannot be read: " + e.getClass().getSimpleName());
    }
    UnmodifiableConfig root;
    try (Reader in = new StringReader(text)) {
      root = new TomlParser().parse(in);
    } catch (ParsingException | IOException e) {
      throw new ConfigurationException(file + ": not TOML: " + oneLine(e.getMessage()));
    }
    ConfigReader check = new ConfigReader();
    Settings settings = read(root, check);
    if (!check.problems.isEmpty()) {
      throw new ConfigurationException(file + ": " + String.join("; ", check.problems));
    }
    return settings;
  }

  private static String oneLine(String message) {
    return message == null ? "?" : message.replaceAll("\\s+", " ");
  }

  private static Settings read(UnmodifiableConfig root, ConfigReader check) {
    List<Peer> peers = new ArrayList<>();
    for (ConfigTable peer : check.tables(root, "others", "others")) {
      peers.add(
          new Peer(
              check.string(peer, "member"),
              check.string(peer, "domain"),
              check.endpoint(peer, "endpoint")));
    }
    ConfigTable top = new ConfigTable(root, "");
    ConfigTable externalTable = check.table(top, "external");
    ConfigTable factsTable = check.table(top, "facts");
    ConfigTable workersTable = check.table(factsTable, "workers");
    ConfigTable stateTable = check.table(factsTable, "state");
    ConfigTable cloudTable = check.table(factsTable, "cloud");
    ConfigTable resourcesTable = check.table(factsTable, "resources");
    Map<String, Team> teams = new LinkedHashMap<>();
    for (ConfigTable team : check.tables(factsTable.config, "teams", "facts.teams")) {
      String name = check.string(team, "name");
      teams.put(
          name,
          new Team(
              name,
              check.numberOr(team, "cpus", 0),
              check.numberOr(team, "cpus_max", 0),
              check.numberOr(team, "gpus", 0),
              check.numberOr(team, "gpus_max", 0)));
    }
    List<ServiceLevelObjective> objectives = new ArrayList<>();
    for (ConfigTable objective :
        check.tables(factsTable.config, "objectives", "facts.objectives")) {
      objectives.add(
          new ServiceLevelObjective(
              check.string(objective, "kind"),
              check.stringOr(objective, "class", ""),
              check.numberOr(objective, "within_s", 0),
              check.numberOr(objective, "share", 0),
              check.numberOr(objective, "times", 1)));
    }
    int txnOps = (int) check.number(stateTable, "txn_ops", 2, 1e6);
    StoreLimits storeLimits =
        new StoreLimits(
            check.number(stateTable, "rps", 1, 1e9),
            check.number(stateTable, "write_rps", 1, 1e9),
            check.number(stateTable, "value_kb", 4, 1e6),
            txnOps);
    DeploymentLimits limits =
        new DeploymentLimits(
            teams,
            objectives,
            check.number(workersTable, "report_s", 0.01, 1e6),
            check.number(workersTable, "lease_s", 0.1, 1e6),
            check.number(workersTable, "gang_wait_s", 0, 1e6),
            check.number(workersTable, "gang_peer_s", 0, 1e6),
            check.number(workersTable, "cancel_s", 0, 1e6),
            check.number(cloudTable, "list_lag_s", 0, 1e6));
    return new Settings(
        check.string(top, "member"),
        check.string(top, "domain"),
        check.endpoint(top, "public_addr"),
        check.endpoint(top, "internal_addr"),
        peers,
        check.endpoint(externalTable, "cloud"),
        check.endpoint(externalTable, "state"),
        storeLimits,
        check.number(cloudTable, "rps", 0.01, 1e9),
        (int) check.number(resourcesTable, "sockets", 16, 1e7),
        limits);
  }

  /** A table of the file and where it stands. */
  private record ConfigTable(UnmodifiableConfig config, String path) {
    String at(String name) {
      return path.isEmpty() ? name : path + "." + name;
    }
  }

  /** Typed access that collects every problem instead of stopping at the first. */
  private static final class ConfigReader {
    final List<String> problems = new ArrayList<>();

    private Object get(ConfigTable table, String name) {
      return table.config == null ? null : table.config.get(List.of(name));
    }

    ConfigTable table(ConfigTable parent, String name) {
      Object value = get(parent, name);
      if (value instanceof UnmodifiableConfig childTable) {
        return new ConfigTable(childTable, parent.at(name));
      }
      if (parent.config != null) {
        problems.add(parent.at(name) + (value == null ? " is missing" : " is not a table"));
      }
      return new ConfigTable(null, parent.at(name));
    }

    List<ConfigTable> tables(UnmodifiableConfig parent, String name, String path) {
      List<ConfigTable> children = new ArrayList<>();
      Object value = parent == null ? null : parent.get(List.of(name));
      if (value == null) {
        return children;
      }
      if (!(value instanceof List<?> list)) {
        problems.add(path + " is not a list of tables");
        return children;
      }
      for (Object element : list) {
        if (element instanceof UnmodifiableConfig childTable) {
          children.add(new ConfigTable(childTable, path + "[" + children.size() + "]"));
        } else {
          problems.add(path + " is not a list of tables");
        }
      }
      return children;
    }

    String string(ConfigTable table, String name) {
      Object value = get(table, name);
      if (value instanceof String string && !string.isEmpty()) {
        return string;
      }
      if (table.config != null) {
        problems.add(table.at(name) + (value == null ? " is missing" : " is not a text"));
      }
      return "?";
    }

    String stringOr(ConfigTable table, String name, String fallback) {
      return get(table, name) == null ? fallback : string(table, name);
    }

    double number(ConfigTable table, String name, double minimum, double maximum) {
      Object value = get(table, name);
      if (value instanceof Number n) {
        double number = n.doubleValue();
        if (number >= minimum && number <= maximum) {
          return number;
        }
        problems.add(table.at(name) + " is out of range: " + value);
      } else if (table.config != null) {
        problems.add(table.at(name) + (value == null ? " is missing" : " is not a number"));
      }
      return minimum;
    }

    double numberOr(ConfigTable table, String name, double fallback) {
      return get(table, name) == null ? fallback : number(table, name, 0, 1e12);
    }

    Endpoint endpoint(ConfigTable table, String name) {
      String address = string(table, name);
      int colon = address.lastIndexOf(':');
      try {
        int port = Integer.parseInt(address.substring(colon + 1));
        if (colon > 0 && port > 0 && port < 65_536) {
          return new Endpoint(address.substring(0, colon), port);
        }
      } catch (NumberFormatException e) {
        // told below, as every other form that is no address
      }
      if (!address.equals("?")) {
        problems.add(table.at(name) + " is not host:port: " + address);
      }
      return new Endpoint("?", 0);
    }
  }
}
