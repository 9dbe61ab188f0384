package org.astershift.leader;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.astershift.config.Constants;
import org.astershift.config.Settings;
import org.astershift.core.Decision;
import org.astershift.core.MachineType;
import org.astershift.core.Order;
import org.astershift.core.Policy;
import org.astershift.core.Report;
import org.astershift.core.Scheduler;
import org.astershift.http.Json;
import org.astershift.store.Mirror;
import org.astershift.store.Records;
import org.astershift.store.StoreClient;
import org.astershift.worker.WorkerCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A follower rehearses a takeover once, in idle moments, on a part of what the records hold. The
 * runtime interprets code that it meets for the first time and compiles it while it runs: the first
 * takeover of a process costs several times as much as its second, on a fifth of a core and with a
 * thousand machines seconds in which nothing is placed. Nothing leaves this class: no store, no
 * cloud, no worker is spoken to, and the scheduler made here is thrown away.
 */
final class Rehearsal {
  private static final Logger LOG = LoggerFactory.getLogger(Rehearsal.class);

  /** No term has it: tokens are revisions of the state service, which begin at 1. */
  private static final long TOKEN = 0;

  private final Settings settings;
  private final Policy policy;
  private final Mirror mirror;
  private long nowMs;
  private long startedNs;
  private int reports;

  Rehearsal(Settings settings, Policy policy, Mirror mirror) {
    this.settings = settings;
    this.policy = policy;
    this.mirror = mirror;
  }

  /** Whether there is enough on record to rehearse with. */
  boolean possible() {
    return mirror.loaded()
        && mirror.row(Records.TYPES) != null
        && mirror.below(Records.NOTES).size() > 1;
  }

  /**
   * Goes through a takeover, resting much longer than it works; ends early once this leads. Gives
   * the number of reports gone through.
   */
  int run(Map<String, MachineType> types, BooleanSupplier leads) throws InterruptedException {
    LOG.debug("rehearsing a takeover");
    for (int round = 0; round < Constants.REHEARSALS && !leads.getAsBoolean(); round++) {
      startedNs = System.nanoTime();
      nowMs = Term.nowMs();
      once(types, leads);
      rest();
    }
    return reports;
  }

  private void once(Map<String, MachineType> types, BooleanSupplier leads)
      throws InterruptedException {
    Scheduler scheduler = new Scheduler(settings.facts(), policy, TOKEN);
    scheduler.types(types);
    List<Decision.Enrol> machines = machines();
    for (Decision.Enrol m : machines) {
      scheduler.inherit(m.machine(), m.addr(), m.type(), m.zone(), m.spot(), nowMs);
    }
    rest();
    jobs(scheduler);
    rest();
    // The first stays unheard: what is opened by the records then stays where it is.
    int n = 0;
    for (Decision.Enrol m : machines.subList(Math.min(1, machines.size()), machines.size())) {
      if (leads.getAsBoolean()) {
        return;
      }
      report(scheduler, m, 1);
      report(scheduler, m, 2);
      if (++n % Constants.REHEARSED_AT_ONCE == 0) {
        pass(scheduler);
        rest();
      }
    }
    pass(scheduler);
  }

  private List<Decision.Enrol> machines() {
    Notes notes = new Notes(TOKEN, null, settings.storeLimits(), (kind, key, value) -> {});
    notes.load(mirror.below(Records.NOTES));
    List<Decision.Enrol> out = new ArrayList<>();
    for (Map.Entry<String, Object> e : notes.entries(Notes.Kind.MACHINE).entrySet()) {
      if (out.size() == Constants.REHEARSED_MACHINES) {
        break;
      }
      try {
        Decision.Enrol m = Records.machine(e.getKey(), e.getValue());
        if (!m.fresh()) {
          out.add(m);
        }
      } catch (Json.Bad bad) {
        LOG.debug("rehearsal: {}", bad.getMessage());
      }
    }
    return out;
  }

  private void jobs(Scheduler scheduler) {
    int n = 0;
    for (StoreClient.Row row : mirror.below(Records.JOB)) {
      if (n++ == Constants.REHEARSED_JOBS) {
        return;
      }
      try {
        scheduler.addJob(Records.job(row.key(), row.data()).spec(), false, new BitSet(), nowMs);
      } catch (Json.Bad | RuntimeException bad) {
        LOG.debug("rehearsal: {}", bad.toString());
      }
    }
  }

  private void report(Scheduler scheduler, Decision.Enrol m, long seq) {
    Report said =
        new Report(
            m.machine(),
            m.addr() == null ? "0.0.0.0:1" : m.addr(),
            m.type(),
            m.zone(),
            m.spot(),
            1,
            seq,
            TOKEN,
            null,
            List.of());
    try {
      Report read = WorkerCodec.report(WorkerCodec.bytes(said));
      List<Order> orders = scheduler.report(read, nowMs);
      WorkerCodec.answer(TOKEN, orders);
      reports++;
    } catch (Json.Bad bad) {
      LOG.debug("rehearsal: {}", bad.getMessage());
    }
  }

  private void pass(Scheduler scheduler) {
    nowMs += 1; // hardly any time passes: nothing is late, and nothing is rented
    for (Decision d : scheduler.pass(nowMs, Long.MAX_VALUE)) {
      if (d instanceof Decision.OpenJob o) {
        scheduler.opened(o.job());
      } else if (d instanceof Decision.Direct o) {
        WorkerCodec.direct(TOKEN, o.session(), o.orders());
        scheduler.directResult(o.machine(), false, null, nowMs);
      }
    }
  }

  /** Users are served by this node meanwhile. */
  private void rest() throws InterruptedException {
    long tookMs = (System.nanoTime() - startedNs) / 1_000_000;
    Thread.sleep(Math.max(Constants.REHEARSAL_REST_MS, tookMs * Constants.REHEARSAL_REST));
    startedNs = System.nanoTime();
  }
}
