import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The cases. */
final class Cases {
  private Cases() {}

  private static final List<String> ZONES = List.of("espoo", "tampere");

  private static Cloud.Type kattila() {
    return new Cloud.Type("kattila", 64, 0, 256, 1.0, 3.34, 0.9, 20, ZONES);
  }

  /** A later job beside a huge array that is bound to one zone. */
  static boolean window(Day day, boolean trouble) throws Exception {
    day.open();
    day.cloud.type(kattila());
    for (String zone : ZONES) {
      day.cloud.capacity("kattila", zone, 1);
      day.cloud.up("kattila", zone);
    }
    day.startAll();
    day.awaitReady(20_000);
    Jobs.Job portal =
        day.jobs.add("wk-000001", "service", 2, i -> Long.MAX_VALUE, "berth_class", "portal",
            "rank", "critical", "apart", true, "expect_s", 0.0);
    require(day, day.submit(portal) <= 201, "the service was not accepted");
    await(day, 20_000, () -> day.startsOf("wk-000001") == 2, "the service runs in both zones");
    if (trouble) {
      Jobs.Job huge =
          day.jobs.add("wk-000002", "sweep", 25_000, i -> 4000, "berth_class", "ensemble",
              "vcpus", 0.25, "mem_gb", 0.9, "one_zone", true, "expect_s", 4.0, "rank", "idle");
      require(day, day.submit(huge) <= 201, "the huge array was not accepted");
      await(day, 20_000, () -> day.startsOf("wk-000002") > 200, "the huge array runs");
    }
    Jobs.Job small =
        day.jobs.add("wk-000003", "sweep", 10, i -> 4000, "berth_class", "checks", "vcpus", 0.25,
            "mem_gb", 0.9, "expect_s", 4.0, "rank", "idle");
    require(day, day.submit(small) <= 201, "the small array was not accepted");
    long acceptedMs = Util.ms();
    long leastRoom = Long.MAX_VALUE;
    while (Util.ms() - acceptedMs < 91_000 && day.startsOf("wk-000003") == 0) {
      Util.sleep(500);
      long room = 0;
      for (Worker worker : day.cloud.workers()) {
        long fits =
            (long) Math.min(worker.freeCpus() / 0.25 + 1e-6, worker.freeMemory() / 0.9 + 1e-6);
        room = Math.max(room, Math.min(fits, 400 - worker.live() - worker.exited()));
      }
      leastRoom = Math.min(leastRoom, room);
      if ((Util.ms() - acceptedMs) / 500 % 20 == 0) {
        day.record.line(
            "starts of the small array %d, of the huge one %d; one machine has room for %d more of"
                + " the small array's tasks; poll: %s",
            day.startsOf("wk-000003"), day.startsOf("wk-000002"), room,
            day.pollText(0, "wk-000003"));
      }
    }
    double waitedS = (Util.ms() - acceptedMs) / 1000.0;
    boolean started = day.startsOf("wk-000003") > 0;
    day.record.line(
        "%.1f s after it was accepted the small array has %s; in all that time one machine had room"
            + " for at least %d of its tasks",
        waitedS, started ? "started" : "not started", leastRoom);
    return started || leastRoom < 1;
  }

