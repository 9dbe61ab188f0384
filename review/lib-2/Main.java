import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Runs one case: {@code Main CASE RECORD}; with TROUBLE=0 without its disruption. */
final class Main {
  private Main() {}

  interface Case {
    /** Returns whether the rule held. */
    boolean run(Day day, boolean trouble) throws Exception;
  }

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Record record = new Record(Path.of(args[1]));
    record.line("case %s, %s", args[0], trouble ? "with its disruption" : "without disruption");
    Day day = new Day(record);
    Runtime.getRuntime().addShutdownHook(new Thread(day::close));
    Http.daemon(
        "limit",
        () -> {
          Util.sleep(117_000);
          record.line("NOT RUN: over the time limit");
          Runtime.getRuntime().exit(2);
        });
    int code;
    try {
      Case test =
          switch (args[0]) {
            case "window" -> Cases::window;
            case "plan" -> Cases::plan;
            case "progress" -> Cases::progress;
            case "copy" -> Cases::copy;
            case "idle" -> Cases::accelerators;
            default -> throw new IllegalArgumentException(args[0]);
          };
      boolean held = test.run(day, trouble);
      record.line(held ? "RULE HELD" : "RULE BROKEN");
      code = held ? 0 : 1;
    } catch (Throwable e) {
      record.line("NOT RUN: %s", e);
      e.printStackTrace();
      code = 2;
    }
    System.exit(code);
  }
}
