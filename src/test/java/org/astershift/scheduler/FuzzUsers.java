package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import org.astershift.coordination.Cancellation;

/** Submits jobs as users do, and cancels some of them. */
final class FuzzUsers {
  private final FuzzSimulation sim;
  private int lastJobNumber;

  FuzzUsers(FuzzSimulation sim) {
    this.sim = sim;
  }

  void submitRepeatedly() {
    if (sim.nowMs >= sim.faultsEndMs) {
      return;
    }
    submit();
    sim.after(sim.random.nextInt(4000), this::submitRepeatedly);
  }

  private void submit() {
    String id = String.format("wk-%06d", ++lastJobNumber);
    int kindDraw = sim.random.nextInt(10);
    JobKind kind = kindDraw < 6 ? JobKind.ARRAY : kindDraw < 9 ? JobKind.GANG : JobKind.SERVICE;
    boolean usesGpus = sim.random.nextInt(4) == 0;
    int tasks = 1 + sim.random.nextInt(kind == JobKind.ARRAY ? 6 : 3);
    String team = List.of("tight", "tight", "mixed", "free").get(sim.random.nextInt(4));
    double gpus = usesGpus ? 1 : 0;
    if (usesGpus && team.equals("tight")) {
      tasks = Math.min(2, tasks);
    }
    boolean oneZone = sim.random.nextInt(3) == 0;
    boolean spread = !oneZone && tasks > 1 && sim.random.nextInt(3) == 0;
    boolean hasCheckpoints = sim.random.nextBoolean();
    JobSpec spec =
        new JobSpec(
            id,
            sim.random.nextInt(3) == 0 ? "quick" : "slow",
            team,
            kind,
            Priority.values()[sim.random.nextInt(4)],
            tasks,
            sim.random.nextInt(8) == 0 ? 0 : 0.5 + 0.5 * sim.random.nextInt(3),
            gpus,
            1 + sim.random.nextInt(4),
            "img-" + sim.random.nextInt(4),
            1,
            sim.random.nextInt(4) == 0 ? List.of(usesGpus ? "g" : "p") : null,
            sim.random.nextInt(4) == 0 ? "a" : null,
            oneZone,
            spread,
            sim.random.nextBoolean(),
            kind == JobKind.SERVICE ? 0 : 8,
            hasCheckpoints ? 3 : 0,
            hasCheckpoints ? 1 : 0,
            sim.random.nextInt(3) == 0 ? 60.0 : null);
    if (Eligibility.rejectionReason(spec, sim.types.values(), sim.teams.get(team)) != null) {
      lastJobNumber--;
      return;
    }
    sim.specs.put(id, spec);
    sim.taskDurationsMs.put(
        id, (long) (500 + sim.random.nextInt(sim.random.nextInt(4) == 0 ? 40_000 : 9000)));
    sim.rules.addJob(spec);
    long submittedMs = sim.nowMs;
    sim.store.acceptJob(
        id,
        () -> {
          for (FuzzController controller : new ArrayList<>(sim.controllers)) {
            deliverRecord(controller, id, submittedMs);
          }
        });
    if (sim.chance(sim.cancellations)) {
      sim.after(sim.random.nextInt(40_000), () -> requestCancellation(id));
    }
    if (kind == JobKind.SERVICE) {
      sim.after(
          sim.faultsEndMs - sim.nowMs + sim.random.nextInt(20_000), () -> requestCancellation(id));
    }
  }

  /** Lets a controller read a job record and adopt the job soon after or up to 15 s later. */
  void deliverRecord(FuzzController controller, String id, long submittedMs) {
    Long revision = sim.store.liveJobRevisions.get(id);
    if (revision != null) {
      long delayMs = sim.chance(0.2) ? sim.random.nextInt(15_000) : sim.random.nextInt(200);
      sim.after(
          delayMs,
          () ->
              controller.handle(
                  () -> controller.adopt(id, revision, false, new BitSet(), submittedMs)));
    }
  }

  private void requestCancellation(String id) {
    if (sim.rules.ended(id) || !sim.cancellationRequested.add(id)) {
      return;
    }
    sim.count("cancellations");
    sim.logEvent("cancellation requested for " + id);
    repeatCancellation(id);
  }

  private void repeatCancellation(String id) {
    if (sim.rules.ended(id)) {
      return;
    }
    for (FuzzController controller : new ArrayList<>(sim.controllers)) {
      if (controller == sim.store.leaseHolder || sim.chance(0.2)) {
        long untilMs = sim.nowMs + 1200;
        sim.after(sim.random.nextInt(30), () -> cancelThrough(controller, id, untilMs));
      }
    }
    sim.after(1000 + sim.random.nextInt(2000), () -> repeatCancellation(id));
  }

  private void cancelThrough(FuzzController controller, String id, long untilMs) {
    controller.handle(
        () -> {
          boolean isManaged = controller.termJobs.manages(id);
          Scheduler scheduler = controller.scheduler;
          if (isManaged && controller.clock() < controller.leaseCertainUntilMs) {
            scheduler.requestCancellation(id);
          }
          Scheduler.JobProgress progress = scheduler.progress(id);
          Cancellation.Action action =
              Cancellation.nextAction(
                  new Cancellation.View(
                      false,
                      false,
                      true,
                      controller.clock() < controller.leaseCertainUntilMs,
                      isManaged,
                      true,
                      isManaged && scheduler.canConfirmCancellation(id),
                      isManaged && scheduler.mayStillStart(id),
                      progress != null && progress.complete(),
                      sim.nowMs > untilMs));
          switch (action) {
            case WRITE_CANCELLED -> controller.persistJobEnd(id, true);
            case WRITE_DONE -> controller.persistJobEnd(id, false);
            case WAIT -> sim.after(50, () -> cancelThrough(controller, id, untilMs));
            default -> {}
          }
        });
  }
}
