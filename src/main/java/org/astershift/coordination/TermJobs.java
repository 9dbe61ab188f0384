package org.astershift.coordination;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Which jobs one term manages, and which of them may have ended without the leader knowing it yet.
 * A job's live record is written once and deleted by its end, and from the term's token on only
 * this term can end jobs; so live are those that were live at the token and those recorded after
 * it, less those that ended here. Callable from any thread.
 */
public final class TermJobs {
  /** Ended jobs that are remembered against late reads of their live record. */
  static final int ENDED_IN_TERM_JOBS = 10_000;

  private final long token;
  private final Set<String> managed = new HashSet<>();

  /**
   * Jobs that ended in this term, the oldest first. A live record read before the end may arrive
   * after it, from another thread: adopted again, the job's tasks would start once more.
   */
  private final Set<String> endedInTerm = new LinkedHashSet<>();

  /**
   * Jobs whose end may be durable, with the number of writes in flight or without an answer. Their
   * progress in memory must not be reported any more: another node may have read the end and
   * reported it.
   */
  private final Map<String, Integer> unconfirmedEnds = new HashMap<>();

  private boolean loaded;

  /** {@code token}: the revision at which the term's leadership was recorded. */
  public TermJobs(long token) {
    this.token = token;
  }

  /** All jobs that were live at the token have been adopted. */
  public synchronized void onLoaded() {
    loaded = true;
  }

  /**
   * Adopts a job whose live record of this revision was read at some time; false if the term does
   * not begin to manage it now. A record from before the token that did not exist at the token is
   * of a job that has ended: a thread read or wrote it while the node was a follower and was
   * delayed until it led. Its tasks would start though its user may have seen it cancelled.
   */
  public synchronized boolean adopt(String jobId, long revision) {
    if (loaded && revision < token) {
      return false;
    }
    return !endedInTerm.contains(jobId) && managed.add(jobId);
  }

  /** How many jobs this term manages. */
  public synchronized int count() {
    return managed.size();
  }

  /** Whether this term manages the job. */
  public synchronized boolean manages(String jobId) {
    return managed.contains(jobId);
  }

  /** A write of the job's end is about to be sent. */
  public synchronized void onEndWriteStarted(String jobId) {
    unconfirmedEnds.merge(jobId, 1, Integer::sum);
  }

  /** Such a write was not applied and never will be. */
  public synchronized void onEndWriteRejected(String jobId) {
    unconfirmedEnds.computeIfPresent(jobId, (key, tries) -> tries > 1 ? tries - 1 : null);
  }

  /** Whether the job's progress in memory may be outdated by its end. */
  public synchronized boolean mayHaveEnded(String jobId) {
    return unconfirmedEnds.containsKey(jobId);
  }

  /** The job's end is durable. */
  public synchronized void onEnded(String jobId) {
    managed.remove(jobId);
    unconfirmedEnds.remove(jobId);
    endedInTerm.add(jobId);
    if (endedInTerm.size() > ENDED_IN_TERM_JOBS) {
      endedInTerm.remove(endedInTerm.iterator().next());
    }
  }
}
