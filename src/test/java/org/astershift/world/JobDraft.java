package org.astershift.world;

import java.util.List;
import org.astershift.core.JobKind;
import org.astershift.core.JobSpec;
import org.astershift.core.Priority;

/** A job as a test describes it: what it does not say is as in {@link WorldTest#job}. */
final class JobDraft {
  private final String id;
  private JobKind kind = JobKind.ARRAY;
  private String jobClass = "c";
  private String team = "team";
  private Priority priority = Priority.NORMAL;
  private int tasks = 1;
  private double cpus = 1;
  private double gpus;
  private List<String> types;
  private String zone;
  private boolean oneZone;
  private boolean spread;
  private boolean spot;
  private double saveS;

  private JobDraft(String id) {
    this.id = id;
  }

  static JobDraft array(String id, int tasks) {
    JobDraft d = new JobDraft(id);
    d.tasks = tasks;
    return d;
  }

  JobDraft kind(JobKind kind) {
    this.kind = kind;
    return this;
  }

  JobDraft of(String team) {
    this.team = team;
    return this;
  }

  JobDraft in(String jobClass, Priority priority) {
    this.jobClass = jobClass;
    this.priority = priority;
    return this;
  }

  JobDraft takes(double cpus, double gpus) {
    this.cpus = cpus;
    this.gpus = gpus;
    return this;
  }

  JobDraft only(String type) {
    types = List.of(type);
    return this;
  }

  JobDraft zone(String zone) {
    this.zone = zone;
    return this;
  }

  JobDraft oneZone() {
    oneZone = true;
    return this;
  }

  JobDraft spread() {
    spread = true;
    return this;
  }

  JobDraft spot() {
    spot = true;
    return this;
  }

  /** Its tasks save when they are stopped, and take so long for that. */
  JobDraft saves(double saveS) {
    this.saveS = saveS;
    return this;
  }

  JobSpec spec() {
    double checkpointS = saveS > 0 ? 5 : 0;
    return new JobSpec(
        id,
        jobClass,
        team,
        kind,
        priority,
        tasks,
        cpus,
        gpus,
        1,
        "i",
        1,
        types,
        zone,
        oneZone,
        spread,
        spot,
        20,
        checkpointS,
        saveS,
        null);
  }
}
