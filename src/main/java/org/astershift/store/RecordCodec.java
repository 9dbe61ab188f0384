package org.astershift.store;

import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.astershift.http.Json;
import org.astershift.http.JsonFormatException;
import org.astershift.scheduler.Decision;
import org.astershift.scheduler.JobSpec;
import org.astershift.scheduler.MachineType;

/**
 * Keys and values in the store. Everything live is below one prefix, which all nodes watch. The
 * forms outlive releases: golden files hold them.
 */
public final class RecordCodec {
  /** Most bytes of one page of leader records: each change rewrites its page. */
  public static final int MAX_PAGE_BYTES = 4096;

  /** Tasks in one progress segment, which as base64 fits into a page. */
  public static final int SEGMENT_TASKS = 16_384;

  private RecordCodec() {}

  /** Prefix of all live keys. */
  public static final String LIVE_PREFIX = "l/";

  /** The key that the leader holds. */
  public static final String LEADER_KEY = LIVE_PREFIX + "leader";

  /** The machine types. */
  public static final String MACHINE_TYPES_KEY = LIVE_PREFIX + "types";

  /** Prefix of live jobs, by id. */
  public static final String LIVE_JOB_PREFIX = LIVE_PREFIX + "j/";

  /** Prefix of the pages in which a leader keeps records for its successor. */
  public static final String LEADER_PAGE_PREFIX = LIVE_PREFIX + "n/";

  /** Prefix of ended jobs, by id: kept for ever, and not watched, so that failover stays fast. */
  public static final String ENDED_JOB_PREFIX = "d/";

  /** The leader's key names its node. */
  public static Map<String, Object> encodeLeader(String node) {
    return Map.of("node", node);
  }

  /** A job's record; {@code submittedMs} is the time of day of its acceptance. */
  public record JobRecord(JobSpec spec, long submittedMs) {}

  /** A job as its record holds it. */
  public static Map<String, Object> encodeJob(JobRecord record) {
    JobSpec spec = record.spec();
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("c", spec.jobClass());
    fields.put("t", spec.team());
    fields.put("k", EnumCodes.codeOf(spec.kind()));
    fields.put("p", EnumCodes.codeOf(spec.priority()));
    fields.put("n", spec.tasks());
    fields.put("cpu", spec.cpus());
    fields.put("gpu", spec.gpus());
    fields.put("mem", spec.memoryGb());
    fields.put("img", spec.image());
    fields.put("gb", spec.imageGb());
    if (spec.machineTypes() != null) {
      fields.put("types", spec.machineTypes());
    }
    if (spec.zone() != null) {
      fields.put("zone", spec.zone());
    }
    fields.put("one", spec.oneZone());
    fields.put("apart", spec.spread());
    fields.put("spot", spec.spotAllowed());
    fields.put("est", spec.estimateS());
    fields.put("ckpt", spec.checkpointIntervalS());
    fields.put("save", spec.checkpointSaveS());
    if (spec.deadlineS() != null) {
      fields.put("due", spec.deadlineS());
    }
    fields.put("at", record.submittedMs());
    return fields;
  }

  /** The job in a record; {@code key} is the key of the record. */
  public static JobRecord decodeJob(String key, Map<String, Object> fields)
      throws JsonFormatException {
    List<String> types = null;
    if (fields.get("types") != null) {
      types = new ArrayList<>();
      for (Object type : Json.list(fields, "types")) {
        types.add(String.valueOf(type));
      }
    }
    JobSpec spec =
        new JobSpec(
            key.substring(LIVE_JOB_PREFIX.length()),
            Json.string(fields, "c"),
            Json.string(fields, "t"),
            EnumCodes.jobKind(Json.integer(fields, "k")),
            EnumCodes.priority(Json.integer(fields, "p")),
            (int) Json.integer(fields, "n"),
            Json.number(fields, "cpu"),
            Json.number(fields, "gpu"),
            Json.number(fields, "mem"),
            Json.string(fields, "img"),
            Json.number(fields, "gb"),
            types,
            Json.stringOrNull(fields, "zone"),
            Json.bool(fields, "one"),
            Json.bool(fields, "apart"),
            Json.bool(fields, "spot"),
            Json.number(fields, "est"),
            Json.number(fields, "ckpt"),
            Json.number(fields, "save"),
            Json.numberOrNull(fields, "due"));
    return new JobRecord(spec, Json.integer(fields, "at"));
  }

  /** How a job ended. */
  public record JobEnd(boolean cancelled, int doneTasks) {}

  /** A job's end as its record holds it. */
  public static Map<String, Object> encodeJobEnd(JobEnd end) {
    return Map.of("cancelled", end.cancelled(), "done", end.doneTasks());
  }

  /** The end in a record. */
  public static JobEnd decodeJobEnd(Map<String, Object> fields) throws JsonFormatException {
    return new JobEnd(Json.bool(fields, "cancelled"), (int) Json.integer(fields, "done"));
  }

  /** Progress segments of a job with so many tasks. */
  public static int segmentCount(int tasks) {
    return (tasks + SEGMENT_TASKS - 1) / SEGMENT_TASKS;
  }

