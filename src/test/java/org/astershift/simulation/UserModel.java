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
 * The users: they submit, cancel and ask, each time at whatever node, until they have an answer.
 * From some moment on they ask each node about each job again and again; some look closely: as soon
 * as one of them learns that a job is accepted or over, others ask all nodes within milliseconds
 * and repeat the submission.
 */
final class UserModel {
  /** How long they wait for the answer to a submission or a cancellation, and to a question. */
  private static final long REQUEST_MS = 5000;

  private static final long QUESTION_MS = 2000;
  private static final long POLL_MS = 5000;

  /** Within so long after news all nodes are asked, so many times each. */
  private static final long CLOSE_MS = 40;

  private static final int LOOKS = 4;

  private final Simulation world;
  private final Map<String, Long> runMs = new HashMap<>();
  private final Map<String, JobSpec> submitted = new LinkedHashMap<>();
  private final Set<String> accepted = new LinkedHashSet<>();
  private final Set<String> cancelled = new HashSet<>();
  private final Map<String, Set<Integer>> completed = new HashMap<>();
  private boolean asking;

  /** Share of the news that is followed by close looks. */
  double closeLooks;

  /** Share of the jobs that are cancelled within milliseconds of the news of their acceptance. */
  double cancelsAtOnce;

  /** Share of the jobs that are cancelled as their last task ends: just before, at or after it. */
  double cancelsAtEnd;

  /** Tasks that run longer than the others of their job, by name, in milliseconds. */
  final Map<String, Long> slower = new HashMap<>();

  /** Questions and repeated submissions within milliseconds of news, and how many got an answer. */
  int looks;

  int looksAnswered;
  int repeatsAnswered;

  /** Cancellations asked for within milliseconds of an acceptance, and around a job's end. */
  int cancelledAtOnce;

  int cancelledAtEnd;

  UserModel(Simulation world) {
    this.world = world;
  }

  // ---- jobs ----

  /** A job is on record; {@code ms}: how long its tasks run, null for a service. */
  void accept(JobSpec spec, Long ms) {
    know(spec, ms);
    world.store.accept(spec);
    accepted(spec.id());
  }

  private void know(JobSpec spec, Long ms) {
    submitted.put(spec.id(), spec);
    if (ms != null) {
      runMs.put(spec.id(), ms);
    }
  }

  private boolean accepted(String job) {
    boolean news = accepted.add(job);
    if (news && asking) {
      poll(job);
    }
    return news;
  }

  /** A user submits the job until it is accepted; {@code then}: what follows that. */
  void submit(JobSpec spec, Long ms, Runnable then) {
    know(spec, ms);
    request(
        spec.id(),
        (n, answer) -> n.submit(spec, answer),
        () -> {
          if (accepted(spec.id())) {
            then.run();
            news(spec.id());
            if (world.random.nextDouble() < cancelsAtOnce) {
              cancelledAtOnce++;
              world.after(world.random.nextLong(CLOSE_MS), () -> cancel(spec.id()));
            }
          }
        });
  }

  /** Its user wants it cancelled. */
  void cancel(String job) {
    if (cancelled.add(job)) {
      world.checker.cancelAsked(job);
      request(job, (n, answer) -> n.cancel(job, true, answer), () -> {});
    }
  }

  /** So many jobs whose tasks are on machines are called off within a fifth of a second. */
  int cancelNow(int count) {
    List<String> run =
        accepted.stream()
            .filter(job -> !cancelled.contains(job) && world.checker.on(job) > 0)
            .filter(job -> submitted.get(job).kind() != JobKind.SERVICE)
            .limit(count)
            .toList();
    run.forEach(job -> world.after(world.random.nextLong(200), () -> cancel(job)));
    return run.size();
  }

  /**
   * One-task jobs, four a second, of which a quarter is cancelled sooner or later; {@code id}: the
   * number of the first.
   */
  void stream(int id, int jobs, long ms) {
    for (int i = 0; i < jobs; i++) {
      String job = "wk-" + (id + i);
      boolean cancels = world.random.nextInt(4) == 0;
      long afterMs = world.random.nextLong(2 * ms);
      Runnable then = () -> world.after(afterMs, () -> cancel(job));
      world.after(
          i * 250L + world.random.nextLong(250),
          () -> submit(SimulationTest.job(job, JobKind.ARRAY, 1), ms, cancels ? then : () -> {}));
    }
  }

