package org.astershift.coordination;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Which jobs one term looks after, and of which the end may be on record though the leader does not
 * know it yet. A job's live record is written once and removed by its end, and from this term's
 * token on only this term can end jobs; so what is live is what was live at the token, and what was
 * recorded after it, less what ended here.
 */
public final class TermJobs {
  /** Jobs ended in this term that are remembered against late news of their acceptance. */
  static final int ENDED_IN_TERM_JOBS = 10_000;

  private final long token;
  private final Set<String> managed = new HashSet<>();

  /**
   * Jobs that ended in this term, the oldest first. What was read of a job before its end may
   * arrive after it, from another thread: taken in again, the job's tasks would start once more.
   */
  private final Set<String> endedInTerm = new LinkedHashSet<>();

  /**
   * Jobs whose end may be durable though this leader does not know it yet, by the tries under way
   * or without an answer. Nothing older may be told of them from memory: another node that reads
   * the state service tells that they are over, and on a node short of processor time seconds pass
   * between the write and the news of it (a user was told done, then queued).
   */
  private final Map<String, Integer> unconfirmedEnds = new HashMap<>();

  private boolean loaded;

  /** {@code token}: the revision at which the term's leadership was recorded. */
  public TermJobs(long token) {
    this.token = token;
  }

  /** All jobs that were live on record at the token have been taken in. */
  public synchronized void onLoaded() {
    loaded = true;
  }

  /**
   * A job whose live record, of this revision, was read some time; whether the term looks after it
   * from now on. A record from before the token that was not there at the token is that of a job
   * that is over: read or accepted by this node as a follower, and told late by a thread that stood
   * still while the node became leader. Its tasks would start though its user was told that it is
   * cancelled.
   */
  public synchronized boolean adopt(String jobId, long revision) {
    if (loaded && revision < token) {
      return false;
    }
    return !endedInTerm.contains(jobId) && managed.add(jobId);
  }

  /** Whether this term looks after the job. */
  public synchronized boolean manages(String jobId) {
    return managed.contains(jobId);
  }

  /** A write of the job's end is about to go out. */
  public synchronized void onEndWriteStarted(String jobId) {
    unconfirmedEnds.merge(jobId, 1, Integer::sum);
  }

  /** Such a write was certainly not applied, nor will be. */
  public synchronized void onEndWriteRejected(String jobId) {
    unconfirmedEnds.computeIfPresent(jobId, (key, tries) -> tries > 1 ? tries - 1 : null);
  }

  /** Whether nothing may be told of the job from memory. */
  public synchronized boolean mayHaveEnded(String jobId) {
    return unconfirmedEnds.containsKey(jobId);
  }

  /** The job's end is on record. */
  public synchronized void onEnded(String jobId) {
    managed.remove(jobId);
    unconfirmedEnds.remove(jobId);
    endedInTerm.add(jobId);
    if (endedInTerm.size() > ENDED_IN_TERM_JOBS) {
      endedInTerm.remove(endedInTerm.iterator().next());
    }
  }
}
