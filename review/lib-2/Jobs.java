import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntToLongFunction;

/** The jobs that the users submit. */
final class Jobs {
  static final class Job {
    final String id;
    final int shards;
    final double cpus;
    final double gpus;
    final double memoryGb;
    final String image;
    final double imageGb;
    final Map<String, Object> fields;
    volatile boolean fails;
    private final IntToLongFunction run;

    Job(Map<String, Object> fields, IntToLongFunction run) {
      this.fields = fields;
      this.id = (String) fields.get("id");
      this.shards = ((Number) fields.get("shards")).intValue();
      this.cpus = Json.dbl(fields, "vcpus");
      this.gpus = Json.dbl(fields, "gpus");
      this.memoryGb = Json.dbl(fields, "mem_gb");
      this.image = (String) fields.get("payload");
      this.imageGb = Json.dbl(fields, "image_gb");
      this.run = run;
    }

    long runMs(int index) {
      return run.applyAsLong(index);
    }

    String body() {
      return Json.write(fields);
    }
  }

  private final Map<String, Job> jobs = new ConcurrentHashMap<>();

  Job get(String id) {
    return jobs.get(id);
  }

  /** Adds a job; {@code changes} are alternating names and values of fields. */
  Job add(String id, String shape, int shards, IntToLongFunction run, Object... changes) {
    Map<String, Object> fields =
        new LinkedHashMap<>(
            Json.of(
                "id", id, "berth_class", "batch", "crew", "team-a", "shape", shape, "rank",
                "standard", "shards", shards, "vcpus", 1.0, "gpus", 0.0, "mem_gb", 1.0, "payload",
                "img-1", "image_gb", 0.1, "hulls", null, "harbor", null, "one_zone", false,
                "apart", false, "ebbtide", false, "expect_s", 10.0, "anchor_s", 0.0, "stow_s",
                0.0, "due_s", null));
    fields.putAll(Json.of(changes));
    Job job = new Job(fields, run);
    jobs.put(id, job);
    return job;
  }
}
