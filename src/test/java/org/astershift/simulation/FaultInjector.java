package org.astershift.simulation;

import java.util.List;
import java.util.function.Consumer;

/**
 * Injects faults of the kinds that a seed allows. The position of a kind in the list is its bit in
 * the seed's set of kinds, and the order of random draws within a fault is part of each seed's
 * scenario.
 */
final class FaultInjector {
  /** Number of kinds of faults. */
  static final int KINDS = 23;

  private static final long MAX_PAUSE_MS = 25_000;
  private static final long MAX_OUTAGE_MS = 20_000;

  private final Simulation simulation;
  private final int kinds;
  private final List<Fault> faultsByKind =
      List.of(
          (controller, durationMs) -> cutRandomly(controller.name, "workers", durationMs),
          (controller, durationMs) -> cutRandomly(controller.name, "state", durationMs),
          (controller, durationMs) -> cutRandomly(controller.name, "cloud", durationMs),
          this::cutFromController,
          (controller, durationMs) -> controller.pause(Math.min(durationMs, MAX_PAUSE_MS)),
          this::crashRepeatedly,
          (controller, durationMs) -> storeOutage(Math.min(durationMs, MAX_OUTAGE_MS)),
          (controller, durationMs) -> cutRandomly(controller.name, randomZone(), durationMs),
          (controller, durationMs) -> cutFromAll(randomZone(), durationMs),
          (controller, durationMs) -> cutFromAll(randomMachine(), durationMs),
          this::rejectHeartbeats,
          (controller, durationMs) -> partitionInbound(durationMs),
          (controller, durationMs) -> duplicateHeartbeats(durationMs),
          (controller, durationMs) -> restartMachines(),
          this::isolateController,
          this::refuseAtStore,
          (controller, durationMs) -> delayWrites(durationMs),
          (controller, durationMs) -> slowStore(durationMs),
          (controller, durationMs) -> stallThreads(durationMs),
          (controller, durationMs) -> killMachines(),
          (controller, durationMs) -> pauseMachines(durationMs),
          (controller, durationMs) -> partitionMachinesOutbound(durationMs),
          (controller, durationMs) -> bootFast());

  /** Creates an injector; {@code kinds} has a bit for each kind that may occur. */
  FaultInjector(Simulation simulation, int kinds) {
    this.simulation = simulation;
    this.kinds = kinds;
  }

  private interface Fault {
    void inject(ControllerModel controller, long durationMs);
  }

  /** Injects a fault of a random kind if the seed allows that kind, mostly at the leader. */
  void injectAnywhere() {
    inject(false);
  }

