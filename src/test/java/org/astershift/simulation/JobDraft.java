package org.astershift.simulation;

import java.util.List;
import org.astershift.scheduler.JobKind;
import org.astershift.scheduler.JobSpec;
import org.astershift.scheduler.Priority;

/**
 * A draft of a job for all tests. By default it is an array with one task that takes one processor,
 * of one team.
 */
public final class JobDraft {
  private final String id;
  private JobKind kind = JobKind.ARRAY;
  private String jobClass = "c";
  private String team = "team";
  private Priority priority = Priority.NORMAL;
  private int tasks = 1;
  private double cpus = 1;
  private double gpus;
  private double memoryGb = 1;
  private double estimateS = 20;
  private List<String> types;
  private String zone;
  private boolean oneZone;
  private boolean spread;
  private boolean spot;
  private double saveS;

  private JobDraft(String id) {
    this.id = id;
  }

  /** Returns the specification of a job of this kind, with defaults for everything else. */
  static JobSpec job(String id, JobKind kind, int tasks) {
    return array(id, tasks).kind(kind).spec();
  }

  public static JobDraft array(String id, int tasks) {
    JobDraft draft = new JobDraft(id);
    draft.tasks = tasks;
    return draft;
  }

  /** Drafts a gang: its tasks run all at the same time or not at all. */
  static JobDraft gang(String id, int tasks) {
    return array(id, tasks).kind(JobKind.GANG);
  }

  public JobDraft kind(JobKind kind) {
    this.kind = kind;
    return this;
  }

  public JobDraft forTeam(String team) {
    this.team = team;
    return this;
  }

  public JobDraft classAndPriority(String jobClass, Priority priority) {
    this.jobClass = jobClass;
    this.priority = priority;
    return this;
  }

  public JobDraft takes(double cpus, double gpus) {
    this.cpus = cpus;
    this.gpus = gpus;
    return this;
  }

  public JobDraft memory(double gb) {
    memoryGb = gb;
    return this;
  }

  public JobDraft machineTypes(String type) {
    return machineTypes(List.of(type));
  }

  /** Restricts the job to these machine types; null: any type. */
  public JobDraft machineTypes(List<String> types) {
    this.types = types;
    return this;
  }

  /** Sets the owner's estimate of the run time of a task. */
  public JobDraft estimate(double seconds) {
    estimateS = seconds;
    return this;
  }

  /** Restricts the job to a zone; null: any zone. */
  public JobDraft zone(String zone) {
    this.zone = zone;
    return this;
  }

  public JobDraft oneZone() {
    return oneZone(true);
  }

  public JobDraft oneZone(boolean enabled) {
    oneZone = enabled;
    return this;
  }

  public JobDraft spread() {
    return spread(true);
  }

  public JobDraft spread(boolean enabled) {
    spread = enabled;
    return this;
  }

  public JobDraft spot() {
    return spot(true);
  }

  public JobDraft spot(boolean enabled) {
    spot = enabled;
    return this;
  }

  /**
   * Makes tasks save when they are stopped, which takes {@code saveS} seconds; 0: they do not save.
   */
  public JobDraft saves(double saveS) {
    this.saveS = saveS;
    return this;
  }

  /** Returns the specification of the job. */
  public JobSpec spec() {
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
        memoryGb,
        "i",
        1,
        types,
        zone,
        oneZone,
        spread,
        spot,
        estimateS,
        checkpointS,
        saveS,
        null);
  }
}
