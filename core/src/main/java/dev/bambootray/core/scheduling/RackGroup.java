package dev.bambootray.core.scheduling;

import dev.bambootray.core.model.FailureDomainId;
import dev.bambootray.core.model.RackId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Holds the workers of one rack in the order of their positions. */
final class RackGroup {
  final RackId id;
  final FailureDomainId domain;
  final int index;
  final List<PoolWorker> workers = new ArrayList<>();

  RackGroup(RackId id, FailureDomainId domain, int index) {
    this.id = id;
    this.domain = domain;
    this.index = index;
  }

  void add(PoolWorker worker) {
    workers.add(worker);
    workers.sort(Comparator.comparingInt((PoolWorker w) -> w.position));
  }
}
