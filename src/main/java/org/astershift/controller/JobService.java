package org.astershift.controller;

import java.io.IOException;
import java.util.Map;
import org.astershift.config.Constants;
import org.astershift.coordination.Cancellation;
import org.astershift.coordination.JobQuery;
import org.astershift.http.Json;
import org.astershift.peer.JobAnswer;
import org.astershift.scheduler.JobSpec;
import org.astershift.scheduler.Scheduler;
import org.astershift.store.RateLimiter;
import org.astershift.store.RecordCodec;
import org.astershift.store.StoreClient;
import org.astershift.store.StoreClient.Outcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts, answers for and cancels jobs, on whatever node. A node that does not lead knows only
 * what the store and the leader say.
 */
public final class JobService {
  private static final Logger LOG = LoggerFactory.getLogger(JobService.class);
  private final ControllerRuntime director;
  private final StoreClient store;
  private final EndedJobCache ended;
  private final Map<String, PeerChannel> askers;
  private final RequestCoalescer<JobAnswer> elsewhere = new RequestCoalescer<>(this::fromLeader);
  private final RequestCoalescer<JobAnswer> read = new RequestCoalescer<>(this::fromStore);

  /** A way to another node. */
  public interface PeerChannel {
    JobAnswer ask(String op, String job, int timeoutMs) throws IOException;
  }

  /** {@code askers}: the other controllers, by name. */
  public JobService(
      ControllerRuntime director, StoreClient store, Map<String, PeerChannel> askers) {
    this.director = director;
    this.store = store;
    this.ended = director.ended();
    this.askers = askers;
  }

  /** What became of a submission. */
  public record SubmissionResult(int status, JobAnswer known) {}

  /** Accepts a job durably, on whatever node. */
  public SubmissionResult submit(JobSpec spec) throws InterruptedException {
    RecordCodec.Ended end = ended.get(spec.id());
    if (end != null) {
      return new SubmissionResult(200, answer(end));
    }
    if (store.lost()) {
      return new SubmissionResult(503, null);
    }
    String key = RecordCodec.JOB + spec.id();
    RecordCodec.JobRecord record = new RecordCodec.JobRecord(spec, System.currentTimeMillis());
    StoreClient.Transaction txn =
        new StoreClient.Transaction()
            .when(key, 0)
            .when(RecordCodec.ENDED + spec.id(), 0)
            .put(key, RecordCodec.job(record));
    Outcome o = store.commit(txn, RateLimiter.Urgency.URGENT, Constants.ACCEPT_PATIENCE_MS);
    if (o instanceof Outcome.Committed a) {
      director.accepted(record, a.revision());
      end = ended.get(spec.id());
      if (end != null) {
        return new SubmissionResult(
            200, answer(end)); // the answer was slow, and its user was quicker
      }
      return new SubmissionResult(201, new JobAnswer(200, "queued", 0, 0));
    }
    if (o instanceof Outcome.Rejected) {
      return new SubmissionResult(503, null);
    }
    JobAnswer known = poll(spec.id(), true);
    return known.status() == 200
        ? new SubmissionResult(200, known)
        : new SubmissionResult(503, null);
  }

  private static JobAnswer answer(RecordCodec.Ended end) {
    return new JobAnswer(200, end.cancelled() ? "withdrawn" : "done", end.done(), 0);
  }

  /** The state of a job, from where {@link JobQuery} lets it come. */
  public JobAnswer poll(String id, boolean forward) throws InterruptedException {
    RecordCodec.Ended end = ended.get(id);
    LeaderTerm t = end == null ? director.term() : null;
    Scheduler.JobProgress live = t == null ? null : t.told(id);
    boolean sole = live != null && director.valid(t); // by now, so it was when that was looked at
    JobQuery.View view = new JobQuery.View(end != null, t != null, live != null, sole, forward);
    JobAnswer a =
        switch (JobQuery.source(view)) {
          case END -> answer(end);
          case MEMORY ->
              new JobAnswer(
                  200, live.running() ? "running" : "queued", live.done(), live.runningTasks());
          case LEADER -> elsewhere.ask(id);
          case RECORD -> read.ask(id);
        };
    return a == null ? JobAnswer.UNDECIDED : a;
  }

