package org.astershift.scheduler;

/** How the tasks of a job relate to each other. */
public enum JobKind {
  /** Tasks that run independently. */
  ARRAY,
  /** Tasks that start and run together. */
  GANG,
  /** Replicas that run until the job is cancelled. */
  SERVICE
}
