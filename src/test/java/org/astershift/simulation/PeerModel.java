package org.astershift.simulation;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.astershift.controller.LoopTiming;
import org.astershift.coordination.Candidacy;
import org.astershift.coordination.WorkerReachability;
import org.astershift.scheduler.Decision;
import org.astershift.scheduler.Scheduler;
import org.astershift.simulation.StoreModel.MachineRow;
import org.astershift.simulation.StoreModel.Row;

/** Models which workers a controller reaches, what it asks its peers and what it answers them. */
final class PeerModel {
  private final ControllerModel controller;
  private final Simulation simulation;
  private final Candidacy candidacy = new Candidacy();
  private final WorkerReachability reachability = new WorkerReachability();

  /** The leader according to the peers while the store does not answer; null if unknown. */
  private String reportedLeader;

  PeerModel(ControllerModel controller) {
    this.controller = controller;
    this.simulation = controller.simulation;
  }

  void start() {
    controller.runEvery(LoopTiming.REACHABILITY_SAMPLE_INTERVAL_MS, this::sampleWorkers);
    controller.runEvery(LoopTiming.REACHABILITY_QUERY_INTERVAL_MS, this::queryPeers);
  }

  Candidacy candidacy() {
    return candidacy;
  }

  String reportedLeader() {
    return reportedLeader;
  }

  /** Returns the share of the workers that this controller reaches at present. */
  WorkerReachability.Measurement reachability() {
    return reachability.measurement(controller.clock());
  }

  private void sampleWorkers() {
    List<String> machines = new ArrayList<>();
    controller
        .watchCache()
        .withPrefix("m/")
        .forEach(
            (machine, row) -> {
              if (!((MachineRow) row).machine().newlyProvisioned()) {
                machines.add(machine);
              }
            });
    int probed = Math.min(LoopTiming.REACHABILITY_SAMPLE_MACHINES, machines.size());
    Sample sample = new Sample(probed, controller.clock());
    for (int i = 0; i < probed; i++) {
      String machine = machines.remove(simulation.random.nextInt(machines.size()));
      probeWorker(machine, Scheduler.MACHINE_PROBE_TIMEOUT_MS, sample::onProbed);
    }
  }

  /** A sample of concurrent worker probes, which counts their results as they complete. */
  private final class Sample {
    private final int probed;
    private final long atMs;
    private int completed;
    private int reached;

    Sample(int probed, long atMs) {
      this.probed = probed;
      this.atMs = atMs;
    }

    void onProbed(boolean answered) {
      completed++;
      reached += answered ? 1 : 0;
      if (completed == probed) {
        reachability.onSample(probed, reached, atMs);
      }
    }
  }

  private void probeWorker(String machine, long timeoutMs, Consumer<Boolean> done) {
    controller.request(
        machine,
        timeoutMs,
        answer -> {
          WorkerModel worker = simulation.workers.get(machine);
          if (worker != null) {
            worker.serve(() -> answer.accept(true));
          }
        },
        (Boolean answered) -> done.accept(answered != null));
  }

  /** Asks all other controllers; {@code done} gets the answers received, by controller name. */
  private <A> void askPeers(
      BiConsumer<ControllerModel, Consumer<A>> question,
      long timeoutMs,
      Consumer<Map<String, A>> done) {
    Map<String, A> answers = new LinkedHashMap<>();
    int[] pending = {simulation.controllers.size() - 1};
    for (ControllerModel peer : simulation.controllers) {
      if (peer != controller) {
        controller.request(
            peer.name,
            timeoutMs,
            answer -> {
              if (!peer.isCrashed()) {
                peer.runIn(peer.incarnation(), () -> question.accept(peer, answer));
              }
            },
            (A answer) -> {
              if (answer != null) {
                answers.put(peer.name, answer);
              }
              pending[0]--;
              if (pending[0] == 0) {
                done.accept(answers);
              }
            });
      }
    }
    if (pending[0] == 0) {
      done.accept(answers);
    }
  }

  private void queryPeers() {
    if (controller.isStoreLost()) {
      queryLeader();
      return;
    }
    reportedLeader = null;
    LeaderTermModel term = controller.term();
    if (term == null
        || !term.scheduler().isIsolated()
        || controller.hasMutation(Mutation.NO_LEADERSHIP_TRANSFER)) {
      return;
    }
    askPeers(
        (ControllerModel peer, Consumer<Candidacy.PeerStatus> answer) ->
            answer.accept(
                new Candidacy.PeerStatus(
                    peer.name, !peer.isStoreLost(), peer.peers().reachability())),
        LoopTiming.REACHABILITY_QUERY_TIMEOUT_MS,
        answers -> transferLeadership(term, new ArrayList<>(answers.values())));
  }