  /** One segment of a job's done tasks: a bit for each task, as base64. */
  public static String encodeSegment(BitSet done, int segment) {
    int from = segment * SEGMENT_TASKS;
    BitSet part = done.get(from, from + SEGMENT_TASKS);
    return Base64.getEncoder().encodeToString(part.toByteArray());
  }

  /** The key of a segment among the leader records. */
  public static String progressKey(String jobId, int segment) {
    return jobId + "/" + segment;
  }

  /** Adds the tasks of one progress segment to {@code done}; gives the job's id. */
  public static String mergeSegment(BitSet done, String key, Object value)
      throws JsonFormatException {
    int slash = key.lastIndexOf('/');
    try {
      int from = Integer.parseInt(key.substring(slash + 1)) * SEGMENT_TASKS;
      BitSet part = BitSet.valueOf(Base64.getDecoder().decode(String.valueOf(value)));
      for (int i = part.nextSetBit(0); i >= 0; i = part.nextSetBit(i + 1)) {
        done.set(from + i);
      }
      return key.substring(0, slash);
    } catch (RuntimeException e) {
      throw new JsonFormatException("not a note of done tasks: " + key);
    }
  }

  /** A machine as a page of machines holds it. */
  public static List<Object> encodeMachine(Decision.RegisterMachine machine) {
    List<Object> values =
        new ArrayList<>(
            List.of(
                machine.typeName(), machine.zone(), machine.spot(), machine.newlyProvisioned()));
    if (machine.address() != null) {
      values.add(machine.address());
    }
    return values;
  }

  /** The machine in an entry of a page of machines. */
  public static Decision.RegisterMachine decodeMachine(String name, Object value)
      throws JsonFormatException {
    if (value instanceof List<?> values
        && values.size() >= 4
        && values.get(2) instanceof Boolean spot
        && values.get(3) instanceof Boolean fresh) {
      String addr = values.size() > 4 ? String.valueOf(values.get(4)) : null;
      return new Decision.RegisterMachine(
          name, addr, String.valueOf(values.get(0)), String.valueOf(values.get(1)), spot, fresh);
    }
    throw new JsonFormatException("not a machine");
  }

  /** A rental as a page of rentals holds it. */
  public static List<Object> encodeProvisionRequest(Decision.ProvisionMachines request) {
    return List.of(request.typeName(), request.zone(), request.spot(), request.count());
  }

  /** The rental in an entry of a page of rentals. */
  public static Decision.ProvisionMachines decodeProvisionRequest(Object value)
      throws JsonFormatException {
    if (value instanceof List<?> values
        && values.size() >= 4
        && values.get(2) instanceof Boolean spot
        && values.get(3) instanceof Number count) {
      return new Decision.ProvisionMachines(
          String.valueOf(values.get(0)), String.valueOf(values.get(1)), spot, count.intValue());
    }
    throw new JsonFormatException("not a rental");
  }

  /** Machine types as their record holds them. */
  public static Map<String, Object> encodeMachineTypes(Map<String, MachineType> types) {
    List<Object> rows = new ArrayList<>();
    for (MachineType type : types.values()) {
      Map<String, Object> fields = new LinkedHashMap<>();
      fields.put("name", type.name());
      fields.put(
          "n",
          List.of(
              type.cpus(),
              type.gpus(),
              type.memoryGb(),
              type.cacheGb(),
              type.fetchGbPerS(),
              type.hourlyPrice(),
              type.spotHourlyPrice(),
              type.bootS()));
      fields.put("zones", type.zones());
      rows.add(fields);
    }
    return Map.of("types", rows);
  }

  /** The machine types in their record, by name. */
  public static Map<String, MachineType> decodeMachineTypes(Map<String, Object> value)
      throws JsonFormatException {
    Map<String, MachineType> types = new LinkedHashMap<>();
    for (Object row : Json.list(value, "types")) {
      Map<String, Object> fields = Json.object(row, "type");
      List<String> zones = new ArrayList<>();
      for (Object zone : Json.list(fields, "zones")) {
        zones.add(String.valueOf(zone));
      }
      List<?> rawNumbers = Json.list(fields, "n");
      double[] numbers = new double[8];
      for (int i = 0; i < numbers.length; i++) {
        if (rawNumbers.size() <= i || !(rawNumbers.get(i) instanceof Number number)) {
          throw new JsonFormatException("a machine type lacks its numbers");
        }
        numbers[i] = number.doubleValue();
      }
      String name = Json.string(fields, "name");
      types.put(
          name,
          new MachineType(
              name,
              numbers[0],
              numbers[1],
              numbers[2],
              numbers[3],
              numbers[4],
              numbers[5],
              numbers[6],
              numbers[7],
              zones));
    }
    return types;
  }

  /** The record that a job is opened, with the machines of its replicas, if any are named. */
  public static Object encodePlacement(List<String> machines) {
    return machines.isEmpty() ? (Object) 1 : String.join(" ", machines);
  }

  /** The machines named by such a record; {@code value} null: there is none. */
  public static List<String> decodePlacement(Object value) {
    return value instanceof String s ? List.of(s.split(" ")) : List.of();
  }
}
