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
 * Models the users, who submit, cancel and query jobs, each time at a random controller, until they
 * have an answer. From a given time on they also poll each controller about each job. After some
 * acceptances and ends, close queries follow: as soon as one user learns that a job is accepted or
 * over, others query all controllers within milliseconds and repeat the submission.
 */
final class UserModel {
  /** Timeout of a submission or cancellation, and of a question, in milliseconds. */
  private static final long REQUEST_TIMEOUT_MS = 5000;

  private static final long QUESTION_TIMEOUT_MS = 2000;
  private static final long POLL_INTERVAL_MS = 5000;

  /**
   * Time, in milliseconds, after an acceptance or end within which each controller gets its close
   * queries, and their number per controller.
   */
  private static final long CLOSE_QUERY_WINDOW_MS = 40;

  private static final int CLOSE_QUERIES = 4;

  private final Simulation simulation;
  private final Map<String, Long> runMs = new HashMap<>();
  private final Map<String, JobSpec> submitted = new LinkedHashMap<>();
  private final Set<String> accepted = new LinkedHashSet<>();
  private final Set<String> cancelled = new HashSet<>();
  private final Map<String, Set<Integer>> completedTasks = new HashMap<>();
  private boolean polling;

  /** Share of the acceptances and ends that are followed by close queries. */
  double closeQueryShare;

  /**
   * Share of the jobs that are cancelled within milliseconds after the news of their acceptance.
   */
  double cancelOnAcceptShare;

  /** Share of the jobs that are cancelled just before, at or just after their last task's end. */
  double cancelAtEndShare;

  /** Run time of tasks that run longer than the others of their job, by name, in milliseconds. */
  final Map<String, Long> taskRunMs = new HashMap<>();

  /** Close queries and repeated submissions, and how many of them were answered. */
  int closeQueries;

  int closeQueriesAnswered;
  int resubmissionsAnswered;

  /** Cancellations requested within milliseconds after an acceptance, and around a job's end. */
  int cancelledOnAccept;

  int cancelledAtEnd;

  UserModel(Simulation simulation) {
    this.simulation = simulation;
  }

  /** Accepts a durable job; {@code runMs}: its tasks' run time, null for a service. */
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
    boolean isNew = accepted.add(job);
    if (isNew && polling) {
      poll(job);
    }
    return isNew;
  }

  /** Has a user submit the job until it is accepted, and then runs {@code then}. */
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

  /** Has the job's user cancel it. */
  void cancel(String job) {
    if (cancelled.add(job)) {
      simulation.checker.onCancelRequested(job);
      request(job, (controller, answer) -> controller.cancel(job, true, answer), () -> {});
    }
  }

  /**
   * Cancels up to {@code count} jobs with tasks on machines within a fifth of a second, and returns
   * how many.
   */
  int cancelRunningJobs(int count) {
    List<String> running =
        accepted.stream()
            .filter(job -> !cancelled.contains(job) && simulation.checker.tasksOnMachines(job) > 0)
            .filter(job -> submitted.get(job).kind() != JobKind.SERVICE)
            .limit(count)
            .toList();
    running.forEach(job -> simulation.after(simulation.random.nextLong(200), () -> cancel(job)));
    return running.size();
  }

  /**
   * Submits jobs of one task, four a second, and cancels a quarter of them after a random time;
   * {@code firstNumber} is the number of the first job.
   */
  void submitStream(int firstNumber, int jobs, long runMs) {
    for (int i = 0; i < jobs; i++) {
      String job = "wk-" + (firstNumber + i);
      boolean isCancelled = simulation.random.nextInt(4) == 0;
      long afterMs = simulation.random.nextLong(2 * runMs);
      Runnable cancel = () -> simulation.after(afterMs, () -> cancel(job));
      simulation.after(
          i * 250L + simulation.random.nextLong(250),
          () ->
              submit(JobDraft.job(job, JobKind.ARRAY, 1), runMs, isCancelled ? cancel : () -> {}));
    }
  }

  /**
   * Sends a user's request about a job to a random controller, and repeats it at a random one until
   * it is answered.
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
      long timeoutMs,
      BiConsumer<ControllerModel, Consumer<String>> service,
      Consumer<String> done) {
    long askedOrder = simulation.checker.onQuestion();
    simulation.call(
        "user",
        controller.name,
        timeoutMs,
        (Consumer<String> answer) -> service.accept(controller, answer),
        (String state) -> {
          boolean isFirstEnd = simulation.checker.onAnswer(job, controller.name, state, askedOrder);
          done.accept(state);
          if (isFirstEnd) {
            queryClosely(job);
          }
        });
  }

  /** Makes users ask each controller about each accepted job every five seconds from now on. */
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
        (receiver, answer) -> receiver.jobState(job, true, answer),
        state -> simulation.after(POLL_INTERVAL_MS, () -> poll(job, controller)));
  }

  /** Sends close queries, if drawn, after a user has learned that the job is accepted or over. */
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
            (receiver, answer) -> receiver.jobState(job, true, answer),
            () -> closeQueriesAnswered++);
      }
      JobSpec spec = submitted.get(job);
      querySoon(
          job,
          controller,
          REQUEST_TIMEOUT_MS,
          (receiver, answer) -> receiver.submit(spec, answer),
          () -> resubmissionsAnswered++);
    }
  }

  private void querySoon(
      String job,
      ControllerModel controller,
      long timeoutMs,
      BiConsumer<ControllerModel, Consumer<String>> service,
      Runnable answered) {
    closeQueries++;
    simulation.after(
        simulation.random.nextLong(CLOSE_QUERY_WINDOW_MS),
        () ->
            send(
                job,
                controller,
                timeoutMs,
                service,
                state -> {
                  if (state != null && !state.equals("503")) {
                    answered.run();
                  }
                }));
  }

  /** Handles the start of a task that will end {@code endsMs} from now if nothing intervenes. */
  void onTaskStarted(String job, int index, long endsMs) {
    if (cancelAtEndShare > 0 && simulation.random.nextDouble() < cancelAtEndShare) {
      // A request takes some milliseconds, and the news of the end some hundred milliseconds.
      long aroundMs = simulation.random.nextBoolean() ? 10 : 600;
      long atMs = endsMs + simulation.random.nextLong(2 * aroundMs) - aroundMs;
      simulation.after(atMs, () -> cancelIfLastTask(job, index));
    }
  }

  /** Handles the start of a gang, which completes as a whole. */
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
    Set<Integer> completed = new HashSet<>(completedTasks.getOrDefault(job, Set.of()));
    completed.add(index);
    if (completed.size() == submitted.get(job).tasks() && !cancelled.contains(job)) {
      cancelledAtEnd++;
      cancel(job);
    }
  }

  /** Records that a task has completed. */
  void onTaskCompleted(String job, int index) {
    completedTasks.computeIfAbsent(job, key -> new HashSet<>()).add(index);
  }

  /** Returns how long a task runs, in milliseconds; null if it runs until it is stopped. */
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
