package org.astershift.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import org.astershift.config.Constants;

/** JSON as maps and lists, and checked access to their fields. */
public final class Json {
  private static final JSON JR =
      JSON.builder(
              JsonFactory.builder()
                  .streamReadConstraints(
                      StreamReadConstraints.builder().maxNestingDepth(Constants.JSON_DEPTH).build())
                  .build())
          .build();

  private Json() {}

  /** A value that is missing or not of the kind expected. */
  public static final class JsonFormatException extends Exception {
    private static final long serialVersionUID = 1L;

    public JsonFormatException(String message) {
      super(message);
    }
  }

  /** The value as JSON text in UTF-8. */
  public static byte[] bytes(Object value) {
    try {
      return JR.asBytes(value);
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
  private static Map<String, Object> object(byte[] text, boolean more) throws JsonFormatException {
    try (JsonParser p = JR.getStreamingFactory().createParser(text)) {
      if (p.nextToken() == null) {
        throw new JsonFormatException("not JSON");
      }
      Object o = JR.anyFrom(p);
      if (!more && p.nextToken() != null) {
        throw new JsonFormatException("not JSON");
      }
      if (o instanceof Map<?, ?> m) {
        return (Map<String, Object>) m;
      }
    } catch (IOException | RuntimeException e) {
      throw new JsonFormatException("not JSON");
    }
    throw new JsonFormatException("not an object");
  }

  /** The value as an object; {@code what} names it in the error. */
  @SuppressWarnings("unchecked")
  public static Map<String, Object> object(Object value, String what) throws JsonFormatException {
    if (value instanceof Map<?, ?> m) {
      return (Map<String, Object>) m;
    }
    throw new JsonFormatException(what + " is not an object");
  }

  /** The list under a name; an empty one if there is none. */
  public static List<?> list(Map<String, Object> m, String name) throws JsonFormatException {
    Object v = m.get(name);
    if (v == null) {
      return List.of();
    }
    if (v instanceof List<?> l) {
      return l;
    }
    throw new JsonFormatException(name + " is not a list");
  }

  /** The text under a name, which must be there. */
  public static String text(Map<String, Object> m, String name) throws JsonFormatException {
    if (m.get(name) instanceof String s) {
      return s;
    }
    throw new JsonFormatException(name + " is missing or not a text");
  }

  public static String textOrNull(Map<String, Object> m, String name) throws JsonFormatException {
    return m.get(name) == null ? null : text(m, name);
  }

  /** The finite number under a name, which must be there. */
  public static double number(Map<String, Object> m, String name) throws JsonFormatException {
    if (m.get(name) instanceof Number n && Double.isFinite(n.doubleValue())) {
      return n.doubleValue();
    }
    throw new JsonFormatException(name + " is missing or not a number");
  }

  public static Double numberOrNull(Map<String, Object> m, String name) throws JsonFormatException {
    return m.get(name) == null ? null : number(m, name);
  }

  /** The whole number under a name, which must be there. */
  public static long whole(Map<String, Object> m, String name) throws JsonFormatException {
    Object v = m.get(name);
    if (v instanceof Integer || v instanceof Long) {
      return ((Number) v).longValue();
    }
    if (v instanceof java.math.BigInteger b && b.bitLength() <= 64 && b.signum() >= 0) {
      return b.longValue();
    }
    throw new JsonFormatException(name + " is missing or not a whole number");
  }

  /** The truth value under a name, which must be there. */
  public static boolean flag(Map<String, Object> m, String name) throws JsonFormatException {
    if (m.get(name) instanceof Boolean b) {
      return b;
    }
    throw new JsonFormatException(name + " is missing or not true or false");
  }

  public static boolean flagOr(Map<String, Object> m, String name, boolean otherwise)
      throws JsonFormatException {
    return m.get(name) == null ? otherwise : flag(m, name);
  }
}
