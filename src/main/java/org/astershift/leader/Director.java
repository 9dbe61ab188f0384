package org.astershift.leader;

import java.io.IOException;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.astershift.cloud.CloudClient;
import org.astershift.config.Constants;
import org.astershift.config.Settings;
import org.astershift.core.Decision;
import org.astershift.core.JobSpec;
import org.astershift.core.MachineType;
import org.astershift.core.Order;
import org.astershift.core.Policy;
import org.astershift.core.Report;
import org.astershift.core.Scheduler;
import org.astershift.http.Json;
import org.astershift.peer.JobAnswer;
import org.astershift.store.Mirror;
import org.astershift.store.RateBudget;
import org.astershift.store.Records;
import org.astershift.store.StoreClient;
import org.astershift.store.StoreClient.Outcome;
import org.astershift.worker.OrderSender;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries the scheduler's decisions out and tells it what came of them, and answers for jobs. Without a
 * term of office it knows only what the store says.
 */
public final class Director implements Leadership.Office {
  private static final Logger LOG = LoggerFactory.getLogger(Director.class);
  private final Settings settings;
  private final Policy policy;
  private final StoreClient store;
  private final Mirror mirror;
  private final CloudClient cloud;
  private final OrderSender sender = new OrderSender();
  private final Leadership leadership;
  private final EndedJobs ended = new EndedJobs();
  private volatile Term term;
  private volatile Map<String, MachineType> types = Map.of();

  private final ExecutorService orderPool = pool("order", Constants.ORDER_THREADS);
  private final ExecutorService writePool = pool("write", 4);
  private final ExecutorService rentPool = pool("rent", 2);
  private final ExecutorService returnPool = pool("return", 1);
  private final Object wake = new Object();
  private boolean stirred;

  public Director(Settings settings, Policy policy, StoreClient store, Mirror mirror) {
    this.settings = settings;
    this.policy = policy;
    this.store = store;
    this.mirror = mirror;
    this.cloud = new CloudClient(settings);
    this.leadership = new Leadership(settings.node(), store, mirror, this);
  }

  /** Threads come with the work and go when there is none; what waits is bounded by its askers. */
  private static ExecutorService pool(String name, int threads) {
    ThreadFactory factory =
        r -> {
          Thread t = new Thread(null, r, name, Constants.STACK_BYTES);
          t.setDaemon(true);
          return t;
        };
    ThreadPoolExecutor p =
        new ThreadPoolExecutor(
            threads, threads, 10, TimeUnit.SECONDS, new LinkedBlockingQueue<>(), factory);
    p.allowCoreThreadTimeOut(true);
    return p;
  }

  public void start() {
    mirror.start(this::changed);
    leadership.start();
  }

  public boolean ready() {
    return mirror.loaded();
  }

  /** The other node that leads, as far as known here, or null. */
  public String otherLeader() {
    String name = leadership.leader();
    return settings.node().equals(name) ? null : name;
  }

  public Map<String, MachineType> types() {
    return types;
  }

  private void changed(List<StoreClient.Row> changes) {
    Term t = term;
    boolean jobs = false;
    for (StoreClient.Row row : changes) {
      if (row.key().equals(Records.LEADER)) {
        leadership.look();
      } else if (row.key().equals(Records.TYPES) && row.data() != null && t == null) {
        try {
          types = Records.readTypes(row.data());
        } catch (Json.Bad e) {
          LOG.error("record of machine types: {}", e.getMessage());
        }
      } else if (t != null && row.key().startsWith(Records.JOB) && row.data() != null) {
        String id = row.key().substring(Records.JOB.length());
        if (ended.get(id) == null) {
          t.add(row, new BitSet());
          jobs = true;
        }
      }
    }
    if (jobs) {
      stir();
    }
  }

  // ---- term of office ----

  @Override
  public void begin(long token) {
    store.leading(true);
    Term t = new Term(token, new Scheduler(settings.facts(), policy, token));
    t.load(mirror);
    synchronized (t) {
      t.scheduler.types(types);
    }
    term = t;
    // What came between the loading and here was told to no term yet.
    for (StoreClient.Row row : mirror.below(Records.JOB)) {
      t.add(row, new BitSet());
    }
    for (StoreClient.Row row : mirror.below(Records.RENTAL)) {
      try {
        Decision.Rent r = Records.rental(row.data());
        String name = row.key().substring(Records.RENTAL.length());
        LOG.info("rental {} was left open by an earlier leader: asked again", name);
        synchronized (t) {
          t.scheduler.renting(name, r);
        }
        rentPool.execute(guarded("rental", () -> rent(t, name, r, true)));
      } catch (Json.Bad e) {
        LOG.error("record {} cannot be read: {}", row.key(), e.getMessage());
      }
    }
    thread("pass", () -> passLoop(t));
    thread("cloud", () -> cloudLoop(t));
    thread("save", () -> saveLoop(t));
  }

