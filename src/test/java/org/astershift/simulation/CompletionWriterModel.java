package org.astershift.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.astershift.controller.LoopTiming;
import org.astershift.http.Threads;
import org.astershift.scheduler.Decision;
import org.astershift.simulation.StoreModel.EndRow;
import org.astershift.simulation.StoreModel.Outcome;
import org.astershift.simulation.StoreModel.Row;
import org.astershift.simulation.StoreModel.Write;

/**
 * Makes the ends of jobs durable before anybody learns of them. Done and cancelled exclude each
 * other: the first end that becomes durable stays.
 */
final class CompletionWriterModel {
  private final ControllerModel controller;
  private final Simulation simulation;
  private final LeaderTermModel term;

  /** Completed jobs whose end is not durable yet. */
  private final List<String> pending = new ArrayList<>();

  private boolean writing;

  CompletionWriterModel(ControllerModel controller, LeaderTermModel term) {
    this.controller = controller;
    this.simulation = controller.simulation;
    this.term = term;
  }

  /** Adds a completed job, whose end is to be written. */
  void addCompleted(String job) {
    pending.add(job);
    writePending();
  }

  /** Writes the end of one job; {@code done} gets null unless the end is certain to be durable. */
  void write(String job, boolean cancelled, Consumer<EndRow> done) {
    if (!term.jobs().manages(job)) {
      done.accept(controller.endedJobs().get(job));
      return;
    }
    EndRow end = new EndRow(cancelled, term.scheduler().progress(job).doneTasks());
    term.jobs().onEndWriteStarted(job);
    Map<String, Long> conditions = term.leaderCondition();
    List<Write> writes = new ArrayList<>();
    addEnd(job, end, conditions, writes);
    controller.compareAndSwap(conditions, writes, outcome -> onWritten(job, end, outcome, done));
  }

  private void addEnd(String job, EndRow end, Map<String, Long> conditions, List<Write> writes) {
    if (!controller.hasMutation(Mutation.OVERWRITE_JOB_END)) {
      conditions.put("d/" + job, 0L);
    }
    writes.add(new Write("j/" + job, null, 0));
    writes.add(new Write("d/" + job, end, 0));
  }

  private void onWritten(String job, EndRow end, Outcome outcome, Consumer<EndRow> done) {
    if (outcome != null && outcome.revision() > 0) {
      term.scheduler().onLeadershipConfirmed(outcome.revision());
      onEnded(job, end); // the end is durable, whichever controller leads by now
      done.accept(end);
    } else if (outcome == null) {
      done.accept(null);
    } else {
      onRejected(job, outcome, done);
    }
  }

  private void onRejected(String job, Outcome outcome, Consumer<EndRow> done) {
    term.jobs().onEndWriteRejected(job);
    if (outcome.failed().contains(StoreModel.LEADER_KEY)) {
      stepDown();
      done.accept(null);
    } else if (outcome == StoreModel.REFUSED) {
      done.accept(null);
    } else {
      readEnd(job, done);
    }
  }

  private void stepDown() {
    term.stepDown("a write was rejected because the leader key has changed");
  }

  /** Writes the ends of pending jobs, as many as fit into one transaction. */
  private void writePending() {
    if (writing || pending.isEmpty() || !term.isCurrent()) {
      return;
    }
    List<String> next =
        pending.subList(0, Math.min(LoopTiming.COMPLETION_BATCH_JOBS, pending.size()));
    List<String> jobs = next.stream().filter(term.jobs()::manages).toList();
    next.clear();
    if (jobs.isEmpty()) {
      writePending();
      return;
    }
    writing = true;
    Map<String, EndRow> ends = new LinkedHashMap<>();
    Map<String, Long> conditions = term.leaderCondition();
    List<Write> writes = new ArrayList<>();
    for (String job : jobs) {
      EndRow end = new EndRow(false, term.scheduler().progress(job).doneTasks());
      ends.put(job, end);
      addEnd(job, end, conditions, writes);
      term.jobs().onEndWriteStarted(job);
    }
    controller.compareAndSwap(
        conditions,
        writes,
        outcome -> {
          writing = false;
          onBatchWritten(jobs, ends, outcome);
          writePending();
        });
  }

  private void onBatchWritten(List<String> jobs, Map<String, EndRow> ends, Outcome outcome) {
    if (outcome != null && outcome.revision() > 0) {
      term.scheduler().onLeadershipConfirmed(outcome.revision());
      ends.forEach(this::onEnded);
    } else if (outcome == null) {
      jobs.forEach(this::retry);
    } else if (outcome == StoreModel.REFUSED) {
      jobs.forEach(term.jobs()::onEndWriteRejected);
      jobs.forEach(this::retry);
    } else if (outcome.failed().contains(StoreModel.LEADER_KEY)) {
      stepDown();
    } else {
      // One of the jobs was cancelled meanwhile, or an earlier attempt that got no answer was
      // applied.
      jobs.forEach(term.jobs()::onEndWriteRejected);
      jobs.forEach(this::writeAlone);
    }
  }

  private void writeAlone(String job) {
    write(
        job,
        false,
        end -> {
          if (end == null) {
            retry(job);
          }
        });
  }

  private void retry(String job) {
    if (term.isCurrent()) {
      controller.runLater(
          Threads.RETRY_BACKOFF_MS,
          () -> term.scheduler().onDecisionFailed(new Decision.FinishJob(job)));
    }
  }

  private void readEnd(String job, Consumer<EndRow> done) {
    controller.storeRequest(
        () -> new Row[] {simulation.store.get("d/" + job)},
        (Row[] found) -> {
          EndRow end = found == null || found[0] == null ? null : (EndRow) found[0].value();
          if (end != null) {
            onEnded(job, end);
          }
          done.accept(end);
        });
  }

  private void onEnded(String job, EndRow end) {
    controller.endedJobs().put(job, end);
    term.jobs().onEnded(job);
    term.scheduler().onJobEnded(job, end.cancelled(), controller.clock());
    term.recordWriter().persist("o/" + job, null, () -> {});
    term.recordWriter().persist("p/" + job, null, () -> {});
  }
}
