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

/**
 * Pages of a leader's records: keys and formats that a successor reads, possibly of another
 * version.
 */
@Timeout(60)
class GoldenRecordPagesTest {
  private static final long TOKEN = 41;
  @TempDir Path dir;

  /** An entry of a page, and the kind of its record. */
  private record Entry(LeaderRecords.RecordKind kind, String key, Object value) {}

  private static Map<String, Entry> entries() {
    Decision.RegisterMachine machine =
        new Decision.RegisterMachine("m-1", "10.0.0.1:7000", "g8", "z1", true, false);
    Decision.ProvisionMachines request = new Decision.ProvisionMachines("g8", "z1", true, 3);
    Map<String, Entry> entries = new LinkedHashMap<>();
    entries.put(
        "opened",
        new Entry(LeaderRecords.RecordKind.OPENED, "wk-1", RecordCodec.encodePlacement(List.of())));
    entries.put(
        "rental",
        new Entry(
            LeaderRecords.RecordKind.RENTAL,
            "as-41-1",
            RecordCodec.encodeProvisionRequest(request)));
    entries.put(
        "machine",
        new Entry(LeaderRecords.RecordKind.MACHINE, "m-1", RecordCodec.encodeMachine(machine)));
    entries.put(
        "progress",
        new Entry(LeaderRecords.RecordKind.PROGRESS, RecordCodec.progressKey("wk-1", 2), "AQ=="));
    return entries;
  }

  /** Returns the transaction with which a leader records an entry, or removes it. */
  private String recordTransaction(Entry entry, boolean removed) throws Exception {
    try (Recorder recorder = new Recorder()) {
      Settings settings = recorder.settings(dir);
      StoreClient store = new StoreClient(settings);
      LeaderRecords[] records = new LeaderRecords[1];
      records[0] =
          new LeaderRecords(
              TOKEN, store, settings.storeLimits(), (kind, key, value) -> records[0].close());
      if (removed) {
        String page = RecordCodec.LEADER_PAGE_PREFIX + entry.kind().letter + "0";
        records[0].load(
            List.of(new StoreClient.Entry(page, Map.of(entry.key(), entry.value()), 17)));
        records[0].remove(entry.kind(), entry.key(), 0);
      } else {
        records[0].put(entry.kind(), entry.key(), entry.value(), 0);
      }
      recorder.setDefaultResponse(200, "{\"epoch\":50}");
      records[0].writeLoop(null); // the term is used only if another node leads
      return recorder.takeDistinctRequests(); // a busy machine may answer after a timeout
    }
  }

  @Test
  void pages() throws Exception {
    Golden golden = new Golden("notes-pages");
    for (Map.Entry<String, Entry> named : entries().entrySet()) {
      golden.add(named.getKey() + ", noted", recordTransaction(named.getValue(), false));
      golden.add(named.getKey() + ", removed", recordTransaction(named.getValue(), true));
    }
    golden.check();
    for (Map.Entry<String, Entry> named : entries().entrySet()) {
      Entry entry = named.getValue();
      String kept = golden.expected(named.getKey() + ", noted");
      byte[] body = kept.substring(kept.indexOf('{')).getBytes(StandardCharsets.UTF_8);
      Map<String, Object> set =
          Json.object(Json.list(Json.object(body), "writes").get(0), "a change");
      Map<String, Object> data = Json.object(set.get("data"), "data");
      try (Recorder recorder = new Recorder()) {
        Settings settings = recorder.settings(dir);
        LeaderRecords records =
            new LeaderRecords(
                TOKEN,
                new StoreClient(settings),
                settings.storeLimits(),
                (otherKind, otherKey, otherValue) -> {});
        records.load(List.of(new StoreClient.Entry(Json.string(set, "set"), data, 50)));
        for (LeaderRecords.RecordKind kind : LeaderRecords.RecordKind.values()) {
          Map<String, Object> expected =
              kind == entry.kind() ? Map.of(entry.key(), entry.value()) : Map.of();
          assertEquals(expected, records.entries(kind), named.getKey());
        }
      }
    }
  }
}
