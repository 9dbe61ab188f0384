package org.astershift.store;

import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.astershift.config.Constants;
import org.astershift.http.Json;
import org.astershift.scheduler.Decision;
import org.astershift.scheduler.JobKind;
import org.astershift.scheduler.JobSpec;
import org.astershift.scheduler.MachineType;
import org.astershift.scheduler.Priority;

/**
 * Keys and values in the state service. All that is live is below one prefix, which nodes watch.
 */
public final class RecordCodec {
  private RecordCodec() {}

  public static final String LIVE = "l/";
  public static final String LEADER = LIVE + "leader";
  public static final String TYPES = LIVE + "types";
  public static final String JOB = LIVE + "j/";

  /** What a leader notes for its successor, many entries to a record; see the leader's notes. */
  public static final String NOTES = LIVE + "n/";

  /** Ended jobs stay for ever, out of the way of a takeover. */
  public static final String ENDED = "d/";

  public static Map<String, Object> leader(String node) {
    return Map.of("node", node);
  }

  // ---- jobs ----

  /** A job's record; {@code submittedMs} is the time of day of its acceptance. */
  public record JobRecord(JobSpec spec, long submittedMs) {}

  /** A job as its record holds it. */
  public static Map<String, Object> job(JobRecord r) {
    JobSpec s = r.spec();
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("c", s.jobClass());
    m.put("t", s.team());
    m.put("k", s.kind().ordinal());
    m.put("p", s.priority().ordinal());
    m.put("n", s.tasks());
    m.put("cpu", s.cpus());
    m.put("gpu", s.gpus());
    m.put("mem", s.memoryGb());
    m.put("img", s.image());
    m.put("gb", s.imageGb());
    if (s.types() != null) {
      m.put("types", s.types());
    }
    if (s.zone() != null) {
      m.put("zone", s.zone());
    }
    m.put("one", s.oneZone());
    m.put("apart", s.spread());
    m.put("spot", s.spot());
    m.put("est", s.estimateS());
    m.put("ckpt", s.checkpointS());
    m.put("save", s.saveS());
    if (s.deadlineS() != null) {
      m.put("due", s.deadlineS());
    }
    m.put("at", r.submittedMs());
    return m;
  }

  /** The job in a record; {@code key} is the key of the record. */
  public static JobRecord job(String key, Map<String, Object> m) throws Json.JsonFormatException {
    List<String> types = null;
    if (m.get("types") != null) {
      types = new ArrayList<>();
      for (Object o : Json.list(m, "types")) {
        types.add(String.valueOf(o));
      }
    }
    JobSpec spec =
        new JobSpec(
            key.substring(JOB.length()),
            Json.text(m, "c"),
            Json.text(m, "t"),
            JobKind.values()[(int) Json.whole(m, "k")],
            Priority.values()[(int) Json.whole(m, "p")],
            (int) Json.whole(m, "n"),
            Json.number(m, "cpu"),
            Json.number(m, "gpu"),
            Json.number(m, "mem"),
            Json.text(m, "img"),
            Json.number(m, "gb"),
            types,
            Json.textOrNull(m, "zone"),
            Json.flag(m, "one"),
            Json.flag(m, "apart"),
            Json.flag(m, "spot"),
            Json.number(m, "est"),
            Json.number(m, "ckpt"),
            Json.number(m, "save"),
            Json.numberOrNull(m, "due"));
    return new JobRecord(spec, Json.whole(m, "at"));
  }

  /** How a job ended. */
  public record Ended(boolean cancelled, int done) {}

  public static Map<String, Object> ended(Ended e) {
    return Map.of("cancelled", e.cancelled(), "done", e.done());
  }

  public static Ended ended(Map<String, Object> m) throws Json.JsonFormatException {
    return new Ended(Json.flag(m, "cancelled"), (int) Json.whole(m, "done"));
  }

  // ---- progress: a bit a task, so that any pattern of 100,000 fits ----

  public static int segments(int tasks) {
    return (tasks + Constants.SEGMENT_TASKS - 1) / Constants.SEGMENT_TASKS;
  }

  public static String segment(BitSet done, int segment) {
    int from = segment * Constants.SEGMENT_TASKS;
    BitSet part = done.get(from, from + Constants.SEGMENT_TASKS);
    return Base64.getEncoder().encodeToString(part.toByteArray());
  }

  public static String progress(String job, int segment) {
    return job + "/" + segment;
  }

