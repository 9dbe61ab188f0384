package org.astershift.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.astershift.config.Settings;
import org.astershift.golden.Golden;
import org.astershift.golden.Recorder;
import org.astershift.http.Json;
import org.astershift.scheduler.Decision;
import org.astershift.store.RecordCodec;
import org.astershift.store.StoreClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Pages of a leader's notes: keys and forms that a successor, maybe of another version, reads. */
@Timeout(60)
class GoldenRecordPagesTest {
  private static final long TOKEN = 41;
  @TempDir Path dir;

  /** An entry of one kind. */
  private record Entry(LeaderRecords.RecordKind kind, String key, Object value) {}

  private static Map<String, Entry> entries() {
    Decision.RegisterMachine machine =
        new Decision.RegisterMachine("m-1", "10.0.0.1:7000", "g8", "z1", true, false);
    Decision.ProvisionMachines rent = new Decision.ProvisionMachines("g8", "z1", true, 3);
    Map<String, Entry> out = new LinkedHashMap<>();
    out.put(
        "opened",
        new Entry(LeaderRecords.RecordKind.OPENED, "wk-1", RecordCodec.encodePlacement(List.of())));
    out.put(
        "rental",
        new Entry(
            LeaderRecords.RecordKind.RENTAL, "as-41-1", RecordCodec.encodeProvisionRequest(rent)));
    out.put(
        "machine",
        new Entry(LeaderRecords.RecordKind.MACHINE, "m-1", RecordCodec.encodeMachine(machine)));
    out.put(
        "progress",
        new Entry(LeaderRecords.RecordKind.PROGRESS, RecordCodec.progressKey("wk-1", 2), "AQ=="));
    return out;
  }

  /** The transaction in which a leader notes an entry, or removes it. */
  private String recordTransaction(Entry e, boolean removed) throws Exception {
    try (Recorder recorder = new Recorder()) {
      Settings settings = recorder.settings(dir);
      StoreClient store = new StoreClient(settings);
      LeaderRecords[] records = new LeaderRecords[1];
      records[0] =
          new LeaderRecords(
              TOKEN, store, settings.storeLimits(), (kind, key, value) -> records[0].close());
      if (removed) {
        String page = RecordCodec.LEADER_PAGE_PREFIX + e.kind().letter + "0";
        records[0].load(List.of(new StoreClient.Entry(page, Map.of(e.key(), e.value()), 17)));
        records[0].remove(e.kind(), e.key(), 0);
      } else {
        records[0].put(e.kind(), e.key(), e.value(), 0);
      }
      recorder.enqueueResponse(200, "{\"epoch\":50}");
      records[0].writeLoop(null); // the term is asked only if another leads
      return recorder.takeRequests();
    }
  }

  @Test
  void pages() throws Exception {
    Golden g = new Golden("notes-pages");
    for (Map.Entry<String, Entry> e : entries().entrySet()) {
      g.add(e.getKey() + ", noted", recordTransaction(e.getValue(), false));
      g.add(e.getKey() + ", removed", recordTransaction(e.getValue(), true));
    }
    g.check();
    for (Map.Entry<String, Entry> e : entries().entrySet()) {
      Entry entry = e.getValue();
      String kept = g.expected(e.getKey() + ", noted");
      byte[] body = kept.substring(kept.indexOf('{')).getBytes(StandardCharsets.UTF_8);
      Map<String, Object> set =
          Json.object(Json.list(Json.object(body), "writes").get(0), "a change");
      Map<String, Object> data = Json.object(set.get("data"), "data");
      try (Recorder recorder = new Recorder()) {
        Settings settings = recorder.settings(dir);
        LeaderRecords records =
            new LeaderRecords(
                TOKEN, new StoreClient(settings), settings.storeLimits(), (k, y, v) -> {});
        records.load(List.of(new StoreClient.Entry(Json.string(set, "set"), data, 50)));
        for (LeaderRecords.RecordKind kind : LeaderRecords.RecordKind.values()) {
          Map<String, Object> expected =
              kind == entry.kind() ? Map.of(entry.key(), entry.value()) : Map.of();
          assertEquals(expected, records.entries(kind), e.getKey());
        }
      }
    }
  }
}