  @Override
  public void end(String why) {
    Term t = term;
    term = null;
    store.leading(false);
    if (t != null) {
      t.over = true;
      LOG.info("{} leads no longer (token {}): {}", settings.node(), t.token, why);
    }
    stir();
  }

  private static void thread(String name, Runnable body) {
    Thread t = new Thread(null, body, name, Constants.STACK_BYTES);
    t.setDaemon(true);
    t.start();
  }

  /** A body that may fail without ending its loop or its thread. */
  private interface Body {
    void run() throws Exception;
  }

  private static Runnable guarded(String what, Body body) {
    return () -> {
      try {
        body.run();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } catch (Exception e) {
        LOG.error("{} failed", what, e);
      }
    };
  }

  private static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void stir() {
    synchronized (wake) {
      stirred = true;
      wake.notifyAll();
    }
  }

  private void passLoop(Term t) {
    long told = 0;
    while (!t.over) {
      try {
        synchronized (wake) {
          if (!stirred) {
            wake.wait(Constants.PASS_MS);
          }
          stirred = false;
        }
        List<Decision> decisions;
        String summary = null;
        boolean isolated;
        synchronized (t) {
          long now = Term.nowMs();
          isolated = t.scheduler.isolated(now);
          decisions = t.scheduler.pass(now);
          if (now - told > Constants.SUMMARY_MS) {
            told = now;
            summary = t.scheduler.summary();
          }
        }
        if (isolated) {
          leadership.resign(t.token, "most machines do not answer here");
        }
        if (summary != null) {
          LOG.info(summary);
        }
        for (Decision d : decisions) {
          carryOut(t, d);
        }
      } catch (InterruptedException e) {
        return;
      } catch (RuntimeException e) {
        LOG.error("pass failed", e);
        sleep(Constants.RETRY_MS);
      }
    }
  }

  private void carryOut(Term t, Decision d) {
    if (d instanceof Decision.Direct o) {
      orderPool.execute(guarded("order", () -> direct(t, o)));
    } else if (d instanceof Decision.OpenJob o) {
      writePool.execute(guarded("opening", () -> open(t, o)));
    } else if (d instanceof Decision.FinishJob f) {
      writePool.execute(
          guarded(
              "finishing",
              () -> {
                if (finish(t, f.job(), false, Constants.STORE_PATIENCE_MS) == null) {
                  failed(t, f);
                }
              }));
    } else if (d instanceof Decision.Enrol e) {
      writePool.execute(guarded("enrolling", () -> enrol(t, e)));
    } else if (d instanceof Decision.Strike s) {
      if (s.addr() != null) {
        sender.forget(s.addr());
      }
      writePool.execute(guarded("striking", () -> strike(t, s)));
    } else if (d instanceof Decision.Rent r) {
      String name = t.rentalName();
      synchronized (t) {
        t.scheduler.renting(name, r);
      }
      rentPool.execute(guarded("rental", () -> rent(t, name, r, false)));
    } else if (d instanceof Decision.Return r) {
      returnPool.execute(guarded("return", () -> giveBack(t, r)));
    }
  }

  private void failed(Term t, Decision d) {
    sleep(Constants.RETRY_MS);
    synchronized (t) {
      t.scheduler.failed(d);
    }
  }

  // ---- workers ----

  /** Commands for the answer to a report; null if this node is not entitled to answer. */
  public List<Order> report(Report r, long token) {
    Term t = term;
    if (t == null || t.token != token) {
      return null;
    }
    List<Order> orders;
    boolean deposed;
    synchronized (t) {
      if (t.over) {
        return null;
      }
      orders = t.scheduler.report(r, Term.nowMs());
      deposed = t.scheduler.deposed();
    }
    if (deposed) {
      leadership.stepDown(t.token, "worker " + r.machine() + " has seen a higher token");
      return null;
    }
    if (!r.tasks().isEmpty() || !orders.isEmpty()) {
      stir();
    }
    return orders;
  }

  /** Token for the answer to a report. */
  public long token() {
    Term t = term;
    return t == null ? 0 : t.token;
  }

