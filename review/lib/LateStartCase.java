import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * A direct start of a leader that ends is held up on its way. The next leader starts the task on
 * another machine. The first machine restarts, and the held start arrives there.
 */
final class LateStartCase {
  private static final String JOB = "wk-000200";

  private LateStartCase() {}

  private record Held(Worker worker, Map<String, Object> request, String shard, double atS) {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Log log = new Log(Path.of(args[0], "record.txt"));
    log.line("trouble: " + trouble);
    Rules rules = new Rules(log, 44);
    int exit = 2;
    try (Site site = new Site(3, log)) {
      Store store = new Store(new Store.Limits(12, 32, 100, 250), log);
      List<Cloud.Hull> hulls =
          List.of(new Cloud.Hull("pieni", 4, 0, 16, 2.0, 0.2, 0.06, 2, LimitsCase.ZONES));
      Cloud cloud = new Cloud(hulls, 2, 3, 14, 2.5, site.names, rules, log);
      cloud.controllerPorts = site.publicPorts;
      int[] storePorts = {store.open(0), store.open(1), store.open(2)};
      String facts =
          LimitsCase.FACTS.replaceAll("(?s)\\[facts.state.next\\].*\\[facts.cloud\\]", "[facts.cloud]");
      site.configure(LimitsCase.ZONES, cloud.open(), storePorts, facts);
      // The first controller leads.
      site.start(0);
      site.awaitReady(0, 20);
      while (store.read("l/leader") == null) {
        Thread.sleep(50);
      }
      site.start(1);
      site.start(2);
      site.awaitReady(1, 20);
      site.awaitReady(2, 20);
      exit = run(site, store, cloud, rules, log, trouble);
    } catch (RuntimeException e) {
      log.line("could not run: " + e);
    }
    log.line("exit " + exit);
    System.out.println("exit " + exit + " " + rules.broken);
    System.exit(exit);
  }

  private static boolean submit(Site site, Cloud cloud, String id, int shards, String image)
      throws InterruptedException {
    String body =
        LimitsCase.job(id, "sweep", shards, 0.5, image).replace("[\"kattila\"]", "null");
    cloud.jobs.put(id, Json.object(body));
    int status = site.submit(1, id, body).status();
    return status == 201 || status == 200;
  }

  private static int run(
      Site site, Store store, Cloud cloud, Rules rules, Log log, boolean trouble)
      throws Exception {
    // A first job brings two machines up.
    cloud.durations.put("wk-000100", 2000L);
    if (!submit(site, cloud, "wk-000100", 4, "img-01")) {
      return 2;
    }
    while (rules.doneCount("wk-000100") < 4) {
      if (log.seconds() > 40) {
        return 2;
      }
      Thread.sleep(20);
    }
    Thread.sleep(4000);
    CompletableFuture<Held> held = new CompletableFuture<>();
    if (trouble) {
      cloud.interceptor =
          (worker, request) -> {
            for (Object item : Json.list(request.get("orders"))) {
              Map<String, Object> order = Json.map(item);
              String shard = (String) order.get("shard");
              boolean first = order.get("verb").equals("run") && shard.equals(JOB + "/2");
              if (first && !held.isDone()) {
                log.line("machine " + worker.name + ": the network holds up the command " + request);
                return held.complete(new Held(worker, request, shard, log.seconds()));
              }
            }
            return false;
          };
    }
    cloud.durations.put(JOB, 30_000L);
    cloud.durations.put(JOB + "/0", 3000L);
    cloud.durations.put(JOB + "/1", 3000L);
    if (!submit(site, cloud, JOB, 4, "img-02")) {
      return 2;
    }
    if (!trouble) {
      while (rules.doneCount(JOB) < 4 && log.seconds() < 110) {
        Thread.sleep(100);
      }
      return !rules.broken.isEmpty() ? 1 : rules.doneCount(JOB) == 4 ? 0 : 2;
    }
    Held start = held.get(20, TimeUnit.SECONDS);
    site.kill(0);
    double killedAtS = log.seconds();
    boolean isBack = false;
    boolean isElsewhere = false;
    while (!isElsewhere) {
      if (!isBack && log.seconds() > killedAtS + 3) {
        site.start(0); // back about 3 s after an end
        isBack = true;
      }
      if (log.seconds() > start.atS() + 14) {
        log.line("the task was not started on another machine in time");
        return 2;
      }
      for (Worker worker : cloud.machines()) {
        isElsewhere |= worker != start.worker() && worker.isOn(start.shard());
      }
      if (start.worker().isOn(start.shard())) {
        log.line("the next leader started the task on the same machine");
        return 2;
      }
      Thread.sleep(10);
    }
    if (!isBack) {
      site.start(0);
    }
    log.line("held up for " + (log.seconds() - start.atS()) + " s");
    synchronized (start.worker()) {
      // The held command arrives before the first report of the worker that begins anew.
      start.worker().restart();
      start.worker().deliver(start.request());
    }
    double untilS = log.seconds() + 10;
    while (log.seconds() < untilS) {
      Thread.sleep(100);
    }
    return rules.broken.isEmpty() ? 0 : 1;
  }
}
