package org.astershift.simulation;

import java.util.List;
import java.util.function.Consumer;
import org.astershift.controller.LoopTiming;
import org.astershift.scheduler.Decision;
import org.astershift.scheduler.ListedMachine;
import org.astershift.simulation.StoreModel.MachineRow;

/** Sends a leader's requests to the cloud: provisioning, releases and machine lists. */
final class CloudProvisionerModel {
  private static final long TIMEOUT_MS = 5000;

  private final ControllerModel controller;
  private final Simulation simulation;
  private final LeaderTermModel term;

  /** Number of provisioning requests so far, which is part of the next request's name. */
  private int requestCount;

  CloudProvisionerModel(ControllerModel controller, LeaderTermModel term) {
    this.controller = controller;
    this.simulation = controller.simulation;
    this.term = term;
  }

  /**
   * Starts a new provisioning request, which is sent once its name is durable: a repeated request
   * with the same name provisions no more machines.
   */
  void startProvisioning(Decision.ProvisionMachines decision) {
    requestCount++;
    String request = "as-" + term.token() + "-" + requestCount;
    term.scheduler().onProvisioningStarted(request, decision);
    term.recordWriter().persist("i/" + request, decision, () -> provision(request, decision));
  }

  /** Sends a request until it is answered. */
  void provision(String request, Decision.ProvisionMachines decision) {
    controller.request(
        "cloud",
        TIMEOUT_MS,
        (Consumer<List<String>> answer) -> simulation.cloud.provision(request, decision, answer),
        (List<String> machines) -> {
          if (!term.isCurrent()) {
            return;
          }
          if (machines == null) {
            controller.runLater(
                LoopTiming.CLOUD_RETRY_BACKOFF_MS, () -> provision(request, decision));
            return;
          }
          onProvisioned(request, decision, machines);
        });
  }

  private void onProvisioned(
      String request, Decision.ProvisionMachines decision, List<String> machines) {
    int[] unpersisted = {1};
    Runnable onPersisted =
        () -> {
          unpersisted[0]--;
          if (unpersisted[0] == 0) {
            // The request's record is removed only after its machines are durable.
            term.recordWriter().persist("i/" + request, null, () -> {});
          }
        };
    for (String machine : machines) {
      if (!term.markRegistered(machine) || controller.watchCache().contains("m/" + machine)) {
        continue; // already registered: it may have tasks and is no longer newly provisioned
      }
      unpersisted[0]++;
      Decision.RegisterMachine registration =
          new Decision.RegisterMachine(
              machine, null, decision.typeName(), decision.zone(), decision.spot(), true);
      term.recordWriter().persist("m/" + machine, new MachineRow(registration), onPersisted);
    }
    term.scheduler().onMachinesProvisioned(request, machines, decision, controller.clock());
    onPersisted.run();
  }

  void release(Decision.ReleaseMachines decision) {
    if (decision.silent()) {
      simulation.checker.onSilentRelease(controller, decision.machineNames());
    }
    controller.request(
        "cloud",
        TIMEOUT_MS,
        answer -> {
          simulation.cloud.release(decision.machineNames(), decision.silent());
          answer.accept(true);
        },
        (Boolean released) -> {
          if (term.isCurrent() && released != null) {
            term.scheduler().onMachinesReleased(decision.machineNames(), controller.clock());
          } else if (term.isCurrent()) {
            controller.runLater(
                LoopTiming.CLOUD_RETRY_BACKOFF_MS,
                () -> term.scheduler().onReleaseFailed(decision.machineNames()));
          }
        });
  }

  /** Reads the machine list repeatedly while the term lasts. */
  void pollMachineList() {
    if (!term.isCurrent()) {
      return;
    }
    long requestedMs = controller.clock();
    controller.request(
        "cloud",
        TIMEOUT_MS,
        answer -> answer.accept(simulation.cloud.listMachines()),
        (List<ListedMachine> listed) -> {
          if (term.isCurrent() && listed != null) {
            term.scheduler().onMachineList(listed, requestedMs, controller.clock());
          }
          controller.runLater(LoopTiming.MACHINE_LIST_INTERVAL_MS, this::pollMachineList);
        });
  }
}