  private void direct(Term t, Decision.Direct d) {
    if (t.over) {
      return;
    }
    OrderSender.Result result = 
        sender.send(d.addr(), t.token, d.session(), d.orders(), d.timeoutMs());
    boolean deposed;
    synchronized (t) {
      t.scheduler.directResult(d.machine(), result.unknown(), result.report(), Term.nowMs());
      deposed = t.scheduler.deposed();
    }
    if (deposed) {
      leadership.stepDown(t.token, "machine " + d.machine() + " has seen a higher token");
    } else {
      stir();
    }
  }

  // ---- records ----

  private static StoreClient.Txn leading(Term t) {
    // A write of a leader that is applied late, after another took over, must fail.
    return new StoreClient.Txn().when(Records.LEADER, t.token);
  }

  private boolean lost(Term t, Outcome o) {
    if (o instanceof Outcome.Conflict c && c.keys().contains(Records.LEADER)) {
      leadership.stepDown(t.token, "a write found another leader");
      return true;
    }
    return false;
  }

  private void open(Term t, Decision.OpenJob d) throws InterruptedException, IOException {
    Term.Kept kept = t.kept(d.job());
    if (kept == null || t.over) {
      return;
    }
    String key = Records.JOB + d.job();
    Records.JobRecord r = kept.record;
    StoreClient.Txn txn =
        leading(t)
            .when(key, kept.revision)
            .put(key, Records.job(new Records.JobRecord(r.spec(), true, r.submittedMs())));
    Outcome o = store.commit(txn, RateBudget.Use.OPEN, Constants.STORE_PATIENCE_MS);
    if (o instanceof Outcome.Applied a) {
      openedAt(t, d.job(), kept, a.revision());
    } else if (o instanceof Outcome.Conflict && !lost(t, o)) {
      // An earlier try without an answer was applied, or the job has ended meanwhile.
      StoreClient.Row row;
      try {
        row = store.get(key);
      } catch (IOException e) {
        failed(t, d);
        return;
      }
      if (row.data() != null && Boolean.TRUE.equals(row.data().get("open"))) {
        openedAt(t, d.job(), kept, row.revision());
      } else {
        failed(t, d);
      }
    } else {
      failed(t, d);
    }
  }

  private void openedAt(Term t, String job, Term.Kept kept, long revision) {
    synchronized (t) {
      kept.revision = revision;
      t.scheduler.opened(job);
    }
    stir();
  }

  /** Makes the job's end durable, before anyone is told; null if that is not certain yet. */
  private Records.Ended finish(Term t, String id, boolean cancelled, long patienceMs)
      throws InterruptedException {
    Term.Kept kept = t.kept(id);
    if (kept == null) {
      return ended.get(id);
    }
    Scheduler.JobView view;
    List<Integer> segments;
    synchronized (t) {
      view = t.scheduler.view(id);
      segments = new ArrayList<>(kept.segments);
    }
    Records.Ended end = new Records.Ended(cancelled, view == null ? 0 : view.done());
    String key = Records.ENDED + id;
    // Done and cancelled exclude each other, also for tries whose answer was lost: the first stays.
    StoreClient.Txn txn =
        leading(t).when(key, 0).put(key, Records.ended(end)).delete(Records.JOB + id);
    for (int segment : segments) {
      txn.delete(Records.progress(id, segment));
    }
    Outcome o = store.commit(txn, RateBudget.Use.END, patienceMs);
    if (o instanceof Outcome.Conflict && !lost(t, o)) {
      try {
        StoreClient.Row row = store.get(key);
        if (row.data() == null) {
          return null;
        }
        end = Records.ended(row.data());
      } catch (IOException | Json.Bad e) {
        LOG.debug("end of {}: {}", id, e.toString());
        return null;
      }
    } else if (!(o instanceof Outcome.Applied)) {
      return null;
    }
    ended.put(id, end);
    t.ended(id, end.cancelled());
    LOG.debug("job {} is {}", id, end.cancelled() ? "cancelled" : "done");
    stir();
    return end;
  }

  private void enrol(Term t, Decision.Enrol e) throws InterruptedException {
    StoreClient.Txn txn = leading(t).put(Records.MACHINE + e.machine(), Records.machine(e));
    Outcome o = store.commit(txn, RateBudget.Use.ROSTER, Constants.STORE_PATIENCE_MS);
    if (o instanceof Outcome.Applied) {
      synchronized (t) {
        t.scheduler.enrolled(e.machine());
      }
      stir();
    } else if (!lost(t, o)) {
      failed(t, e);
    }
  }

