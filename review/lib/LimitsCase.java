import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Several jobs complete at about the same time after the state service has lowered its limits. Each
 * job has to be reported as done.
 */
final class LimitsCase {
  private static final int JOBS = 12;

  /** The pages allow 3 s; this check waits longer before it calls a job never reported. */
  private static final double DONE_WITHIN_S = 60;

  private LimitsCase() {}

  static final String FACTS =
      """
      [[facts.teams]]
      name = "verkko-team"
      cpus = 0.0
      cpus_max = 0.0
      gpus = 0.0
      gpus_max = 0.0
      [facts.workers]
      report_s = 2.5
      lease_s = 14.0
      gang_wait_s = 30.0
      gang_peer_s = 4.0
      cancel_s = 44.0
      [facts.state]
      rps = 250.0
      write_rps = 100.0
      value_kb = 32.0
      txn_ops = 12
      [facts.state.next]
      write_rps = 70.0
      value_kb = 2.0
      txn_ops = 4
      [facts.cloud]
      rps = 5.0
      list_lag_s = 3.0
      [facts.resources]
      cpu_share = 0.176
      ram_mb = 263.0
      sockets = 1500
      """;

  static final List<String> ZONES = List.of("espoo", "kuopio", "oulu", "tampere");

  static final List<Cloud.Hull> HULLS =
      List.of(
          new Cloud.Hull("pieni", 4, 0, 16, 0.5, 0.2, 0.06, 15, ZONES),
          new Cloud.Hull("kattila", 64, 0, 256, 1.0, 3.34, 0.9, 6, ZONES));

  static String job(String id, String shape, int shards, double imageGb, String image) {
    return Json.write(
        Json.of(
            "id", id, "berth_class", "frost-rerun", "crew", "verkko-team", "shape", shape,
            "rank", "urgent", "shards", shards, "vcpus", 2.0, "gpus", 0.0, "mem_gb", 5.7,
            "payload", image, "image_gb", imageGb, "hulls", List.of("kattila"), "harbor", null,
            "one_zone", false, "apart", false, "ebbtide", true, "expect_s", 20.0,
            "anchor_s", 0.0, "stow_s", 0.0, "due_s", null));
  }

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Log log = new Log(Path.of(args[0], "record.txt"));
    log.line("trouble: " + trouble);
    Rules rules = new Rules(log, 44);
    int exit = 2;
    try (Site site = new Site(3, log)) {
      Store store = new Store(new Store.Limits(12, 32, 100, 250), log);
      Cloud cloud = new Cloud(HULLS, 52, 3, 14, 2.5, site.names, rules, log);
      cloud.controllerPorts = site.publicPorts;
      int[] storePorts = {store.open(0), store.open(1), store.open(2)};
      site.configure(ZONES, cloud.open(), storePorts, FACTS);
      site.startAll();
      exit = run(site, store, cloud, rules, log, trouble);
    } catch (RuntimeException e) {
      log.line("could not run: " + e);
      e.printStackTrace();
    }
    log.line("exit " + exit);
    System.out.println("exit " + exit + " " + rules.broken);
    System.exit(exit);
  }

  private static int run(
      Site site, Store store, Cloud cloud, Rules rules, Log log, boolean trouble)
      throws Exception {
    Map<String, Integer> jobs = new LinkedHashMap<>();
    for (int i = 0; i < JOBS; i++) {
      String id = String.format("wk-%06d", 100 + i);
      int shards = 1 + i % 3;
      String body = job(id, "sweep", shards, 1.5, "img-01");
      cloud.jobs.put(id, Json.object(body));
      cloud.durations.put(id, 20_000L);
      Net.Answer answer = site.submit(i % site.size, id, body);
      if (answer.status() != 201 && answer.status() != 200) {
        log.line(id + " was not accepted");
        return 2;
      }
      jobs.put(id, shards);
    }
    if (trouble) {
      store.setLimits(new Store.Limits(4, 2, 70, 250));
    }
    Map<String, Double> completeAtS = new LinkedHashMap<>();
    List<String> open = new ArrayList<>(jobs.keySet());
    double nextPollS = 0;
    int polls = 0;
    while (!open.isEmpty() && log.seconds() < 112) {
      Thread.sleep(100);
      for (String id : open) {
        if (rules.doneCount(id) == jobs.get(id) && completeAtS.putIfAbsent(id, log.seconds()) == null) {
          log.line("all " + jobs.get(id) + " tasks of " + id + " have completed");
        }
      }
      if (log.seconds() < nextPollS) {
        continue;
      }
      nextPollS = log.seconds() + 5;
      for (String id : new ArrayList<>(open)) {
        Net.Answer answer = site.request(polls++ % site.size, "GET", "/v2/runs/" + id, null, 2000);
        if (answer.status() == 200 && "done".equals(Json.object(answer.body()).get("phase"))) {
          open.remove(id);
        } else if (completeAtS.containsKey(id)
            && log.seconds() > completeAtS.get(id) + DONE_WITHIN_S) {
          rules.broken(
              "done_never_told",
              id + " has completed " + (int) (log.seconds() - completeAtS.get(id))
                  + " s ago and is called " + answer);
          open.remove(id);
        }
      }
    }
    log.line("open at the end: " + open + "; completed at " + completeAtS);
    log.line("transactions over the limits: " + store.tooLarge);
    if (!rules.broken.isEmpty()) {
      return 1;
    }
    return open.isEmpty() ? 0 : 2;
  }
}
