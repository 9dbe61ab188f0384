package org.astershift.coordination;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The jobs that one term manages, and which of these jobs may have ended without the leader's
 * knowledge. A job's live record is written once and deleted when the job ends, and from the
 * revision of the term's token on only this term can end jobs. The live jobs are therefore those
 * that were live at that revision and those recorded after it, except for the jobs that this term
 * has ended. Callable from any thread.
 */
public final class TermJobs {
  /**
   * Maximum number of ended jobs that are kept in order to ignore late reads of their live records.
   */
  static final int ENDED_IN_TERM_JOBS = 10_000;

  private final long token;
  private final Set<String> managed = new HashSet<>();

  /**
   * Jobs that ended in this term, the oldest first. A live record that was read before the end may
   * arrive after it, from another thread; if the job were adopted again, its tasks would start
   * again.
   */
  private final Set<String> endedInTerm = new LinkedHashSet<>();

  /**
   * Jobs whose end may be durable, with the number of writes of the end that are in flight or got
   * no response. The progress of these jobs in memory must no longer be reported, since another
   * controller may have read the end and reported it.
   */
  private final Map<String, Integer> unconfirmedEnds = new HashMap<>();

  private boolean isLoaded;

  /** {@code token} is the revision at which the leader key of this term was created. */
  public TermJobs(long token) {
    this.token = token;
  }

  /** Records that all jobs that were live at the token's revision have been adopted. */
  public synchronized void onLoaded() {
    isLoaded = true;
  }

  /**
   * Adopts a job whose live record with this revision was read at some time; returns false if the
   * term does not begin to manage the job by this call. A record that is older than the token, but
   * was not among the jobs loaded at the token, belongs to a job that has ended: a thread read or
   * wrote the record while this controller was a follower, and was delayed until this controller
   * led. If the job were adopted, its tasks would start although its user may have seen it
   * cancelled.
   */
  public synchronized boolean adopt(String jobId, long revision) {
    if (isLoaded && revision < token) {
      return false;
    }
    return !endedInTerm.contains(jobId) && managed.add(jobId);
  }

  /** Returns the number of jobs that this term manages. */
  public synchronized int count() {
    return managed.size();
  }

  /** Returns whether this term manages the job. */
  public synchronized boolean manages(String jobId) {
    return managed.contains(jobId);
  }

  /** Records that a write of the job's end is about to be sent. */
  public synchronized void onEndWriteStarted(String jobId) {
    unconfirmedEnds.merge(jobId, 1, Integer::sum);
  }

  /** Records that a write of the job's end was not applied and never will be. */
  public synchronized void onEndWriteRejected(String jobId) {
    unconfirmedEnds.computeIfPresent(jobId, (key, writes) -> writes > 1 ? writes - 1 : null);
  }

  /** Returns whether the job's end may be durable, so that its progress may be outdated. */
  public synchronized boolean mayHaveEnded(String jobId) {
    return unconfirmedEnds.containsKey(jobId);
  }

  /** Removes a job whose end is durable. */
  public synchronized void onEnded(String jobId) {
    managed.remove(jobId);
    unconfirmedEnds.remove(jobId);
    endedInTerm.add(jobId);
    if (endedInTerm.size() > ENDED_IN_TERM_JOBS) {
      endedInTerm.remove(endedInTerm.iterator().next());
    }
  }
}
