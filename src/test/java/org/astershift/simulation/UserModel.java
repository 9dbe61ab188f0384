package org.astershift.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.astershift.scheduler.JobKind;
import org.astershift.scheduler.JobSpec;

/**
 * The users: they submit, cancel and ask, each time at any controller, until they have an answer.
 * From some moment on they ask each controller about each job again and again; some look closely:
 * as soon as one of them learns that a job is accepted or over, others ask all controllers within
 * milliseconds and repeat the submission.
 */
final class UserModel {
  /** How long they wait for the answer to a submission or a cancellation, and to a question. */
  private static final long REQUEST_TIMEOUT_MS = 5000;

  private static final long QUESTION_TIMEOUT_MS = 2000;
  private static final long POLL_INTERVAL_MS = 5000;

  /** Within so long after an acceptance or end all controllers are asked, so many times each. */
  private static final long CLOSE_QUERY_WINDOW_MS = 40;

  private static final int CLOSE_QUERIES = 4;

  private final Simulation simulation;
  private final Map<String, Long> runMs = new HashMap<>();
  private final Map<String, JobSpec> submitted = new LinkedHashMap<>();
  private final Set<String> accepted = new LinkedHashSet<>();
  private final Set<String> cancelled = new HashSet<>();
  private final Map<String, Set<Integer>> onTaskCompleted = new HashMap<>();
  private boolean polling;

  /** Share of the acceptances and ends that are followed by close queries. */
  double closeQueryShare;

  /** Share of the jobs that are cancelled within milliseconds of the news of their acceptance. */
  double cancelOnAcceptShare;

  /** Share of the jobs that are cancelled as their last task ends: just before, at or after it. */
  double cancelAtEndShare;

  /** Tasks that run longer than the others of their job, by name, in milliseconds. */
  final Map<String, Long> taskRunMs = new HashMap<>();

  /** Questions and repeated submissions within milliseconds of news, and how many got an answer. */
  int closeQueries;

  int closeQueriesAnswered;
  int resubmissionsAnswered;

  /** Cancellations asked for within milliseconds of an acceptance, and around a job's end. */
  int cancelledOnAccept;

  int cancelledAtEnd;

  UserModel(Simulation simulation) {
    this.simulation = simulation;
  }

  /** A job is on record; {@code runMs}: how long its tasks run, null for a service. */
  void acceptDirectly(JobSpec spec, Long runMs) {
    remember(spec, runMs);
    simulation.store.putJob(spec);
    onAccepted(spec.id());
  }

  private void remember(JobSpec spec, Long runMs) {
    submitted.put(spec.id(), spec);
    if (runMs != null) {
      this.runMs.put(spec.id(), runMs);
    }
  }

  private boolean onAccepted(String job) {
    boolean news = accepted.add(job);
    if (news && polling) {
      poll(job);
    }
    return news;
  }

  /** A user submits the job until it is accepted; {@code then}: what follows that. */
  void submit(JobSpec spec, Long runMs, Runnable then) {
    remember(spec, runMs);
    request(
        spec.id(),
        (controller, answer) -> controller.submit(spec, answer),
        () -> {
          if (onAccepted(spec.id())) {
            then.run();
            queryClosely(spec.id());
            if (simulation.random.nextDouble() < cancelOnAcceptShare) {
              cancelledOnAccept++;
              simulation.after(
                  simulation.random.nextLong(CLOSE_QUERY_WINDOW_MS), () -> cancel(spec.id()));
            }
          }
        });
  }

  /** Its user wants it cancelled. */
  void cancel(String job) {
    if (cancelled.add(job)) {
      simulation.checker.onCancelRequested(job);
      request(job, (controller, answer) -> controller.cancel(job, true, answer), () -> {});
    }
  }

  /** So many jobs whose tasks are on machines are cancelled within a fifth of a second. */
  int cancelRunningJobs(int count) {
    List<String> run =
        accepted.stream()
            .filter(job -> !cancelled.contains(job) && simulation.checker.tasksOnMachines(job) > 0)
            .filter(job -> submitted.get(job).kind() != JobKind.SERVICE)
            .limit(count)
            .toList();
    run.forEach(job -> simulation.after(simulation.random.nextLong(200), () -> cancel(job)));
    return run.size();
  }

  /**
   * One-task jobs, four a second, of which a quarter is cancelled sooner or later; {@code id}: the
   * number of the first.
   */
  void submitStream(int id, int jobs, long ms) {
    for (int i = 0; i < jobs; i++) {
      String job = "wk-" + (id + i);
      boolean cancels = simulation.random.nextInt(4) == 0;
      long afterMs = simulation.random.nextLong(2 * ms);
      Runnable then = () -> simulation.after(afterMs, () -> cancel(job));
      simulation.after(
          i * 250L + simulation.random.nextLong(250),
          () -> submit(JobDraft.job(job, JobKind.ARRAY, 1), ms, cancels ? then : () -> {}));
    }
  }