  /** What the leader says, or else the store. */
  private JobAnswer fromLeader(String id) {
    JobAnswer a = askLeader("poll", id);
    if (a.status() == 503) {
      return fromStore(id);
    }
    remember(id, a);
    return a;
  }

  /** Never older than the call: the live record first, since an ended job has lost it before. */
  private JobAnswer fromStore(String id) {
    if (store.lost()) {
      return JobAnswer.UNDECIDED; // at once: nobody waits for the deadline of a read
    }
    try {
      StoreClient.Entry live = store.get(RecordCodec.JOB + id);
      if (live.data() != null) {
        director.learnt(live);
        return new JobAnswer(200, "queued", 0, 0);
      }
      StoreClient.Entry row = store.get(RecordCodec.ENDED + id);
      if (row.data() == null) {
        return JobAnswer.UNKNOWN;
      }
      RecordCodec.Ended end = RecordCodec.ended(row.data());
      director.overOnRecord(id, end);
      return answer(end);
    } catch (IOException | Json.JsonFormatException e) {
      LOG.debug("reading {}: {}", id, e.toString());
      return JobAnswer.UNDECIDED;
    }
  }

  /** Cancels; answered only when it is durable and can be kept. */
  public JobAnswer cancel(String id, boolean forward) throws InterruptedException {
    LeaderTerm t = director.term();
    long arrivedMs = LeaderTerm.nowMs();
    long deadline = arrivedMs + Constants.CANCEL_PATIENCE_MS;
    boolean wanted = false;
    JobAnswer read = null;
    while (true) {
      Cancellation.Action act =
          Cancellation.next(view(id, t, forward, read != null, LeaderTerm.nowMs() >= deadline));
      if (act.ofKept() && !wanted) {
        wanted = true; // nothing of it starts from here on, however long the write takes
        t.cancelWanted(id, arrivedMs);
        director.stir();
      }
      RecordCodec.Ended end = null;
      switch (act) {
        case TELL -> end = ended.get(id);
        case FORWARD -> {
          JobAnswer a = askLeader("cancel", id);
          remember(id, a);
          return a;
        }
        case READ -> {
          read = fromStore(id);
          if (read.status() != 200) {
            return read;
          }
        }
        case WRITE_CANCELLED -> end = director.finish(t, id, true, leftMs(deadline));
        case WRITE_DONE -> end = director.finish(t, id, false, leftMs(deadline));
        case WAIT -> {}
        default -> {
          return JobAnswer.UNDECIDED;
        }
      }
      if (end != null) {
        return answer(end);
      }
      if (act.ofKept()) {
        Thread.sleep(Constants.CANCEL_LOOK_MS);
      }
    }
  }

  private static long leftMs(long deadline) {
    return Math.max(1, deadline - LeaderTerm.nowMs());
  }

  private Cancellation.View view(
      String id, LeaderTerm t, boolean forward, boolean read, boolean late) {
    boolean over = ended.get(id) != null;
    boolean kept = t != null && t.keeps(id);
    boolean keepable = false;
    boolean starting = false;
    boolean complete = false;
    if (!over && kept) {
      synchronized (t) {
        Scheduler.JobProgress view = t.scheduler.view(id);
        keepable = t.scheduler.cancelKeepable(id);
        starting = t.scheduler.mayStart(id);
        complete = view != null && view.complete();
      }
    }
    return new Cancellation.View(
        over,
        forward,
        t != null,
        t != null && !t.over() && director.valid(t),
        kept,
        read,
        keepable,
        starting,
        complete,
        late);
  }

  /** Answers another node. */
  public JobAnswer answer(String op, String job) throws InterruptedException {
    return switch (op) {
      case "poll" -> poll(job, false);
      case "cancel" -> cancel(job, false);
      case "state" -> director.reach().answer();
      case "reach" -> director.reach().workers();
      case "yield" -> director.reach().yielded(job);
      case "witness" -> director.sampling().witness(job);
      default -> JobAnswer.UNDECIDED;
    };
  }

  private void remember(String id, JobAnswer a) {
    if ("done".equals(a.phase()) || "withdrawn".equals(a.phase())) {
      ended.put(id, new RecordCodec.Ended(a.phase().equals("withdrawn"), a.done()));
    }
  }

  /** Asks the leading node. */
  private JobAnswer askLeader(String op, String id) {
    String leader = director.otherLeader();
    PeerChannel asker = leader == null ? null : askers.get(leader);
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
}
