package dev.bambootray.documents;

import dev.bambootray.core.declaration.ServiceDeclaration;
import dev.bambootray.core.model.ServiceId;
import dev.bambootray.documents.json.ObjectCursor;
import dev.bambootray.documents.json.Problems;
import java.util.HashMap;
import java.util.Map;

/** Reads the services of a document. */
final class ServiceSection {
  private static final int MAX_SLOTS = 1_000;
  private static final int MAX_CONNECTIONS = 10_000;

  private ServiceSection() {}

  static Map<ServiceId, ServiceDeclaration> read(ObjectCursor document, Problems problems) {
    Map<ServiceId, ServiceDeclaration> services = new HashMap<>();
    for (ObjectCursor service : document.objects("services")) {
      int before = problems.count();
      String id = service.identifier("id");
      int slots = (int) service.whole("slotsPerTarget", 1, MAX_SLOTS, 8);
      int connections = (int) service.whole("connectionsPerTarget", 1, MAX_CONNECTIONS, 64);
      if (problems.count() == before && connections < slots) {
        service.reject(
            "connectionsPerTarget",
            Integer.toString(connections),
            "at least one for each of the " + slots + " slots");
      }
      service.finish();
      if (problems.count() == before) {
        ServiceId serviceId = ServiceId.of(id);
        services.put(serviceId, new ServiceDeclaration(serviceId, slots, connections));
      }
    }
    return services;
  }
}
