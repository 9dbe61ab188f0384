package org.astershift.core;

import org.astershift.KeptDigests;

/** The digests of the adversary's seeds. */
public final class AdversaryDigests {
  private AdversaryDigests() {}

  /** Those kept, and how to play a seed. */
  public static KeptDigests kept() {
    return KeptDigests.in("adversary.tsv", seed -> new Adversary(seed, false).play().digest());
  }
}
