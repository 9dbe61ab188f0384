package org.astershift.core;

/** A team's guarantee and limit; 0 means none. */
public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {

  /** Whether anything limits what the team's tasks use at any time. */
  public boolean limited() {
    return cpusMax > 0 || gpusMax > 0;
  }

  /** Whether use may grow to these amounts. */
  public boolean allows(double usedCpus, double usedGpus) {
    return (cpusMax <= 0 || usedCpus <= cpusMax + 1e-9)
        && (gpusMax <= 0 || usedGpus <= gpusMax + 1e-9);
  }
}
