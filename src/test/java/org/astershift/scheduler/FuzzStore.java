package org.astershift.scheduler;

import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** The consensus-backed store. Writes of records go through only for whom the lease is. */
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

  /** {@code result}: true applied, false certainly not, null no answer. */
  void write(FuzzController by, Runnable apply, Consumer<Boolean> result, String key) {
    if (sim.storeDown || by.storeCut) {
      sim.after(500 + sim.random.nextInt(1500), () -> by.handle(() -> result.accept(null)));
      return;
    }
    long stamp = ++sim.lastEventNumber;
    boolean silent = sim.chance(sim.lostWrites);
    boolean atOnce = sim.random.nextBoolean();
    long ms = silent && !atOnce ? 2000 + sim.random.nextInt(10_000) : 1 + sim.random.nextInt(20);
    sim.after(
        ms,
        () -> {
          if (sim.storeDown) {
            sim.after(3000, () -> by.handle(() -> result.accept(null)));
            return;
          }
          boolean applies = leaseHolder == by && appliedWriteNumbers.getOrDefault(key, 0L) < stamp;
          if (applies) {
            revision++;
            appliedWriteNumbers.put(key, stamp);
            apply.run();
          }
          if (!silent) {
            long back =
                sim.chance(sim.slow) ? sim.random.nextInt(3000) : 1 + sim.random.nextInt(10);
            boolean lost = leaseHolder != by;
            sim.after(
                back,
                () ->
                    by.handle(
                        () -> {
                          if (lost) {
                            by.terminated("a write found another leader");
                          } else {
                            result.accept(applies);
                          }
                        }));
          }
        });
    if (silent) {
      sim.count("lost write");
      sim.after(2500, () -> by.handle(() -> result.accept(null)));
    }
  }
}
