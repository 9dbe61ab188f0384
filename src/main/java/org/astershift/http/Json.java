package org.astershift.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;

/** JSON as maps and lists, and checked access to their fields. */
public final class Json {
  /**
   * How deep a body may be nested. All that the protocols name is a few levels deep; a thousand,
   * the parser's own limit, overflow a stack of {@link #STACK_BYTES}: a body of brackets ended its
   * connection without an answer.
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

  /** The value as JSON text in UTF-8. */
  public static byte[] bytes(Object value) {
    try {
      return JACKSON.asBytes(value);
    } catch (IOException e) {
      throw new UncheckedIOException(e); // memory does not fail
    }
  }

  /** Parses an object; anything else, and anything after it, is bad. */
  public static Map<String, Object> object(byte[] text) throws JsonFormatException {
    return object(text, false);
  }

  /** The object that a text begins with, whatever comes after it. */
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

  /** The value as an object; {@code what} names it in the error. */
  @SuppressWarnings("unchecked")
  public static Map<String, Object> object(Object value, String what) throws JsonFormatException {
    if (value instanceof Map<?, ?> map) {
      return (Map<String, Object>) map;
    }
    throw new JsonFormatException(what + " is not an object");
  }

  /** The list under a name; an empty one if there is none. */
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

  /** The text under a name, which must be there. */
  public static String string(Map<String, Object> object, String name) throws JsonFormatException {
    if (object.get(name) instanceof String value) {
      return value;
    }
    throw new JsonFormatException(name + " is missing or not a text");
  }

  public static String stringOrNull(Map<String, Object> object, String name)
      throws JsonFormatException {
    return object.get(name) == null ? null : string(object, name);
  }

  /** The finite number under a name, which must be there. */
  public static double number(Map<String, Object> object, String name) throws JsonFormatException {
    if (object.get(name) instanceof Number number && Double.isFinite(number.doubleValue())) {
      return number.doubleValue();
    }
    throw new JsonFormatException(name + " is missing or not a number");
  }

  public static Double numberOrNull(Map<String, Object> object, String name)
      throws JsonFormatException {
    return object.get(name) == null ? null : number(object, name);
  }

  /** The whole number under a name, which must be there. */
  public static long integer(Map<String, Object> object, String name) throws JsonFormatException {
    Object value = object.get(name);
    if (value instanceof Integer || value instanceof Long) {
      return ((Number) value).longValue();
    }
    if (value instanceof java.math.BigInteger unsigned
        && unsigned.bitLength() <= 64
        && unsigned.signum() >= 0) {
      return unsigned.longValue();
    }
    throw new JsonFormatException(name + " is missing or not a whole number");
  }

  /** The truth value under a name, which must be there. */
  public static boolean bool(Map<String, Object> object, String name) throws JsonFormatException {
    if (object.get(name) instanceof Boolean value) {
      return value;
    }
    throw new JsonFormatException(name + " is missing or not true or false");
  }

  public static boolean boolOr(Map<String, Object> object, String name, boolean fallback)
      throws JsonFormatException {
    return object.get(name) == null ? fallback : bool(object, name);
  }
}