  /** A huge array on machines with accelerators, of which its tasks need none. */
  static boolean plan(Day day, boolean trouble) throws Exception {
    day.open();
    day.cloud.type(new Cloud.Type("srednji", 16, 0, 64, 1.0, 0.77, 0.18, 25, List.of("zagreb")));
    day.cloud.type(new Cloud.Type("munja", 24, 4, 96, 1.0, 14.16, 2.9, 35, List.of("zagreb")));
    day.cloud.capacity("srednji", "zagreb", 9);
    day.cloud.capacity("munja", "zagreb", 2);
    day.cloud.up("srednji", "zagreb");
    day.cloud.up("srednji", "zagreb");
    day.startAll();
    day.awaitReady(20_000);
    // A replica on each machine, so that none is idle and returned.
    Jobs.Job portal =
        day.jobs.add("wk-000001", "service", 2, i -> Long.MAX_VALUE, "berth_class",
            "review-portal", "rank", "critical", "vcpus", 9.0, "expect_s", 0.0);
    require(day, day.submit(portal) <= 201, "the service was not accepted");
    await(day, 20_000, () -> day.startsOf("wk-000001") == 2, "the service runs");
    if (trouble) {
      Jobs.Job huge =
          day.jobs.add("wk-000002", "sweep", 100_000, i -> 4000, "berth_class", "festival-batch",
              "vcpus", 24.0, "mem_gb", 90.0, "expect_s", 4.0, "rank", "idle", "hulls",
              List.of("munja"));
      require(day, day.submit(huge) <= 201, "the huge array was not accepted");
    }
    Util.sleep(1000);
    List<String> ids = new ArrayList<>();
    Set<String> accepted = ConcurrentHashMap.newKeySet();
    for (int i = 0; i < 20; i++) {
      Jobs.Job small =
          day.jobs.add("wk-0001" + (10 + i), "sweep", 4, j -> 2000, "berth_class", "air-render",
              "expect_s", 2.0, "rank", "urgent");
      ids.add(small.id);
      Http.daemon(
          "user",
          () -> {
            if (day.submit(small) <= 201) {
              accepted.add(small.id);
            }
          });
      Util.sleep(250);
    }
    await(day, 15_000, () -> accepted.size() >= 10, "ten small arrays are accepted");
    List<String> early = new ArrayList<>(accepted);
    if (trouble) {
      await(day, 15_000, () -> day.withdraw("wk-000002"), "the huge array is withdrawn");
    }
    long overMs = Util.ms();
    int done = 0;
    double leastRoom = Double.MAX_VALUE;
    while (Util.ms() - overMs < 91_000 && done < ids.size()) {
      Util.sleep(3000);
      done = 0;
      StringBuilder text = new StringBuilder();
      for (int i = 0; i < ids.size(); i++) {
        String phase = day.poll(i % day.nodes, ids.get(i));
        done += phase.equals("done") ? 1 : 0;
        text.append(phase).append(' ');
      }
      double freeCpus = 0;
      for (Worker worker : day.cloud.workers()) {
        freeCpus = Math.max(freeCpus, Math.min(worker.freeCpus(), worker.freeMemory()));
      }
      leastRoom = Math.min(leastRoom, freeCpus);
      day.record.line(
          "machines up %d, the emptiest with %.0f free processors, task starts of all jobs %d, small arrays"
              + " accepted %d: %s",
          day.cloud.workers().size(), freeCpus, day.totalStarts(), accepted.size(), text);
    }
    day.recordLog("OutOfMemory|ERROR PassLoop", 6);
    day.recordLog("leads with token", 6);
    long waiting = early.stream().filter(id -> day.startsOf(id) == 0).count();
    day.record.line(
        "%.1f s after the huge array was withdrawn %d of 20 small arrays are done, %d of %d that"
            + " were accepted before have not started, and %d tasks have started in all",
        (Util.ms() - overMs) / 1000.0, done, waiting, early.size(), day.totalStarts());
    day.record.line("in all that time one machine had room for at least %.0f tasks", leastRoom);
    return waiting == 0 || leastRoom < 1;
  }

