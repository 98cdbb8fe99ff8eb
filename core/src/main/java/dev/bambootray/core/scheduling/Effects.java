package dev.bambootray.core.scheduling;

import java.util.ArrayList;
import java.util.List;

/** Collects the effects of one call in order. */
final class Effects {
  private List<SchedulerEffect> effects = new ArrayList<>();

  void add(SchedulerEffect effect) {
    effects.add(effect);
  }

  /** Returns the collected effects and starts over. */
  List<SchedulerEffect> drain() {
    if (effects.isEmpty()) {
      return List.of();
    }
    List<SchedulerEffect> drained = effects;
    effects = new ArrayList<>();
    return drained;
  }
}
