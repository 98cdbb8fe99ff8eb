package dev.bambootray.core.declaration;

import dev.bambootray.core.model.FailureDomainId;
import dev.bambootray.core.model.RackId;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.Resources;
import dev.bambootray.core.model.ServiceId;
import dev.bambootray.core.model.WorkerId;
import java.util.List;

/**
 * A worker and the services that have a target on it.
 *
 * @param id the worker
 * @param region its region
 * @param failureDomain its failure domain
 * @param rack its rack
 * @param positionInRack its position in the rack, from 0; workers at consecutive positions are
 *     adjacent
 * @param host IP address of its agent
 * @param port TCP port of its agent
 * @param capacity its accelerators, processors and memory
 * @param services services that have a target on it
 */
public record WorkerDeclaration(
    WorkerId id,
    RegionId region,
    FailureDomainId failureDomain,
    RackId rack,
    int positionInRack,
    String host,
    int port,
    Resources capacity,
    List<ServiceId> services) {

  /** Copies the services. */
  public WorkerDeclaration {
    services = List.copyOf(services);
  }
}
