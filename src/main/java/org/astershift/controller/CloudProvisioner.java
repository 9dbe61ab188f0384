package org.astershift.controller;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.astershift.cloud.CloudClient;
import org.astershift.config.Constants;
import org.astershift.config.Settings;
import org.astershift.http.Json;
import org.astershift.http.Threads;
import org.astershift.scheduler.Decision;
import org.astershift.scheduler.MachineType;
import org.astershift.scheduler.Scheduler;
import org.astershift.store.RateLimiter;
import org.astershift.store.RecordCodec;
import org.astershift.store.StoreClient;
import org.astershift.store.WatchCache;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The leader's dealings with the cloud: types, the list, renting and giving back. */
final class CloudProvisioner {
  private static final Logger LOG = LoggerFactory.getLogger(CloudProvisioner.class);
  private final CloudClient cloud;
  private final StoreClient store;
  private final WatchCache mirror;
  private final Runnable stir;
  private final Threads.Pool rentPool = Threads.pool("rent", Constants.RENT_THREADS);
  private final Threads.Pool returnPool = Threads.pool("return", Constants.RETURN_THREADS);
  private volatile Map<String, MachineType> types = Map.of();

  CloudProvisioner(Settings settings, StoreClient store, WatchCache mirror, Runnable stir) {
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
      types = RecordCodec.readTypes(value);
    } catch (Json.JsonFormatException e) {
      LOG.error("record of machine types: {}", e.getMessage());
    }
  }

  // ---- list and types ----

  void loop(LeaderTerm t) {
    long typesAt = 0;
    while (!t.over()) {
      try {
        long now = LeaderTerm.nowMs();
        if (typesAt == 0 || now - typesAt > Constants.TYPES_MS) {
          learnTypes(t);
          typesAt = now;
        }
        long asked = LeaderTerm.nowMs();
        List<Scheduler.ListedMachine> listed = cloud.list();
        synchronized (t) {
          t.scheduler.list(listed, asked, LeaderTerm.nowMs());
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

  private void learnTypes(LeaderTerm t) throws IOException, InterruptedException {
    Map<String, MachineType> learnt = cloud.types();
    boolean other = !sizes(learnt).equals(sizes(types));
    types = learnt;
    synchronized (t) {
      t.scheduler.types(learnt);
    }
    stir.run();
    if (other || mirror.row(RecordCodec.TYPES) == null) {
      StoreClient.Transaction txn = t.txn().put(RecordCodec.TYPES, RecordCodec.types(learnt));
      t.lostBy(store.commit(txn, RateLimiter.Urgency.URGENT, Constants.STORE_PATIENCE_MS));
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
  void takeOver(LeaderTerm t) {
    t.notes
        .entries(LeaderRecords.RecordKind.RENTAL)
        .forEach(
            (name, value) -> {
              try {
                Decision.ProvisionMachines r = RecordCodec.rental(value);
                LOG.info("rental {} was left open by an earlier leader: asked again", name);
                synchronized (t) {
                  t.scheduler.renting(name, r);
                }
                execute(t, name, r);
              } catch (Json.JsonFormatException e) {
                LOG.error("rental {} cannot be read: {}", name, e.getMessage());
              }
            });
  }

  /**
   * Notes a rental under a name of its own; it is sent when that is durable, so that a successor
   * learns what came of it.
   */
  void rent(LeaderTerm t, Decision.ProvisionMachines r) {
    String name = t.rentalName();
    synchronized (t) {
      t.scheduler.renting(name, r);
    }
    t.notes.put(LeaderRecords.RecordKind.RENTAL, name, RecordCodec.rental(r), 0);
  }

  /** The rental is on record. */
  void noted(LeaderTerm t, String name, Object value) throws Json.JsonFormatException {
    execute(t, name, RecordCodec.rental(value));
  }

  private void execute(LeaderTerm t, String name, Decision.ProvisionMachines r) {
    rentPool.execute("rental", () -> send(t, name, r));
  }

  /** A call without an answer is repeated under the same name until it has one. */
  private void send(LeaderTerm t, String name, Decision.ProvisionMachines r) {
    while (!t.over()) {
      try {
        List<String> names = cloud.rent(name, r);
        LOG.info("rental {} of {} {} in {} brings {}", name, r.count(), r.type(), r.zone(), names);
        for (String m : names) {
          Decision.RegisterMachine e =
              new Decision.RegisterMachine(m, null, r.type(), r.zone(), r.spot(), true);
          t.notes.putNew(LeaderRecords.RecordKind.MACHINE, m, RecordCodec.machine(e));
        }
        synchronized (t) {
          t.scheduler.rented(name, names, r, LeaderTerm.nowMs());
        }
        break;
      } catch (CloudClient.CloudRejectedException e) {
        if (e.reason() == CloudClient.CloudRejectedException.Reason.NO_CAPACITY) {
          LOG.info("no capacity for {} in {}{}", r.type(), r.zone(), r.spot() ? ", spot" : "");
        } else if (e.reason() == CloudClient.CloudRejectedException.Reason.MALFORMED) {
          // Repeated for ever, two of them held all threads that rent.
          LOG.error("rental {} of {} {} is malformed for the cloud", name, r.count(), r.type());
        }
        if (e.reason().isFinal()) {
          synchronized (t) {
            t.scheduler.notRented(name, r, true, LeaderTerm.nowMs());
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
      t.notes.remove(LeaderRecords.RecordKind.RENTAL, name, Constants.STRIKE_MS);
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

  void giveBack(LeaderTerm t, Decision.ReleaseMachines r) {
    returnPool.execute("return", () -> sendBack(t, r));
  }

  private void sendBack(LeaderTerm t, Decision.ReleaseMachines r) {
    if (t.over()) {
      return;
    }
    try {
      cloud.giveBack(r.machines());
      synchronized (t) {
        t.scheduler.returned(r.machines(), LeaderTerm.nowMs());
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
