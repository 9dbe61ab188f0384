package org.astershift.scheduler;

import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** The consensus-backed store. It applies writes of records only for the lease holder. */
final class FuzzStore {
  private final FuzzSimulation sim;
  final Map<String, Long> liveJobRevisions = new LinkedHashMap<>();
  final Map<String, Long> submittedMs = new HashMap<>();
  final Map<String, Boolean> endedJobs = new HashMap<>();
  final Set<String> openedJobs = new HashSet<>();
  final Map<String, Decision.RegisterMachine> machines = new LinkedHashMap<>();
  final Map<String, BitSet> progress = new HashMap<>();
  final Map<String, Decision.ProvisionMachines> provisionRequests = new LinkedHashMap<>();
  final Map<String, Long> appliedWriteNumbers = new HashMap<>();
  FuzzController leaseHolder;
  long leaseEndsMs;
  long revision = 10;

  FuzzStore(FuzzSimulation sim) {
    this.sim = sim;
  }

  void acceptJob(String id, Runnable then) {
    if (sim.storeDown) {
      sim.after(1000, () -> acceptJob(id, then));
      return;
    }
    liveJobRevisions.put(id, ++revision);
    submittedMs.put(id, sim.nowMs);
    then.run();
  }

  /**
   * Writes a record on behalf of a controller.
   *
   * @param result receives true if the write was applied, false if it certainly was not, and null
   *     if there was no answer
   */
  void write(FuzzController controller, Runnable apply, Consumer<Boolean> result, String key) {
    if (sim.storeDown || controller.storeCut) {
      sim.after(500 + sim.random.nextInt(1500), () -> controller.handle(() -> result.accept(null)));
      return;
    }
    long writeNumber = ++sim.lastEventNumber;
    boolean isAnswerLost = sim.chance(sim.lostWrites);
    boolean appliesAtOnce = sim.random.nextBoolean();
    long delayMs =
        isAnswerLost && !appliesAtOnce
            ? 2000 + sim.random.nextInt(10_000)
            : 1 + sim.random.nextInt(20);
    sim.after(
        delayMs,
        () -> {
          if (sim.storeDown) {
            sim.after(3000, () -> controller.handle(() -> result.accept(null)));
            return;
          }
          boolean applies =
              leaseHolder == controller && appliedWriteNumbers.getOrDefault(key, 0L) < writeNumber;
          if (applies) {
            revision++;
            appliedWriteNumbers.put(key, writeNumber);
            apply.run();
          }
          long appliedRevision = revision;
          if (!isAnswerLost) {
            answerWrite(controller, applies, appliedRevision, result);
          }
        });
    if (isAnswerLost) {
      sim.count("lost write");
      sim.after(2500, () -> controller.handle(() -> result.accept(null)));
    }
  }

  private void answerWrite(
      FuzzController controller, boolean applied, long appliedRevision, Consumer<Boolean> result) {
    long delayMs = sim.chance(sim.slow) ? sim.random.nextInt(3000) : 1 + sim.random.nextInt(10);
    boolean leaseLost = leaseHolder != controller;
    sim.after(
        delayMs,
        () ->
            controller.handle(
                () -> {
                  if (leaseLost) {
                    controller.terminated(
                        "a write was rejected because another controller holds the lease");
                    return;
                  }
                  if (applied) {
                    controller.scheduler.onLeadershipConfirmed(appliedRevision);
                  }
                  result.accept(applied);
                }));
  }
}
