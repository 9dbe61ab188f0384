package org.astershift.simulation;

import java.util.List;
import java.util.function.Consumer;

/**
 * Injects faults of kinds that a seed allows. The place of a kind in the list is its bit in the
 * seed's set of kinds, and the order of draws within a fault is part of each seed's scenario.
 */
final class FaultInjector {
  /** Kinds of faults there are. */
  static final int KINDS = 23;

  private static final long MAX_PAUSE_MS = 25_000;
  private static final long MAX_OUTAGE_MS = 20_000;

  private final Simulation simulation;
  private final int kinds;
  private final List<Fault> faultsByKind =
      List.of(
          (controller, forMs) -> cutRandomly(controller.name, "workers", forMs),
          (controller, forMs) -> cutRandomly(controller.name, "state", forMs),
          (controller, forMs) -> cutRandomly(controller.name, "cloud", forMs),
          this::cutFromController,
          (controller, forMs) -> controller.pause(Math.min(forMs, MAX_PAUSE_MS)),
          this::crashRepeatedly,
          (controller, forMs) -> storeOutage(Math.min(forMs, MAX_OUTAGE_MS)),
          (controller, forMs) -> cutRandomly(controller.name, randomZone(), forMs),
          (controller, forMs) -> cutFromAll(randomZone(), forMs),
          (controller, forMs) -> cutFromAll(randomMachine(), forMs),
          this::rejectHeartbeats,
          (controller, forMs) -> partitionInbound(forMs),
          (controller, forMs) -> duplicateHeartbeats(forMs),
          (controller, forMs) -> restartMachines(),
          this::isolateController,
          this::refuseAtStore,
          (controller, forMs) -> delayWrites(forMs),
          (controller, forMs) -> slowStore(forMs),
          (controller, forMs) -> stallThreads(forMs),
          (controller, forMs) -> killMachines(),
          (controller, forMs) -> pauseMachines(forMs),
          (controller, forMs) -> partitionMachinesOutbound(forMs),
          (controller, forMs) -> bootFast());

  /** {@code kinds}: a bit for each kind that may occur. */
  FaultInjector(Simulation simulation, int kinds) {
    this.simulation = simulation;
    this.kinds = kinds;
  }

  private interface Fault {
    void inject(ControllerModel controller, long forMs);
  }

  /** Injects a fault of a drawn kind, if the seed allows it; mostly at the leader. */
  void injectAnywhere() {
    inject(false);
  }

  /** The same, at the leader if there is one. */
  void injectAtLeader() {
    inject(true);
  }

  private void inject(boolean alwaysAtLeader) {
    int kind = simulation.random.nextInt(KINDS);
    if ((kinds & 1 << kind) == 0) {
      return;
    }
    ControllerModel any = randomController();
    boolean atLeader = alwaysAtLeader || simulation.random.nextBoolean();
    ControllerModel controller =
        atLeader ? simulation.leaders().stream().findFirst().orElse(any) : any;
    long forMs = 1000 + simulation.random.nextLong(45_000);
    faultsByKind.get(kind).inject(controller, forMs);
  }

  private void cutFromController(ControllerModel controller, long forMs) {
    ControllerModel other = randomController();
    if (other != controller) {
      cutRandomly(controller.name, other.name, forMs);
    }
  }

  private void crashRepeatedly(ControllerModel controller, long forMs) {
    boolean all = simulation.random.nextInt(4) == 0;
    int times = simulation.random.nextBoolean() ? 1 : 2 + simulation.random.nextInt(4);
    for (ControllerModel crashing : all ? simulation.controllers : List.of(controller)) {
      for (int i = 0; i < times; i++) {
        simulation.after(
            i * 600L + simulation.random.nextLong(600), () -> crashAndRestart(crashing));
      }
    }
  }

  private void cutFromAll(String host, long forMs) {
    simulation.controllers.forEach(controller -> cutRandomly(controller.name, host, forMs));
  }

  private void rejectHeartbeats(ControllerModel controller, long forMs) {
    boolean all = simulation.random.nextBoolean();
    (all ? simulation.controllers : List.of(controller))
        .forEach(rejecting -> rejecting.rejectHeartbeats(forMs));
  }

  /** Nothing arrives at a zone or machine; its heartbeats get out. */
  private void partitionInbound(long forMs) {
    String host = simulation.random.nextInt(4) == 0 ? randomZone() : randomMachine();
    simulation.controllers.forEach(
        controller -> {
          simulation.cut(controller.name, host);
          simulation.after(forMs, () -> simulation.heal(controller.name, host));
        });
  }

