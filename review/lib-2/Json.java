import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer for the stand-ins. */
final class Json {
  private final String s;
  private int i;

  private Json(String s) {
    this.s = s;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> map(String text) {
    Object value = parse(text);
    if (!(value instanceof Map)) {
      throw new IllegalArgumentException("not an object");
    }
    return (Map<String, Object>) value;
  }

  static Object parse(String text) {
    Json json = new Json(text);
    Object value = json.value();
    json.space();
    if (json.i != text.length()) {
      throw new IllegalArgumentException("trailing text");
    }
    return value;
  }

  private void space() {
    while (i < s.length() && s.charAt(i) <= ' ') {
      i++;
    }
  }

  private Object value() {
    space();
    char c = s.charAt(i);
    if (c == '{') {
      Map<String, Object> map = new LinkedHashMap<>();
      i++;
      space();
      if (s.charAt(i) == '}') {
        i++;
        return map;
      }
      while (true) {
        space();
        String key = string();
        space();
        expect(':');
        map.put(key, value());
        space();
        if (s.charAt(i) == ',') {
          i++;
        } else {
          expect('}');
          return map;
        }
      }
    }
    if (c == '[') {
      List<Object> list = new ArrayList<>();
      i++;
      space();
      if (s.charAt(i) == ']') {
        i++;
        return list;
      }
      while (true) {
        list.add(value());
        space();
        if (s.charAt(i) == ',') {
          i++;
        } else {
          expect(']');
          return list;
        }
      }
    }
    if (c == '"') {
      return string();
    }
    int from = i;
    while (i < s.length() && ",]} \t\r\n".indexOf(s.charAt(i)) < 0) {
      i++;
    }
    String word = s.substring(from, i);
    switch (word) {
      case "true":
        return Boolean.TRUE;
      case "false":
        return Boolean.FALSE;
      case "null":
        return null;
      default:
        return word.matches("-?[0-9]{1,18}")
            ? (Object) Long.parseLong(word)
            : (Object) Double.parseDouble(word);
    }
  }

  private void expect(char c) {
    if (s.charAt(i++) != c) {
      throw new IllegalArgumentException("expected " + c + " at " + (i - 1));
    }
  }

  private String string() {
    expect('"');
    StringBuilder out = new StringBuilder();
    while (true) {
      char c = s.charAt(i++);
      if (c == '"') {
        return out.toString();
      }
      if (c != '\\') {
        out.append(c);
        continue;
      }
      c = s.charAt(i++);
      switch (c) {
        case 'n' -> out.append('\n');
        case 't' -> out.append('\t');
        case 'r' -> out.append('\r');
        case 'b' -> out.append('\b');
        case 'f' -> out.append('\f');
        case 'u' -> {
          out.append((char) Integer.parseInt(s.substring(i, i + 4), 16));
          i += 4;
        }
        default -> out.append(c);
      }
    }
  }

  static String write(Object value) {
    StringBuilder out = new StringBuilder();
    write(value, out);
    return out.toString();
  }

  private static void write(Object value, StringBuilder out) {
    if (value instanceof Map<?, ?> map) {
      String separator = "{";
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        out.append(separator);
        write(String.valueOf(entry.getKey()), out);
        out.append(':');
        write(entry.getValue(), out);
        separator = ",";
      }
      out.append(map.isEmpty() ? "{}" : "}");
    } else if (value instanceof Iterable<?> list) {
      out.append('[');
      String separator = "";
      for (Object item : list) {
        out.append(separator);
        write(item, out);
        separator = ",";
      }
      out.append(']');
    } else if (value instanceof String text) {
      out.append('"');
      for (char c : text.toCharArray()) {
        if (c == '"' || c == '\\') {
          out.append('\\').append(c);
        } else if (c < ' ') {
          out.append(String.format("\\u%04x", (int) c));
        } else {
          out.append(c);
        }
      }
      out.append('"');
    } else {
      out.append(value);
    }
  }

  /** Returns a map of alternating keys and values, in their order. */
  static Map<String, Object> of(Object... pairs) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < pairs.length; i += 2) {
      map.put((String) pairs[i], pairs[i + 1]);
    }
    return map;
  }

  static long num(Map<String, Object> map, String key) {
    return ((Number) map.get(key)).longValue();
  }

  static double dbl(Map<String, Object> map, String key) {
    return ((Number) map.get(key)).doubleValue();
  }

  @SuppressWarnings("unchecked")
  static List<Object> list(Map<String, Object> map, String key) {
    Object value = map.get(key);
    return value == null ? List.of() : (List<Object>) value;
  }
}
