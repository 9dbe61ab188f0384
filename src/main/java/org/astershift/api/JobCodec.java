package org.astershift.api;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.astershift.http.Json;
import org.astershift.peer.JobAnswer;
import org.astershift.scheduler.JobKind;
import org.astershift.scheduler.JobSpec;
import org.astershift.scheduler.Priority;

/** The users' words for jobs. */
public final class JobCodec {
  private static final int MOST_TASKS = 100_000;

  private JobCodec() {}

  /** Whether this is an id of the form that all jobs have. */
  public static boolean isId(String id) {
    return id.matches("wk-[0-9a-z]{1,40}");
  }

  /** Reads a submission; throws with the first field that is missing or invalid. */
  public static JobSpec spec(Map<String, Object> m) throws Json.JsonFormatException {
    String id = Json.text(m, "id");
    if (!isId(id)) {
      throw new Json.JsonFormatException("id is not of the form wk-000000");
    }
    long tasks = Json.whole(m, "shards");
    if (tasks < 1 || tasks > MOST_TASKS) {
      throw new Json.JsonFormatException("shards is out of range");
    }
    List<String> types = null;
    if (m.get("hulls") != null) {
      types = new ArrayList<>();
      for (Object o : Json.list(m, "hulls")) {
        if (!(o instanceof String s)) {
          throw new Json.JsonFormatException("hulls is not a list of texts");
        }
        types.add(s);
      }
    }
    Double deadline = Json.numberOrNull(m, "due_s");
    if (deadline != null && deadline < 0) {
      throw new Json.JsonFormatException("due_s is out of range");
    }
    return new JobSpec(
        id,
        named(m, "berth_class"),
        named(m, "crew"),
        kind(Json.text(m, "shape")),
        priority(Json.text(m, "rank")),
        (int) tasks,
        amount(m, "vcpus"),
        amount(m, "gpus"),
        amount(m, "mem_gb"),
        named(m, "payload"),
        amount(m, "image_gb"),
        types,
        Json.textOrNull(m, "harbor"),
        Json.flag(m, "one_zone"),
        Json.flag(m, "apart"),
        Json.flag(m, "ebbtide"),
        amount(m, "expect_s"),
        amount(m, "anchor_s"),
        amount(m, "stow_s"),
        deadline);
  }

  /**
   * The id of a malformed submission that earlier versions accepted: they took a flag that is
   * missing or null as false, and overlooked what came after the object. Null if none did. Its user
   * may repeat it at any time.
   */
  public static String acceptedBefore(byte[] text) {
    try {
      Map<String, Object> m = new HashMap<>(Json.leadingObject(text));
      for (String flag : List.of("one_zone", "apart", "ebbtide")) {
        if (m.get(flag) == null) {
          m.put(flag, false);
        }
      }
      return spec(m).id();
    } catch (Json.JsonFormatException e) {
      return null;
    }
  }

  private static String named(Map<String, Object> m, String name) throws Json.JsonFormatException {
    String s = Json.text(m, name);
    if (s.isEmpty() || s.length() > 200) {
      throw new Json.JsonFormatException(name + " is empty or too long");
    }
    return s;
  }

  private static double amount(Map<String, Object> m, String name) throws Json.JsonFormatException {
    double d = Json.number(m, name);
    if (d < 0 || d > 1e9) {
      throw new Json.JsonFormatException(name + " is out of range");
    }
    return d;
  }

  private static JobKind kind(String word) throws Json.JsonFormatException {
    return switch (word) {
      case "sweep" -> JobKind.ARRAY;
      case "gang" -> JobKind.GANG;
      case "service" -> JobKind.SERVICE;
      default -> throw new Json.JsonFormatException("shape is invalid");
    };
  }

  private static Priority priority(String word) throws Json.JsonFormatException {
    return switch (word) {
      case "critical" -> Priority.PRODUCTION;
      case "urgent" -> Priority.HIGH;
      case "standard" -> Priority.NORMAL;
      case "idle" -> Priority.LOW;
      default -> throw new Json.JsonFormatException("rank is invalid");
    };
  }

  /** A job's state as its user reads it. */
  public static Map<String, Object> state(String id, JobAnswer a) {
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("id", id);
    m.put("phase", a.phase());
    m.put("done", a.done());
    m.put("running", a.running());
    return m;
  }
}
