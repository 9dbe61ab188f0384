package org.astershift.scheduler;

import java.util.HashSet;
import java.util.Set;

/**
 * Tracks decisions that a pass has returned and that have neither been carried out nor failed. A
 * pass does not return such a decision again.
 */
final class OutstandingDecisions {
  /** Kinds of tracked decisions. */
  enum Kind {
    OPEN_JOB,
    FINISH_JOB,
    REGISTER_MACHINE
  }

  /** The kind of a decision, with the job or machine that it concerns. */
  private record Key(Kind kind, String subject) {}

  private final Set<Key> outstanding = new HashSet<>();

  /** Adds the decision. Returns false if it is already outstanding. */
  boolean add(Kind kind, String subject) {
    return outstanding.add(new Key(kind, subject));
  }

  /** Removes a decision that was carried out or has failed, or whose subject is gone. */
  void onSettled(Kind kind, String subject) {
    outstanding.remove(new Key(kind, subject));
  }

  /** Removes a failed decision. Decisions of untracked kinds are ignored. */
  void onFailed(Decision decision) {
    if (decision instanceof Decision.OpenJob openJob) {
      onSettled(Kind.OPEN_JOB, openJob.jobId());
    } else if (decision instanceof Decision.FinishJob finishJob) {
      onSettled(Kind.FINISH_JOB, finishJob.jobId());
    } else if (decision instanceof Decision.RegisterMachine registerMachine) {
      onSettled(Kind.REGISTER_MACHINE, registerMachine.machineName());
    }
  }

  /** Removes the decisions for a job that has ended. */
  void onJobEnded(String jobId) {
    onSettled(Kind.OPEN_JOB, jobId);
    onSettled(Kind.FINISH_JOB, jobId);
  }

  int size() {
    return outstanding.size();
  }
}
