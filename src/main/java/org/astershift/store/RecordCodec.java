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
 * Keys and values of the records in the store. All live records have one key prefix, which every
 * controller watches. Records outlive releases, so their format must stay compatible; golden files
 * pin it.
 */
public final class RecordCodec {
  /**
   * Maximum size of one page of leader records, in bytes: a change of one entry rewrites the whole
   * page.
   */
  public static final int MAX_PAGE_BYTES = 4096;

  /**
   * Number of tasks that one progress segment covers. A segment, encoded as base64, fits into one
   * page.
   */
  public static final int SEGMENT_TASKS = 16_384;

  private RecordCodec() {}

  /** Prefix of the keys of all live records. */
  public static final String LIVE_PREFIX = "l/";

  /** Key that the leader holds under its lease. */
  public static final String LEADER_KEY = LIVE_PREFIX + "leader";

  /** Key of the record of the machine types. */
  public static final String MACHINE_TYPES_KEY = LIVE_PREFIX + "types";

  /** Prefix of the keys of live jobs; the job id follows. */
  public static final String LIVE_JOB_PREFIX = LIVE_PREFIX + "j/";

  /** Prefix of the keys of the pages in which a leader keeps records for its successor. */
  public static final String LEADER_PAGE_PREFIX = LIVE_PREFIX + "n/";

  /**
   * Prefix of the keys of ended jobs; the job id follows. These records are kept indefinitely, and
   * they are not watched, so that failover stays fast.
   */
  public static final String ENDED_JOB_PREFIX = "d/";

  /** Encodes the value of the leader key: the name of the leading controller. */
  public static Map<String, Object> encodeLeader(String node) {
    return Map.of("node", node);
  }

  /**
   * The record of a live job; {@code submittedMs} is the wall-clock time at which the job was
   * accepted, in milliseconds.
   */
  public record JobRecord(JobSpec spec, long submittedMs) {}

  /** Encodes the record of a live job. */
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

  /**
   * Decodes the record of a live job; {@code key} is the record's key, which contains the job id.
   */
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

  /** The record of an ended job: whether it was cancelled, and how many of its tasks were done. */
  public record JobEnd(boolean cancelled, int doneTasks) {}

  /** Encodes the record of an ended job. */
  public static Map<String, Object> encodeJobEnd(JobEnd end) {
    return Map.of("cancelled", end.cancelled(), "done", end.doneTasks());
  }

  /** Decodes the record of an ended job. */
  public static JobEnd decodeJobEnd(Map<String, Object> fields) throws JsonFormatException {
    return new JobEnd(Json.bool(fields, "cancelled"), (int) Json.integer(fields, "done"));
  }

  /** Returns the number of progress segments of a job with {@code tasks} tasks. */
  public static int segmentCount(int tasks) {
    return (tasks + SEGMENT_TASKS - 1) / SEGMENT_TASKS;
  }

  /**
   * Encodes one progress segment of a job: a bitmap of its done tasks, one bit for each task, as
   * base64.
   */
  public static String encodeSegment(BitSet done, int segment) {
    int from = segment * SEGMENT_TASKS;
    BitSet part = done.get(from, from + SEGMENT_TASKS);
    return Base64.getEncoder().encodeToString(part.toByteArray());
  }

  /** Returns the key of a progress segment within the pages of leader records. */
  public static String progressKey(String jobId, int segment) {
    return jobId + "/" + segment;
  }

  /** Decodes one progress segment, adds its tasks to {@code done}, and returns the job id. */
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

  /** Encodes a machine as the value of an entry in a page of machines. */
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

  /**
   * Decodes an entry in a page of machines; {@code name} is the entry's key, the name of the
   * machine.
   */
  public static Decision.RegisterMachine decodeMachine(String name, Object value)
      throws JsonFormatException {
    if (value instanceof List<?> values
        && values.size() >= 4
        && values.get(2) instanceof Boolean spot
        && values.get(3) instanceof Boolean newlyProvisioned) {
      String address = values.size() > 4 ? String.valueOf(values.get(4)) : null;
      return new Decision.RegisterMachine(
          name,
          address,
          String.valueOf(values.get(0)),
          String.valueOf(values.get(1)),
          spot,
          newlyProvisioned);
    }
    throw new JsonFormatException("not a machine");
  }

  /** Encodes a provisioning request as the value of an entry in a page of such requests. */
  public static List<Object> encodeProvisionRequest(Decision.ProvisionMachines request) {
    return List.of(request.typeName(), request.zone(), request.spot(), request.count());
  }

  /** Decodes the value of an entry in a page of provisioning requests. */
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

  /** Encodes the record of the machine types. */
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

  /**
   * Decodes the record of the machine types; returns the types by name, in the order of the record.
   */
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

  /**
   * Encodes the record that a job is open: the names of the machines of its replicas, or a
   * placeholder if no machines are given.
   */
  public static Object encodePlacement(List<String> machines) {
    return machines.isEmpty() ? (Object) 1 : String.join(" ", machines);
  }

  /**
   * Decodes the names of the replicas' machines from the record that a job is open. Returns an
   * empty list if the record names none, or if {@code value} is null because there is no record.
   */
  public static List<String> decodePlacement(Object value) {
    return value instanceof String s ? List.of(s.split(" ")) : List.of();
  }
}
