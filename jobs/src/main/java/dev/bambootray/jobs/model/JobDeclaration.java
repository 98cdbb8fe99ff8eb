package dev.bambootray.jobs.model;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The operator's configuration as far as jobs need it.
 *
 * @param version its version; versions only rise
 * @param templates queues that callers submit to
 * @param services services by name
 * @param workspaces workspaces
 * @param maxBodyBytes largest body of a request
 */
public record JobDeclaration(
    long version,
    List<Template> templates,
    Map<String, Service> services,
    List<Workspace> workspaces,
    int maxBodyBytes) {

  /** Copies the collections. */
  public JobDeclaration {
    templates = List.copyOf(templates);
    services = Map.copyOf(services);
    workspaces = List.copyOf(workspaces);
  }

  /**
   * A queue that callers submit to.
   *
   * @param name its name
   * @param host host name that selects it
   * @param pathPrefix start of the path that selects it
   * @param service service whose workers run its tasks
   * @param open whether no key is needed
   * @param objective what it promises
   */
  public record Template(
      String name,
      String host,
      String pathPrefix,
      String service,
      boolean open,
      JobSpec.Objective objective) {}

  /**
   * A service.
   *
   * @param name its name
   * @param guarded whether its workers refuse what does not fit
   */
  public record Service(String name, boolean guarded) {}

  /**
   * A workspace.
   *
   * @param name its name
   * @param keys keys of its callers
   * @param guaranteedAccelerators accelerators that belong to its jobs of priority 0 at all times
   */
  public record Workspace(String name, List<String> keys, int guaranteedAccelerators) {
    /** Copies the list. */
    public Workspace {
      keys = List.copyOf(keys);
    }
  }

  /** Finds the template with the longest prefix of a path. */
  public Optional<Template> template(String host, String path) {
    return templates.stream()
        .filter(t -> t.host().equalsIgnoreCase(host) && path.startsWith(t.pathPrefix()))
        .reduce((a, b) -> b.pathPrefix().length() > a.pathPrefix().length() ? b : a);
  }

  /** Finds the workspace that a key belongs to. */
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
