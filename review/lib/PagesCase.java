import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Jobs are submitted after the state service has lowered its limits, while services run and machines
 * have room. Each job has to start.
 */
final class PagesCase {
  private static final int SERVICES = 66;
  private static final int REPLICAS = 4;
  private static final int JOBS = 3;

  /** "no job is left waiting for 90 s while a machine that fits has room". */
  private static final double START_WITHIN_S = 90;

  private PagesCase() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Log log = new Log(Path.of(args[0], "record.txt"));
    log.line("trouble: " + trouble);
    Rules rules = new Rules(log, 44);
    int exit = 2;
    try (Site site = new Site(3, log)) {
      Store store = new Store(new Store.Limits(12, 32, 100, 250), log);
      List<Cloud.Hull> hulls =
          List.of(
              new Cloud.Hull("kattila", 64, 0, 256, 1.0, 3.34, 0.9, 2, LimitsCase.ZONES));
      Cloud cloud = new Cloud(hulls, 52, 3, 14, 2.5, site.names, rules, log);
      cloud.controllerPorts = site.publicPorts;
      int[] storePorts = {store.open(0), store.open(1), store.open(2)};
      site.configure(LimitsCase.ZONES, cloud.open(), storePorts, LimitsCase.FACTS);
      site.startAll();
      exit = run(site, store, cloud, rules, log, trouble);
    } catch (RuntimeException e) {
      log.line("could not run: " + e);
    }
    log.line("exit " + exit);
    System.out.println("exit " + exit + " " + rules.broken);
    System.exit(exit);
  }

  private static String service(String id) {
    return Json.write(
        Json.of(
            "id", id, "berth_class", "forecast-service", "crew", "verkko-team", "shape", "service",
            "rank", "critical", "shards", REPLICAS, "vcpus", 2.0, "gpus", 0.0, "mem_gb", 6.9,
            "payload", "img-01", "image_gb", 1.8, "hulls", null, "harbor", null,
            "one_zone", false, "apart", true, "ebbtide", false, "expect_s", 0.0,
            "anchor_s", 0.0, "stow_s", 0.0, "due_s", null));
  }

  private static boolean submit(Site site, Cloud cloud, int index, String id, String body)
      throws InterruptedException {
    cloud.jobs.put(id, Json.object(body));
    int status = site.submit(index % site.size, id, body).status();
    return status == 201 || status == 200;
  }

  private static int run(
      Site site, Store store, Cloud cloud, Rules rules, Log log, boolean trouble)
      throws Exception {
    for (int i = 0; i < SERVICES; i++) {
      String id = String.format("wk-%06d", 100 + i);
      if (!submit(site, cloud, i, id, service(id))) {
        return 2;
      }
    }
    while (rules.starts < SERVICES * REPLICAS) {
      if (log.seconds() > 25) {
        log.line("the services do not run in time");
        return 2;
      }
      Thread.sleep(50);
    }
    log.line("all replicas run; records by size: " + store.sizes("l/n/"));
    Thread.sleep(1000);
    if (trouble) {
      store.setLimits(new Store.Limits(4, 2, 70, 250));
    }
    Map<String, Double> acceptedAtS = new LinkedHashMap<>();
    for (int i = 0; i < JOBS; i++) {
      String id = String.format("wk-%06d", 900 + i);
      cloud.durations.put(id, 5000L);
      if (!submit(site, cloud, i, id, LimitsCase.job(id, "sweep", 2, 1.5, "img-02"))) {
        return 2;
      }
      acceptedAtS.put(id, log.seconds());
    }
    List<String> open = new ArrayList<>(acceptedAtS.keySet());
    double nextPollS = 0;
    double roomSinceS = log.seconds();
    int polls = 0;
    while (!open.isEmpty() && log.seconds() < 116) {
      Thread.sleep(100);
      open.removeIf(id -> rules.doneCount(id) == 2);
      if (!hasRoom(cloud)) {
        roomSinceS = log.seconds();
      }
      if (log.seconds() >= nextPollS) {
        nextPollS = log.seconds() + 5;
        for (String id : open) {
          site.request(polls++ % site.size, "GET", "/v2/runs/" + id, null, 2000);
        }
      }
      for (String id : new ArrayList<>(open)) {
        double sinceS = Math.max(acceptedAtS.get(id), roomSinceS);
        if (!rules.isOnMachine(id + "/0")
            && !rules.isOnMachine(id + "/1")
            && rules.doneCount(id) == 0
            && log.seconds() > sinceS + START_WITHIN_S) {
          rules.broken(
              "left_waiting",
              id + " was accepted " + (int) (log.seconds() - acceptedAtS.get(id))
                  + " s ago and no task of it has started, while a machine had room for "
                  + (int) (log.seconds() - roomSinceS) + " s");
          open.remove(id);
        }
      }
    }
    log.line("open at the end: " + open + "; over the limits: " + store.tooLarge);
    if (!rules.broken.isEmpty()) {
      return 1;
    }
    return open.isEmpty() ? 0 : 2;
  }

  /** Returns whether a machine that is up has room for a task of 2 processors and 5.7 GB. */
  private static boolean hasRoom(Cloud cloud) {
    for (Worker worker : cloud.machines()) {
      if (worker.isUp() && worker.heldTasks() <= 30) {
        return true;
      }
    }
    return false;
  }
}
