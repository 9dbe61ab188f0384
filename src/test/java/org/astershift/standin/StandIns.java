package org.astershift.standin;

import java.util.List;

/** The stand-ins on fixed ports, for the first job in the README. */
public final class StandIns {
  private StandIns() {}

  /** Runs until it is killed. */
  public static void main(String[] args) throws Exception {
    StandInStore store = new StandInStore(18_379);
    StandInCloud cloud = new StandInCloud(18_443, List.of(18_080), 2000);
    System.out.println(
        "stand-ins are ready: state service on " + store.port() + ", cloud on " + cloud.port());
    Thread.currentThread().join();
  }
}
