package org.astershift.scheduler;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The images believed to be cached on one machine, and those its tasks use. Workers do not report
 * their cache, so it is modelled: the least recently used image goes first.
 */
final class ImageCache {
  /** Locality of an image that a task there uses, and that may still be being fetched. */
  private static final double FETCHING_LOCALITY = 0.5;

  /** Sizes in GB by image, the least recently used first. */
  private final LinkedHashMap<String, Double> sizeGbByImage = new LinkedHashMap<>(16, 0.75f, true);

  private final Map<String, Integer> attemptsByImage = new HashMap<>();

  /** One task with the image more, or fewer where {@code delta} is -1. */
  void addAttempts(String image, int delta) {
    attemptsByImage.merge(image, delta, (a, b) -> a + b == 0 ? null : a + b);
  }

  boolean contains(String image) {
    return sizeGbByImage.containsKey(image);
  }

  /** 1 if the image is cached, less if it may be being fetched, 0 otherwise. */
  double locality(String image) {
    if (contains(image)) {
      return 1;
    }
    return attemptsByImage.containsKey(image) ? FETCHING_LOCALITY : 0;
  }

  /** A task has used the image; others go where {@code type}, if known, has no room for all. */
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

  /** The machine has restarted: its cache is empty. */
  void clear() {
    sizeGbByImage.clear();
  }
}
