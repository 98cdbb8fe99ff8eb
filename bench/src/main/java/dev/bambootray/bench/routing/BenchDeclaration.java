package dev.bambootray.bench.routing;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.PolicyDeclaration;
import dev.bambootray.core.declaration.RegionDeclaration;
import dev.bambootray.core.declaration.ServiceDeclaration;
import dev.bambootray.core.declaration.TemplateDeclaration;
import dev.bambootray.core.declaration.WorkerDeclaration;
import dev.bambootray.core.declaration.WorkspaceDeclaration;
import dev.bambootray.core.model.Adjacency;
import dev.bambootray.core.model.FailureDomainId;
import dev.bambootray.core.model.RackId;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.RequestSpec;
import dev.bambootray.core.model.Resources;
import dev.bambootray.core.model.ServiceId;
import dev.bambootray.core.model.Shape;
import dev.bambootray.core.model.TemplateId;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.model.WorkspaceId;
import dev.bambootray.core.routing.QueuedRequest;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The declaration that the replays run under. */
final class BenchDeclaration {
  /** Simulated time 0, in milliseconds since the epoch. */
  static final long START_MS = 1_700_000_000_000L;

  private static final ServiceId SERVICE = ServiceId.of("plans");
  private static final double[] WEIGHTS = {4, 3, 2, 1};

  static final TemplateDeclaration TEMPLATE =
      new TemplateDeclaration(
          TemplateId.of("plan"),
          SERVICE,
          new Shape(1, 0, 1_000, 1_024, Adjacency.REGION),
          List.of(),
          true,
          1_000,
          60_000,
          3,
          false);

  private BenchDeclaration() {}

  static RegionId region(int index) {
    return RegionId.of("region-" + index);
  }

  static WorkerId worker(int target) {
    return WorkerId.of("worker-" + target);
  }

  static Declaration create(int targets, PolicyDeclaration policy) {
    Map<RegionId, RegionDeclaration> regions = new HashMap<>();
    for (int i = 0; i < Topology.REGIONS; i++) {
      regions.put(region(i), new RegionDeclaration(region(i), List.of(), Map.of()));
    }
    Map<WorkerId, WorkerDeclaration> workers = new HashMap<>();
    for (int i = 0; i < targets; i++) {
      workers.put(worker(i), workerDeclaration(i));
    }
    Map<WorkspaceId, WorkspaceDeclaration> workspaces = new HashMap<>();
    for (int i = 0; i < Workload.WORKSPACES; i++) {
      WorkspaceId id = WorkspaceId.of("workspace-" + i);
      workspaces.put(id, new WorkspaceDeclaration(id, WEIGHTS[i], List.of(), 10_000, 0, List.of()));
    }
    return new Declaration(
        1,
        regions,
        Map.of(SERVICE, new ServiceDeclaration(SERVICE, Topology.SLOTS, 64)),
        workers,
        workspaces,
        Map.of(TEMPLATE.id(), TEMPLATE),
        policy);
  }

  private static WorkerDeclaration workerDeclaration(int target) {
    return new WorkerDeclaration(
        worker(target),
        region(Topology.regionOf(target)),
        FailureDomainId.of("domain-" + Topology.domainOf(target)),
        RackId.of("rack-" + target / 8),
        target % 8,
        "127.0.0.1",
        1_000 + target,
        new Resources(8, 32_000, 65_536),
        List.of(SERVICE));
  }

  static QueuedRequest request(Workload.Arrival arrival) {
    long submittedAtMs = START_MS + arrival.arrivalUs() / 1_000;
    return new QueuedRequest(
        new RequestSpec(
            RequestKey.of("workspace-" + arrival.workspace(), "r" + arrival.index()),
            TEMPLATE.id(),
            "{}",
            submittedAtMs + Workload.DEADLINE_MS,
            arrival.repeatable(),
            false,
            submittedAtMs,
            ""),
        TEMPLATE);
  }
}
