package dev.bambootray.core.scheduling;

import java.util.ArrayList;
import java.util.List;

/** Collects the effects of one scheduler call in order. */
final class EffectBuffer {
  private List<SchedulerEffect> effects = new ArrayList<>();

  void add(SchedulerEffect effect) {
    effects.add(effect);
  }

  /** Returns the collected effects and clears the buffer. */
  List<SchedulerEffect> drain() {
    if (effects.isEmpty()) {
      return List.of();
    }
    List<SchedulerEffect> drained = effects;
    effects = new ArrayList<>();
    return drained;
  }
}
