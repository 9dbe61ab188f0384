package org.astershift.scheduler;

import java.util.List;

/** The way of direct commands from a controller to a machine, and of the answers. */
final class FuzzNetwork {
  private final FuzzSimulation sim;

  FuzzNetwork(FuzzSimulation sim) {
    this.sim = sim;
  }

  /** Sends commands to a machine; the answer, or none, reaches the controller. */
  void direct(FuzzController ctl, Decision.SendCommands d) {
    ctl.handle(
        () -> {
          if (!ctl.scheduler.directCommandsStillDue(d, ctl.clock())) {
            return;
          }
          List<Command> orders =
              ctl.scheduler.commandsStillWanted(d, ctl.clock() < ctl.soleUntilMs);
          FuzzWorker w = sim.workers.get(d.machineName());
          boolean[] settled = {false};
          if (w == null || !w.alive) {
            sim.after(
                sim.random.nextInt(d.timeoutMs()),
                () ->
                    ctl.handle(
                        () ->
                            ctl.scheduler.onCommandResult(
                                d.machineName(), false, null, ctl.clock())));
            return;
          }
          int life = w.life;
          long sentMs = sim.now;
          sim.after(
              d.timeoutMs(),
              () -> {
                if (!settled[0]) {
                  settled[0] = true;
                  sim.did("order in vain");
                  ctl.handle(
                      () ->
                          ctl.scheduler.onCommandResult(d.machineName(), true, null, ctl.clock()));
                }
              });
          long ms = ctl.way(w.name, "down");
          if (ms < 0) {
            return;
          }
          boolean again = sim.chance(0.5);
          sim.after(
              ms,
              () -> {
                // One that was held on its way may meet the next life of the machine.
                if (!w.alive || (w.life != life && (!again || sim.store.holder != ctl))) {
                  return;
                }
                w.serve(
                    () -> {
                      if (sim.now - sentMs > d.timeoutMs()) {
                        sim.did("late order");
                      }
                      Heartbeat r = w.orders(ctl.token, d.epoch(), orders);
                      long back = ctl.way(w.name, "up");
                      if (back >= 0) {
                        sim.after(
                            back,
                            () -> {
                              if (!settled[0]) {
                                settled[0] = true;
                                ctl.handle(
                                    () ->
                                        ctl.scheduler.onCommandResult(
                                            d.machineName(), false, r, ctl.clock()));
                              }
                            });
                      }
                    });
              });
        });
  }
}
