package dev.bambootray.daemon.rig;

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
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A small declaration for tests: regions r1 and r2 with workers r1-w0, r1-w1 and so on. */
public final class TestDeclarations {
  public static final TemplateId REQUEST = TemplateId.of("request");
  public static final TemplateId GANG = TemplateId.of("gang");

  private static final ServiceId SERVICE = ServiceId.of("service");
  private static final WorkspaceId WORKSPACE = WorkspaceId.of("ws");

  private TestDeclarations() {}

  /** Returns a declaration of two regions with some workers each. */
  public static Declaration twoRegions(int workersPerRegion) {
    Map<RegionId, RegionDeclaration> regions = new HashMap<>();
    Map<WorkerId, WorkerDeclaration> workers = new HashMap<>();
    for (String name : List.of("r1", "r2")) {
      RegionId region = RegionId.of(name);
      FailureDomainId domain = FailureDomainId.of(name + "-a");
      regions.put(region, new RegionDeclaration(region, List.of(domain), Map.of()));
      for (int i = 0; i < workersPerRegion; i++) {
        WorkerId id = WorkerId.of(name + "-w" + i);
        workers.put(
            id,
            new WorkerDeclaration(
                id,
                region,
                domain,
                RackId.of(name + "-rack"),
                i,
                "127.0.0.1",
                30_000 + workers.size(),
                new Resources(8, 32_000, 65_536),
                List.of(SERVICE)));
      }
    }
    return new Declaration(
        1,
        regions,
        Map.of(SERVICE, new ServiceDeclaration(SERVICE, 8, 64)),
        workers,
        Map.of(
            WORKSPACE, new WorkspaceDeclaration(WORKSPACE, 1, List.of(), 1_000, 1_000, List.of())),
        Map.of(
            REQUEST, template(REQUEST, new Shape(1, 0, 0, 0, Adjacency.REGION)),
            GANG, template(GANG, new Shape(2, 8, 1_000, 1_000, Adjacency.RACK))),
        PolicyDeclaration.defaults());
  }

  /** Returns a request whose task runs for the given time, in milliseconds. */
  public static RequestSpec spec(
      SimulatedCluster cluster, String key, TemplateId template, boolean repeatable, long runMs) {
    return new RequestSpec(
        new RequestKey(WORKSPACE, key),
        template,
        "{\"runMs\":" + runMs + "}",
        cluster.nowMs() + 60_000,
        repeatable,
        false,
        cluster.nowMs(),
        "");
  }

  private static TemplateDeclaration template(TemplateId id, Shape shape) {
    return new TemplateDeclaration(id, SERVICE, shape, List.of(), true, 500, 60_000, 3, false);
  }
}
