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
    String node,
    String zone,
    Endpoint listen,
    Endpoint peerListen,
    List<Peer> peers,
    Endpoint cloud,
    Endpoint store,
    StoreLimits storeLimits,
    double cloudRps,
    int sockets,
    DeploymentLimits facts) {

  /** Host and port of a TCP address. */
  public record Endpoint(String host, int port) {
    @Override
    public String toString() {
      return host + ":" + port;
    }
  }

  /** Another controller. */
  public record Peer(String node, String zone, Endpoint endpoint) {}

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
    Check check = new Check();
    Settings settings = read(root, check);
    if (!check.problems.isEmpty()) {
      throw new ConfigurationException(file + ": " + String.join("; ", check.problems));
    }
    return settings;
  }

  private static String oneLine(String message) {
    return message == null ? "?" : message.replaceAll("\\s+", " ");
  }

  private static Settings read(UnmodifiableConfig root, Check c) {
    List<Peer> peers = new ArrayList<>();
    for (Field p : c.tables(root, "others", "others")) {
      peers.add(new Peer(c.text(p, "member"), c.text(p, "domain"), c.endpoint(p, "endpoint")));
    }
    Field top = new Field(root, "");
    Field external = c.table(top, "external");
    Field facts = c.table(top, "facts");
    Field workers = c.table(facts, "workers");
    Field state = c.table(facts, "state");
    Field cloud = c.table(facts, "cloud");
    Field resources = c.table(facts, "resources");
    Map<String, Team> teams = new LinkedHashMap<>();
    for (Field t : c.tables(facts.config, "teams", "facts.teams")) {
      String name = c.text(t, "name");
      teams.put(
          name,
          new Team(
              name,
              c.numberOr(t, "cpus", 0),
              c.numberOr(t, "cpus_max", 0),
              c.numberOr(t, "gpus", 0),
              c.numberOr(t, "gpus_max", 0)));
    }
    List<ServiceLevelObjective> objectives = new ArrayList<>();
    for (Field o : c.tables(facts.config, "objectives", "facts.objectives")) {
      objectives.add(
          new ServiceLevelObjective(
              c.text(o, "kind"),
              c.textOr(o, "class", ""),
              c.numberOr(o, "within_s", 0),
              c.numberOr(o, "share", 0),
              c.numberOr(o, "times", 1)));
    }
    int txnOps = (int) c.number(state, "txn_ops", 2, 1e6);
    StoreLimits limits =
        new StoreLimits(
            c.number(state, "rps", 1, 1e9),
            c.number(state, "write_rps", 1, 1e9),
            c.number(state, "value_kb", 4, 1e6),
            txnOps);
    DeploymentLimits f =
        new DeploymentLimits(
            teams,
            objectives,
            c.number(workers, "report_s", 0.01, 1e6),
            c.number(workers, "lease_s", 0.1, 1e6),
            c.number(workers, "gang_wait_s", 0, 1e6),
            c.number(workers, "gang_peer_s", 0, 1e6),
            c.number(workers, "cancel_s", 0, 1e6),
            c.number(cloud, "list_lag_s", 0, 1e6));
    return new Settings(
        c.text(top, "member"),
        c.text(top, "domain"),
        c.endpoint(top, "public_addr"),
        c.endpoint(top, "internal_addr"),
        peers,
        c.endpoint(external, "cloud"),
        c.endpoint(external, "state"),
        limits,
        c.number(cloud, "rps", 0.01, 1e9),
        (int) c.number(resources, "sockets", 16, 1e7),
        f);
  }

  /** A table of the file and where it stands. */
  private record Field(UnmodifiableConfig config, String path) {
    String at(String name) {
      return path.isEmpty() ? name : path + "." + name;
    }
  }

  /** Typed access that collects every problem instead of stopping at the first. */
  private static final class Check {
    final List<String> problems = new ArrayList<>();

    private Object get(Field f, String name) {
      return f.config == null ? null : f.config.get(List.of(name));
    }

    Field table(Field parent, String name) {
      Object v = get(parent, name);
      if (v instanceof UnmodifiableConfig t) {
        return new Field(t, parent.at(name));
      }
      if (parent.config != null) {
        problems.add(parent.at(name) + (v == null ? " is missing" : " is not a table"));
      }
      return new Field(null, parent.at(name));
    }

    List<Field> tables(UnmodifiableConfig parent, String name, String path) {
      List<Field> out = new ArrayList<>();
      Object v = parent == null ? null : parent.get(List.of(name));
      if (v == null) {
        return out;
      }
      if (!(v instanceof List<?> list)) {
        problems.add(path + " is not a list of tables");
        return out;
      }
      for (Object o : list) {
        if (o instanceof UnmodifiableConfig t) {
          out.add(new Field(t, path + "[" + out.size() + "]"));
        } else {
          problems.add(path + " is not a list of tables");
        }
      }
      return out;
    }

    String text(Field f, String name) {
      Object v = get(f, name);
      if (v instanceof String s && !s.isEmpty()) {
        return s;
      }
      if (f.config != null) {
        problems.add(f.at(name) + (v == null ? " is missing" : " is not a text"));
      }
      return "?";
    }

    String textOr(Field f, String name, String otherwise) {
      return get(f, name) == null ? otherwise : text(f, name);
    }

    double number(Field f, String name, double least, double most) {
      Object v = get(f, name);
      if (v instanceof Number n) {
        double d = n.doubleValue();
        if (d >= least && d <= most) {
          return d;
        }
        problems.add(f.at(name) + " is out of range: " + v);
      } else if (f.config != null) {
        problems.add(f.at(name) + (v == null ? " is missing" : " is not a number"));
      }
      return least;
    }

    double numberOr(Field f, String name, double otherwise) {
      return get(f, name) == null ? otherwise : number(f, name, 0, 1e12);
    }

    Endpoint endpoint(Field f, String name) {
      String s = text(f, name);
      int colon = s.lastIndexOf(':');
      try {
        int port = Integer.parseInt(s.substring(colon + 1));
        if (colon > 0 && port > 0 && port < 65_536) {
          return new Endpoint(s.substring(0, colon), port);
        }
      } catch (NumberFormatException e) {
        // told below, as every other form that is no address
      }
      if (!s.equals("?")) {
        problems.add(f.at(name) + " is not host:port: " + s);
      }
      return new Endpoint("?", 0);
    }
  }
}
