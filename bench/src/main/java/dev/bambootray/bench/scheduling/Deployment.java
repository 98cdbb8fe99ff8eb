package dev.bambootray.bench.scheduling;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.Guarantee;
import dev.bambootray.core.declaration.PolicyDeclaration;
import dev.bambootray.core.declaration.RegionDeclaration;
import dev.bambootray.core.declaration.TemplateDeclaration;
import dev.bambootray.core.declaration.WorkerDeclaration;
import dev.bambootray.core.declaration.WorkspaceDeclaration;
import dev.bambootray.core.model.Adjacency;
import dev.bambootray.core.model.FailureDomainId;
import dev.bambootray.core.model.RackId;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.Resources;
import dev.bambootray.core.model.ServiceId;
import dev.bambootray.core.model.Shape;
import dev.bambootray.core.model.TemplateId;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.model.WorkspaceId;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Builds the declaration of a deployment: a pool, templates and workspaces. */
final class Deployment {
  static final RegionId REGION = RegionId.of("bench");
  private static final ServiceId SERVICE = ServiceId.of("service");
  private static final int RACKS_PER_DOMAIN = 2;
  private static final long HOUR_MS = 3_600_000;

  private final Map<WorkerId, WorkerDeclaration> workers = new LinkedHashMap<>();
  private final Map<TemplateId, TemplateDeclaration> templates = new LinkedHashMap<>();
  private final Map<WorkspaceId, WorkspaceDeclaration> workspaces = new LinkedHashMap<>();
  private final PolicyDeclaration policy;
  private final int millicoresPerAccelerator;
  private final int memoryMibPerAccelerator;

  private Deployment(PolicyDeclaration policy, Resources worker) {
    this.policy = policy;
    this.millicoresPerAccelerator = worker.millicores() / worker.accelerators();
    this.memoryMibPerAccelerator = worker.memoryMib() / worker.accelerators();
  }

  /** Returns the first deployment: many short jobs, measured by completion time. */
  static Deployment first() {
    Resources worker = new Resources(8, 32_000, 65_536);
    Deployment deployment =
        new Deployment(new PolicyDeclaration(0.8, 0.2, HOUR_MS, 600_000, 0.5, 0.1, 1, 20), worker);
    deployment.pool(4, 8, worker);
    deployment.template("tiny", 1, 1, Adjacency.REGION, 20_000, true, true);
    deployment.template("quad", 1, 4, Adjacency.REGION, 120_000, true, true);
    deployment.template("plain", 1, 2, Adjacency.REGION, 60_000, true, false);
    deployment.template("once", 1, 2, Adjacency.REGION, 90_000, false, false);
    deployment.standard(deployment.guarantee(1, deployment.wideShape()));
    return deployment;
  }

  /** Returns the second deployment: long adjacent jobs, measured by fragmentation. */
  static Deployment second() {
    Resources worker = new Resources(8, 128_000, 262_144);
    Deployment deployment =
        new Deployment(new PolicyDeclaration(0.4, 0.6, HOUR_MS, 600_000, 0.5, 0.1, 1, 20), worker);
    deployment.pool(4, 8, worker);
    deployment.template("single", 1, 1, Adjacency.REGION, 40_000, true, true);
    deployment.template("once", 1, 1, Adjacency.REGION, 30_000, false, false);
    deployment.template("short", 1, 2, Adjacency.REGION, 90_000, true, false);
    deployment.template("long", 1, 8, Adjacency.REGION, 600_000, true, true);
    deployment.template("pair", 2, 8, Adjacency.ADJACENT_WORKERS, 480_000, true, true);
    deployment.standard(
        deployment.guarantee(2, deployment.shape(2, 8, Adjacency.ADJACENT_WORKERS)));
    return deployment;
  }

  /** Returns a pool of the given size for the measurement of cost, filled with one-member jobs. */
  static Deployment large(int workerCount) {
    Resources worker = new Resources(12, 96_000, 196_608);
    Deployment deployment = new Deployment(PolicyDeclaration.defaults(), worker);
    deployment.pool((workerCount + 7) / 8, 8, worker);
    for (int accelerators : new int[] {1, 2, 4}) {
      deployment.template(
          "t" + accelerators, 1, accelerators, Adjacency.REGION, 2 * HOUR_MS, true, true);
    }
    deployment.template("gang", 16, 4, Adjacency.RACK, 4 * HOUR_MS, true, true);
    deployment.template("gang64", 64, 1, Adjacency.RACK, 4 * HOUR_MS, true, true);
    int teams = Math.max(4, 180 * workerCount / 4_000);
    for (int i = 0; i < teams; i++) {
      deployment.workspace(
          "team" + i, 1, deployment.guarantee(6, deployment.shape(1, 4, Adjacency.REGION)));
    }
    return deployment;
  }

  private Shape wideShape() {
    return shape(8, 8, Adjacency.ADJACENT_WORKERS);
  }

  /** Adds the templates and workspaces that both deployments have. */
  private void standard(Guarantee largest) {
    template("wide", 8, 8, Adjacency.ADJACENT_WORKERS, 180_000, true, true);
    template("whole", 1, 8, Adjacency.REGION, 120_000, true, true);
    template("half", 1, 4, Adjacency.REGION, 90_000, true, true);
    template("gang64", 64, 1, Adjacency.ADJACENT_WORKERS, 240_000, true, true);
    template("impossible", 1, 16, Adjacency.REGION, 60_000, true, true);
    workspace("large", 3, largest);
    workspace("medium", 2, guarantee(4, shape(1, 8, Adjacency.REGION)));
    workspace("small", 1, guarantee(4, shape(1, 4, Adjacency.REGION)));
    workspace("guest", 1);
  }

  private void pool(int racks, int workersPerRack, Resources capacity) {
    for (int rack = 0; rack < racks; rack++) {
      for (int position = 0; position < workersPerRack; position++) {
        WorkerId id = WorkerId.of("r" + rack + "w" + position);
        workers.put(
            id,
            new WorkerDeclaration(
                id,
                REGION,
                FailureDomainId.of("d" + rack / RACKS_PER_DOMAIN),
                RackId.of("r" + rack),
                position,
                "127.0.0.1",
                1,
                capacity,
                List.of(SERVICE)));
      }
    }
  }

  private Shape shape(int members, int accelerators, Adjacency adjacency) {
    return new Shape(
        members,
        accelerators,
        accelerators * millicoresPerAccelerator,
        accelerators * memoryMibPerAccelerator,
        adjacency);
  }

  private Guarantee guarantee(int count, Shape shape) {
    return new Guarantee(REGION, shape, count);
  }

  private void template(
      String name,
      int members,
      int accelerators,
      Adjacency adjacency,
      long expectedRunMs,
      boolean repeatable,
      boolean checkpointable) {
    TemplateId id = TemplateId.of(name);
    templates.put(
        id,
        new TemplateDeclaration(
            id,
            SERVICE,
            shape(members, accelerators, adjacency),
            List.of(),
            repeatable,
            expectedRunMs,
            24 * HOUR_MS,
            4,
            checkpointable));
  }

  private void workspace(String name, double weight, Guarantee... guarantees) {
    WorkspaceId id = WorkspaceId.of(name);
    workspaces.put(
        id,
        new WorkspaceDeclaration(id, weight, List.of(guarantees), 100_000, 1_000_000, List.of()));
  }

  Declaration declaration() {
    return new Declaration(
        1,
        Map.of(REGION, new RegionDeclaration(REGION, List.of(), Map.of())),
        Map.of(),
        workers,
        workspaces,
        templates,
        policy);
  }
}
