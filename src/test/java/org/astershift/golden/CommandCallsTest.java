package org.astershift.golden;

import java.nio.file.Path;
import java.util.List;
import org.astershift.config.Settings;
import org.astershift.scheduler.Command;
import org.astershift.worker.CommandSender;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Direct requests to workers, and how their responses are interpreted. */
@Timeout(60)
class CommandCallsTest {
  private static final String HEARTBEAT =
      "{\"vessel\":\"m-1\",\"addr\":\"a:1\",\"hull\":\"g8\",\"harbor\":\"z1\",\"watch\":5,\"tick\":9}";

  @TempDir Path dir;
  private final CommandSender sender = new CommandSender();
  private Recorder recorder;
  private String address;

  @BeforeEach
  void start() throws Exception {
    recorder = new Recorder();
    Settings.Endpoint endpoint = recorder.settings(dir).cloud();
    address = endpoint.host() + ":" + endpoint.port();
  }

  @AfterEach
  void stop() throws Exception {
    sender.disconnect(address);
    recorder.close();
  }

  private String send(String to, List<Command> commands) {
    CommandSender.Result result = sender.send(to, 42, 5, commands, 5000);
    String heartbeat =
        result.heartbeat() == null ? "no report" : "report " + result.heartbeat().sequence();
    return (result.outcomeUnknown() ? "maybe executed, " : "known, ") + heartbeat;
  }

  @Test
  void directCommands() throws Exception {
    List<Command> commands =
        List.of(
            new Command(Command.Kind.START, "wk-1", 0, 1, 0),
            new Command(Command.Kind.STOP, "wk-1", 7, 2, 4.5),
            new Command(Command.Kind.FORGET, "wk-2", 3, 4, 0));
    Golden golden = new Golden("worker-calls");
    for (int status : new int[] {200, 409, 400, 404, 421, 500, 503}) {
      recorder.enqueueResponse(status, HEARTBEAT);
      String result = send(address, commands);
      golden.add(status + ", request", recorder.takeRequests());
      golden.add(status + ", result", result);
    }
    recorder.enqueueResponse(200, "{}");
    golden.add("no report, result", send(address, List.of()));
    golden.add("no report, request", recorder.takeRequests());
    for (int status : new int[] {200, 404, 503}) {
      recorder.enqueueResponse(status, HEARTBEAT);
      golden.add(
          "question " + status + ", result", String.valueOf(sender.isReachable(address, 5000)));
      golden.add("question " + status + ", request", recorder.takeRequests());
    }
    for (String invalid : new String[] {"", "host", ":7", "host:", "host:x", "host:65536"}) {
      golden.add(
          "address <" + invalid + ">",
          send(invalid, commands) + ", " + sender.isReachable(invalid, 5000));
    }
    golden.check();
  }
}
