import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/** Writes record.txt: what was sent, answered and run, with seconds since the start. */
final class Record {
  private final PrintWriter out;
  private final long startMs = Util.ms();
  private final Map<String, Integer> counts = new HashMap<>();

  Record(Path file) throws Exception {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  double seconds() {
    return (Util.ms() - startMs) / 1000.0;
  }

  synchronized void line(String format, Object... args) {
    out.printf("%7.2f %s%n", seconds(), String.format(format, args));
  }

  /** Writes only the first lines of this kind, so that the record stays readable. */
  synchronized void limited(String kind, int limit, String format, Object... args) {
    int count = counts.merge(kind, 1, Integer::sum);
    if (count <= limit) {
      line(format, args);
    } else if (count == limit + 1) {
      line("(more lines of the kind \"%s\" are left out)", kind);
    }
  }
}