  private void strike(Term t, Decision.Strike s) throws InterruptedException {
    StoreClient.Txn txn = leading(t).delete(Records.MACHINE + s.machine());
    while (!t.over) {
      Outcome o = store.commit(txn, RateBudget.Use.ROSTER, Constants.STORE_PATIENCE_MS);
      if (o instanceof Outcome.Applied || lost(t, o)) {
        return;
      }
      sleep(Constants.RETRY_MS);
    }
  }

  private void saveLoop(Term t) {
    while (!t.over) {
      sleep(Constants.SAVE_MS);
      try {
        save(t);
      } catch (InterruptedException e) {
        return;
      } catch (RuntimeException e) {
        LOG.error("saving progress failed", e);
      }
    }
  }

  private void save(Term t) throws InterruptedException {
    Map<String, BitSet> unsaved;
    synchronized (t) {
      unsaved = t.scheduler.unsaved(settings.storeLimits().txnOps());
    }
    StoreClient.Txn txn = leading(t);
    Map<String, BitSet> written = new LinkedHashMap<>();
    for (Map.Entry<String, BitSet> e : unsaved.entrySet()) {
      Term.Kept kept = t.kept(e.getKey());
      int segments = kept == null ? 0 : Records.segments(kept.record.spec().tasks());
      if (kept == null || txn.size() + segments > settings.storeLimits().txnOps()) {
        continue;
      }
      // Not after the job's end: its progress would stay for ever.
      txn.when(Records.JOB + e.getKey(), kept.revision);
      for (int i = 0; i < segments; i++) {
        txn.put(Records.progress(e.getKey(), i), Records.segment(e.getValue(), i));
        synchronized (t) {
          kept.segments.add(i);
        }
      }
      written.put(e.getKey(), e.getValue());
    }
    if (written.isEmpty()) {
      return;
    }
    Outcome o = store.commit(txn, RateBudget.Use.PROGRESS, Constants.STORE_PATIENCE_MS);
    if (o instanceof Outcome.Applied) {
      synchronized (t) {
        written.forEach(t.scheduler::saved);
      }
    } else {
      lost(t, o);
    }
  }

  // ---- the cloud ----

  private void cloudLoop(Term t) {
    long typesAt = 0;
    while (!t.over) {
      try {
        long now = Term.nowMs();
        if (typesAt == 0 || now - typesAt > Constants.TYPES_MS) {
          learnTypes(t);
          typesAt = now;
        }
        long asked = Term.nowMs();
        List<Scheduler.Listed> listed = cloud.list();
        synchronized (t) {
          t.scheduler.list(listed, asked, Term.nowMs());
        }
        stir();
        sleep(Constants.LIST_MS);
      } catch (IOException e) {
        LOG.info("the cloud does not answer as it should: {}", e.getMessage());
        sleep(Constants.RETRY_MS);
      } catch (InterruptedException e) {
        return;
      } catch (RuntimeException e) {
        LOG.error("cloud loop failed", e);
        sleep(Constants.RETRY_MS);
      }
    }
  }

  private void learnTypes(Term t) throws IOException, InterruptedException {
    Map<String, MachineType> learnt = cloud.types();
    boolean other = !sizes(learnt).equals(sizes(types));
    types = learnt;
    synchronized (t) {
      t.scheduler.types(learnt);
    }
    stir();
    if (other || mirror.row(Records.TYPES) == null) {
      StoreClient.Txn txn = leading(t).put(Records.TYPES, Records.types(learnt));
      lost(t, store.commit(txn, RateBudget.Use.OPEN, Constants.STORE_PATIENCE_MS));
    }
  }

  /** What is worth a write when it changes; prices move all the time. */
  private static String sizes(Map<String, MachineType> types) {
    StringBuilder sb = new StringBuilder();
    for (MachineType t : types.values()) {
      sb.append(t.name()).append(t.cpus()).append(t.gpus()).append(t.memoryGb()).append(t.zones());
    }
    return sb.toString();
  }

