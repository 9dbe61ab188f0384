package org.astershift.scheduler;

/**
 * One round over machines and jobs: the lowest image locality that a machine may have, and whether
 * service replicas stay within their share of a machine.
 */
record FillStep(double minimumLocality, boolean spreadReplicas) {
  private static final double IMAGE_CACHED = 1;

  /** Lower than the locality of an image that is being fetched. */
  private static final double IMAGE_FETCHING = 0.1;

  private static final double ANY_MACHINE = 0;

  static final FillStep CACHED_SPREADING = new FillStep(IMAGE_CACHED, true);
  static final FillStep CACHED = new FillStep(IMAGE_CACHED, false);
  static final FillStep FETCHING = new FillStep(IMAGE_FETCHING, false);
  static final FillStep ANY = new FillStep(ANY_MACHINE, false);

  static final FillStep FETCHING_SPREADING = new FillStep(IMAGE_FETCHING, true);
  static final FillStep ANY_SPREADING = new FillStep(ANY_MACHINE, true);

  /**
   * Returns whether machines of this image locality take part in the step. The last step leaves out
   * machines that the steps before it have offered already.
   */
  boolean accepts(double imageLocality) {
    return imageLocality >= minimumLocality && !(minimumLocality == 0 && imageLocality > 0);
  }
}
