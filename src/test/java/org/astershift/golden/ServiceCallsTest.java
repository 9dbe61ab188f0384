package org.astershift.golden;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import org.astershift.http.Json;
import org.astershift.store.RateLimiter;
import org.astershift.store.StoreClient;
import org.astershift.store.StoreClient.Outcome;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Requests to the store, and how its responses are interpreted. */
@Timeout(60)
class ServiceCallsTest {
  private static final int[] ERROR_STATUSES = {400, 404, 409, 410, 429, 500, 503};

  @TempDir Path dir;
  private Recorder recorder;
  private StoreClient store;

  @BeforeEach
  void start() throws Exception {
    recorder = new Recorder();
    store = new StoreClient(recorder.settings(dir));
  }

  @AfterEach
  void stop() throws Exception {
    recorder.close();
  }

  /** A call that returns its result as text. */
  private interface Call {
    String make() throws Exception;
  }

  /** Adds the request, the response to it, and the result that the client returned. */
  private void addCall(Golden golden, String label, int status, String answer, Call call)
      throws Exception {
    recorder.enqueueResponse(status, answer);
    String result;
    try {
      result = call.make();
    } catch (IOException e) {
      result = "error: " + e.getMessage();
    }
    golden.add(label + ", request", recorder.takeRequests());
    golden.add(label + ", answer", status + " " + answer);
    golden.add(label + ", result", result);
  }

  private static String describe(StoreClient.Entry row) {
    String data = row.data() == null ? "nothing" : new String(Json.encode(row.data()));
    return row.key() + " " + data + " " + row.revision();
  }

  private static String describe(List<StoreClient.Entry> rows) {
    StringJoiner text = new StringJoiner("; ", "[", "]");
    rows.forEach(row -> text.add(describe(row)));
    return text.toString();
  }

  private static String describe(StoreClient.Page page) {
    return describe(page.entries()) + " more " + page.hasMore() + " at " + page.revision();
  }

  private static String describe(StoreClient.WatchResponse response) {
    return describe(response.entries())
        + " at "
        + response.revision()
        + " too old "
        + response.compacted();
  }

  private static String describe(Outcome outcome) {
    if (outcome instanceof Outcome.Committed committed) {
      return "applied at " + committed.revision();
    }
    if (outcome instanceof Outcome.ConditionFailed failed) {
      return "conflict of " + String.join(" ", failed.keys());
    }
    return outcome instanceof Outcome.Rejected rejected
        ? "refused: " + rejected.reason()
        : "nothing is known";
  }

  @Test
  void reading() throws Exception {
    Golden golden = new Golden("store-reads");
    String row = "{\"data\":{\"node\":\"n1\"},\"stamp\":7,\"mooring\":12,\"new\":[]}";
    Call get = () -> describe(store.get("l/leader"));
    addCall(golden, "get", 200, row, get);
    addCall(golden, "get without data", 200, "{\"stamp\":7}", get);
    addCall(golden, "get without revision", 200, "{\"data\":{}}", get);
    addCall(golden, "get nonsense", 200, "no", get);
    for (int status : ERROR_STATUSES) {
      addCall(golden, "get " + status, status, "{\"error\":\"x\"}", get);
    }
    Call revisionOnLease = () -> String.valueOf(store.revisionIfAttached(12, "l/leader"));
    addCall(golden, "on its lease", 200, row, revisionOnLease);
    addCall(golden, "on another lease", 200, row.replace("12", "13"), revisionOnLease);
    addCall(golden, "on no lease", 200, "{\"data\":{},\"stamp\":7}", revisionOnLease);
    addCall(golden, "on a lease, absent", 404, "{}", revisionOnLease);
    addCall(golden, "on a lease, trouble", 503, "{}", revisionOnLease);
    golden.check();
  }

  @Test
  void listing() throws Exception {
    Golden golden = new Golden("store-lists");
    String rows =
        "{\"rows\":[{\"k\":\"l/j/wk-1\",\"data\":{\"c\":\"a\",\"n\":1.5},\"stamp\":3},"
            + "{\"k\":\"l/j/wk-2\",\"data\":{},\"stamp\":4}],\"more\":true,\"epoch\":9}";
    addCall(golden, "first page", 200, rows, () -> describe(store.list("l/", null)));
    Call next = () -> describe(store.list("l/", "l/j/wk-2"));
    addCall(golden, "next page", 200, "{\"rows\":[],\"more\":false,\"epoch\":10}", next);
    addCall(golden, "no rows", 200, "{\"epoch\":18446744073709551615}", next);
    addCall(golden, "row without key", 200, rows.replace("\"k\"", "\"x\""), next);
    addCall(golden, "no epoch", 200, "{\"rows\":[]}", next);
    addCall(golden, "more is no flag", 200, "{\"more\":1,\"epoch\":1}", next);
    for (int status : ERROR_STATUSES) {
      addCall(golden, "list " + status, status, "{}", next);
    }
    golden.check();
  }

