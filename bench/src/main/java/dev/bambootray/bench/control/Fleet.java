package dev.bambootray.bench.control;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.Guarantee;
import dev.bambootray.core.declaration.PolicyDeclaration;
import dev.bambootray.core.declaration.RegionDeclaration;
import dev.bambootray.core.declaration.ServiceDeclaration;
import dev.bambootray.core.declaration.TemplateDeclaration;
import dev.bambootray.core.declaration.WorkerDeclaration;
import dev.bambootray.core.declaration.WorkspaceDeclaration;
import dev.bambootray.core.membership.MemberState;
import dev.bambootray.core.membership.MemberStatus;
import dev.bambootray.core.model.Adjacency;
import dev.bambootray.core.model.FailureDomainId;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.RackId;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.Resources;
import dev.bambootray.core.model.ServiceId;
import dev.bambootray.core.model.Shape;
import dev.bambootray.core.model.TemplateId;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.model.WorkspaceId;
import dev.bambootray.core.routing.RegionLoad;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;

/** Nodes, loads and declarations of the target's topology: 5 regions and 13 failure domains. */
final class Fleet {
  static final int REGIONS = 5;
  static final int DOMAINS = 13;

  /** One node for each failure domain: the most work for a node. */
  static final int FEW_NODES = 13;

  /** Two nodes for each failure domain: the most traffic for the table. */
  static final int MANY_NODES = 26;

  static final int WORKERS = 4_000;
  static final int WORKSPACES = 180;
  static final int TEMPLATES = 60;
  private static final int RACK = 8;

  private Fleet() {}

  static RegionId region(int i) {
    return RegionId.of("region-" + i % REGIONS);
  }

  static FailureDomainId domain(int i) {
    return FailureDomainId.of("domain-" + i % DOMAINS);
  }

  static MemberState node(int i, long startedMs) {
    return new MemberState(
        NodeId.of("node-%03d".formatted(i)),
        region(i % DOMAINS),
        domain(i),
        "10.0.%d.%d".formatted(i / 250, i % 250 + 1),
        7400,
        8080,
        startedMs,
        MemberStatus.ALIVE);
  }

  static RegionLoad load(int unit, NodeId owner, long nowMs) {
    return new RegionLoad(
        RegionId.of("unit-" + unit), owner, 3, 200, 2_400, 35, 460, 12, 90_000, nowMs);
  }

  /** Returns a declaration with the given number of workers and otherwise of the target's size. */
  static Declaration declaration(int workers, long version) {
    Map<RegionId, RegionDeclaration> regions = new TreeMap<>();
    for (int i = 0; i < REGIONS; i++) {
      List<FailureDomainId> domains =
          IntStream.range(0, DOMAINS)
              .filter(d -> region(d).equals(region(0)))
              .mapToObj(Fleet::domain)
              .toList();
      regions.put(region(i), new RegionDeclaration(region(i), domains, Map.of()));
    }
    ServiceId service = ServiceId.of("planning");
    Map<WorkerId, WorkerDeclaration> declared = new TreeMap<>();
    for (int i = 0; i < workers; i++) {
      WorkerId id = WorkerId.of("worker-%04d".formatted(i));
      declared.put(id, worker(id, i, service));
    }
    Map<WorkspaceId, WorkspaceDeclaration> workspaces = new TreeMap<>();
    for (int i = 0; i < WORKSPACES; i++) {
      workspaces.put(WorkspaceId.of("team-" + i), workspace(i));
    }
    Map<TemplateId, TemplateDeclaration> templates = new TreeMap<>();
    for (int i = 0; i < TEMPLATES; i++) {
      templates.put(TemplateId.of("template-" + i), template(i, service));
    }
    return new Declaration(
        version,
        regions,
        Map.of(service, new ServiceDeclaration(service, 8, 64)),
        declared,
        workspaces,
        templates,
        PolicyDeclaration.defaults());
  }

  private static WorkerDeclaration worker(WorkerId id, int i, ServiceId service) {
    return new WorkerDeclaration(
        id,
        region(i % DOMAINS),
        domain(i),
        RackId.of("rack-" + i / RACK),
        i % RACK,
        "10.%d.%d.%d".formatted(1 + i / 62_500, i / 250 % 250, i % 250 + 1),
        9000,
        new Resources(1 + i % 2, 128_000, 262_144),
        List.of(service));
  }

  private static WorkspaceDeclaration workspace(int i) {
    Shape shape = new Shape(4, 1, 8_000, 16_384, Adjacency.ADJACENT_WORKERS);
    return new WorkspaceDeclaration(
        WorkspaceId.of("team-" + i),
        1,
        List.of(new Guarantee(region(i), shape, 2)),
        1_000,
        64,
        List.of("%064x".formatted(i)));
  }

  private static TemplateDeclaration template(int i, ServiceId service) {
    Shape shape = new Shape(1 + i % 64, i % 3, 4_000, 8_192, Adjacency.RACK);
    return new TemplateDeclaration(
        TemplateId.of("template-" + i),
        service,
        shape,
        List.of(),
        true,
        3_600_000,
        36_000_000,
        3,
        true);
  }
}