  private void queryLeader() {
    askPeers(
        (ControllerModel peer, Consumer<Row> answer) -> {
          if (!peer.isStoreLost()) {
            Row row = peer.watchCache().leaderRow();
            answer.accept(row == null ? new Row(StoreModel.LEADER_KEY, "", 0, 0) : row);
          }
        },
        LoopTiming.REACHABILITY_QUERY_TIMEOUT_MS,
        this::onLeaderReported);
  }

  private void onLeaderReported(Map<String, Row> answers) {
    for (Row row : answers.values()) {
      if (!"".equals(row.value())) {
        reportedLeader = (String) row.value();
        askReportedLeader(row, reachability());
        return;
      }
    }
  }

  /**
   * Asks the reported leader which share of the workers it reaches. A leader that reaches enough
   * workers itself continues as long as the reported leader reaches few.
   */
  private void askReportedLeader(Row row, WorkerReachability.Measurement ownReachability) {
    askPeers(
        (ControllerModel peer, Consumer<WorkerReachability.Measurement> answer) -> {
          if (peer.name.equals(row.value())) {
            answer.accept(peer.peers().reachability());
          }
        },
        LoopTiming.REACHABILITY_QUERY_TIMEOUT_MS,
        (Map<String, WorkerReachability.Measurement> answers) -> {
          boolean reachesFew =
              answers.values().stream()
                  .anyMatch(WorkerReachability.Measurement::isReachabilityPoor);
          if (controller.term() == null
              || !ownReachability.isReachabilitySufficient()
              || !reachesFew) {
            controller.election().onLeaderObserved(row.revision());
          }
        });
  }

  private void transferLeadership(LeaderTermModel term, List<Candidacy.PeerStatus> statuses) {
    if (!term.isCurrent()) {
      return;
    }
    Candidacy.LeadershipTransfer transfer =
        candidacy.decideTransfer(
            term.scheduler().observedShare(),
            statuses,
            simulation.controllers.size() - 1,
            term.beganMs(),
            controller.clock());
    if (transfer == null) {
      return;
    }
    askPeers(
        (ControllerModel peer, Consumer<Boolean> answer) -> {
          if (transfer.successor() != null && !transfer.successor().equals(peer.name)) {
            peer.peers().candidacy.deferToSuccessor(peer.clock());
          }
          answer.accept(true);
        },
        LoopTiming.REACHABILITY_QUERY_TIMEOUT_MS,
        answers ->
            controller
                .election()
                .resign(term, "transfers leadership successor=" + transfer.successor()));
  }

  /** Asks all peers to probe machines; {@code done} gets the results received. */
  void probeThroughPeers(
      Decision.ProbeThroughPeers probe,
      long timeoutMs,
      Consumer<List<Decision.PeerProbeResult>> done) {
    askPeers(
        (ControllerModel peer, Consumer<Decision.PeerProbeResult> answer) ->
            peer.peers().probeForPeer(probe, answer),
        timeoutMs,
        (Map<String, Decision.PeerProbeResult> answers) ->
            done.accept(new ArrayList<>(answers.values())));
  }

  private void probeForPeer(
      Decision.ProbeThroughPeers probe, Consumer<Decision.PeerProbeResult> answer) {
    List<Decision.MachineAddress> machines = new ArrayList<>(probe.suspects());
    machines.addAll(probe.controls());
    Set<String> reached = new HashSet<>();
    Set<String> unreached = new HashSet<>();
    for (Decision.MachineAddress machine : machines) {
      probeWorker(
          machine.address(),
          Scheduler.PEER_PROBE_TIMEOUT_MS,
          answered -> {
            boolean control = probe.controls().contains(machine);
            boolean countsAsReached =
                controller.hasMutation(Mutation.PEER_PROBES_ALWAYS_FAIL) ? control : answered;
            (countsAsReached ? reached : unreached).add(machine.machineName());
            if (reached.size() + unreached.size() == machines.size()) {
              answer.accept(new Decision.PeerProbeResult(reached, unreached));
            }
          });
    }
  }
}
