package org.astershift.controller;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import org.astershift.http.Threads;
import org.astershift.store.RateLimiter;
import org.astershift.store.RecordCodec;
import org.astershift.store.StoreClient;
import org.astershift.store.StoreClient.Outcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes the due pages of a term's records on one thread until the term ends. */
final class RecordWriter {
  private static final Logger LOG = LoggerFactory.getLogger(RecordWriter.class);

  private final long token;
  private final StoreClient store;
  private final LeaderRecords records;
  private final LeaderRecords.Listener listener;

  RecordWriter(
      long token, StoreClient store, LeaderRecords records, LeaderRecords.Listener listener) {
    this.token = token;
    this.store = store;
    this.records = records;
    this.listener = listener;
  }

  /** Writes due pages until the term ends. */
  void writeLoop(LeaderTerm term) throws InterruptedException {
    while (true) {
      List<RecordPage.Snapshot> writes = records.takeDuePages();
      if (writes.isEmpty()) {
        return;
      }
      Outcome outcome = tryCommit(writes);
      if (outcome instanceof Outcome.Committed committed) {
        onCommitted(writes, committed.revision());
        continue;
      }
      records.reschedule(writes);
      if (outcome instanceof Outcome.ConditionFailed conflict) {
        if (conflict.keys().contains(RecordCodec.LEADER_KEY)) {
          term.onLeadershipLost();
          return;
        }
        refreshRevisions(writes, conflict.keys());
      } else {
        LOG.debug("writing record pages failed; will retry: {}", outcome);
        if (outcome instanceof Outcome.Rejected rejected
            && rejected.reason().equals(StoreClient.MALFORMED_REASON)) {
          records.splitAfterRejection(writes);
        }
        Thread.sleep(Threads.RETRY_BACKOFF_MS);
      }
    }
  }

  private Outcome tryCommit(List<RecordPage.Snapshot> writes) throws InterruptedException {
    try {
      return commit(writes);
    } catch (RuntimeException | Error e) {
      LOG.error("writing record pages failed; will retry: token={}", token, e);
      return new Outcome.Unknown(e.toString());
    }
  }

  /**
   * Commits the pages in one transaction. The transaction requires the pages' known revisions, so
   * that an earlier attempt that is applied late cannot undo a later change.
   */
  private Outcome commit(List<RecordPage.Snapshot> writes) throws InterruptedException {
    StoreClient.Transaction txn =
        new StoreClient.Transaction().requireRevision(RecordCodec.LEADER_KEY, token);
    RateLimiter.Urgency urgency = RateLimiter.Urgency.BACKGROUND;
    for (RecordPage.Snapshot write : writes) {
      RecordPage page = write.page();
      txn.requireRevision(page.key, page.revision);
      if (!write.entries().isEmpty()) {
        txn.put(page.key, write.entries());
      } else if (page.revision > 0) {
        txn.delete(page.key);
      }
      if (!records.isDeferrable(page)) {
        urgency = RateLimiter.Urgency.INTERACTIVE;
      }
    }
    return store.commit(txn, urgency, StoreClient.STORE_RATE_WAIT_MS);
  }

  private void onCommitted(List<RecordPage.Snapshot> writes, long revision) {
    records.onCommitted(writes);
    listener.onLeadershipConfirmed(revision);
    for (RecordPage.Snapshot write : writes) {
      write.page().revision = write.entries().isEmpty() ? 0 : revision;
    }
    for (RecordPage.Snapshot write : writes) {
      for (String key : write.changedKeys()) {
        notifyListener(write, key);
      }
    }
  }

  private void notifyListener(RecordPage.Snapshot write, String key) {
    try {
      listener.onPersisted(write.page().kind, key, write.entries().get(key));
    } catch (RuntimeException | Error e) {
      // The record is durable, and the loop must go on: a leader that writes no records opens no
      // jobs and provisions no machines.
      LOG.error("handling a durable record failed: kind={} key={}", write.page().kind, key, e);
    }
  }

  /**
   * Reads the revisions of pages whose condition failed: an earlier attempt without a response was
   * applied after all, so only the revision differs.
   */
  private void refreshRevisions(List<RecordPage.Snapshot> writes, Set<String> conflicts)
      throws InterruptedException {
    for (RecordPage.Snapshot write : writes) {
      if (conflicts.contains(write.page().key)) {
        try {
          write.page().revision = store.get(write.page().key).revision();
        } catch (IOException e) {
          LOG.debug(
              "reading a record page failed; will retry: key={}: {}",
              write.page().key,
              e.toString());
          Thread.sleep(Threads.RETRY_BACKOFF_MS);
        }
      }
    }
  }
}
