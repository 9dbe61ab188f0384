package org.astershift.controller;

import java.util.BitSet;
import java.util.function.Supplier;
import org.astershift.http.JsonFormatException;
import org.astershift.store.RecordCodec;

/** Executes the steps that had to wait until a record of the term was durable. */
final class PersistedRecordHandler implements LeaderRecords.Listener {
  private final long token;
  private final Supplier<LeaderTerm> currentTerm;
  private final CloudProvisioner provisioner;

  /** {@code currentTerm} supplies null or another term if the token's term is not current. */
  PersistedRecordHandler(
      long token, Supplier<LeaderTerm> currentTerm, CloudProvisioner provisioner) {
    this.token = token;
    this.currentTerm = currentTerm;
    this.provisioner = provisioner;
  }

  @Override
  public void onLeadershipConfirmed(long revision) {
    LeaderTerm term = currentTerm.get();
    if (term != null && term.token == token) {
      term.scheduler.onLeadershipConfirmed(revision);
    }
  }

  @Override
  public void onPersisted(LeaderRecords.RecordKind kind, String key, Object value) {
    LeaderTerm term = currentTerm.get();
    if (term == null || term.token != token || value == null) {
      return;
    }
    try {
      switch (kind) {
        case OPENED -> {
          term.scheduler.onJobOpened(key);
          term.requestPass();
        }
        case MACHINE -> {
          if (!RecordCodec.decodeMachine(key, value).newlyProvisioned()) {
            term.scheduler.onMachineRegistered(key);
            term.requestPass();
          }
        }
        case RENTAL -> provisioner.onRequestPersisted(term, key, value);
        case PROGRESS -> {
          BitSet done = new BitSet();
          String jobId = RecordCodec.mergeSegment(done, key, value);
          term.scheduler.onProgressPersisted(jobId, done);
        }
      }
    } catch (JsonFormatException e) {
      throw new IllegalStateException(
          "record written by this term cannot be decoded: key=" + key, e);
    }
  }
}
