package org.astershift.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigInteger;
import java.util.List;
import java.util.Map;

/**
 * Reads and writes JSON as maps and lists, and gives codecs type-checked access to their fields.
 */
public final class Json {
  /**
   * Maximum nesting depth that is accepted. The protocols need a few levels; the parser's own limit
   * of 1000 would overflow a stack of {@link Threads#STACK_BYTES}.
   */
  private static final int MAX_JSON_DEPTH = 100;

  private static final JSON JACKSON =
      JSON.builder(
              JsonFactory.builder()
                  .streamReadConstraints(
                      StreamReadConstraints.builder().maxNestingDepth(MAX_JSON_DEPTH).build())
                  .build())
          .build();

  private Json() {}

  /** Encodes a value as JSON text in UTF-8. */
  public static byte[] encode(Object value) {
    try {
      return JACKSON.asBytes(value);
    } catch (IOException e) {
      throw new UncheckedIOException(e); // writing to memory does not fail
    }
  }

  /** Parses a JSON object; throws if the text is anything else or continues after the object. */
  public static Map<String, Object> object(byte[] text) throws JsonFormatException {
    return object(text, false);
  }

  /** Parses the JSON object at the beginning of a text and ignores what follows it. */
  public static Map<String, Object> leadingObject(byte[] text) throws JsonFormatException {
    return object(text, true);
  }

  @SuppressWarnings("unchecked")
  private static Map<String, Object> object(byte[] text, boolean allowTrailing)
      throws JsonFormatException {
    try (JsonParser parser = JACKSON.getStreamingFactory().createParser(text)) {
      if (parser.nextToken() == null) {
        throw new JsonFormatException("not JSON");
      }
      Object parsed = JACKSON.anyFrom(parser);
      if (!allowTrailing && parser.nextToken() != null) {
        throw new JsonFormatException("not JSON");
      }
      if (parsed instanceof Map<?, ?> map) {
        return (Map<String, Object>) map;
      }
    } catch (IOException | RuntimeException e) {
      throw new JsonFormatException("not JSON");
    }
    throw new JsonFormatException("not an object");
  }

  /** Returns the value as an object; {@code what} names the value in the error message. */
  @SuppressWarnings("unchecked")
  public static Map<String, Object> object(Object value, String what) throws JsonFormatException {
    if (value instanceof Map<?, ?> map) {
      return (Map<String, Object>) map;
    }
    throw new JsonFormatException(what + " is not an object");
  }

  /** Returns the list in a field; empty if the field is missing or null. */
  public static List<?> list(Map<String, Object> object, String name) throws JsonFormatException {
    Object value = object.get(name);
    if (value == null) {
      return List.of();
    }
    if (value instanceof List<?> list) {
      return list;
    }
    throw new JsonFormatException(name + " is not a list");
  }

  /** Returns the string in a required field. */
  public static String string(Map<String, Object> object, String name) throws JsonFormatException {
    if (object.get(name) instanceof String value) {
      return value;
    }
    throw new JsonFormatException(name + " is missing or not a text");
  }

  /** Returns the string in an optional field; null if the field is missing or null. */
  public static String stringOrNull(Map<String, Object> object, String name)
      throws JsonFormatException {
    return object.get(name) == null ? null : string(object, name);
  }

  /** Returns the finite number in a required field. */
  public static double number(Map<String, Object> object, String name) throws JsonFormatException {
    if (object.get(name) instanceof Number number && Double.isFinite(number.doubleValue())) {
      return number.doubleValue();
    }
    throw new JsonFormatException(name + " is missing or not a number");
  }

  /** Returns the finite number in an optional field; null if the field is missing or null. */
  public static Double numberOrNull(Map<String, Object> object, String name)
      throws JsonFormatException {
    return object.get(name) == null ? null : number(object, name);
  }

  /** Returns the integer of at most 64 bits, signed or unsigned, in a required field. */
  public static long integer(Map<String, Object> object, String name) throws JsonFormatException {
    Object value = object.get(name);
    if (value instanceof Integer || value instanceof Long) {
      return ((Number) value).longValue();
    }
    if (value instanceof BigInteger unsigned
        && unsigned.bitLength() <= 64
        && unsigned.signum() >= 0) {
      return unsigned.longValue();
    }
    throw new JsonFormatException(name + " is missing or not a whole number");
  }

  /** Returns the boolean in a required field. */
  public static boolean bool(Map<String, Object> object, String name) throws JsonFormatException {
    if (object.get(name) instanceof Boolean value) {
      return value;
    }
    throw new JsonFormatException(name + " is missing or not true or false");
  }

  /** Returns the boolean in an optional field; {@code fallback} if the field is missing or null. */
  public static boolean boolOr(Map<String, Object> object, String name, boolean fallback)
      throws JsonFormatException {
    return object.get(name) == null ? fallback : bool(object, name);
  }
}