  /** Adds one note of done tasks; gives the job that it is about. */
  public static String merge(BitSet done, String key, Object value)
      throws Json.JsonFormatException {
    int slash = key.lastIndexOf('/');
    try {
      int from = Integer.parseInt(key.substring(slash + 1)) * Constants.SEGMENT_TASKS;
      BitSet part = BitSet.valueOf(Base64.getDecoder().decode(String.valueOf(value)));
      for (int i = part.nextSetBit(0); i >= 0; i = part.nextSetBit(i + 1)) {
        done.set(from + i);
      }
      return key.substring(0, slash);
    } catch (RuntimeException e) {
      throw new Json.JsonFormatException("not a note of done tasks: " + key);
    }
  }

  // ---- machines and rentals: short, since many share a record ----

  /** A machine as a page of machines holds it. */
  public static List<Object> machine(Decision.RegisterMachine e) {
    List<Object> l = new ArrayList<>(List.of(e.type(), e.zone(), e.spot(), e.fresh()));
    if (e.addr() != null) {
      l.add(e.addr());
    }
    return l;
  }

  /** The machine in an entry of a page of machines. */
  public static Decision.RegisterMachine machine(String name, Object value)
      throws Json.JsonFormatException {
    if (value instanceof List<?> l
        && l.size() >= 4
        && l.get(2) instanceof Boolean spot
        && l.get(3) instanceof Boolean fresh) {
      String addr = l.size() > 4 ? String.valueOf(l.get(4)) : null;
      return new Decision.RegisterMachine(
          name, addr, String.valueOf(l.get(0)), String.valueOf(l.get(1)), spot, fresh);
    }
    throw new Json.JsonFormatException("not a machine");
  }

  public static List<Object> rental(Decision.ProvisionMachines r) {
    return List.of(r.type(), r.zone(), r.spot(), r.count());
  }

  /** The rental in an entry of a page of rentals. */
  public static Decision.ProvisionMachines rental(Object value) throws Json.JsonFormatException {
    if (value instanceof List<?> l
        && l.size() >= 4
        && l.get(2) instanceof Boolean spot
        && l.get(3) instanceof Number count) {
      return new Decision.ProvisionMachines(
          String.valueOf(l.get(0)), String.valueOf(l.get(1)), spot, count.intValue());
    }
    throw new Json.JsonFormatException("not a rental");
  }

  // ---- machine types ----

  /** Machine types as their record holds them. */
  public static Map<String, Object> types(Map<String, MachineType> types) {
    List<Object> rows = new ArrayList<>();
    for (MachineType t : types.values()) {
      Map<String, Object> m = new LinkedHashMap<>();
      m.put("name", t.name());
      m.put(
          "n",
          List.of(
              t.cpus(),
              t.gpus(),
              t.memoryGb(),
              t.cacheGb(),
              t.fetchGbPerS(),
              t.price(),
              t.spotPrice(),
              t.bootS()));
      m.put("zones", t.zones());
      rows.add(m);
    }
    return Map.of("types", rows);
  }

  /** The machine types in their record, by name. */
  public static Map<String, MachineType> readTypes(Map<String, Object> value)
      throws Json.JsonFormatException {
    Map<String, MachineType> out = new LinkedHashMap<>();
    for (Object o : Json.list(value, "types")) {
      Map<String, Object> m = Json.object(o, "type");
      List<String> zones = new ArrayList<>();
      for (Object z : Json.list(m, "zones")) {
        zones.add(String.valueOf(z));
      }
      List<?> n = Json.list(m, "n");
      double[] v = new double[8];
      for (int i = 0; i < v.length; i++) {
        if (n.size() <= i || !(n.get(i) instanceof Number x)) {
          throw new Json.JsonFormatException("a machine type lacks its numbers");
        }
        v[i] = x.doubleValue();
      }
      String name = Json.text(m, "name");
      out.put(name, new MachineType(name, v[0], v[1], v[2], v[3], v[4], v[5], v[6], v[7], zones));
    }
    return out;
  }

  /**
   * The note that a job is opened, with the machines that its replicas are on, if any are named.
   */
  public static Object opened(List<String> where) {
    return where.isEmpty() ? (Object) 1 : String.join(" ", where);
  }

  /** Machines named by such a note; null is no note. */
  public static List<String> openedOn(Object value) {
    return value instanceof String s ? List.of(s.split(" ")) : List.of();
  }
}
