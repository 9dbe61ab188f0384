package org.astershift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Invalid usage and invalid settings are reported in one line, with exit code 2. */
class MainTest {
  private static final Path VALID = Path.of("src/test/resources/first-job.toml");
  @TempDir Path dir;

  private static void expect(int code, String text, String... args) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    ExitCode exitCode = Main.run(args, new PrintStream(out), new PrintStream(err)).orElseThrow();
    assertEquals(code, exitCode.value());
    String output = code == 0 ? out.toString() : err.toString();
    assertTrue(output.contains(text), output);
    if (code != 0) {
      assertEquals(1, output.lines().count(), output);
    }
  }

  private String file(String name, String text) throws Exception {
    return Files.writeString(dir.resolve(name), text).toString();
  }

  @Test
  void usage() {
    expect(0, "--config", "--help");
    expect(0, "astershift", "--version");
    expect(2, "--config FILE is required");
    expect(2, "--nonsense", "--nonsense");
    expect(2, "unexpected argument: more", "--config", VALID.toString(), "more");
  }

  @Test
  void settings() throws Exception {
    String valid = Files.readString(VALID);
    expect(0, "settings are fine", "--check", "--config", VALID.toString());
    expect(0, "fine", "--check", "--config", file("more.toml", "later = 1\n" + valid));
    expect(2, "cannot be read", "--check", "--config", dir.resolve("none").toString());
    expect(2, "not TOML", "--check", "--config", file("bad.toml", "= ["));
    String invalid =
        valid
            .replace("lease_s = 14.0", "lease_s = -1.0")
            .replace("member = \"one\"", "")
            .replace("127.0.0.1:18443", "nowhere");
    String path = file("wrong.toml", invalid);
    expect(2, "member is missing", "--check", "--config", path);
    expect(2, "facts.workers.lease_s is out of range: -1.0", "--check", "--config", path);
    expect(2, "external.cloud is not host:port: nowhere", "--check", "--config", path);
  }

  /** Unusual teams and objectives are accepted, or rejected with one clear line. */
  @Test
  void unusualTeamsAndObjectives() throws Exception {
    String valid = Files.readString(VALID);
    String unusual =
        valid
                .replace("cpus = 0.0", "cpus = 90000.0")
                .replace("cpus_max = 0.0", "cpus_max = 4.0")
                .replace("name = \"demo\"", "name = \"demo\"\nlater = true")
            + "\n[[facts.objectives]]\nkind = \"of-later\"\nclass = \"nobodys\"\n";
    expect(0, "settings are fine", "--check", "--config", file("odd.toml", unusual));
    String negativeLimit = valid.replace("cpus_max = 0.0", "cpus_max = -1.0");
    expect(
        2,
        "cpus_max is out of range: -1.0",
        "--check",
        "--config",
        file("below.toml", negativeLimit));
    String noValueSize = valid.replaceAll("value_kb = [0-9.]+", "value_kb = 0.0");
    expect(
        2, "value_kb is out of range: 0.0", "--check", "--config", file("small.toml", noValueSize));
    String noOperations = valid.replaceAll("txn_ops = [0-9]+", "txn_ops = 0");
    expect(2, "txn_ops is out of range: 0", "--check", "--config", file("none.toml", noOperations));
  }

  @Test
  void operatorsFile() throws Exception {
    String config = VALID.toString();
    String valid = file("good.ini", "[placement]\nwindow = 100\n[fleet]\nidle_release_s = 5\n");
    expect(0, "fine", "--check", "--ini", valid, "--config", config);
    String invalid = file("bad.ini", "[placement]\nwindow = x\nwidow = 1\n[flet]\na = 1\n");
    expect(
        2, "placement.window is not a number: x", "--check", "--ini", invalid, "--config", config);
    expect(
        2, "placement.widow is not a known key", "--check", "--ini", invalid, "--config", config);
    expect(2, "[flet] is not a known section", "--check", "--ini", invalid, "--config", config);
    String range = file("range.ini", "[placement]\nutilization = 2\n");
    expect(2, "out of range: 2", "--check", "--ini", range, "--config", config);
  }
}
