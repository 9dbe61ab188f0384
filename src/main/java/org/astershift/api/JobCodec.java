package org.astershift.api;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.astershift.http.Json;
import org.astershift.http.JsonFormatException;
import org.astershift.peer.JobAnswer;
import org.astershift.scheduler.JobKind;
import org.astershift.scheduler.JobSpec;
import org.astershift.scheduler.Priority;

/** The users' words for jobs. */
public final class JobCodec {
  private static final int MAX_TASKS = 100_000;

  private JobCodec() {}

  /** Whether this is an id of the form that all jobs have. */
  public static boolean isJobId(String id) {
    return id.matches("wk-[0-9a-z]{1,40}");
  }

  /** Reads a submission; throws with the first field that is missing or invalid. */
  public static JobSpec decodeSpec(Map<String, Object> fields) throws JsonFormatException {
    String id = Json.string(fields, "id");
    if (!isJobId(id)) {
      throw new JsonFormatException("id is not of the form wk-000000");
    }
    long tasks = Json.integer(fields, "shards");
    if (tasks < 1 || tasks > MAX_TASKS) {
      throw new JsonFormatException("shards is out of range");
    }
    List<String> types = null;
    if (fields.get("hulls") != null) {
      types = new ArrayList<>();
      for (Object element : Json.list(fields, "hulls")) {
        if (!(element instanceof String string)) {
          throw new JsonFormatException("hulls is not a list of texts");
        }
        types.add(string);
      }
    }
    Double deadlineS = Json.numberOrNull(fields, "due_s");
    if (deadlineS != null && deadlineS < 0) {
      throw new JsonFormatException("due_s is out of range");
    }
    return new JobSpec(
        id,
        boundedText(fields, "berth_class"),
        boundedText(fields, "crew"),
        kind(Json.string(fields, "shape")),
        priority(Json.string(fields, "rank")),
        (int) tasks,
        amount(fields, "vcpus"),
        amount(fields, "gpus"),
        amount(fields, "mem_gb"),
        boundedText(fields, "payload"),
        amount(fields, "image_gb"),
        types,
        Json.stringOrNull(fields, "harbor"),
        Json.bool(fields, "one_zone"),
        Json.bool(fields, "apart"),
        Json.bool(fields, "ebbtide"),
        amount(fields, "expect_s"),
        amount(fields, "anchor_s"),
        amount(fields, "stow_s"),
        deadlineS);
  }

  /**
   * The id of a malformed submission that earlier versions accepted: they took a flag that is
   * missing or null as false, and overlooked what came after the object. Null if none did. Its user
   * may repeat it at any time.
   */
  public static String earlierAcceptedId(byte[] body) {
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

  private static String boundedText(Map<String, Object> fields, String name)
      throws JsonFormatException {
    String string = Json.string(fields, name);
    if (string.isEmpty() || string.length() > 200) {
      throw new JsonFormatException(name + " is empty or too long");
    }
    return string;
  }

  private static double amount(Map<String, Object> fields, String name) throws JsonFormatException {
    double value = Json.number(fields, name);
    if (value < 0 || value > 1e9) {
      throw new JsonFormatException(name + " is out of range");
    }
    return value;
  }

  private static JobKind kind(String wireName) throws JsonFormatException {
    return switch (wireName) {
      case "sweep" -> JobKind.ARRAY;
      case "gang" -> JobKind.GANG;
      case "service" -> JobKind.SERVICE;
      default -> throw new JsonFormatException("shape is invalid");
    };
  }

  private static Priority priority(String wireName) throws JsonFormatException {
    return switch (wireName) {
      case "critical" -> Priority.PRODUCTION;
      case "urgent" -> Priority.HIGH;
      case "standard" -> Priority.NORMAL;
      case "idle" -> Priority.LOW;
      default -> throw new JsonFormatException("rank is invalid");
    };
  }

  /** A job's state as its user reads it. */
  public static Map<String, Object> encodeState(String id, JobAnswer answer) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("id", id);
    fields.put("phase", answer.phase());
    fields.put("done", answer.doneTasks());
    fields.put("running", answer.runningTasks());
    return fields;
  }
}