  /** A user's request about a job, at some node, and again at some node until it is answered. */
  private void request(
      String job, BiConsumer<ControllerModel, Consumer<String>> service, Runnable answered) {
    ControllerModel n = world.nodes.get(world.random.nextInt(world.nodes.size()));
    ask(
        job,
        n,
        REQUEST_MS,
        service,
        said -> {
          if (said == null || said.equals("503")) {
            world.after(1000 + world.random.nextLong(500), () -> request(job, service, answered));
          } else {
            answered.run();
          }
        });
  }

  private void ask(
      String job,
      ControllerModel n,
      long waitMs,
      BiConsumer<ControllerModel, Consumer<String>> service,
      Consumer<String> done) {
    long asked = world.checker.asked();
    world.call(
        "user",
        n.name,
        waitMs,
        (Consumer<String> answer) -> service.accept(n, answer),
        (String said) -> {
          boolean over = world.checker.told(job, n.name, said, asked);
          done.accept(said);
          if (over) {
            news(job);
          }
        });
  }

  // ---- questions ----

  /** From now on each node is asked about each accepted job every five seconds. */
  void askAll() {
    asking = true;
    accepted.forEach(this::poll);
    poll("wk-of-nobody");
  }

  private void poll(String job) {
    for (ControllerModel n : world.nodes) {
      world.after(world.random.nextLong(POLL_MS), () -> poll(job, n));
    }
  }

  private void poll(String job, ControllerModel n) {
    ask(
        job,
        n,
        QUESTION_MS,
        (node, answer) -> node.ask(job, true, answer),
        said -> world.after(POLL_MS, () -> poll(job, n)));
  }

  /** A user has just learnt that the job is accepted, or that it is over. */
  private void news(String job) {
    if (world.random.nextDouble() >= closeLooks) {
      return;
    }
    for (ControllerModel n : world.nodes) {
      for (int i = 0; i < LOOKS; i++) {
        soon(job, n, QUESTION_MS, (node, a) -> node.ask(job, true, a), () -> looksAnswered++);
      }
      JobSpec spec = submitted.get(job);
      soon(job, n, REQUEST_MS, (node, a) -> node.submit(spec, a), () -> repeatsAnswered++);
    }
  }

  private void soon(
      String job,
      ControllerModel n,
      long waitMs,
      BiConsumer<ControllerModel, Consumer<String>> service,
      Runnable answered) {
    looks++;
    world.after(
        world.random.nextLong(CLOSE_MS),
        () ->
            ask(
                job,
                n,
                waitMs,
                service,
                said -> {
                  if (said != null && !said.equals("503")) {
                    answered.run();
                  }
                }));
  }

  // ---- what machines do ----

  /** A task is being started on a machine, and will end after so long if nothing happens. */
  void started(String job, int index, long endsMs) {
    if (cancelsAtEnd > 0 && world.random.nextDouble() < cancelsAtEnd) {
      // A request takes some milliseconds, and the news of the end some hundred.
      long aroundMs = world.random.nextBoolean() ? 10 : 600;
      long atMs = endsMs + world.random.nextLong(2 * aroundMs) - aroundMs;
      world.after(atMs, () -> cancelLast(job, index));
    }
  }

  /** The same for a gang, which completes as a whole. */
  void started(String gang, long endsMs) {
    if (cancelsAtEnd > 0 && world.random.nextDouble() < cancelsAtEnd) {
      long aroundMs = world.random.nextBoolean() ? 10 : 600;
      long atMs = endsMs + world.random.nextLong(2 * aroundMs) - aroundMs;
      world.after(
          atMs,
          () -> {
            if (!cancelled.contains(gang)) {
              cancelledAtEnd++;
              cancel(gang);
            }
          });
    }
  }

  private void cancelLast(String job, int index) {
    Set<Integer> done = new HashSet<>(completed.getOrDefault(job, Set.of()));
    done.add(index);
    if (done.size() == submitted.get(job).tasks() && !cancelled.contains(job)) {
      cancelledAtEnd++;
      cancel(job);
    }
  }

  /** A task has completed. */
  void completed(String job, int index) {
    completed.computeIfAbsent(job, j -> new HashSet<>()).add(index);
  }

  /** How long a task runs; null: until it is stopped. */
  Long runMsOf(String job, int index) {
    return slower.getOrDefault(job + "/" + index, runMs.get(job));
  }

  Set<String> accepted() {
    return accepted;
  }

  JobSpec spec(String job) {
    return submitted.get(job);
  }
}
