package org.astershift.simulation;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.astershift.controller.LoopTiming;
import org.astershift.coordination.Cancellation;
import org.astershift.peer.PeerClient;
import org.astershift.scheduler.JobSpec;
import org.astershift.scheduler.Scheduler;
import org.astershift.simulation.StoreModel.EndRow;
import org.astershift.simulation.StoreModel.JobRow;
import org.astershift.simulation.StoreModel.Outcome;
import org.astershift.simulation.StoreModel.Row;
import org.astershift.simulation.StoreModel.Write;

/** Models a controller's answers to users: submissions, cancellations and questions about jobs. */
final class JobServiceModel {
  private static final String UNAVAILABLE = "503";
  private static final String UNKNOWN = "404";
  private static final String QUEUED = "queued";

  private final ControllerModel controller;
  private final Simulation simulation;
  private final RequestCoalescerModel leaderRequests;
  private final RequestCoalescerModel storeRequests;

  JobServiceModel(ControllerModel controller) {
    this.controller = controller;
    this.simulation = controller.simulation;
    this.leaderRequests = new RequestCoalescerModel(controller, this::askLeader);
    this.storeRequests = new RequestCoalescerModel(controller, this::readState);
  }

  /** Makes the job durable before its user gets an answer. */
  void submit(JobSpec spec, Consumer<String> answer) {
    controller.runIn(controller.incarnation(), () -> submitNow(spec, answer));
  }

  private void submitNow(JobSpec spec, Consumer<String> answer) {
    EndRow end = controller.endedJobs().get(spec.id());
    if (controller.isCrashed() || end != null || controller.isStoreLost()) {
      answer.accept(controller.isCrashed() || end == null ? UNAVAILABLE : stateOf(end));
      return;
    }
    JobRow job = new JobRow(spec, simulation.now());
    controller.compareAndSwap(
        Map.of("j/" + spec.id(), 0L, "d/" + spec.id(), 0L),
        List.of(new Write("j/" + spec.id(), job, 0)),
        outcome -> onSubmitted(job, outcome, answer));
  }

  private void onSubmitted(JobRow job, Outcome outcome, Consumer<String> answer) {
    if (outcome == StoreModel.REFUSED) {
      answer.accept(UNAVAILABLE);
    } else if (outcome != null && outcome.revision() > 0) {
      afterThreadStall(
          () -> {
            controller.onJobRead(job, outcome.revision());
            answer.accept(QUEUED);
          });
    } else {
      // The job is already durable, or may be.
      jobState(
          job.spec().id(),
          true,
          state -> answer.accept(state.equals(UNKNOWN) ? UNAVAILABLE : state));
    }
  }

  private static String stateOf(EndRow end) {
    return end.cancelled() ? "withdrawn" : "done";
  }

  /** Cancels the job as the program's {@link Cancellation} decides. */
  void cancel(String job, boolean forward, Consumer<String> answer) {
    controller.runIn(
        controller.incarnation(),
        () -> {
          if (!controller.isCrashed()) {
            long deadlineMs = controller.clock() + LoopTiming.CANCEL_WAIT_MS;
            advanceCancel(
                new CancelRequest(job, controller.term(), forward, deadlineMs, answer), false);
          }
        });
  }

  private record CancelRequest(
      String job, LeaderTermModel term, boolean forward, long deadlineMs, Consumer<String> answer) {
    boolean managed() {
      return term != null && term.jobs().manages(job);
    }
  }

  private Cancellation.View view(CancelRequest request, boolean storeRead) {
    LeaderTermModel term = request.term();
    boolean managed = request.managed();
    Scheduler.JobProgress progress = managed ? term.scheduler().progress(request.job()) : null;
    boolean unreconciled = controller.hasMutation(Mutation.CONFIRM_CANCEL_UNRECONCILED);
    return new Cancellation.View(
        controller.endedJobs().containsKey(request.job()),
        request.forward(),
        term != null,
        term != null && term.isCurrent() && term.isLeaseCertain(),
        managed,
        storeRead,
        managed && (unreconciled || term.scheduler().canConfirmCancellation(request.job())),
        managed
            && !controller.hasMutation(Mutation.CONFIRM_CANCEL_WHILE_STARTING)
            && term.scheduler().mayStillStart(request.job()),
        progress != null && progress.complete(),
        controller.clock() >= request.deadlineMs());
  }

  private void advanceCancel(CancelRequest request, boolean storeRead) {
    Cancellation.Action action = Cancellation.nextAction(view(request, storeRead));
    if (action.needsTerm()) {
      request.term().scheduler().requestCancellation(request.job());
      request.term().requestPass();
    }
    if (action == Cancellation.Action.WRITE_CANCELLED
        && controller.hasMutation(Mutation.CONFIRM_CANCEL_BEFORE_WRITE)) {
      request.answer().accept("withdrawn");
    }
    switch (action) {
      case REPLY_WITH_END ->
          request.answer().accept(stateOf(controller.endedJobs().get(request.job())));
      case FORWARD -> forwardCancel(request);
      case READ_STORE -> readStore(request);
      case WRITE_CANCELLED -> writeEnd(request, true, storeRead);
      case WRITE_DONE -> writeEnd(request, false, storeRead);
      case WAIT -> advanceCancelLater(request, storeRead);
      default -> request.answer().accept(UNAVAILABLE);
    }
  }

  private void advanceCancelLater(CancelRequest request, boolean storeRead) {
    controller.runLater(
        LoopTiming.CANCEL_POLL_INTERVAL_MS, () -> advanceCancel(request, storeRead));
  }

