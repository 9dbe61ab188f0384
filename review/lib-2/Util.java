import java.util.Map;

/** Time and casts. */
final class Util {
  private Util() {}

  static long ms() {
    return System.nanoTime() / 1_000_000;
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> cast(Object value) {
    return (Map<String, Object>) value;
  }
}
