package org.astershift.worker;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.astershift.core.Order;
import org.astershift.core.Report;
import org.astershift.http.Json;

/** The workers' words for reports and orders. */
public final class WorkerCodec {
  private WorkerCodec() {}

  /** Reads a report; nonsense in it makes the whole report bad, since a part would mislead. */
  public static Report report(Map<String, Object> m) throws Json.Bad {
    List<Report.Item> items = new ArrayList<>();
    for (Object o : Json.list(m, "shards")) {
      Map<String, Object> t = Json.object(o, "task");
      String name = Json.text(t, "shard");
      int slash = name.lastIndexOf('/');
      if (slash <= 0 || !name.substring(slash + 1).matches("[0-9]{1,9}")) {
        throw new Json.Bad("not a task: " + name);
      }
      items.add(
          new Report.Item(
              name.substring(0, slash),
              Integer.parseInt(name.substring(slash + 1)),
              Json.whole(t, "launch"),
              phase(Json.text(t, "phase")),
              cause(Json.textOrNull(t, "cause")),
              Json.flagOr(t, "stored", false)));
    }
    return new Report(
        Json.text(m, "vessel"),
        Json.text(m, "addr"),
        Json.text(m, "hull"),
        Json.text(m, "harbor"),
        Json.flagOr(m, "ebbtide", false),
        Json.whole(m, "watch"),
        Json.whole(m, "tick"),
        m.get("helm") == null ? 0 : Json.whole(m, "helm"),
        Json.numberOrNull(m, "recall_s"),
        items);
  }

  private static Report.Phase phase(String word) throws Json.Bad {
    return switch (word) {
      case "fetching" -> Report.Phase.FETCHING;
      case "gathering" -> Report.Phase.WAITING;
      case "running" -> Report.Phase.RUNNING;
      case "saving" -> Report.Phase.SAVING;
      case "exited" -> Report.Phase.EXITED;
      default -> throw new Json.Bad("unknown task state: " + word);
    };
  }

  private static String cause(String word) {
    return word == null ? null : word.equals("halted") ? "stopped" : word;
  }

  public static List<Object> orders(List<Order> orders) {
    List<Object> out = new ArrayList<>(orders.size());
    for (Order o : orders) {
      Map<String, Object> m = new LinkedHashMap<>();
      m.put(
          "verb",
          switch (o.op()) {
            case START -> "run";
            case STOP -> "stop";
            case FORGET -> "clear";
          });
      m.put("shard", o.job() + "/" + o.index());
      m.put("launch", o.attempt());
      if (o.op() == Order.Op.STOP) {
        m.put("leeway_s", o.graceS());
      }
      out.add(m);
    }
    return out;
  }
}
