package org.astershift.leader;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.astershift.cloud.CloudClient;
import org.astershift.config.Constants;
import org.astershift.config.Settings;
import org.astershift.core.Decision;
import org.astershift.core.MachineType;
import org.astershift.core.Scheduler;
import org.astershift.http.Json;
import org.astershift.http.Threads;
import org.astershift.store.Mirror;
import org.astershift.store.RateBudget;
import org.astershift.store.Records;
import org.astershift.store.StoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The leader's dealings with the cloud: types, the list, renting and giving back. */
final class Machines {
  private static final Logger LOG = LoggerFactory.getLogger(Machines.class);
  private final CloudClient cloud;
  private final StoreClient store;
  private final Mirror mirror;
  private final Runnable stir;
  private final Threads.Pool rentPool = Threads.pool("rent", Constants.RENT_THREADS);
  private final Threads.Pool returnPool = Threads.pool("return", Constants.RETURN_THREADS);
  private volatile Map<String, MachineType> types = Map.of();

  Machines(Settings settings, StoreClient store, Mirror mirror, Runnable stir) {
    this.cloud = new CloudClient(settings);
    this.store = store;
    this.mirror = mirror;
    this.stir = stir;
  }

  Map<String, MachineType> types() {
    return types;
  }

  /** Work that found no thread gets one as soon as there is one. */
  void tend() {
    rentPool.tend();
    returnPool.tend();
  }

  /** What the leader noted of the types, for nodes that start while the cloud is away. */
  void typesNoted(Map<String, Object> value) {
    try {
      types = Records.readTypes(value);
    } catch (Json.Bad e) {
      LOG.error("record of machine types: {}", e.getMessage());
    }
  }

  // ---- list and types ----

  void loop(Term t) {
    long typesAt = 0;
    while (!t.over()) {
      try {
        long now = Term.nowMs();
        if (typesAt == 0 || now - typesAt > Constants.TYPES_MS) {
          learnTypes(t);
          typesAt = now;
        }
        long asked = Term.nowMs();
        List<Scheduler.Listed> listed = cloud.list();
        synchronized (t) {
          t.scheduler.list(listed, asked, Term.nowMs());
        }
        stir.run();
        Thread.sleep(Constants.LIST_MS);
      } catch (IOException e) {
        LOG.info("the cloud does not answer as it should: {}", e.getMessage());
        sleep();
      } catch (InterruptedException e) {
        return;
      } catch (RuntimeException e) {
        LOG.error("cloud loop failed", e);
        Threads.pause();
      }
    }
  }

  private void learnTypes(Term t) throws IOException, InterruptedException {
    Map<String, MachineType> learnt = cloud.types();
    boolean other = !sizes(learnt).equals(sizes(types));
    types = learnt;
    synchronized (t) {
      t.scheduler.types(learnt);
    }
    stir.run();
    if (other || mirror.row(Records.TYPES) == null) {
      StoreClient.Txn txn = t.txn().put(Records.TYPES, Records.types(learnt));
      t.lostBy(store.commit(txn, RateBudget.Use.URGENT, Constants.STORE_PATIENCE_MS));
    }
  }

  /** What is worth a write when it changes; prices move all the time. */
  private static String sizes(Map<String, MachineType> types) {
    StringBuilder sb = new StringBuilder();
    for (MachineType t : types.values()) {
      sb.append(t.name()).append(t.cpus()).append(t.gpus()).append(t.memoryGb()).append(t.zones());
    }
    return sb.toString();
  }

  // ---- renting ----

  /** Rentals that an earlier leader left open are asked for again, under their own names. */
  void takeOver(Term t) {
    t.notes
        .entries(Notes.Kind.RENTAL)
        .forEach(
            (name, value) -> {
              try {
                Decision.Rent r = Records.rental(value);
                LOG.info("rental {} was left open by an earlier leader: asked again", name);
                synchronized (t) {
                  t.scheduler.renting(name, r);
                }
                execute(t, name, r);
              } catch (Json.Bad e) {
                LOG.error("rental {} cannot be read: {}", name, e.getMessage());
              }
            });
  }

  /**
   * Notes a rental under a name of its own; it is sent when that is durable, so that a successor
   * learns what came of it.
   */
  void rent(Term t, Decision.Rent r) {
    String name = t.rentalName();
    synchronized (t) {
      t.scheduler.renting(name, r);
    }
    t.notes.put(Notes.Kind.RENTAL, name, Records.rental(r), 0);
  }

  /** The rental is on record. */
  void noted(Term t, String name, Object value) throws Json.Bad {
    execute(t, name, Records.rental(value));
  }

  private void execute(Term t, String name, Decision.Rent r) {
    rentPool.execute("rental", () -> send(t, name, r));
  }

  /** A call without an answer is repeated under the same name until it has one. */
  private void send(Term t, String name, Decision.Rent r) {
    while (!t.over()) {
      try {
        List<String> names = cloud.rent(name, r);
        LOG.info("rental {} of {} {} in {} brings {}", name, r.count(), r.type(), r.zone(), names);
        for (String m : names) {
          Decision.Enrol e = new Decision.Enrol(m, null, r.type(), r.zone(), r.spot(), true);
          t.notes.putNew(Notes.Kind.MACHINE, m, Records.machine(e));
        }
        synchronized (t) {
          t.scheduler.rented(name, names, r, Term.nowMs());
        }
        break;
      } catch (CloudClient.Refused e) {
        if (e.reason() == CloudClient.Refused.Reason.NO_CAPACITY) {
          LOG.info("no capacity for {} in {}{}", r.type(), r.zone(), r.spot() ? ", spot" : "");
        } else if (e.reason() == CloudClient.Refused.Reason.MALFORMED) {
          // Repeated for ever, two of them held all threads that rent.
          LOG.error("rental {} of {} {} is malformed for the cloud", name, r.count(), r.type());
        }
        if (e.reason().isFinal()) {
          synchronized (t) {
            t.scheduler.notRented(name, r, true, Term.nowMs());
          }
          break;
        }
        LOG.info("rental {}: {}", name, e.getMessage());
      } catch (IOException e) {
        LOG.info("rental {}: {}", name, e.toString());
      }
      sleep();
    }
    if (!t.over()) {
      t.notes.remove(Notes.Kind.RENTAL, name, Constants.STRIKE_MS);
    }
  }

  private static void sleep() {
    try {
      Thread.sleep(Constants.CLOUD_RETRY_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  // ---- giving back ----

  void giveBack(Term t, Decision.Return r) {
    returnPool.execute("return", () -> sendBack(t, r));
  }

  private void sendBack(Term t, Decision.Return r) {
    if (t.over()) {
      return;
    }
    try {
      cloud.giveBack(r.machines());
      synchronized (t) {
        t.scheduler.returned(r.machines(), Term.nowMs());
      }
      stir.run();
    } catch (IOException e) {
      LOG.info("return of {}: {}", r.machines(), e.toString());
      sleep();
      synchronized (t) {
        t.scheduler.notReturned(r.machines());
      }
    }
  }
}
