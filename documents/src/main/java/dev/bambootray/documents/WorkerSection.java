package dev.bambootray.documents;

import dev.bambootray.core.declaration.WorkerDeclaration;
import dev.bambootray.core.model.FailureDomainId;
import dev.bambootray.core.model.RackId;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.Resources;
import dev.bambootray.core.model.ServiceId;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.documents.json.ObjectCursor;
import dev.bambootray.documents.json.Problems;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Reads the workers of a document: single ones and racks of equal ones. */
final class WorkerSection {
  /** Most workers of a document; the target size is 4,000. */
  static final int MAX_WORKERS = 20_000;

  private static final int MAX_RACK_WORKERS = 128;
  private static final int MAX_ACCELERATORS = 64;
  private static final int MAX_MILLICORES = 10_000_000;
  private static final int MAX_MEMORY_MIB = 100_000_000;

  private final DeclaredIds ids;
  private final RegionSection regions;
  private final Problems problems;
  private final Map<WorkerId, WorkerDeclaration> workers = new HashMap<>();
  private final Map<RackId, FailureDomainId> domainOfRack = new HashMap<>();
  private final Map<String, WorkerId> places = new HashMap<>();
  private boolean full;

  private WorkerSection(DeclaredIds ids, RegionSection regions, Problems problems) {
    this.ids = ids;
    this.regions = regions;
    this.problems = problems;
  }

  /** Reads the sections {@code workers} and {@code racks}. */
  static WorkerSection read(
      ObjectCursor document, DeclaredIds ids, RegionSection regions, Problems problems) {
    WorkerSection section = new WorkerSection(ids, regions, problems);
    document.objects("workers").forEach(section::readWorker);
    document.objects("racks").forEach(section::readRack);
    return section;
  }

  /** Returns the workers by identifier. */
  Map<WorkerId, WorkerDeclaration> workers() {
    return workers;
  }

  private void readWorker(ObjectCursor worker) {
    int before = problems.count();
    String id = worker.identifier("id");
    String domain = ids.reference(worker, "failureDomain", "failureDomains");
    String rack = worker.identifier("rack");
    int position = (int) worker.whole("positionInRack", 0, MAX_RACK_WORKERS - 1);
    String host = Addresses.ip(worker, "host");
    int port = worker.port("port");
    Resources capacity = readCapacity(worker.object("capacity"));
    List<ServiceId> services = readServices(worker);
    worker.finish();
    RegionId region = regionOf(domain);
    if (problems.count() == before && region != null) {
      add(
          worker,
          new WorkerDeclaration(
              WorkerId.of(id),
              region,
              FailureDomainId.of(domain),
              RackId.of(rack),
              position,
              host,
              port,
              capacity,
              services));
    }
  }

  private void readRack(ObjectCursor rack) {
    int before = problems.count();
    String id = rack.identifier("id");
    String domain = ids.reference(rack, "failureDomain", "failureDomains");
    int count = (int) rack.whole("workers", 1, MAX_RACK_WORKERS);
    WorkerAddresses addresses = WorkerAddresses.read(rack, count);
    Resources capacity = readCapacity(rack.object("capacity"));
    List<ServiceId> services = readServices(rack);
    rack.finish();
    RegionId region = regionOf(domain);
    if (problems.count() != before || region == null) {
      return;
    }
    if (id.length() > 120) {
      rack.reject("id", "an identifier of " + id.length() + " characters", "at most 120");
      return;
    }
    for (int position = 0; position < count && !full; position++) {
      add(
          rack,
          new WorkerDeclaration(
              WorkerId.of(id + "-w" + (position + 1)),
              region,
              FailureDomainId.of(domain),
              RackId.of(id),
              position,
              addresses.host(position),
              addresses.port(position),
              capacity,
              services));
    }
  }

  private @Nullable RegionId regionOf(String domain) {
    return domain.isEmpty() ? null : regions.regionOfDomain().get(FailureDomainId.of(domain));
  }

  private static Resources readCapacity(ObjectCursor capacity) {
    Resources read =
        new Resources(
            (int) capacity.whole("accelerators", 0, MAX_ACCELERATORS),
            (int) capacity.whole("millicores", 1, MAX_MILLICORES),
            (int) capacity.whole("memoryMib", 1, MAX_MEMORY_MIB));
    capacity.finish();
    return read;
  }

  private List<ServiceId> readServices(ObjectCursor owner) {
    return ids.references(owner, "services", "services").stream().map(ServiceId::of).toList();
  }

  private void add(ObjectCursor source, WorkerDeclaration worker) {
    if (workers.size() >= MAX_WORKERS) {
      if (!full) {
        problems.add(
            source.place(), source.path(), "more workers", "at most " + MAX_WORKERS + " workers");
      }
      full = true;
      return;
    }
    if (workers.putIfAbsent(worker.id(), worker) != null) {
      source.reject("id", "duplicate worker \"" + worker.id() + "\"", "distinct workers");
      return;
    }
    FailureDomainId domain = domainOfRack.putIfAbsent(worker.rack(), worker.failureDomain());
    if (domain != null && !domain.equals(worker.failureDomain())) {
      source.reject(
          "failureDomain",
          "\"" + worker.failureDomain() + "\" for rack \"" + worker.rack() + "\"",
          "\"" + domain + "\", as for other workers of the rack");
    }
    claim(source, worker, "position " + worker.positionInRack() + " of rack " + worker.rack());
    claim(source, worker, "address " + worker.host() + " port " + worker.port());
  }

  private void claim(ObjectCursor source, WorkerDeclaration worker, String place) {
    WorkerId other = places.putIfAbsent(place, worker.id());
    if (other != null) {
      problems.add(
          source.place(),
          source.path(),
          "worker \"" + worker.id() + "\" at " + place,
          "a place that worker \"" + other + "\" does not have");
    }
  }
}
