package org.astershift.golden;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import org.astershift.config.ConfigurationException;
import org.astershift.config.Settings;
import org.astershift.scheduler.DeploymentLimits;
import org.astershift.scheduler.ServiceLevelObjective;
import org.astershift.scheduler.Team;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Values read from the platform's settings file, and the one-line errors for invalid files. */
class SettingsFormsTest {
  private static final String MINIMAL =
      """
      member = "n1"
      domain = "a"
      public_addr = "127.0.0.1:18080"
      internal_addr = "[::1]:18081"
      [external]
      cloud = "cloud.example:443"
      state = "10.0.0.9:65535"
      [facts.workers]
      report_s = 0.5
      lease_s = 14.25
      gang_wait_s = 30
      gang_peer_s = 4.0
      cancel_s = 40.0
      [facts.state]
      rps = 250.0
      write_rps = 100.5
      value_kb = 32.0
      txn_ops = 12
      [facts.cloud]
      rps = 20.0
      list_lag_s = 1.5
      [facts.resources]
      sockets = 200
      """;
  private static final String OTHERS =
      """
      [[others]]
      member = "n2"
      domain = "b"
      endpoint = "10.0.0.2:18081"
      [[others]]
      member = "n3"
      domain = "c"
      endpoint = "10.0.0.3:18082"
      """;
  private static final String TEAMS =
      """
      [[facts.teams]]
      name = "full"
      cpus = 1.5
      cpus_max = 2
      gpus = 3.0
      gpus_max = 4.25
      [[facts.teams]]
      name = "least"
      """;
  private static final String OBJECTIVES =
      """
      [[facts.objectives]]
      kind = "wait"
      class = "train"
      within_s = 60.0
      share = 0.95
      times = 1.5
      [[facts.objectives]]
      kind = "deadline"
      """;
  private static final String FULL =
      "unknown = [1, {a = 2}]\n"
          + MINIMAL
          + OTHERS
          + TEAMS
          + OBJECTIVES
          + "[new]\nx = 1979-05-27\n";

  @TempDir Path dir;

  private Path writeFile(String text) throws Exception {
    return Files.writeString(dir.resolve("node.toml"), text);
  }

  private static String joinValues(Object... values) {
    StringJoiner text = new StringJoiner(" ");
    for (Object value : values) {
      text.add(String.valueOf(value));
    }
    return text.toString();
  }

  private static String joinValues(Settings.Endpoint endpoint) {
    return joinValues(endpoint.host(), endpoint.port(), endpoint);
  }

  private static void addSettings(Golden golden, String label, Settings settings) {
    golden.add(label + ", node", joinValues(settings.nodeName(), settings.zone()));
    golden.add(label + ", listens", joinValues(settings.listen()));
    golden.add(label + ", for others", joinValues(settings.peerListen()));
    golden.add(label + ", others", String.valueOf(settings.peers().size()));
    for (Settings.Peer peer : settings.peers()) {
      golden.add(
          label + ", other " + peer.nodeName(),
          joinValues(peer.nodeName(), peer.zone(), joinValues(peer.endpoint())));
    }
    golden.add(label + ", cloud", joinValues(settings.cloud()));
    golden.add(label + ", state", joinValues(settings.store()));
    Settings.StoreLimits limits = settings.storeLimits();
    golden.add(
        label + ", state's limits",
        joinValues(limits.rps(), limits.writeRps(), limits.valueKb(), limits.txnOps()));
    golden.add(label + ", cloud's limit", joinValues(settings.cloudRps()));
    golden.add(label + ", sockets", joinValues(settings.maxSockets()));
    DeploymentLimits deployment = settings.limits();
    golden.add(
        label + ", workers",
        joinValues(
            deployment.heartbeatIntervalS(),
            deployment.leaseS(),
            deployment.gangWaitS(),
            deployment.gangPeerS()));
    golden.add(label + ", times", joinValues(deployment.cancellationS(), deployment.listLagS()));
    golden.add(label + ", teams", String.join(" ", deployment.teams().keySet()));
    for (Team team : deployment.teams().values()) {
      String amounts =
          joinValues(team.guaranteedCpus(), team.maxCpus(), team.guaranteedGpus(), team.maxGpus());
      golden.add(label + ", team " + team.name(), amounts);
    }
    golden.add(label + ", objectives", String.valueOf(deployment.objectives().size()));
    for (ServiceLevelObjective objective : deployment.objectives()) {
      String rest =
          joinValues(objective.withinS(), objective.share(), objective.deadlineMultiple());
      golden.add(
          label + ", objective " + objective.kind(),
          joinValues("<" + objective.jobClass() + ">", rest));
    }
  }

