import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: objects are maps, arrays are lists, numbers Long or Double. */
final class Json {
  private final String text;
  private int position;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    Json json = new Json(text);
    Object value = json.value();
    json.skipSpace();
    if (json.position != text.length()) {
      throw new IllegalArgumentException("text after the value");
    }
    return value;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) parse(text);
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> map(Object value) {
    return (Map<String, Object>) value;
  }

  static List<?> list(Object value) {
    return value == null ? List.of() : (List<?>) value;
  }

  static long integer(Object value) {
    return ((Number) value).longValue();
  }

  static double number(Object value) {
    return ((Number) value).doubleValue();
  }

  static Map<String, Object> of(Object... keysAndValues) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < keysAndValues.length; i += 2) {
      map.put((String) keysAndValues[i], keysAndValues[i + 1]);
    }
    return map;
  }

  static String write(Object value) {
    StringBuilder out = new StringBuilder();
    write(value, out);
    return out.toString();
  }

  private static void write(Object value, StringBuilder out) {
    if (value instanceof Map<?, ?> map) {
      out.append('{');
      String separator = "";
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        out.append(separator);
        write(entry.getKey(), out);
        out.append(':');
        write(entry.getValue(), out);
        separator = ",";
      }
      out.append('}');
    } else if (value instanceof List<?> list) {
      out.append('[');
      String separator = "";
      for (Object element : list) {
        out.append(separator);
        write(element, out);
        separator = ",";
      }
      out.append(']');
    } else if (value instanceof String string) {
      out.append('"');
      for (char c : string.toCharArray()) {
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

  private void skipSpace() {
    while (position < text.length() && Character.isWhitespace(text.charAt(position))) {
      position++;
    }
  }

  private Object value() {
    skipSpace();
    char c = text.charAt(position);
    if (c == '{') {
      position++;
      Map<String, Object> map = new LinkedHashMap<>();
      skipSpace();
      while (text.charAt(position) != '}') {
        skipSpace();
        String key = string();
        skipSpace();
        expect(':');
        map.put(key, value());
        skipSpace();
        if (text.charAt(position) == ',') {
          position++;
        }
        skipSpace();
      }
      position++;
      return map;
    }
    if (c == '[') {
      position++;
      List<Object> list = new ArrayList<>();
      skipSpace();
      while (text.charAt(position) != ']') {
        list.add(value());
        skipSpace();
        if (text.charAt(position) == ',') {
          position++;
        }
        skipSpace();
      }
      position++;
      return list;
    }
    if (c == '"') {
      return string();
    }
    int start = position;
    while (position < text.length() && "+-.0123456789eEtrufalsn".indexOf(text.charAt(position)) >= 0) {
      position++;
    }
    String word = text.substring(start, position);
    return switch (word) {
      case "true" -> true;
      case "false" -> false;
      case "null" -> null;
      default -> {
        if (word.matches("-?[0-9]+")) {
          yield Long.valueOf(word);
        }
        yield Double.valueOf(word);
      }
    };
  }

  private void expect(char c) {
    if (text.charAt(position) != c) {
      throw new IllegalArgumentException("expected " + c + " at " + position);
    }
    position++;
  }

  private String string() {
    expect('"');
    StringBuilder out = new StringBuilder();
    while (text.charAt(position) != '"') {
      char c = text.charAt(position++);
      if (c != '\\') {
        out.append(c);
        continue;
      }
      char escaped = text.charAt(position++);
      switch (escaped) {
        case 'n' -> out.append('\n');
        case 't' -> out.append('\t');
        case 'r' -> out.append('\r');
        case 'b' -> out.append('\b');
        case 'f' -> out.append('\f');
        case 'u' -> {
          out.append((char) Integer.parseInt(text.substring(position, position + 4), 16));
          position += 4;
        }
        default -> out.append(escaped);
      }
    }
    position++;
    return out.toString();
  }
}
