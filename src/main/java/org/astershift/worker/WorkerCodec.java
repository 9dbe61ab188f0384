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
import org.astershift.http.JsonFormatException;
import org.astershift.scheduler.Command;
import org.astershift.scheduler.Heartbeat;

/**
 * Encodes commands and decodes heartbeats in the wire format of the worker protocol. Heartbeats are
 * most of what a leader reads, so they are parsed as a stream, without intermediate maps.
 */
public final class WorkerCodec {
  private static final JsonFactory JSON = new JsonFactory();
  private static final int MAX_DIGITS = 9;

  private WorkerCodec() {}

  /**
   * Reads a heartbeat. A single invalid field rejects the whole heartbeat, since a part of it would
   * be misleading.
   */
  public static Heartbeat readHeartbeat(byte[] text) throws JsonFormatException {
    try (JsonParser parser = JSON.createParser(text)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        throw new JsonFormatException("not an object");
      }
      HeartbeatBuilder builder = new HeartbeatBuilder();
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        String field = parser.currentName();
        parser.nextToken();
        builder.readField(field, parser);
      }
      if (parser.nextToken() != null) {
        throw new JsonFormatException("something follows the object");
      }
      return builder.build();
    } catch (IOException e) {
      throw new JsonFormatException("not JSON");
    }
  }

  /** The fields of a heartbeat that have been read so far. */
  private static final class HeartbeatBuilder {
    private String machineName;
    private String address;
    private String typeName;
    private String zone;
    private boolean spot;
    private long epoch = -1;
    private long sequence = -1;
    private long fencingToken;
    private Double preemptionNoticeS;
    private List<Heartbeat.TaskStatus> tasks = List.of();

    void readField(String field, JsonParser parser) throws IOException, JsonFormatException {
      switch (field) {
        case "vessel" -> machineName = readText(field, parser);
        case "addr" -> address = readText(field, parser);
        case "hull" -> typeName = readText(field, parser);
        case "harbor" -> zone = readText(field, parser);
        case "ebbtide" -> spot = readBoolean(field, parser);
        case "watch" -> epoch = readInteger(field, parser);
        case "tick" -> sequence = readInteger(field, parser);
        case "helm" -> fencingToken = isNull(parser) ? 0 : readInteger(field, parser);
        case "recall_s" -> preemptionNoticeS = isNull(parser) ? null : readNumber(field, parser);
        case "shards" -> tasks = isNull(parser) ? List.of() : readTasks(parser);
        default -> parser.skipChildren();
      }
    }

    Heartbeat build() throws JsonFormatException {
      if (machineName == null || address == null || typeName == null || zone == null) {
        throw new JsonFormatException("vessel, addr, hull or harbor is missing");
      }
      if (epoch < 0 || sequence < 0) {
        throw new JsonFormatException("watch or tick is missing or out of range");
      }
      return new Heartbeat(
          machineName,
          address,
          typeName,
          zone,
          spot,
          epoch,
          sequence,
          fencingToken,
          preemptionNoticeS,
          tasks);
    }
  }

  private static List<Heartbeat.TaskStatus> readTasks(JsonParser parser)
      throws IOException, JsonFormatException {
    if (parser.currentToken() != JsonToken.START_ARRAY) {
      throw new JsonFormatException("shards is not a list");
    }
    List<Heartbeat.TaskStatus> statuses = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      if (parser.currentToken() != JsonToken.START_OBJECT) {
        throw new JsonFormatException("task is not an object");
      }
      statuses.add(readTask(parser));
    }
    return statuses;
  }

  private static Heartbeat.TaskStatus readTask(JsonParser parser)
      throws IOException, JsonFormatException {
    String taskName = null;
    long attemptNumber = -1;
    Heartbeat.TaskPhase phase = null;
    String exitReason = null;
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String field = parser.currentName();
      parser.nextToken();
      switch (field) {
        case "shard" -> taskName = readText(field, parser);
        case "launch" -> attemptNumber = readInteger(field, parser);
        case "phase" -> phase = decodePhase(readText(field, parser));
        case "cause" ->
            exitReason = isNull(parser) ? null : decodeExitReason(readText(field, parser));
        default -> parser.skipChildren();
      }
    }
    if (taskName == null || attemptNumber < 0 || phase == null) {
      throw new JsonFormatException("shard, launch or phase is missing or out of range");
    }
    int slash = taskName.lastIndexOf('/');
    return new Heartbeat.TaskStatus(
        taskName.substring(0, Math.max(slash, 0)),
        parseTaskIndex(taskName, slash),
        attemptNumber,
        phase,
        exitReason);
  }

  private static int parseTaskIndex(String taskName, int slash) throws JsonFormatException {
    int digits = taskName.length() - slash - 1;
    if (slash <= 0 || digits < 1 || digits > MAX_DIGITS) {
      throw new JsonFormatException("not a task: " + taskName);
    }
    int value = 0;
    for (int i = slash + 1; i < taskName.length(); i++) {
      char digit = taskName.charAt(i);
      if (digit < '0' || digit > '9') {
        throw new JsonFormatException("not a task: " + taskName);
      }
      value = value * 10 + digit - '0';
    }
    return value;
  }

  private static boolean isNull(JsonParser parser) {
    return parser.currentToken() == JsonToken.VALUE_NULL;
  }

  private static String readText(String field, JsonParser parser)
      throws IOException, JsonFormatException {
    if (parser.currentToken() != JsonToken.VALUE_STRING) {
      throw new JsonFormatException(field + " is not a text");
    }
    return parser.getText();
  }

  private static long readInteger(String field, JsonParser parser)
      throws IOException, JsonFormatException {
    if (parser.currentToken() != JsonToken.VALUE_NUMBER_INT) {
      throw new JsonFormatException(field + " is not a whole number");
    }
    return parser.getLongValue();
  }

  private static double readNumber(String field, JsonParser parser)
      throws IOException, JsonFormatException {
    if (!parser.currentToken().isNumeric()) {
      throw new JsonFormatException(field + " is not a number");
    }
    return parser.getDoubleValue();
  }

  private static boolean readBoolean(String field, JsonParser parser)
      throws IOException, JsonFormatException {
    if (isNull(parser)) {
      return false;
    }
    if (!parser.currentToken().isBoolean()) {
      throw new JsonFormatException(field + " is not true or false");
    }
    return parser.getBooleanValue();
  }

  private static Heartbeat.TaskPhase decodePhase(String wireName) throws JsonFormatException {
    return switch (wireName) {
      case "fetching" -> Heartbeat.TaskPhase.FETCHING;
      case "gathering" -> Heartbeat.TaskPhase.WAITING;
      case "running" -> Heartbeat.TaskPhase.RUNNING;
      case "saving" -> Heartbeat.TaskPhase.SAVING;
      case "exited" -> Heartbeat.TaskPhase.EXITED;
      default -> throw new JsonFormatException("unknown task state: " + wireName);
    };
  }

  private static String decodeExitReason(String wireName) {
    return wireName.equals("halted") ? "stopped" : wireName;
  }

  /** Encodes the body of the response to a heartbeat. */
  public static byte[] encodeHeartbeatResponse(long fencingToken, List<Command> commands) {
    return encodeCommands(fencingToken, -1, commands);
  }

  /**
   * Encodes the body of a request with commands, which is valid for one epoch of the agent only.
   */
  public static byte[] encodeCommandRequest(long fencingToken, long epoch, List<Command> commands) {
    return encodeCommands(fencingToken, epoch, commands);
  }

  private static byte[] encodeCommands(long fencingToken, long epoch, List<Command> commands) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(64 + 96 * commands.size());
    try (JsonGenerator generator = JSON.createGenerator(out)) {
      generator.writeStartObject();
      generator.writeNumberField("helm", fencingToken);
      if (epoch >= 0) {
        generator.writeNumberField("watch", epoch);
      }
      generator.writeArrayFieldStart("orders");
      for (Command command : commands) {
        generator.writeStartObject();
        generator.writeStringField("verb", encodeCommandKind(command.kind()));
        generator.writeStringField("shard", command.jobId() + "/" + command.index());
        generator.writeNumberField("launch", command.attemptNumber());
        if (command.kind() == Command.Kind.STOP) {
          generator.writeNumberField("leeway_s", command.gracePeriodS());
        }
        generator.writeEndObject();
      }
      generator.writeEndArray();
      generator.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e); // writing to memory does not fail
    }
    return out.toByteArray();
  }

  private static String encodeCommandKind(Command.Kind kind) {
    return switch (kind) {
      case START -> "run";
      case STOP -> "stop";
      case FORGET -> "clear";
    };
  }
}
