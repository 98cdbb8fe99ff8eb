package dev.bambootray.jobs.model;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Holds the part of the operator's declaration that concerns jobs.
 *
 * @param version version of the declaration; versions only increase
 * @param templates queues that callers submit to
 * @param services services by name
 * @param workspaces workspaces with their guarantees
 * @param maxBodyBytes maximum size of a request body
 * @param closedDomains failure domains whose workers get no new runs
 */
public record JobDeclaration(
    long version,
    List<Template> templates,
    Map<String, Service> services,
    List<Workspace> workspaces,
    int maxBodyBytes,
    Set<String> closedDomains) {

  /** Copies the collections. */
  public JobDeclaration {
    templates = List.copyOf(templates);
    services = Map.copyOf(services);
    workspaces = List.copyOf(workspaces);
    closedDomains = Set.copyOf(closedDomains);
  }

  /** Creates a declaration that closes no failure domain. */
  public JobDeclaration(
      long version,
      List<Template> templates,
      Map<String, Service> services,
      List<Workspace> workspaces,
      int maxBodyBytes) {
    this(version, templates, services, workspaces, maxBodyBytes, Set.of());
  }

  /** Returns this declaration with other failure domains closed. */
  public JobDeclaration withClosedDomains(Set<String> domains) {
    return new JobDeclaration(version, templates, services, workspaces, maxBodyBytes, domains);
  }

  /**
   * A queue that callers submit to.
   *
   * @param name name of the template
   * @param host host name that selects the template
   * @param pathPrefix prefix of the paths that select the template
   * @param service service whose workers run its tasks
   * @param open whether callers need no key
   * @param objective objective of its jobs
   */
  public record Template(
      String name,
      String host,
      String pathPrefix,
      String service,
      boolean open,
      JobSpec.Objective objective) {}

  /**
   * A service whose workers run tasks.
   *
   * @param name name of the service
   * @param enforcesCapacity whether its workers refuse tasks that exceed their capacity
   */
  public record Service(String name, boolean enforcesCapacity) {}

  /**
   * A workspace that owns jobs.
   *
   * @param name name of the workspace
   * @param keys keys of its callers
   * @param guaranteedAccelerators accelerators guaranteed to its jobs of priority 0
   */
  public record Workspace(String name, List<String> keys, int guaranteedAccelerators) {
    /** Copies the list. */
    public Workspace {
      keys = List.copyOf(keys);
    }
  }

  /** Returns the template of a host with the longest prefix of a path. */
  public Optional<Template> template(String host, String path) {
    return templates.stream()
        .filter(t -> t.host().equalsIgnoreCase(host) && path.startsWith(t.pathPrefix()))
        .reduce((a, b) -> b.pathPrefix().length() > a.pathPrefix().length() ? b : a);
  }

  /** Returns the workspace that a key belongs to. */
  public Optional<Workspace> workspaceOfKey(String key) {
    return workspaces.stream().filter(w -> w.keys().contains(key)).findFirst();
  }

  /** Returns the accelerators guaranteed to a workspace, 0 for an unknown one. */
  public int guaranteedAccelerators(String workspace) {
    return workspaces.stream()
        .filter(w -> w.name().equals(workspace))
        .mapToInt(Workspace::guaranteedAccelerators)
        .sum();
  }
}