  @Test
  void watching() throws Exception {
    Golden golden = new Golden("store-watches");
    Call watch = () -> describe(store.watch("l/", 41));
    String news =
        "{\"news\":[{\"set\":\"l/types\",\"data\":{\"types\":[]},\"stamp\":42},"
            + "{\"remove\":\"l/j/wk-1\",\"stamp\":43}],\"epoch\":44}";
    addCall(golden, "changes", 200, news, watch);
    addCall(golden, "none", 200, "{\"news\":[],\"epoch\":41}", watch);
    addCall(
        golden, "neither set nor removed", 200, "{\"news\":[{\"stamp\":1}],\"epoch\":41}", watch);
    addCall(golden, "no data", 200, "{\"news\":[{\"set\":\"a\",\"stamp\":1}],\"epoch\":41}", watch);
    for (int status : ERROR_STATUSES) {
      addCall(golden, "watch " + status, status, "{}", watch);
    }
    golden.check();
  }

  private static StoreClient.Transaction transaction() {
    Map<String, Object> value = new LinkedHashMap<>();
    value.put("b", 1);
    value.put("a", List.of("x", true, 2.5));
    return new StoreClient.Transaction()
        .requireRevision("l/leader", 7)
        .requireRevision("l/n/o0", 0)
        .put("l/n/o0", value)
        .put("l/leader", Map.of("node", "n1"), 12)
        .delete("l/j/wk-1");
  }

  @Test
  void committing() throws Exception {
    Golden golden = new Golden("store-commits");
    Call commit =
        () -> describe(store.commit(transaction(), RateLimiter.Urgency.INTERACTIVE, 5000));
    addCall(golden, "applied", 200, "{\"epoch\":99}", commit);
    addCall(golden, "conflict", 409, "{\"failed\":[\"l/n/o0\",\"l/leader\"]}", commit);
    addCall(golden, "conflict of none", 409, "{}", commit);
    addCall(golden, "applied without revision", 200, "{}", commit);
    addCall(golden, "conflict nonsense", 409, "no", commit);
    for (int status : new int[] {400, 404, 413, 500, 503}) {
      addCall(golden, "commit " + status, status, "{}", commit);
    }
    StoreClient.Transaction empty = new StoreClient.Transaction();
    addCall(
        golden,
        "empty",
        200,
        "{\"epoch\":100}",
        () -> describe(store.commit(empty, RateLimiter.Urgency.BACKGROUND, 5000)));
    golden.add("malformed", StoreClient.MALFORMED_REASON);
    golden.add("changes of one", String.valueOf(transaction().changeCount()));
    golden.check();
  }

  /** A transaction that exceeds the rate limit is sent once more. */
  @Test
  void committingOverTheLimit() throws Exception {
    Golden golden = new Golden("store-commits-again");
    recorder.enqueueResponse(429, "{}");
    Call commit =
        () -> describe(store.commit(transaction(), RateLimiter.Urgency.INTERACTIVE, 5000));
    addCall(golden, "second", 200, "{\"epoch\":99}", commit);
    golden.check();
  }

  @Test
  void leases() throws Exception {
    Golden golden = new Golden("store-leases");
    Call grant = () -> String.valueOf(store.grantLease(2000));
    addCall(golden, "grant", 200, "{\"mooring\":12}", grant);
    addCall(golden, "grant without lease", 200, "{}", grant);
    addCall(golden, "grant refused", 503, "{}", grant);
    Call renew = () -> String.valueOf(store.renewLease(12));
    addCall(golden, "renew", 200, "{}", renew);
    addCall(golden, "renew, over", 404, "{}", renew);
    addCall(golden, "renew, trouble", 503, "{}", renew);
    Call revoke =
        () -> {
          store.revokeLease(12);
          return "done";
        };
    addCall(golden, "revoke", 200, "", revoke);
    addCall(golden, "revoke, over", 404, "{}", revoke);
    golden.check();
  }

  /** The reason that is given when the store refuses connections: nothing was sent. */
  @Test
  void unreachableStore() throws Exception {
    recorder.close();
    assertThrows(IOException.class, () -> store.get("l/leader"));
    String reason = describe(store.commit(transaction(), RateLimiter.Urgency.INTERACTIVE, 5000));
    new Golden("store-nobody").add("commit", reason.split(":")[0]).check();
  }
}