  private void duplicateHeartbeats(long forMs) {
    simulation.duplicateShare = 0.3;
    simulation.after(forMs, () -> simulation.duplicateShare = 0);
  }

  private void restartMachines() {
    for (int i = 0; i < 1 + simulation.random.nextInt(6); i++) {
      simulation.workers.get(randomMachine()).restart(50 + simulation.random.nextLong(900));
    }
  }

  /** It loses the store and all other controllers. */
  private void isolateController(ControllerModel controller, long forMs) {
    cutRandomly(controller.name, "state", forMs);
    simulation.controllers.stream()
        .filter(other -> other != controller)
        .forEach(other -> cutRandomly(controller.name, other.name, forMs));
  }

  /** The store refuses the controller and serves the others. */
  void refuseAtStore(ControllerModel controller, long forMs) {
    if (!simulation.store.refuses(controller.name)) {
      simulation.store.setRefused(controller.name, true);
      simulation.after(forMs, () -> simulation.store.setRefused(controller.name, false));
    }
  }

  private void delayWrites(long forMs) {
    simulation.store.lateShare = 0.05 + 0.4 * simulation.random.nextDouble();
    simulation.after(forMs, () -> simulation.store.lateShare = 0);
  }

  private void slowStore(long forMs) {
    simulation.store.answerDelayMs = 200 + simulation.random.nextLong(3000);
    simulation.after(forMs, () -> simulation.store.answerDelayMs = 0);
  }

  private void stallThreads(long forMs) {
    simulation.threadStallMs = 500 + simulation.random.nextLong(8000);
    simulation.after(forMs, () -> simulation.threadStallMs = 0);
  }

  private void killMachines() {
    for (int i = 0; i < 1 + simulation.random.nextInt(5); i++) {
      simulation.cloud.killMachine(randomMachine());
    }
  }

  private void pauseMachines(long forMs) {
    someMachines(machine -> machine.pause(Math.min(2 * simulation.setup.leaseMs(), forMs)));
  }

  private void partitionMachinesOutbound(long forMs) {
    someMachines(machine -> machine.partitionOutbound(forMs));
  }

  /** From now on machines boot fast, and the cloud's answers are late. */
  private void bootFast() {
    simulation.log("cloud", "boots within two seconds and answers late");
    simulation.cloud.bootMs = () -> 50 + simulation.random.nextLong(1950);
    simulation.cloud.answerDelayMs = 4000;
  }

  /** The store is down for all. */
  void storeOutage(long forMs) {
    if (!simulation.store.isUnavailable()) {
      simulation.log("state", "is down");
      simulation.store.setUnavailable(true);
      simulation.after(forMs, () -> simulation.store.setUnavailable(false));
    }
  }

  /** Back after between 50 ms and 10 s, in half of the cases within half a second. */
  void crashAndRestart(ControllerModel controller) {
    if (!controller.isCrashed()) {
      controller.crash();
      boolean soon = simulation.random.nextBoolean();
      simulation.after(50 + simulation.random.nextLong(soon ? 450 : 9950), controller::start);
    }
  }

  /** At a few machines, or at those of a zone. */
  private void someMachines(Consumer<WorkerModel> fault) {
    int zones = simulation.setup.zones().size();
    boolean wholeZone = simulation.random.nextInt(4) == 0;
    int first = simulation.random.nextInt(simulation.setup.machines());
    int machines = 1 + simulation.random.nextInt(8);
    for (int i = 0; i < (wholeZone ? simulation.setup.machines() : machines); i++) {
      if (!wholeZone || i % zones == first % zones) {
        fault.accept(simulation.workers.get(wholeZone ? "vm-" + i : randomMachine()));
      }
    }
  }

  private ControllerModel randomController() {
    return simulation.controllers.get(simulation.random.nextInt(simulation.controllers.size()));
  }

  String randomMachine() {
    return "vm-" + simulation.random.nextInt(simulation.setup.machines());
  }

  private String randomZone() {
    List<String> zones = simulation.setup.zones();
    return "zone " + zones.get(simulation.random.nextInt(zones.size()));
  }

  /** In both directions, or in one. */
  private void cutRandomly(String a, String b, long forMs) {
    int directions = simulation.random.nextInt(4);
    if (directions != 0) {
      simulation.cut(a, b);
    }
    if (directions != 1) {
      simulation.cut(b, a);
    }
    simulation.after(forMs, () -> simulation.healBoth(a, b));
  }
}