  /**
   * Rents under a name that is on record first, so that a successor learns what came of it. A call
   * without an answer is repeated under the same name until it has one.
   */
  private void rent(Term t, String name, Decision.Rent r, boolean recorded)
      throws InterruptedException {
    String key = Records.RENTAL + name;
    if (!recorded) {
      StoreClient.Txn intent = leading(t).put(key, Records.rental(r));
      Outcome o = store.commit(intent, RateBudget.Use.ROSTER, Constants.STORE_PATIENCE_MS);
      if (!(o instanceof Outcome.Applied)) {
        lost(t, o);
        notRented(t, name, r, false);
        return;
      }
    }
    while (!t.over) {
      StoreClient.Txn txn = leading(t).delete(key);
      List<String> names = List.of();
      boolean noCapacity = false;
      try {
        names = cloud.rent(name, r);
      } catch (CloudClient.Refused e) {
        if (!e.noCapacity()) {
          LOG.info("rental {}: {}", name, e.getMessage());
          sleep(Constants.CLOUD_RETRY_MS);
          continue;
        }
        noCapacity = true;
        LOG.info("no capacity for {} in {}{}", r.type(), r.zone(), r.spot() ? ", spot" : "");
      } catch (IOException e) {
        LOG.info("rental {}: {}", name, e.toString());
        sleep(Constants.CLOUD_RETRY_MS);
        continue;
      }
      for (String m : names) {
        txn.put(
            Records.MACHINE + m,
            Records.machine(
                new Decision.Enrol(m, null, r.type(), r.zone(), r.spot(), true)));
      }
      if (names.isEmpty()) {
        notRented(t, name, r, noCapacity);
      } else {
        LOG.info("rental {} of {} {} in {} brings {}", name, r.count(), r.type(), r.zone(), names);
        synchronized (t) {
          t.scheduler.rented(name, names, r, false, Term.nowMs());
        }
      }
      settle(t, txn, name, names, r);
      return;
    }
  }

  private void settle(Term t, StoreClient.Txn txn, String name, List<String> names, Decision.Rent r)
      throws InterruptedException {
    while (!t.over) {
      Outcome o = store.commit(txn, RateBudget.Use.ROSTER, Constants.STORE_PATIENCE_MS);
      if (o instanceof Outcome.Applied) {
        if (!names.isEmpty()) {
          synchronized (t) {
            t.scheduler.rented(name, names, r, true, Term.nowMs());
          }
          stir();
        }
        return;
      }
      if (lost(t, o)) {
        return;
      }
      sleep(Constants.RETRY_MS);
    }
  }

  private void notRented(Term t, String name, Decision.Rent r, boolean noCapacity) {
    synchronized (t) {
      t.scheduler.notRented(name, r, noCapacity, Term.nowMs());
    }
  }

  private void giveBack(Term t, Decision.Return r) {
    if (t.over) {
      return;
    }
    try {
      cloud.giveBack(r.machines());
      synchronized (t) {
        t.scheduler.returned(r.machines(), Term.nowMs());
      }
      stir();
    } catch (IOException e) {
      LOG.info("return of {}: {}", r.machines(), e.toString());
      sleep(Constants.CLOUD_RETRY_MS);
      synchronized (t) {
        t.scheduler.notReturned(r.machines());
      }
    }
  }

  // ---- users ----

  /** What became of a submission. */
  public record Submitted(int status, JobAnswer known) {}

  /** Accepts a job durably, on whatever node, unless it can never run ({@code refuse}). */
  public Submitted submit(JobSpec spec, boolean refuse) throws InterruptedException {
    Records.Ended end = ended.get(spec.id());
    if (end != null) {
      return new Submitted(200, answer(end));
    }
    String key = Records.JOB + spec.id();
    if (refuse) {
      // What was accepted once is not refused later, whatever the types are now.
      JobAnswer known = fromStore(spec.id());
      return known.status() == 404 ? new Submitted(422, null) : new Submitted(known.status(), known);
    }
    long at = System.currentTimeMillis();
    Records.JobRecord record = new Records.JobRecord(spec, false, at);
    StoreClient.Txn txn =
        new StoreClient.Txn()
            .when(key, 0)
            .when(Records.ENDED + spec.id(), 0)
            .put(key, Records.job(record));
    Outcome o = store.commit(txn, RateBudget.Use.ACCEPT, Constants.USER_TIMEOUT_MS / 2);
    if (o instanceof Outcome.Applied a) {
      taken(record, a.revision());
      return new Submitted(201, new JobAnswer(200, "queued", 0, 0));
    }
    if (o instanceof Outcome.Refused) {
      return new Submitted(503, null);
    }
    JobAnswer known = poll(spec.id(), true);
    return known.status() == 200 ? new Submitted(200, known) : new Submitted(503, null);
  }

  private void taken(Records.JobRecord record, long revision) {
    Term t = term;
    if (t != null && ended.get(record.spec().id()) == null) {
      t.add(record, revision, new BitSet());
      stir();
    }
  }

