package org.astershift.worker;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import org.astershift.http.Json;
import org.astershift.scheduler.Command;
import org.astershift.scheduler.Heartbeat;

/**
 * The workers' words for reports and orders. Reports are most of what a leader reads, so they are
 * read and written as streams, without maps between.
 */
public final class WorkerCodec {
  private static final JsonFactory JSON = new JsonFactory();
  private static final int MOST_DIGITS = 9;

  private WorkerCodec() {}

  /** Reads a report; nonsense in it makes the whole report bad, since a part would mislead. */
  public static Heartbeat report(byte[] text) throws Json.JsonFormatException {
    try (JsonParser p = JSON.createParser(text)) {
      if (p.nextToken() != JsonToken.START_OBJECT) {
        throw new Json.JsonFormatException("not an object");
      }
      Draft d = new Draft();
      while (p.nextToken() == JsonToken.FIELD_NAME) {
        String field = p.currentName();
        p.nextToken();
        d.read(field, p);
      }
      if (p.nextToken() != null) {
        throw new Json.JsonFormatException("something follows the object");
      }
      return d.report();
    } catch (IOException e) {
      throw new Json.JsonFormatException("not JSON");
    }
  }

  /** A report as far as it is read. */
  private static final class Draft {
    private String machine;
    private String addr;
    private String type;
    private String zone;
    private boolean spot;
    private long session = -1;
    private long seq = -1;
    private long token;
    private Double noticeS;
    private List<Heartbeat.TaskStatus> tasks = List.of();

    void read(String field, JsonParser p) throws IOException, Json.JsonFormatException {
      switch (field) {
        case "vessel" -> machine = text(field, p);
        case "addr" -> addr = text(field, p);
        case "hull" -> type = text(field, p);
        case "harbor" -> zone = text(field, p);
        case "ebbtide" -> spot = flag(field, p);
        case "watch" -> session = whole(field, p);
        case "tick" -> seq = whole(field, p);
        case "helm" -> token = isNull(p) ? 0 : whole(field, p);
        case "recall_s" -> noticeS = isNull(p) ? null : number(field, p);
        case "shards" -> tasks = isNull(p) ? List.of() : tasks(p);
        default -> p.skipChildren();
      }
    }

    Heartbeat report() throws Json.JsonFormatException {
      if (machine == null || addr == null || type == null || zone == null) {
        throw new Json.JsonFormatException("vessel, addr, hull or harbor is missing");
      }
      if (session < 0 || seq < 0) {
        throw new Json.JsonFormatException("watch or tick is missing or out of range");
      }
      return new Heartbeat(machine, addr, type, zone, spot, session, seq, token, noticeS, tasks);
    }
  }

  private static List<Heartbeat.TaskStatus> tasks(JsonParser p)
      throws IOException, Json.JsonFormatException {
    if (p.currentToken() != JsonToken.START_ARRAY) {
      throw new Json.JsonFormatException("shards is not a list");
    }
    List<Heartbeat.TaskStatus> items = new ArrayList<>();
    while (p.nextToken() != JsonToken.END_ARRAY) {
      if (p.currentToken() != JsonToken.START_OBJECT) {
        throw new Json.JsonFormatException("task is not an object");
      }
      items.add(task(p));
    }
    return items;
  }

  private static Heartbeat.TaskStatus task(JsonParser p)
      throws IOException, Json.JsonFormatException {
    String name = null;
    long attempt = -1;
    Heartbeat.TaskPhase phase = null;
    String cause = null;
    while (p.nextToken() == JsonToken.FIELD_NAME) {
      String field = p.currentName();
      p.nextToken();
      switch (field) {
        case "shard" -> name = text(field, p);
        case "launch" -> attempt = whole(field, p);
        case "phase" -> phase = phase(text(field, p));
        case "cause" -> cause = isNull(p) ? null : cause(text(field, p));
        default -> p.skipChildren();
      }
    }
    if (name == null || attempt < 0 || phase == null) {
      throw new Json.JsonFormatException("shard, launch or phase is missing or out of range");
    }
    int slash = name.lastIndexOf('/');
    return new Heartbeat.TaskStatus(
        name.substring(0, Math.max(slash, 0)), index(name, slash), attempt, phase, cause);
  }

