package dev.bambootray.soak;

import java.util.List;
import java.util.Map;

/**
 * What a run of the soak has shown.
 *
 * @param seed its seed
 * @param violations broken promises
 * @param counts how often things happened
 */
record SoakResult(long seed, List<String> violations, Map<String, Integer> counts) {
  SoakResult {
    violations = List.copyOf(violations);
    counts = Map.copyOf(counts);
  }

  boolean passed() {
    return violations.isEmpty();
  }
}
