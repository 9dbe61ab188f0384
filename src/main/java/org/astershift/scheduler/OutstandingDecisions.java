package org.astershift.scheduler;

import java.util.HashSet;
import java.util.Set;

/**
 * Decisions that were returned by a pass and are neither carried out nor failed: each is returned
 * once until then.
 */
final class OutstandingDecisions {
  /** The kinds of decisions that are tracked. */
  enum Kind {
    OPEN_JOB,
    FINISH_JOB,
    REGISTER_MACHINE
  }

  /** A decision and the job or machine that it is about. */
  private record Key(Kind kind, String subject) {}

  private final Set<Key> outstanding = new HashSet<>();

  /** Adds the decision; false if it is outstanding already. */
  boolean add(Kind kind, String subject) {
    return outstanding.add(new Key(kind, subject));
  }

  /** The decision was carried out, has failed, or its subject is gone. */
  void onSettled(Kind kind, String subject) {
    outstanding.remove(new Key(kind, subject));
  }

  /** A decision failed; one of a kind that is not tracked is ignored. */
  void onFailed(Decision decision) {
    if (decision instanceof Decision.OpenJob openJob) {
      onSettled(Kind.OPEN_JOB, openJob.jobId());
    } else if (decision instanceof Decision.FinishJob finishJob) {
      onSettled(Kind.FINISH_JOB, finishJob.jobId());
    } else if (decision instanceof Decision.RegisterMachine registerMachine) {
      onSettled(Kind.REGISTER_MACHINE, registerMachine.machineName());
    }
  }

  /** The job is over. */
  void onJobEnded(String jobId) {
    onSettled(Kind.OPEN_JOB, jobId);
    onSettled(Kind.FINISH_JOB, jobId);
  }

  int size() {
    return outstanding.size();
  }
}
