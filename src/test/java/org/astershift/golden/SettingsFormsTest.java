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

/** What the platform's file yields, and the one line that is said of a bad one. */
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
    StringJoiner out = new StringJoiner(" ");
    for (Object v : values) {
      out.add(String.valueOf(v));
    }
    return out.toString();
  }

  private static String joinValues(Settings.Endpoint e) {
    return joinValues(e.host(), e.port(), e);
  }

  private static void addSettings(Golden g, String label, Settings s) {
    g.add(label + ", node", joinValues(s.nodeName(), s.zone()));
    g.add(label + ", listens", joinValues(s.listen()));
    g.add(label + ", for others", joinValues(s.peerListen()));
    g.add(label + ", others", String.valueOf(s.peers().size()));
    for (Settings.Peer p : s.peers()) {
      g.add(
          label + ", other " + p.nodeName(),
          joinValues(p.nodeName(), p.zone(), joinValues(p.endpoint())));
    }
    g.add(label + ", cloud", joinValues(s.cloud()));
    g.add(label + ", state", joinValues(s.store()));
    Settings.StoreLimits l = s.storeLimits();
    g.add(label + ", state's limits", joinValues(l.rps(), l.writeRps(), l.valueKb(), l.txnOps()));
    g.add(label + ", cloud's limit", joinValues(s.cloudRps()));
    g.add(label + ", sockets", joinValues(s.maxSockets()));
    DeploymentLimits f = s.limits();
    g.add(
        label + ", workers",
        joinValues(f.heartbeatIntervalS(), f.leaseS(), f.gangWaitS(), f.gangPeerS()));
    g.add(label + ", times", joinValues(f.cancellationS(), f.listLagS()));
    g.add(label + ", teams", String.join(" ", f.teams().keySet()));
    for (Team t : f.teams().values()) {
      String amounts = joinValues(t.guaranteedCpus(), t.maxCpus(), t.guaranteedGpus(), t.maxGpus());
      g.add(label + ", team " + t.name(), amounts);
    }
    g.add(label + ", objectives", String.valueOf(f.objectives().size()));
    for (ServiceLevelObjective o : f.objectives()) {
      String rest = joinValues(o.withinS(), o.share(), o.deadlineMultiple());
      g.add(label + ", objective " + o.kind(), joinValues("<" + o.jobClass() + ">", rest));
    }
  }

  @Test
  void values() throws Exception {
    Golden g = new Golden("settings-values");
    addSettings(g, "minimal", Settings.load(writeFile(MINIMAL)));
    addSettings(g, "full", Settings.load(writeFile(FULL)));
    g.check();
  }

  /** Any text is a good name. */
  private static List<String> invalidValues(String name) {
    List<String> all = List.of("true", "-1", "1e12", "\"\"", "\"x\"", "\"x:0\"");
    return name.equals("member") || name.equals("domain") ? all.subList(0, 4) : all;
  }

  private static Map<String, String> invalidFiles() {
    Map<String, String> out = new LinkedHashMap<>();
    for (String line : MINIMAL.split("\n")) {
      String name = line.replaceAll(" = .*", "");
      String label = line.replace(" = ", ":");
      if (line.contains(" = ")) {
        String before = name.equals("rps") ? line : "\n" + line;
        out.put(label + " missing", ("\n" + FULL).replace(before + "\n", "\n"));
        for (String wrong : invalidValues(name)) {
          out.put(label + " is " + wrong, FULL.replace(line, name + " = " + wrong));
        }
      }
    }
    out.put("port", FULL.replace(":65535", ":65536"));
    out.put("no host", FULL.replace("10.0.0.9:", ":"));
    out.put("others is a table", MINIMAL + "[others]\nmember = \"n2\"\n");
    out.put("others is a list of numbers", "others = [1]\n" + MINIMAL);
    out.put("others lacks all", FULL.replace(OTHERS, "[[others]]\n"));
    out.put("team without a name", FULL.replace("name = \"least\"", ""));
    out.put("team's amount", FULL.replace("cpus_max = 2", "cpus_max = -2"));
    out.put("team's text", FULL.replace("cpus_max = 2", "cpus_max = \"2\""));
    out.put("teams is a text", MINIMAL + "[facts]\nteams = \"a\"\n");
    out.put("objective's kind", FULL.replace("kind = \"wait\"", "kind = 7"));
    out.put("objective's class", FULL.replace("class = \"train\"", "class = 7"));
    out.put("objective's share", FULL.replace("share = 0.95", "share = \"all\""));
    out.put("facts is a number", "facts = 1\n");
    out.put("external is a text", "external = \"x\"\n" + MINIMAL.replace("[external]", "[e]"));
    out.put("empty", "");
    out.put("no TOML", "member = \n");
    out.put("no TOML at all", "{\"member\": 1}");
    return out;
  }

  @Test
  void errors() throws Exception {
    Golden g = new Golden("settings-errors");
    for (Map.Entry<String, String> e : invalidFiles().entrySet()) {
      Path file = writeFile(e.getValue());
      String said =
          assertThrows(ConfigurationException.class, () -> Settings.load(file), e.getKey())
              .getMessage();
      g.add("<" + e.getKey() + ">", said.replace(file.toString(), "FILE"));
    }
    Path none = dir.resolve("none.toml");
    String said =
        assertThrows(ConfigurationException.class, () -> Settings.load(none)).getMessage();
    g.add("no file", said.replace(none.toString(), "FILE"));
    g.check();
  }
}