  /** Injects a fault like {@link #injectAnywhere}, but always at the leader if there is one. */
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
    long durationMs = 1000 + simulation.random.nextLong(45_000);
    faultsByKind.get(kind).inject(controller, durationMs);
  }

  private void cutFromController(ControllerModel controller, long durationMs) {
    ControllerModel other = randomController();
    if (other != controller) {
      cutRandomly(controller.name, other.name, durationMs);
    }
  }

  private void crashRepeatedly(ControllerModel controller, long durationMs) {
    boolean allControllers = simulation.random.nextInt(4) == 0;
    int crashes = simulation.random.nextBoolean() ? 1 : 2 + simulation.random.nextInt(4);
    for (ControllerModel crashing : allControllers ? simulation.controllers : List.of(controller)) {
      for (int i = 0; i < crashes; i++) {
        simulation.after(
            i * 600L + simulation.random.nextLong(600), () -> crashAndRestart(crashing));
      }
    }
  }

  private void cutFromAll(String host, long durationMs) {
    simulation.controllers.forEach(controller -> cutRandomly(controller.name, host, durationMs));
  }

  private void rejectHeartbeats(ControllerModel controller, long durationMs) {
    boolean allControllers = simulation.random.nextBoolean();
    (allControllers ? simulation.controllers : List.of(controller))
        .forEach(rejecting -> rejecting.rejectHeartbeats(durationMs));
  }

  /** Prevents messages from arriving at a zone or machine; its heartbeats still get out. */
  private void partitionInbound(long durationMs) {
    String host = simulation.random.nextInt(4) == 0 ? randomZone() : randomMachine();
    simulation.controllers.forEach(
        controller -> {
          simulation.cut(controller.name, host);
          simulation.after(durationMs, () -> simulation.heal(controller.name, host));
        });
  }

  private void duplicateHeartbeats(long durationMs) {
    simulation.duplicateShare = 0.3;
    simulation.after(durationMs, () -> simulation.duplicateShare = 0);
  }

  private void restartMachines() {
    for (int i = 0; i < 1 + simulation.random.nextInt(6); i++) {
      simulation.workers.get(randomMachine()).restart(50 + simulation.random.nextLong(900));
    }
  }

  /** Cuts the controller off from the store and from all other controllers. */
  private void isolateController(ControllerModel controller, long durationMs) {
    cutRandomly(controller.name, "state", durationMs);
    simulation.controllers.stream()
        .filter(other -> other != controller)
        .forEach(other -> cutRandomly(controller.name, other.name, durationMs));
  }

  /** Makes the store refuse this controller and serve the others. */
  void refuseAtStore(ControllerModel controller, long durationMs) {
    if (!simulation.store.refuses(controller.name)) {
      simulation.store.setRefused(controller.name, true);
      simulation.after(durationMs, () -> simulation.store.setRefused(controller.name, false));
    }
  }

  private void delayWrites(long durationMs) {
    simulation.store.lateShare = 0.05 + 0.4 * simulation.random.nextDouble();
    simulation.after(durationMs, () -> simulation.store.lateShare = 0);
  }

  private void slowStore(long durationMs) {
    simulation.store.answerDelayMs = 200 + simulation.random.nextLong(3000);
    simulation.after(durationMs, () -> simulation.store.answerDelayMs = 0);
  }

  private void stallThreads(long durationMs) {
    simulation.threadStallMs = 500 + simulation.random.nextLong(8000);
    simulation.after(durationMs, () -> simulation.threadStallMs = 0);
  }

  private void killMachines() {
    for (int i = 0; i < 1 + simulation.random.nextInt(5); i++) {
      simulation.cloud.killMachine(randomMachine());
    }
  }

  private void pauseMachines(long durationMs) {
    someMachines(machine -> machine.pause(Math.min(2 * simulation.setup.leaseMs(), durationMs)));
  }

  private void partitionMachinesOutbound(long durationMs) {
    someMachines(machine -> machine.partitionOutbound(durationMs));
  }

  /** Makes machines boot fast and the cloud answer late from now on. */
  private void bootFast() {
    simulation.log("cloud", "boots machines within two seconds and answers late");
    simulation.cloud.bootMs = () -> 50 + simulation.random.nextLong(1950);
    simulation.cloud.answerDelayMs = 4000;
  }

  /** Makes the store unavailable to all controllers. */
  void storeOutage(long durationMs) {
    if (!simulation.store.isUnavailable()) {
      simulation.log("state", "outage begins");
      simulation.store.setUnavailable(true);
      simulation.after(durationMs, () -> simulation.store.setUnavailable(false));
    }
  }

  /**
   * Crashes the controller and restarts it after 50 ms to 10 s, in half of the cases within half a
   * second.
   */
  void crashAndRestart(ControllerModel controller) {
    if (!controller.isCrashed()) {
      controller.crash();
      boolean restartsSoon = simulation.random.nextBoolean();
      simulation.after(
          50 + simulation.random.nextLong(restartsSoon ? 450 : 9950), controller::start);
    }
  }

  /** Injects the fault at a few machines, or at all machines of a zone. */
  private void someMachines(Consumer<WorkerModel> fault) {
    int zones = simulation.setup.zones().size();
    boolean wholeZone = simulation.random.nextInt(4) == 0;
    int firstMachine = simulation.random.nextInt(simulation.setup.machines());
    int machines = 1 + simulation.random.nextInt(8);
    for (int i = 0; i < (wholeZone ? simulation.setup.machines() : machines); i++) {
      if (!wholeZone || i % zones == firstMachine % zones) {
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

  /** Cuts the link in both directions or in one of them, and heals it after this time. */
  private void cutRandomly(String a, String b, long durationMs) {
    int directions = simulation.random.nextInt(4);
    if (directions != 0) {
      simulation.cut(a, b);
    }
    if (directions != 1) {
      simulation.cut(b, a);
    }
    simulation.after(durationMs, () -> simulation.healBoth(a, b));
  }
}
