package org.astershift.scheduler;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The images that are assumed to be cached on one machine, and those that its tasks use. Workers do
 * not report their cache, so it is modelled: the least recently used image is evicted first.
 */
final class ImageCache {
  /** Locality of an image that a task on the machine uses and that may still be being fetched. */
  private static final double FETCHING_LOCALITY = 0.5;

  /** Sizes in GB by image, the least recently used image first. */
  private final LinkedHashMap<String, Double> sizeGbByImage = new LinkedHashMap<>(16, 0.75f, true);

  private final Map<String, Integer> attemptsByImage = new HashMap<>();

  /** Changes the number of tasks on the machine that use the image by {@code delta}. */
  void addAttempts(String image, int delta) {
    attemptsByImage.merge(image, delta, (a, b) -> a + b == 0 ? null : a + b);
  }

  boolean contains(String image) {
    return sizeGbByImage.containsKey(image);
  }

  /** Returns 1 if the image is cached, less if it may be being fetched, 0 otherwise. */
  double locality(String image) {
    if (contains(image)) {
      return 1;
    }
    return attemptsByImage.containsKey(image) ? FETCHING_LOCALITY : 0;
  }

  /**
   * Records that a task has used the image, and evicts the least recently used images for which the
   * cache of {@code type} has no room; evicts none if {@code type} is null.
   */
  void touch(String image, double sizeGb, MachineType type) {
    sizeGbByImage.put(image, sizeGb);
    if (type == null) {
      return;
    }
    double totalGb = 0;
    for (double imageGb : sizeGbByImage.values()) {
      totalGb += imageGb;
    }
    Iterator<Map.Entry<String, Double>> leastRecentlyUsed = sizeGbByImage.entrySet().iterator();
    while (totalGb > type.cacheGb() && sizeGbByImage.size() > 1 && leastRecentlyUsed.hasNext()) {
      totalGb -= leastRecentlyUsed.next().getValue();
      leastRecentlyUsed.remove();
    }
  }

  /** Empties the cache, as a restart of the machine does. */
  void clear() {
    sizeGbByImage.clear();
  }
}
