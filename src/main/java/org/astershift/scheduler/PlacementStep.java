package org.astershift.scheduler;

/**
 * One step of placement, in which machines are offered to jobs: the lowest image locality that a
 * machine may have, and whether service replicas stay within their share of a machine.
 */
record PlacementStep(double minimumLocality, boolean spreadReplicas) {
  private static final double MIN_CACHED_LOCALITY = 1;

  /** Lower than the locality that {@link ImageCache} gives an image that is being fetched. */
  private static final double MIN_FETCHING_LOCALITY = 0.1;

  private static final double MIN_ABSENT_LOCALITY = 0;

  static final PlacementStep IMAGE_CACHED_SPREADING = new PlacementStep(MIN_CACHED_LOCALITY, true);
  static final PlacementStep IMAGE_CACHED = new PlacementStep(MIN_CACHED_LOCALITY, false);
  static final PlacementStep IMAGE_FETCHING = new PlacementStep(MIN_FETCHING_LOCALITY, false);
  static final PlacementStep IMAGE_ABSENT = new PlacementStep(MIN_ABSENT_LOCALITY, false);

  static final PlacementStep IMAGE_FETCHING_SPREADING =
      new PlacementStep(MIN_FETCHING_LOCALITY, true);
  static final PlacementStep IMAGE_ABSENT_SPREADING = new PlacementStep(MIN_ABSENT_LOCALITY, true);

  /**
   * Returns whether machines of this image locality take part in the step. The steps for absent
   * images leave out machines with a higher locality, which earlier steps have offered already.
   */
  boolean accepts(double imageLocality) {
    return imageLocality >= minimumLocality && !(minimumLocality == 0 && imageLocality > 0);
  }
}
