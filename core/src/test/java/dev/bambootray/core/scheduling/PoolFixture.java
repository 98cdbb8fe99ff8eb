package dev.bambootray.core.scheduling;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.Guarantee;
import dev.bambootray.core.declaration.PolicyDeclaration;
import dev.bambootray.core.declaration.RegionDeclaration;
import dev.bambootray.core.declaration.TemplateDeclaration;
import dev.bambootray.core.declaration.WorkerDeclaration;
import dev.bambootray.core.declaration.WorkspaceDeclaration;
import dev.bambootray.core.model.Adjacency;
import dev.bambootray.core.model.FailureDomainId;
import dev.bambootray.core.model.NodeId;
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
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.simple.RandomSource;

/** Builds small declarations of workers, templates and workspaces for tests. */
final class PoolFixture {
  static final RegionId REGION = RegionId.of("north");
  static final long DAY_MS = 86_400_000;

  private final Map<WorkerId, WorkerDeclaration> workers = new LinkedHashMap<>();
  private final Map<TemplateId, TemplateDeclaration> templates = new LinkedHashMap<>();
  private final Map<WorkspaceId, WorkspaceDeclaration> workspaces = new LinkedHashMap<>();

  /** Adds racks of workers with 8 accelerators, two racks to a failure domain. */
  PoolFixture racks(int racks, int workersPerRack) {
    for (int rack = 0; rack < racks; rack++) {
      for (int position = 0; position < workersPerRack; position++) {
        WorkerId id = worker(rack, position);
        workers.put(
            id,
            new WorkerDeclaration(
                id,
                REGION,
                FailureDomainId.of("d" + rack / 2),
                RackId.of("r" + rack),
                position,
                "127.0.0.1",
                1,
                new Resources(8, 32_000, 65_536),
                List.of()));
      }
    }
    return this;
  }

  static WorkerId worker(int rack, int position) {
    return WorkerId.of("r" + rack + "w" + position);
  }

  static Shape shape(int members, int accelerators, Adjacency adjacency) {
    return new Shape(members, accelerators, accelerators * 1_000, accelerators * 2_048, adjacency);
  }

  PoolFixture template(String id, Shape shape, boolean checkpointable) {
    TemplateId templateId = TemplateId.of(id);
    templates.put(
        templateId,
        new TemplateDeclaration(
            templateId,
            ServiceId.of("service"),
            shape,
            List.of(),
            true,
            60_000,
            DAY_MS,
            3,
            checkpointable));
    return this;
  }

  PoolFixture workspace(String id, Guarantee... guarantees) {
    return workspace(id, 1_000, 1_000, guarantees);
  }

  PoolFixture workspace(String id, int maxQueued, int maxAccelerators, Guarantee... guarantees) {
    WorkspaceId workspace = WorkspaceId.of(id);
    workspaces.put(
        workspace,
        new WorkspaceDeclaration(
            workspace, 1, List.of(guarantees), maxQueued, maxAccelerators, List.of()));
    return this;
  }

  static Guarantee guarantee(int count, Shape shape) {
    return new Guarantee(REGION, shape, count);
  }

  Declaration declaration() {
    return new Declaration(
        1,
        Map.of(REGION, new RegionDeclaration(REGION, List.of(), Map.of())),
        Map.of(),
        workers,
        workspaces,
        templates,
        PolicyDeclaration.defaults());
  }

  RegionScheduler scheduler() {
    return RegionScheduler.builder()
        .region(REGION)
        .declaration(declaration())
        .owner(NodeId.of("n1"))
        .epoch(3)
        .random(RandomSource.SPLIT_MIX_64.create(7))
        .build();
  }

  /** Returns a cluster whose workers have all joined and whose adoption is complete. */
  ScriptedCluster cluster() {
    ScriptedCluster cluster = new ScriptedCluster(scheduler());
    workers.keySet().forEach(id -> cluster.send(new SchedulerEvent.WorkerJoined(id)));
    cluster.send(new SchedulerEvent.AdoptionCompleted());
    return cluster;
  }

  QueuedJob job(String workspace, String key, String template) {
    return job(workspace, key, template, true, false, DAY_MS);
  }

  QueuedJob job(
      String workspace,
      String key,
      String template,
      boolean repeatable,
      boolean urgent,
      long deadlineAtMs) {
    return new QueuedJob(
        new RequestSpec(
            RequestKey.of(workspace, key),
            TemplateId.of(template),
            "{}",
            deadlineAtMs,
            repeatable,
            urgent,
            0,
            ""),
        templates.get(TemplateId.of(template)),
        null);
  }

  List<WorkerId> workerIds() {
    return new ArrayList<>(workers.keySet());
  }
}