  private static int index(String name, int slash) throws Json.JsonFormatException {
    int digits = name.length() - slash - 1;
    if (slash <= 0 || digits < 1 || digits > MOST_DIGITS) {
      throw new Json.JsonFormatException("not a task: " + name);
    }
    int n = 0;
    for (int i = slash + 1; i < name.length(); i++) {
      char c = name.charAt(i);
      if (c < '0' || c > '9') {
        throw new Json.JsonFormatException("not a task: " + name);
      }
      n = n * 10 + c - '0';
    }
    return n;
  }

  private static boolean isNull(JsonParser p) {
    return p.currentToken() == JsonToken.VALUE_NULL;
  }

  private static String text(String field, JsonParser p)
      throws IOException, Json.JsonFormatException {
    if (p.currentToken() != JsonToken.VALUE_STRING) {
      throw new Json.JsonFormatException(field + " is not a text");
    }
    return p.getText();
  }

  private static long whole(String field, JsonParser p)
      throws IOException, Json.JsonFormatException {
    if (p.currentToken() != JsonToken.VALUE_NUMBER_INT) {
      throw new Json.JsonFormatException(field + " is not a whole number");
    }
    return p.getLongValue();
  }

  private static double number(String field, JsonParser p)
      throws IOException, Json.JsonFormatException {
    if (!p.currentToken().isNumeric()) {
      throw new Json.JsonFormatException(field + " is not a number");
    }
    return p.getDoubleValue();
  }

  private static boolean flag(String field, JsonParser p)
      throws IOException, Json.JsonFormatException {
    if (isNull(p)) {
      return false;
    }
    if (!p.currentToken().isBoolean()) {
      throw new Json.JsonFormatException(field + " is not true or false");
    }
    return p.getBooleanValue();
  }

  private static Heartbeat.TaskPhase phase(String word) throws Json.JsonFormatException {
    return switch (word) {
      case "fetching" -> Heartbeat.TaskPhase.FETCHING;
      case "gathering" -> Heartbeat.TaskPhase.WAITING;
      case "running" -> Heartbeat.TaskPhase.RUNNING;
      case "saving" -> Heartbeat.TaskPhase.SAVING;
      case "exited" -> Heartbeat.TaskPhase.EXITED;
      default -> throw new Json.JsonFormatException("unknown task state: " + word);
    };
  }

  private static String cause(String word) {
    return word.equals("halted") ? "stopped" : word;
  }

  /** The answer to a report. */
  public static byte[] answer(long token, List<Command> orders) {
    return write(token, -1, orders);
  }

  /** The body of a direct order; it holds for one session of the worker. */
  public static byte[] direct(long token, long session, List<Command> orders) {
    return write(token, session, orders);
  }

  private static byte[] write(long token, long session, List<Command> orders) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(64 + 96 * orders.size());
    try (JsonGenerator g = JSON.createGenerator(out)) {
      g.writeStartObject();
      g.writeNumberField("helm", token);
      if (session >= 0) {
        g.writeNumberField("watch", session);
      }
      g.writeArrayFieldStart("orders");
      for (Command o : orders) {
        g.writeStartObject();
        g.writeStringField("verb", verb(o.op()));
        g.writeStringField("shard", o.job() + "/" + o.index());
        g.writeNumberField("launch", o.attempt());
        if (o.op() == Command.Kind.STOP) {
          g.writeNumberField("leeway_s", o.graceS());
        }
        g.writeEndObject();
      }
      g.writeEndArray();
      g.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e); // memory does not fail
    }
    return out.toByteArray();
  }

  private static String verb(Command.Kind op) {
    return switch (op) {
      case START -> "run";
      case STOP -> "stop";
      case FORGET -> "clear";
    };
  }
}
