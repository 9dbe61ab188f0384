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

/** What the state service is asked, and what its answers are taken for. */
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

  /** A call and its result as text. */
  private interface Call {
    String make() throws Exception;
  }

  /** Notes the request, the answer to it, and what the client made of that. */
  private void addCall(Golden g, String label, int status, String answer, Call call)
      throws Exception {
    recorder.enqueueResponse(status, answer);
    String result;
    try {
      result = call.make();
    } catch (IOException e) {
      result = "error: " + e.getMessage();
    }
    g.add(label + ", request", recorder.takeRequests());
    g.add(label + ", answer", status + " " + answer);
    g.add(label + ", result", result);
  }

  private static String describe(StoreClient.Entry row) {
    String data = row.data() == null ? "nothing" : new String(Json.encode(row.data()));
    return row.key() + " " + data + " " + row.revision();
  }

  private static String describe(List<StoreClient.Entry> rows) {
    StringJoiner out = new StringJoiner("; ", "[", "]");
    rows.forEach(row -> out.add(describe(row)));
    return out.toString();
  }

  private static String describe(StoreClient.Page page) {
    return describe(page.entries()) + " more " + page.hasMore() + " at " + page.revision();
  }

  private static String describe(StoreClient.WatchResponse c) {
    return describe(c.entries()) + " at " + c.revision() + " too old " + c.compacted();
  }

  private static String describe(Outcome o) {
    if (o instanceof Outcome.Committed a) {
      return "applied at " + a.revision();
    }
    if (o instanceof Outcome.ConditionFailed c) {
      return "conflict of " + String.join(" ", c.keys());
    }
    return o instanceof Outcome.Rejected r ? "refused: " + r.reason() : "nothing is known";
  }

  @Test
  void reading() throws Exception {
    Golden g = new Golden("store-reads");
    String row = "{\"data\":{\"node\":\"n1\"},\"stamp\":7,\"mooring\":12,\"new\":[]}";
    Call get = () -> describe(store.get("l/leader"));
    addCall(g, "get", 200, row, get);
    addCall(g, "get without data", 200, "{\"stamp\":7}", get);
    addCall(g, "get without revision", 200, "{\"data\":{}}", get);
    addCall(g, "get nonsense", 200, "no", get);
    for (int status : ERROR_STATUSES) {
      addCall(g, "get " + status, status, "{\"error\":\"x\"}", get);
    }
    Call on = () -> String.valueOf(store.revisionIfAttached(12, "l/leader"));
    addCall(g, "on its lease", 200, row, on);
    addCall(g, "on another lease", 200, row.replace("12", "13"), on);
    addCall(g, "on no lease", 200, "{\"data\":{},\"stamp\":7}", on);
    addCall(g, "on a lease, absent", 404, "{}", on);
    addCall(g, "on a lease, trouble", 503, "{}", on);
    g.check();
  }

  @Test
  void listing() throws Exception {
    Golden g = new Golden("store-lists");
    String rows =
        "{\"rows\":[{\"k\":\"l/j/wk-1\",\"data\":{\"c\":\"a\",\"n\":1.5},\"stamp\":3},"
            + "{\"k\":\"l/j/wk-2\",\"data\":{},\"stamp\":4}],\"more\":true,\"epoch\":9}";
    addCall(g, "first page", 200, rows, () -> describe(store.list("l/", null)));
    Call next = () -> describe(store.list("l/", "l/j/wk-2"));
    addCall(g, "next page", 200, "{\"rows\":[],\"more\":false,\"epoch\":10}", next);
    addCall(g, "no rows", 200, "{\"epoch\":18446744073709551615}", next);
    addCall(g, "row without key", 200, rows.replace("\"k\"", "\"x\""), next);
    addCall(g, "no epoch", 200, "{\"rows\":[]}", next);
    addCall(g, "more is no flag", 200, "{\"more\":1,\"epoch\":1}", next);
    for (int status : ERROR_STATUSES) {
      addCall(g, "list " + status, status, "{}", next);
    }
    g.check();
  }

  @Test
  void watching() throws Exception {
    Golden g = new Golden("store-watches");
    Call watch = () -> describe(store.watch("l/", 41));
    String news =
        "{\"news\":[{\"set\":\"l/types\",\"data\":{\"types\":[]},\"stamp\":42},"
            + "{\"remove\":\"l/j/wk-1\",\"stamp\":43}],\"epoch\":44}";
    addCall(g, "changes", 200, news, watch);
    addCall(g, "none", 200, "{\"news\":[],\"epoch\":41}", watch);
    addCall(g, "neither set nor removed", 200, "{\"news\":[{\"stamp\":1}],\"epoch\":41}", watch);
    addCall(g, "no data", 200, "{\"news\":[{\"set\":\"a\",\"stamp\":1}],\"epoch\":41}", watch);
    for (int status : ERROR_STATUSES) {
      addCall(g, "watch " + status, status, "{}", watch);
    }
    g.check();
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
    Golden g = new Golden("store-commits");
    Call commit =
        () -> describe(store.commit(transaction(), RateLimiter.Urgency.INTERACTIVE, 5000));
    addCall(g, "applied", 200, "{\"epoch\":99}", commit);
    addCall(g, "conflict", 409, "{\"failed\":[\"l/n/o0\",\"l/leader\"]}", commit);
    addCall(g, "conflict of none", 409, "{}", commit);
    addCall(g, "applied without revision", 200, "{}", commit);
    addCall(g, "conflict nonsense", 409, "no", commit);
    for (int status : new int[] {400, 404, 413, 500, 503}) {
      addCall(g, "commit " + status, status, "{}", commit);
    }
    StoreClient.Transaction empty = new StoreClient.Transaction();
    addCall(
        g,
        "empty",
        200,
        "{\"epoch\":100}",
        () -> describe(store.commit(empty, RateLimiter.Urgency.BACKGROUND, 5000)));
    g.add("malformed", StoreClient.MALFORMED_REASON);
    g.add("changes of one", String.valueOf(transaction().size()));
    g.check();
  }

  /** Over the limit: the same is sent once more. */
  @Test
  void committingOverTheLimit() throws Exception {
    Golden g = new Golden("store-commits-again");
    recorder.enqueueResponse(429, "{}");
    Call commit =
        () -> describe(store.commit(transaction(), RateLimiter.Urgency.INTERACTIVE, 5000));
    addCall(g, "second", 200, "{\"epoch\":99}", commit);
    g.check();
  }

  @Test
  void leases() throws Exception {
    Golden g = new Golden("store-leases");
    Call grant = () -> String.valueOf(store.grantLease(2000));
    addCall(g, "grant", 200, "{\"mooring\":12}", grant);
    addCall(g, "grant without lease", 200, "{}", grant);
    addCall(g, "grant refused", 503, "{}", grant);
    Call renew = () -> String.valueOf(store.renewLease(12));
    addCall(g, "renew", 200, "{}", renew);
    addCall(g, "renew, over", 404, "{}", renew);
    addCall(g, "renew, trouble", 503, "{}", renew);
    Call revoke =
        () -> {
          store.revokeLease(12);
          return "done";
        };
    addCall(g, "revoke", 200, "", revoke);
    addCall(g, "revoke, over", 404, "{}", revoke);
    g.check();
  }

  /** What is said when nobody listens: nothing was sent. */
  @Test
  void unreachableStore() throws Exception {
    recorder.close();
    assertThrows(IOException.class, () -> store.get("l/leader"));
    String said = describe(store.commit(transaction(), RateLimiter.Urgency.INTERACTIVE, 5000));
    new Golden("store-nobody").add("commit", said.split(":")[0]).check();
  }
}