  @Test
  void values() throws Exception {
    Golden golden = new Golden("settings-values");
    addSettings(golden, "minimal", Settings.load(writeFile(MINIMAL)));
    addSettings(golden, "full", Settings.load(writeFile(FULL)));
    golden.check();
  }

  /** Returns invalid values of a setting. Any text is a valid name, so names have fewer of them. */
  private static List<String> invalidValues(String name) {
    List<String> all = List.of("true", "-1", "1e12", "\"\"", "\"x\"", "\"x:0\"");
    return name.equals("member") || name.equals("domain") ? all.subList(0, 4) : all;
  }

  private static Map<String, String> invalidFiles() {
    Map<String, String> files = new LinkedHashMap<>();
    for (String line : MINIMAL.split("\n")) {
      String name = line.replaceAll(" = .*", "");
      String label = line.replace(" = ", ":");
      if (line.contains(" = ")) {
        String before = name.equals("rps") ? line : "\n" + line;
        files.put(label + " missing", ("\n" + FULL).replace(before + "\n", "\n"));
        for (String wrong : invalidValues(name)) {
          files.put(label + " is " + wrong, FULL.replace(line, name + " = " + wrong));
        }
      }
    }
    files.put("port", FULL.replace(":65535", ":65536"));
    files.put("no host", FULL.replace("10.0.0.9:", ":"));
    files.put("others is a table", MINIMAL + "[others]\nmember = \"n2\"\n");
    files.put("others is a list of numbers", "others = [1]\n" + MINIMAL);
    files.put("others lacks all", FULL.replace(OTHERS, "[[others]]\n"));
    files.put("team without a name", FULL.replace("name = \"least\"", ""));
    files.put("team's amount", FULL.replace("cpus_max = 2", "cpus_max = -2"));
    files.put("team's text", FULL.replace("cpus_max = 2", "cpus_max = \"2\""));
    files.put("teams is a text", MINIMAL + "[facts]\nteams = \"a\"\n");
    files.put("objective's kind", FULL.replace("kind = \"wait\"", "kind = 7"));
    files.put("objective's class", FULL.replace("class = \"train\"", "class = 7"));
    files.put("objective's share", FULL.replace("share = 0.95", "share = \"all\""));
    files.put("facts is a number", "facts = 1\n");
    files.put("external is a text", "external = \"x\"\n" + MINIMAL.replace("[external]", "[e]"));
    files.put("empty", "");
    files.put("no TOML", "member = \n");
    files.put("no TOML at all", "{\"member\": 1}");
    return files;
  }

  @Test
  void errors() throws Exception {
    Golden golden = new Golden("settings-errors");
    for (Map.Entry<String, String> entry : invalidFiles().entrySet()) {
      Path file = writeFile(entry.getValue());
      String message =
          assertThrows(ConfigurationException.class, () -> Settings.load(file), entry.getKey())
              .getMessage();
      golden.add("<" + entry.getKey() + ">", message.replace(file.toString(), "FILE"));
    }
    Path missing = dir.resolve("none.toml");
    String message =
        assertThrows(ConfigurationException.class, () -> Settings.load(missing)).getMessage();
    golden.add("no file", message.replace(missing.toString(), "FILE"));
    golden.check();
  }
}