  /** Several huge arrays whose records of done tasks share a page. */
  static boolean progress(Day day, boolean trouble) throws Exception {
    day.rps = 150;
    day.writeRps = 15;
    day.valueKb = 8;
    day.txnOps = 8;
    day.reportS = 1.5;
    day.cancelS = 34;
    day.cloudRps = 4;
    day.listLagS = 8;
    day.open();
    List<String> zones = List.of("zagreb", "rijeka", "split");
    day.cloud.type(new Cloud.Type("mali", 4, 0, 16, 1.0, 0.19, 0.05, 25, zones));
    day.cloud.type(new Cloud.Type("srednji", 16, 0, 64, 1.0, 0.77, 0.18, 25, zones));
    List<String[]> pools = new ArrayList<>();
    int machines = 6;
    for (String type : List.of("mali", "srednji")) {
      for (String zone : zones) {
        pools.add(new String[] {type, zone});
        day.cloud.capacity(type, zone, machines);
        for (int i = 0; i < machines; i++) {
          day.cloud.up(type, zone);
        }
      }
    }
    day.startAll();
    day.awaitReady(20_000);
    // A replica on each machine, so that none is idle and returned.
    for (int k = 0; k < pools.size(); k++) {
      String[] pool = pools.get(k);
      Jobs.Job service =
          day.jobs.add("wk-00002" + k, "service", machines, i -> Long.MAX_VALUE, "berth_class",
              "review-portal", "rank", "critical", "vcpus", pool[0].equals("mali") ? 3.0 : 12.0,
              "hulls", List.of(pool[0]), "harbor", pool[1], "expect_s", 0.0);
      require(day, day.submit(service) <= 201, "a service was not accepted");
    }
    await(day, 30_000, () -> day.totalStarts() == machines * pools.size(), "all services run");
    int arrays = trouble ? pools.size() : 1;
    int shards = trouble ? 25_000 : 2_500;
    for (int k = 0; k < arrays; k++) {
      String[] pool = pools.get(k);
      Jobs.Job huge =
          day.jobs.add("wk-00001" + k, "sweep", shards, i -> 300, "berth_class", "festival-batch",
              "vcpus", 0.002, "mem_gb", 0.01, "expect_s", 0.3, "rank", "idle", "hulls",
              List.of(pool[0]), "harbor", pool[1], "payload", "img-" + k);
      require(day, day.submit(huge) <= 201, "an array was not accepted");
    }
    long lastStarts = 0;
    long sinceMs = Util.ms();
    long[] leastRoom = new long[pools.size()]; // on one machine of the pool, since the last start
    Arrays.fill(leastRoom, Long.MAX_VALUE);
    boolean done = false;
    for (int s = 0; Util.ms() - sinceMs < 91_000 && !done && day.record.seconds() < 115; s++) {
      Util.sleep(500);
      long starts = day.totalStarts();
      int exited = 0;
      double freeCpus = 0;
      long[] room = new long[pools.size()];
      for (Worker worker : day.cloud.workers()) {
        exited += worker.exited();
        freeCpus += worker.freeCpus();
        for (int k = 0; k < room.length; k++) {
          if (worker.type.name().equals(pools.get(k)[0]) && worker.zone.equals(pools.get(k)[1])) {
            double fits = Math.min(worker.freeCpus() / 0.002, worker.freeMemory() / 0.01);
            room[k] = Math.max(room[k], (long) fits);
          }
        }
      }
      if (starts > lastStarts) {
        lastStarts = starts;
        sinceMs = Util.ms();
        Arrays.fill(leastRoom, Long.MAX_VALUE);
      }
      for (int k = 0; k < room.length; k++) {
        leastRoom[k] = Math.min(leastRoom[k], room[k]);
      }
      StringBuilder phases = new StringBuilder();
      done = true;
      if (s % 8 == 7) {
        for (int k = 0; k < arrays; k++) {
          String phase = day.poll(k % day.nodes, "wk-00001" + k);
          phases.append(phase).append(' ');
          done &= phase.equals("done");
        }
        String page = day.store.text("l/n/p0");
        day.record.line(
            "starts %d, tasks completed %d, completed ones still in reports %d, page l/n/p0 %d"
                + " bytes, machines %d with %.1f free processors: %s",
            starts, day.totalDone(), exited, page == null ? 0 : page.length(),
            day.cloud.workers().size(), freeCpus, phases);
      } else {
        done = false;
      }
    }
    double waitedS = (Util.ms() - sinceMs) / 1000.0;
    day.recordLog("store rejected a page", 3);
    day.recordLog("leads with token", 6);
    boolean left = false;
    for (int k = 0; k < arrays; k++) {
      String phase = day.poll(k % day.nodes, "wk-00001" + k);
      left |= !phase.equals("done") && leastRoom[k] >= 1;
      day.record.line(
          "wk-00001%d is %s; no task has started for %.1f s, and all that time one machine of its"
              + " type and zone had room for at least %d of its tasks",
          k, phase, waitedS, leastRoom[k]);
    }
    if (!done && waitedS < 90) {
      throw new Day.NotRun("not enough time to wait for 90 s");
    }
    return done || !left;
  }

  /** A late copy of a start reaches a machine that is back, after the job was cancelled. */
  static boolean copy(Day day, boolean trouble) throws Exception {
    day.open();
    day.cloud.type(new Cloud.Type("pieni", 4, 0, 16, 1.0, 0.2, 0.06, 15, ZONES));
    for (String zone : ZONES) {
      day.cloud.capacity("pieni", zone, 4);
      day.cloud.up("pieni", zone);
    }
    day.startAll();
    day.awaitReady(20_000);
    Jobs.Job portal =
        day.jobs.add("wk-000001", "service", 2, i -> Long.MAX_VALUE, "berth_class", "portal",
            "rank", "critical", "apart", true, "expect_s", 0.0);
    require(day, day.submit(portal) <= 201, "the service was not accepted");
    await(day, 20_000, () -> day.startsOf("wk-000001") == 2, "the service runs in both zones");
    String id = null;
    Worker machine = null;
    List<String> starts = List.of();
    for (int k = 0; k < 8 && starts.isEmpty(); k++) {
      id = "wk-00030" + k;
      Jobs.Job job =
          day.jobs.add(id, "sweep", 1, i -> Long.MAX_VALUE, "berth_class", "simulation",
              "expect_s", 60.0);
      require(day, day.submit(job) <= 201, "the array was not accepted");
      String name = id;
      await(day, 10_000, () -> day.startsOf(name) == 1, name + " runs");
      for (Worker worker : day.cloud.workers()) {
        if (!worker.executedStarts(id + "/0").isEmpty()) {
          machine = worker;
          starts = worker.executedStarts(id + "/0");
        }
      }
    }
    require(day, machine != null, "no task was started by a direct command");
    Util.sleep(6000);
    String cancelled = id;
    await(day, 20_000, () -> day.withdraw(cancelled), cancelled + " is withdrawn");
    long toldMs = Util.ms();
    await(day, 20_000, () -> !day.isOnMachine(cancelled + "/0"), cancelled + "/0 is gone");
    Util.sleep(toldMs + (long) (day.cancelS * 1000) + 2000 - Util.ms());
    int before = day.startsOf(cancelled);
    day.record.line(
        "%.1f s after the confirmation: starts of %s so far %d", (Util.ms() - toldMs) / 1000.0,
        cancelled, before);
    if (trouble) {
      machine.restart();
      day.record.line("%s ended and is back: no token, session 1", machine.name);
      Util.sleep(100);
      for (String body : starts) {
        Http.Response answer = Http.once(machine.port(), "POST", "/orders", body, 2000);
        day.record.line(
            "a copy of a direct command reaches %s: %s, answered with %d %s", machine.name, body,
            answer.status(), answer.body());
      }
    }
    Util.sleep(4000);
    int after = day.startsOf(cancelled);
    day.record.line(
        "starts of %s since: %d; now %s a machine; poll: %s", cancelled, after - before,
        day.isOnMachine(cancelled + "/0") ? "on" : "on no", day.pollText(0, cancelled));
    day.recordLog("leads with token", 6);
    return after == before && !day.isOnMachine(cancelled + "/0");
  }