  private static JobAnswer answer(Records.Ended end) {
    return new JobAnswer(200, end.cancelled() ? "withdrawn" : "done", end.done(), 0);
  }

  /** The state of a job. Only a leader that is certainly one may answer from memory. */
  public JobAnswer poll(String id, boolean forward) throws InterruptedException {
    Records.Ended end = ended.get(id);
    if (end != null) {
      return answer(end);
    }
    Term t = term;
    if (t != null) {
      Scheduler.JobView view;
      synchronized (t) {
        view = t.scheduler.view(id);
      }
      if (view != null && leadership.valid(t.token)) {
        return new JobAnswer(
            200, view.running() ? "running" : "queued", view.done(), view.runningTasks());
      }
    }
    if (t == null && forward) {
      JobAnswer a = askLeader("poll", id);
      if (a.status() != 503) {
        remember(id, a);
        return a;
      }
    }
    return fromStore(id);
  }

  /** Never older than the call: the live record first, since an ended job has lost it before. */
  private JobAnswer fromStore(String id) {
    try {
      StoreClient.Row live = store.get(Records.JOB + id);
      if (live.data() != null) {
        Term t = term;
        if (t != null && ended.get(id) == null) {
          t.add(live, new BitSet());
          stir();
        }
        return new JobAnswer(200, "queued", 0, 0);
      }
      StoreClient.Row row = store.get(Records.ENDED + id);
      if (row.data() == null) {
        return JobAnswer.UNKNOWN;
      }
      Records.Ended end = Records.ended(row.data());
      ended.put(id, end);
      return answer(end);
    } catch (IOException | Json.Bad e) {
      LOG.debug("reading {}: {}", id, e.toString());
      return JobAnswer.UNDECIDED;
    }
  }

  /** Cancels; answered only when it is durable and can be kept. */
  public JobAnswer cancel(String id, boolean forward) throws InterruptedException {
    Records.Ended end = ended.get(id);
    if (end != null) {
      return answer(end);
    }
    Term t = term;
    if (t == null || !leadership.valid(t.token)) {
      if (!forward || t != null) {
        return JobAnswer.UNDECIDED;
      }
      JobAnswer a = askLeader("cancel", id);
      remember(id, a);
      return a;
    }
    if (t.kept(id) == null) {
      JobAnswer known = fromStore(id);
      if (known.status() != 200 || t.kept(id) == null) {
        return known.status() == 200 && "queued".equals(known.phase())
            ? JobAnswer.UNDECIDED
            : known;
      }
    }
    synchronized (t) {
      t.scheduler.cancelWanted(id);
    }
    stir();
    long deadline = Term.nowMs() + Constants.CANCEL_PATIENCE_MS;
    while (!t.over && Term.nowMs() < deadline) {
      boolean keepable;
      Scheduler.JobView view;
      synchronized (t) {
        keepable = t.scheduler.cancelKeepable(id);
        view = t.scheduler.view(id);
      }
      if (view == null) {
        Records.Ended now = ended.get(id);
        return now == null ? JobAnswer.UNDECIDED : answer(now);
      }
      if (keepable || view.complete()) {
        Records.Ended now =
            finish(t, id, !view.complete(), Math.max(1, deadline - Term.nowMs()));
        if (now != null) {
          return answer(now);
        }
      }
      Thread.sleep(Constants.CANCEL_LOOK_MS);
    }
    return JobAnswer.UNDECIDED;
  }

  private void remember(String id, JobAnswer a) {
    if ("done".equals(a.phase()) || "withdrawn".equals(a.phase())) {
      ended.put(id, new Records.Ended(a.phase().equals("withdrawn"), a.done()));
    }
  }

  /** Asks the leading node; how it is reached is set by {@link #peers}. */
  private JobAnswer askLeader(String op, String id) {
    String leader = otherLeader();
    Asker asker = leader == null ? null : askers.get(leader);
    if (asker == null) {
      return JobAnswer.UNDECIDED;
    }
    try {
      return asker.ask(op, id, Constants.PEER_TIMEOUT_MS);
    } catch (IOException e) {
      LOG.debug("asking {}: {}", leader, e.toString());
      return JobAnswer.UNDECIDED;
    }
  }

  /** A way to another node. */
  public interface Asker {
    JobAnswer ask(String op, String job, int timeoutMs) throws IOException;
  }

  private volatile Map<String, Asker> askers = Map.of();

  public void peers(Map<String, Asker> byNode) {
    askers = byNode;
  }
}
