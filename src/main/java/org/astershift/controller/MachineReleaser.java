package org.astershift.controller;

import java.io.IOException;
import org.astershift.cloud.CloudClient;
import org.astershift.config.ThreadBudget;
import org.astershift.http.TaskPool;
import org.astershift.http.Threads;
import org.astershift.scheduler.Decision;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Releases machines to the cloud on threads of its own. */
final class MachineReleaser {
  private static final Logger LOG = LoggerFactory.getLogger(MachineReleaser.class);

  private final CloudClient cloud;
  private final Runnable requestPass;
  private final TaskPool pool = Threads.newPool("release", ThreadBudget.RELEASE_THREADS);

  MachineReleaser(CloudClient cloud, Runnable requestPass) {
    this.cloud = cloud;
    this.requestPass = requestPass;
  }

  /** Queues a release. */
  void release(LeaderTerm term, Decision.ReleaseMachines request) {
    pool.execute("release", () -> releaseNow(term, request));
  }

  /** Starts a thread for queued releases if an earlier thread start failed. */
  void startQueuedTasks() {
    pool.startQueuedTasks();
  }

  private void releaseNow(LeaderTerm term, Decision.ReleaseMachines request) {
    if (term.hasEnded()) {
      return;
    }
    try {
      cloud.releaseMachines(request.machineNames());
      term.scheduler.onMachinesReleased(request.machineNames());
      requestPass.run();
    } catch (IOException e) {
      LOG.info(
          "releasing machines failed; will retry: machines={}: {}",
          request.machineNames(),
          e.toString());
      CloudBackoff.sleep();
      term.scheduler.onReleaseFailed(request.machineNames());
    }
  }
}
