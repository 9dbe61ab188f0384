package org.astershift.scheduler;

import java.util.HashSet;
import java.util.Set;

/**
 * Decisions that were given to the loops around the scheduler and whose outcome is not known yet:
 * each is given once, until it is carried out, has failed, or what it is about is gone.
 */
final class OutstandingDecisions {
  /** What a decision asks for. */
  enum Kind {
    OPEN_JOB,
    FINISH_JOB,
    REGISTER_MACHINE
  }

  /** A decision by what it asks for and the job or machine that it is about. */
  private record Key(Kind kind, String subject) {}

  private final Set<Key> outstanding = new HashSet<>();

  /** Notes the decision; false if the same one is outstanding already. */
  boolean add(Kind kind, String subject) {
    return outstanding.add(new Key(kind, subject));
  }

  /** The decision was carried out, has failed, or is about what is gone. */
  void onSettled(Kind kind, String subject) {
    outstanding.remove(new Key(kind, subject));
  }

  /** The same for a decision as it was given; one that is never noted here is ignored. */
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
