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

/** The platform's settings, read from a TOML file. Unknown fields are ignored. */
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
    int maxSockets,
    DeploymentLimits limits) {

  /** Host and port of a TCP address. */
  public record Endpoint(String host, int port) {
    @Override
    public String toString() {
      return host + ":" + port;
    }
  }

  /** Another controller: its node name, its zone, and the address for requests to it. */
  public record Peer(String nodeName, String zone, Endpoint endpoint) {}

  /**
   * Limits of the store: requests and writes per second, largest value in KB, and operations per
   * transaction.
   */
  public record StoreLimits(double rps, double writeRps, double valueKb, int txnOps) {}

  /** Reads and checks a settings file; the exception names everything that is wrong with it. */
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
    ConfigReader reader = new ConfigReader();
    Settings settings = read(new ConfigTable(root, ""), reader);
    if (!reader.problems().isEmpty()) {
      throw new ConfigurationException(file + ": " + String.join("; ", reader.problems()));
    }
    return settings;
  }

  private static String oneLine(String message) {
    return message == null ? "?" : message.replaceAll("\\s+", " ");
  }

  private static Settings read(ConfigTable root, ConfigReader reader) {
    List<Peer> peers = readPeers(root, reader);
    ConfigTable external = reader.table(root, "external");
    ConfigTable facts = reader.table(root, "facts");
    ConfigTable workers = reader.table(facts, "workers");
    ConfigTable store = reader.table(facts, "state");
    ConfigTable cloud = reader.table(facts, "cloud");
    ConfigTable resources = reader.table(facts, "resources");
    Map<String, Team> teams = readTeams(facts, reader);
    List<ServiceLevelObjective> objectives = readObjectives(facts, reader);
    StoreLimits storeLimits = readStoreLimits(store, reader);
    DeploymentLimits limits = readLimits(teams, objectives, workers, cloud, reader);
    return new Settings(
        reader.string(root, "member"),
        reader.string(root, "domain"),
        reader.endpoint(root, "public_addr"),
        reader.endpoint(root, "internal_addr"),
        peers,
        reader.endpoint(external, "cloud"),
        reader.endpoint(external, "state"),
        storeLimits,
        reader.number(cloud, "rps", 0.01, 1e9),
        (int) reader.number(resources, "sockets", 16, 1e7),
        limits);
  }

  private static List<Peer> readPeers(ConfigTable root, ConfigReader reader) {
    List<Peer> peers = new ArrayList<>();
    for (ConfigTable peer : reader.tables(root, "others")) {
      peers.add(
          new Peer(
              reader.string(peer, "member"),
              reader.string(peer, "domain"),
              reader.endpoint(peer, "endpoint")));
    }
    return peers;
  }

  private static Map<String, Team> readTeams(ConfigTable facts, ConfigReader reader) {
    Map<String, Team> teams = new LinkedHashMap<>();
    for (ConfigTable team : reader.tables(facts, "teams")) {
      String name = reader.string(team, "name");
      teams.put(
          name,
          new Team(
              name,
              reader.numberOr(team, "cpus", 0),
              reader.numberOr(team, "cpus_max", 0),
              reader.numberOr(team, "gpus", 0),
              reader.numberOr(team, "gpus_max", 0)));
    }
    return teams;
  }

  private static List<ServiceLevelObjective> readObjectives(
      ConfigTable facts, ConfigReader reader) {
    List<ServiceLevelObjective> objectives = new ArrayList<>();
    for (ConfigTable objective : reader.tables(facts, "objectives")) {
      objectives.add(
          new ServiceLevelObjective(
              reader.string(objective, "kind"),
              reader.stringOr(objective, "class", ""),
              reader.numberOr(objective, "within_s", 0),
              reader.numberOr(objective, "share", 0),
              reader.numberOr(objective, "times", 1)));
    }
    return objectives;
  }

  private static StoreLimits readStoreLimits(ConfigTable store, ConfigReader reader) {
    int txnOps = (int) reader.number(store, "txn_ops", 2, 1e6);
    return new StoreLimits(
        reader.number(store, "rps", 1, 1e9),
        reader.number(store, "write_rps", 1, 1e9),
        reader.number(store, "value_kb", 4, 1e6),
        txnOps);
  }

  private static DeploymentLimits readLimits(
      Map<String, Team> teams,
      List<ServiceLevelObjective> objectives,
      ConfigTable workers,
      ConfigTable cloud,
      ConfigReader reader) {
    return new DeploymentLimits(
        teams,
        objectives,
        reader.number(workers, "report_s", 0.01, 1e6),
        reader.number(workers, "lease_s", 0.1, 1e6),
        reader.number(workers, "gang_wait_s", 0, 1e6),
        reader.number(workers, "gang_peer_s", 0, 1e6),
        reader.number(workers, "cancel_s", 0, 1e6),
        reader.number(cloud, "list_lag_s", 0, 1e6));
  }
}