  private void readStore(CancelRequest request) {
    readState(
        request.job(),
        state -> {
          if (state.equals(QUEUED)) {
            advanceCancel(request, true);
          } else {
            request.answer().accept(state);
          }
        });
  }

  private void writeEnd(CancelRequest request, boolean cancelled, boolean storeRead) {
    request
        .term()
        .completionWriter()
        .write(
            request.job(),
            cancelled,
            end -> {
              if (end != null) {
                request.answer().accept(stateOf(end));
              } else {
                advanceCancelLater(request, storeRead);
              }
            });
  }

  private void forwardCancel(CancelRequest request) {
    ControllerModel leader = controller.otherLeader();
    if (leader == null) {
      request.answer().accept(UNAVAILABLE);
      return;
    }
    controller.request(
        leader.name,
        PeerClient.PEER_TIMEOUT_MS,
        (Consumer<String> reply) -> leader.cancel(request.job(), false, reply),
        (String state) -> {
          String known = state == null ? UNAVAILABLE : state;
          rememberEnd(request.job(), known);
          request.answer().accept(known);
        });
  }

  /**
   * Finds the state of a job in the program's order: the leader answers from memory while its lease
   * is certain, followers ask the leader, and all other answers are read from the store, the live
   * record first. Answers 503 if none of these gives an answer.
   */
  void jobState(String job, boolean forward, Consumer<String> answer) {
    if (!controller.isCrashed()) {
      controller.runIn(controller.incarnation(), () -> jobStateNow(job, forward, answer));
    }
  }

  private void jobStateNow(String job, boolean forward, Consumer<String> answer) {
    if (controller.hasMutation(Mutation.FORGET_ONE_JOB)
        && controller.name.equals("n1")
        && job.equals("wk-7")) {
      answer.accept(UNAVAILABLE);
      return;
    }
    EndRow end = controller.endedJobs().get(job);
    if (end != null) {
      answer.accept(stateOf(end));
      return;
    }
    LeaderTermModel term = controller.term();
    String known = stateFromMemory(term, job);
    if (known != null) {
      answer.accept(known);
    } else if (term == null && forward) {
      leaderRequests.ask(job, answer);
    } else {
      storeRequests.ask(job, answer);
    }
  }

  /**
   * Returns the state of a live job as far as this process may tell it from memory; null if it may
   * not.
   */
  private String stateFromMemory(LeaderTermModel term, String job) {
    boolean mayAnswer =
        term != null
            && (controller.hasMutation(Mutation.ANSWER_WHILE_ENDING)
                || !term.jobs().mayHaveEnded(job));
    Scheduler.JobProgress progress = mayAnswer ? term.scheduler().progress(job) : null;
    if (progress != null && term.isLeaseCertain()) {
      return progress.running() ? "running" : QUEUED;
    }
    boolean cached =
        controller.hasMutation(Mutation.ANSWER_FROM_WATCH_CACHE)
            && controller.watchCache().contains("j/" + job);
    return cached ? QUEUED : null;
  }

  private void askLeader(String job, Consumer<String> answer) {
    ControllerModel leader = controller.otherLeader();
    if (leader == null) {
      readState(job, answer);
      return;
    }
    controller.request(
        leader.name,
        PeerClient.PEER_TIMEOUT_MS,
        (Consumer<String> reply) -> leader.jobState(job, false, reply),
        (String state) -> {
          if (state == null || state.equals(UNAVAILABLE)) {
            readState(job, answer);
          } else {
            rememberEnd(job, state);
            answer.accept(state);
          }
        });
  }

  private void rememberEnd(String job, String state) {
    if (state.equals("withdrawn") || state.equals("done")) {
      controller.endedJobs().put(job, new EndRow(state.equals("withdrawn"), 0));
    }
  }

  /**
   * Runs the body after the thread's stall, if threads stall, so that what was read takes effect
   * late.
   */
  private void afterThreadStall(Runnable body) {
    long stallMs =
        simulation.threadStallMs == 0 ? 0 : simulation.random.nextLong(simulation.threadStallMs);
    controller.runLater(stallMs, body);
  }

  private void readState(String job, Consumer<String> answer) {
    if (controller.isStoreLost()) {
      answer.accept(UNAVAILABLE);
      return;
    }
    read(
        "j/" + job,
        (Row[] live) -> {
          if (live == null) {
            answer.accept(UNAVAILABLE);
          } else if (live[0] == null) {
            readEnd(job, answer);
          } else {
            afterThreadStall(
                () -> {
                  controller.onJobRead((JobRow) live[0].value(), live[0].revision());
                  answer.accept(QUEUED);
                });
          }
        });
  }

  private void readEnd(String job, Consumer<String> answer) {
    read(
        "d/" + job,
        (Row[] ended) -> {
          if (ended == null) {
            answer.accept(UNAVAILABLE);
          } else if (ended[0] == null) {
            answer.accept(UNKNOWN);
          } else {
            afterThreadStall(
                () -> {
                  EndRow end = (EndRow) ended[0].value();
                  controller.endedJobs().put(job, end);
                  answer.accept(stateOf(end));
                });
          }
        });
  }

  /**
   * Reads a key; {@code done} gets the row in an array, where it is null if the key does not exist,
   * or null if there is no answer.
   */
  private void read(String key, Consumer<Row[]> done) {
    controller.storeRequest(() -> new Row[] {simulation.store.get(controller.name, key)}, done);
  }
}