  /**
   * A user's request about a job, at some controller, and again at some controller until it is
   * answered.
   */
  private void request(
      String job, BiConsumer<ControllerModel, Consumer<String>> service, Runnable answered) {
    ControllerModel controller =
        simulation.controllers.get(simulation.random.nextInt(simulation.controllers.size()));
    send(
        job,
        controller,
        REQUEST_TIMEOUT_MS,
        service,
        state -> {
          if (state == null || state.equals("503")) {
            simulation.after(
                1000 + simulation.random.nextLong(500), () -> request(job, service, answered));
          } else {
            answered.run();
          }
        });
  }

  private void send(
      String job,
      ControllerModel controller,
      long waitMs,
      BiConsumer<ControllerModel, Consumer<String>> service,
      Consumer<String> done) {
    long askedOrder = simulation.checker.onQuestion();
    simulation.call(
        "user",
        controller.name,
        waitMs,
        (Consumer<String> answer) -> service.accept(controller, answer),
        (String state) -> {
          boolean over = simulation.checker.onAnswer(job, controller.name, state, askedOrder);
          done.accept(state);
          if (over) {
            queryClosely(job);
          }
        });
  }

  /** From now on each controller is asked about each accepted job every five seconds. */
  void pollAll() {
    polling = true;
    accepted.forEach(this::poll);
    poll("wk-of-nobody");
  }

  private void poll(String job) {
    for (ControllerModel controller : simulation.controllers) {
      simulation.after(simulation.random.nextLong(POLL_INTERVAL_MS), () -> poll(job, controller));
    }
  }

  private void poll(String job, ControllerModel controller) {
    send(
        job,
        controller,
        QUESTION_TIMEOUT_MS,
        (node, answer) -> node.jobState(job, true, answer),
        state -> simulation.after(POLL_INTERVAL_MS, () -> poll(job, controller)));
  }

  /** A user has just learnt that the job is accepted, or that it is over. */
  private void queryClosely(String job) {
    if (simulation.random.nextDouble() >= closeQueryShare) {
      return;
    }
    for (ControllerModel controller : simulation.controllers) {
      for (int i = 0; i < CLOSE_QUERIES; i++) {
        querySoon(
            job,
            controller,
            QUESTION_TIMEOUT_MS,
            (node, answer) -> node.jobState(job, true, answer),
            () -> closeQueriesAnswered++);
      }
      JobSpec spec = submitted.get(job);
      querySoon(
          job,
          controller,
          REQUEST_TIMEOUT_MS,
          (node, answer) -> node.submit(spec, answer),
          () -> resubmissionsAnswered++);
    }
  }

  private void querySoon(
      String job,
      ControllerModel controller,
      long waitMs,
      BiConsumer<ControllerModel, Consumer<String>> service,
      Runnable answered) {
    closeQueries++;
    simulation.after(
        simulation.random.nextLong(CLOSE_QUERY_WINDOW_MS),
        () ->
            send(
                job,
                controller,
                waitMs,
                service,
                state -> {
                  if (state != null && !state.equals("503")) {
                    answered.run();
                  }
                }));
  }

  /** A task is being started on a machine, and will end after so long if nothing happens. */
  void onTaskStarted(String job, int index, long endsMs) {
    if (cancelAtEndShare > 0 && simulation.random.nextDouble() < cancelAtEndShare) {
      // A request takes some milliseconds, and the news of the end some hundred.
      long aroundMs = simulation.random.nextBoolean() ? 10 : 600;
      long atMs = endsMs + simulation.random.nextLong(2 * aroundMs) - aroundMs;
      simulation.after(atMs, () -> cancelIfLastTask(job, index));
    }
  }

  /** The same for a gang, which completes as a whole. */
  void onTaskStarted(String gang, long endsMs) {
    if (cancelAtEndShare > 0 && simulation.random.nextDouble() < cancelAtEndShare) {
      long aroundMs = simulation.random.nextBoolean() ? 10 : 600;
      long atMs = endsMs + simulation.random.nextLong(2 * aroundMs) - aroundMs;
      simulation.after(
          atMs,
          () -> {
            if (!cancelled.contains(gang)) {
              cancelledAtEnd++;
              cancel(gang);
            }
          });
    }
  }

  private void cancelIfLastTask(String job, int index) {
    Set<Integer> done = new HashSet<>(onTaskCompleted.getOrDefault(job, Set.of()));
    done.add(index);
    if (done.size() == submitted.get(job).tasks() && !cancelled.contains(job)) {
      cancelledAtEnd++;
      cancel(job);
    }
  }

  /** A task has completed. */
  void onTaskCompleted(String job, int index) {
    onTaskCompleted.computeIfAbsent(job, j -> new HashSet<>()).add(index);
  }

  /** How long a task runs; null: until it is stopped. */
  Long runMsOf(String job, int index) {
    return taskRunMs.getOrDefault(job + "/" + index, runMs.get(job));
  }

  Set<String> accepted() {
    return accepted;
  }

  JobSpec spec(String job) {
    return submitted.get(job);
  }
}
