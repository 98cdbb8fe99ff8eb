package dev.bambootray.core.declaration;

import dev.bambootray.core.model.ServiceId;
import dev.bambootray.core.model.TemplateId;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.model.WorkspaceId;
import java.util.Map;

/**
 * One immutable version of the configuration that operators declare.
 *
 * @param version rises by one with each accepted change; 0 before the first
 * @param regions regions with their failure domains, by identifier
 * @param services services by identifier
 * @param workers workers, which also carry the targets of services, by identifier
 * @param workspaces workspaces by identifier
 * @param templates templates by identifier
 * @param policy weights and limits of scheduling and routing
 */
public record Declaration(
    long version,
    Map<dev.bambootray.core.model.RegionId, RegionDeclaration> regions,
    Map<ServiceId, ServiceDeclaration> services,
    Map<WorkerId, WorkerDeclaration> workers,
    Map<WorkspaceId, WorkspaceDeclaration> workspaces,
    Map<TemplateId, TemplateDeclaration> templates,
    PolicyDeclaration policy) {

  /** Copies the maps. */
  public Declaration {
    regions = Map.copyOf(regions);
    services = Map.copyOf(services);
    workers = Map.copyOf(workers);
    workspaces = Map.copyOf(workspaces);
    templates = Map.copyOf(templates);
  }

  /** Returns the same content under another version. */
  public Declaration withVersion(long newVersion) {
    return new Declaration(newVersion, regions, services, workers, workspaces, templates, policy);
  }
}
