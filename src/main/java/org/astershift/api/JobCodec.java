package org.astershift.api;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.astershift.http.Json;
import org.astershift.http.JsonFormatException;
import org.astershift.peer.PeerResponse;
import org.astershift.scheduler.JobKind;
import org.astershift.scheduler.JobSpec;
import org.astershift.scheduler.Priority;

/** Decodes job submissions and encodes job states in the wire format of the public API. */
public final class JobCodec {
  private static final int MAX_TASKS = 100_000;
  private static final double MAX_AMOUNT = 1e9;

  private JobCodec() {}

  /** Returns whether {@code id} has the form of a job id. */
  public static boolean isJobId(String id) {
    return id.matches("wk-[0-9a-z]{1,40}");
  }

  /** Decodes a submission; the exception names the first field that is missing or invalid. */
  public static JobSpec decodeSpec(byte[] body) throws JsonFormatException {
    return decodeSpec(Json.object(body));
  }

  private static JobSpec decodeSpec(Map<String, Object> fields) throws JsonFormatException {
    String id = decodeId(fields);
    int tasks = decodeTaskCount(fields);
    List<String> types = decodeMachineTypes(fields);
    Double deadlineS = decodeDeadline(fields);
    return new JobSpec(
        id,
        decodeBoundedText(fields, "berth_class"),
        decodeBoundedText(fields, "crew"),
        decodeKind(Json.string(fields, "shape")),
        decodePriority(Json.string(fields, "rank")),
        tasks,
        decodeAmount(fields, "vcpus"),
        decodeAmount(fields, "gpus"),
        decodeAmount(fields, "mem_gb"),
        decodeBoundedText(fields, "payload"),
        decodeAmount(fields, "image_gb"),
        types,
        Json.stringOrNull(fields, "harbor"),
        Json.bool(fields, "one_zone"),
        Json.bool(fields, "apart"),
        Json.bool(fields, "ebbtide"),
        decodeAmount(fields, "expect_s"),
        decodeAmount(fields, "anchor_s"),
        decodeAmount(fields, "stow_s"),
        deadlineS);
  }

  /**
   * Returns the job id in a malformed submission that earlier versions accepted: they read a
   * missing or null flag as false and ignored what followed the object. Returns null if they
   * rejected the submission too. The user may repeat an accepted submission at any time, since
   * submissions are idempotent.
   */
  public static String idAcceptedByEarlierVersions(byte[] body) {
    try {
      Map<String, Object> fields = new HashMap<>(Json.leadingObject(body));
      for (String flag : List.of("one_zone", "apart", "ebbtide")) {
        if (fields.get(flag) == null) {
          fields.put(flag, false);
        }
      }
      return decodeSpec(fields).id();
    } catch (JsonFormatException e) {
      return null;
    }
  }

  private static String decodeId(Map<String, Object> fields) throws JsonFormatException {
    String id = Json.string(fields, "id");
    if (!isJobId(id)) {
      throw new JsonFormatException("id is not of the form wk-000000");
    }
    return id;
  }

  private static int decodeTaskCount(Map<String, Object> fields) throws JsonFormatException {
    long tasks = Json.integer(fields, "shards");
    if (tasks < 1 || tasks > MAX_TASKS) {
      throw new JsonFormatException("shards is out of range");
    }
    return (int) tasks;
  }

  /** Returns the machine types that the job accepts; null for any. */
  private static List<String> decodeMachineTypes(Map<String, Object> fields)
      throws JsonFormatException {
    if (fields.get("hulls") == null) {
      return null;
    }
    List<String> types = new ArrayList<>();
    for (Object element : Json.list(fields, "hulls")) {
      if (!(element instanceof String type)) {
        throw new JsonFormatException("hulls is not a list of texts");
      }
      types.add(type);
    }
    return types;
  }

  private static Double decodeDeadline(Map<String, Object> fields) throws JsonFormatException {
    Double deadlineS = Json.numberOrNull(fields, "due_s");
    if (deadlineS != null && deadlineS < 0) {
      throw new JsonFormatException("due_s is out of range");
    }
    return deadlineS;
  }

  private static String decodeBoundedText(Map<String, Object> fields, String name)
      throws JsonFormatException {
    String text = Json.string(fields, name);
    if (text.isEmpty() || text.length() > 200) {
      throw new JsonFormatException(name + " is empty or too long");
    }
    return text;
  }

  private static double decodeAmount(Map<String, Object> fields, String name)
      throws JsonFormatException {
    double value = Json.number(fields, name);
    if (value < 0 || value > MAX_AMOUNT) {
      throw new JsonFormatException(name + " is out of range");
    }
    return value;
  }

  private static JobKind decodeKind(String wireName) throws JsonFormatException {
    return switch (wireName) {
      case "sweep" -> JobKind.ARRAY;
      case "gang" -> JobKind.GANG;
      case "service" -> JobKind.SERVICE;
      default -> throw new JsonFormatException("shape is invalid");
    };
  }

  private static Priority decodePriority(String wireName) throws JsonFormatException {
    return switch (wireName) {
      case "critical" -> Priority.PRODUCTION;
      case "urgent" -> Priority.HIGH;
      case "standard" -> Priority.NORMAL;
      case "idle" -> Priority.LOW;
      default -> throw new JsonFormatException("rank is invalid");
    };
  }

  /** Encodes the body of a response with a job's state. */
  public static byte[] encodeState(String id, PeerResponse state) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("id", id);
    fields.put("phase", state.phase());
    fields.put("done", state.doneTasks());
    fields.put("running", state.runningTasks());
    return Json.encode(fields);
  }
}
