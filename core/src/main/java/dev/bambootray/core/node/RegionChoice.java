package dev.bambootray.core.node;

import dev.bambootray.core.declaration.WorkerDeclaration;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.RequestSpec;
import dev.bambootray.core.routing.RegionLoad;
import java.util.List;
import java.util.function.Supplier;

/** Chooses the region that serves a request: the local one if it has workers. */
final class RegionChoice {
  private final NodeContext context;
  private final Supplier<List<RegionLoad>> loads;

  RegionChoice(NodeContext context, Supplier<List<RegionLoad>> loads) {
    this.context = context;
    this.loads = loads;
  }

  RegionId choose(RequestSpec spec) {
    RegionId local = context.identity().region();
    boolean localWorkers =
        context.declaration().get().workers().values().stream()
            .map(WorkerDeclaration::region)
            .anyMatch(local::equals);
    if (localWorkers) {
      return local;
    }
    return loads.get().stream().findFirst().map(RegionLoad::region).orElse(local);
  }
}