  /** A service waits beside a machine with accelerators while the other machines are full. */
  static boolean accelerators(Day day, boolean trouble) throws Exception {
    day.open();
    List<String> zones = List.of("zagreb");
    day.cloud.type(new Cloud.Type("srednji", 16, 0, 64, 1.0, 0.77, 0.18, 25, zones));
    day.cloud.type(new Cloud.Type("munja", 24, 4, 96, 1.0, 14.16, 2.9, 35, zones));
    day.cloud.capacity("srednji", "zagreb", 2);
    day.cloud.capacity("munja", "zagreb", 1);
    day.cloud.up("srednji", "zagreb");
    day.cloud.up("srednji", "zagreb");
    day.cloud.up("munja", "zagreb");
    day.startAll();
    day.awaitReady(20_000);
    Jobs.Job align =
        day.jobs.add("wk-000001", "gang", 1, i -> Long.MAX_VALUE, "berth_class", "speech-align",
            "vcpus", 10.0, "gpus", 2.0, "mem_gb", 40.0, "one_zone", true, "expect_s", 200.0);
    require(day, day.submit(align) <= 201, "the gang was not accepted");
    await(day, 20_000, () -> day.startsOf("wk-000001") == 1, "the gang runs on munja");
    if (trouble) {
      for (int k = 0; k < 8; k++) {
        Jobs.Job portal =
            day.jobs.add("wk-00010" + k, "service", 4, i -> Long.MAX_VALUE, "berth_class",
                "review-portal", "rank", "critical", "expect_s", 0.0);
        require(day, day.submit(portal) <= 201, "a service was not accepted");
      }
      await(day, 30_000, () -> day.totalStarts() == 33, "32 replicas fill both srednji");
    }
    Jobs.Job one =
        day.jobs.add("wk-000200", "service", 1, i -> Long.MAX_VALUE, "berth_class",
            "review-portal", "rank", "critical", "expect_s", 0.0);
    require(day, day.submit(one) <= 201, "the last service was not accepted");
    long acceptedMs = Util.ms();
    double leastRoom = Double.MAX_VALUE;
    for (int s = 0; Util.ms() - acceptedMs < 91_000 && day.startsOf("wk-000200") == 0; s++) {
      Util.sleep(500);
      double room = 0;
      for (Worker worker : day.cloud.workers()) {
        room = Math.max(room, Math.min(worker.freeCpus(), worker.freeMemory()));
      }
      leastRoom = Math.min(leastRoom, room);
      if (s % 20 == 19) {
        day.record.line(
            "starts of the last service %d; machines up %d, the emptiest with room for %.0f"
                + " replicas; poll: %s",
            day.startsOf("wk-000200"), day.cloud.workers().size(), room,
            day.pollText(0, "wk-000200"));
      }
    }
    boolean started = day.startsOf("wk-000200") > 0;
    day.record.line(
        "%.1f s after it was accepted the last service has %s; in all that time one machine had"
            + " room for at least %.0f replicas",
        (Util.ms() - acceptedMs) / 1000.0, started ? "started" : "not started", leastRoom);
    return started || leastRoom < 1;
  }

  interface Condition {
    boolean holds() throws Exception;
  }

  static void await(Day day, long timeoutMs, Condition condition, String what) throws Exception {
    long until = Util.ms() + timeoutMs;
    while (!condition.holds()) {
      if (Util.ms() > until) {
        throw new Day.NotRun("not in " + timeoutMs + " ms: " + what);
      }
      Util.sleep(50);
    }
    day.record.line("%s", what);
  }

  static void require(Day day, boolean condition, String problem) {
    if (!condition) {
      throw new Day.NotRun(problem);
    }
  }
}
