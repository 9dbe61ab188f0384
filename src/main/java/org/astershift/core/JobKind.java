package org.astershift.core;

/** How the tasks of a job belong together. */
public enum JobKind {
  ARRAY,
  GANG,
  SERVICE
}
