package org.astershift.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.astershift.config.Constants;
import org.astershift.config.Operator;
import org.astershift.config.Settings;
import org.astershift.core.Decision;
import org.astershift.core.JobKind;
import org.astershift.core.JobSpec;
import org.astershift.core.MachineType;
import org.astershift.core.Priority;
import org.astershift.standin.StandInStore;
import org.astershift.store.Mirror;
import org.astershift.store.RateBudget;
import org.astershift.store.Records;
import org.astershift.store.StoreClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A rehearsed takeover goes through the real one's steps and leaves nothing behind. */
@Timeout(60)
class RehearsalTest {
  @TempDir Path dir;

  private static JobSpec job() {
    return new JobSpec(
        "wk-000001",
        "demo",
        "demo",
        JobKind.ARRAY,
        Priority.NORMAL,
        5,
        1,
        0,
        1,
        "img",
        1,
        null,
        null,
        false,
        false,
        false,
        2,
        0,
        0,
        null);
  }

  @Test
  void leavesNothingBehind() throws Exception {
    try (StandInStore server = new StandInStore(0)) {
      String text = Files.readString(Path.of("src/test/resources/first-job.toml"));
      Path file =
          Files.writeString(dir.resolve("node.toml"), text.replace(":18379", ":" + server.port()));
      Settings settings = Settings.load(file);
      StoreClient store = new StoreClient(settings);
      Map<String, MachineType> types =
          Map.of("small", new MachineType("small", 4, 0, 16, 50, 1, 0.2, 0.1, 1, List.of("a")));
      Map<String, Object> machines = new LinkedHashMap<>();
      for (String name : List.of("vm-1", "vm-2", "vm-3")) {
        machines.put(
            name,
            Records.machine(new Decision.Enrol(name, name + ":1", "small", "a", false, false)));
      }
      StoreClient.Txn txn =
          new StoreClient.Txn()
              .put(Records.TYPES, Records.types(types))
              .put(Records.NOTES + "m0", machines)
              .put(Records.NOTES + "o0", Map.of())
              .put(Records.JOB + job().id(), Records.job(new Records.JobRecord(job(), 1)));
      StoreClient.Outcome o = store.commit(txn, RateBudget.Use.URGENT, 1000);
      long revision = assertInstanceOf(StoreClient.Outcome.Applied.class, o).revision();
      Mirror mirror = new Mirror(store);
      mirror.start(changes -> {});
      assertTrue(mirror.reach(revision, 30_000));

      Rehearsal rehearsal = new Rehearsal(settings, Operator.defaults(), mirror);
      assertTrue(rehearsal.possible());
      int reports = rehearsal.run(types, () -> false);
      assertEquals(Constants.REHEARSALS * 2 * 2, reports, "two machines, twice, each time");
      assertEquals(revision, store.list("", null).revision(), "nothing was written");
      assertEquals(0, new Rehearsal(settings, Operator.defaults(), mirror).run(types, () -> true));
    }
  }
}
