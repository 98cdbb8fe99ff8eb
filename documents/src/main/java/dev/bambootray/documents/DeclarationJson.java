package dev.bambootray.documents;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.Guarantee;
import dev.bambootray.core.declaration.ParameterDeclaration;
import dev.bambootray.core.declaration.PolicyDeclaration;
import dev.bambootray.core.declaration.RegionDeclaration;
import dev.bambootray.core.declaration.ServiceDeclaration;
import dev.bambootray.core.declaration.TemplateDeclaration;
import dev.bambootray.core.declaration.WorkerDeclaration;
import dev.bambootray.core.declaration.WorkspaceDeclaration;
import dev.bambootray.core.model.Resources;
import dev.bambootray.core.model.Shape;
import dev.bambootray.documents.json.ObjectCursor;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

/** Turns declarations into JSON trees; items are ordered by identifier. */
final class DeclarationJson {
  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  private DeclarationJson() {}

  static ObjectNode tree(Declaration declaration) {
    ObjectNode root = NODES.objectNode();
    root.set("regions", items(declaration.regions(), DeclarationJson::region));
    root.set("services", items(declaration.services(), DeclarationJson::service));
    root.set("workers", items(declaration.workers(), DeclarationJson::worker));
    root.set("workspaces", items(declaration.workspaces(), DeclarationJson::workspace));
    root.set("templates", items(declaration.templates(), DeclarationJson::template));
    root.set("policy", policy(declaration.policy()));
    return root;
  }

  private static <K extends Comparable<K>, V> ArrayNode items(
      Map<K, V> items, Function<V, ObjectNode> toJson) {
    ArrayNode array = NODES.arrayNode();
    new TreeMap<>(items).values().forEach(item -> array.add(toJson.apply(item)));
    return array;
  }

  private static ArrayNode texts(Collection<?> values) {
    ArrayNode array = NODES.arrayNode();
    values.forEach(value -> array.add(value.toString()));
    return array;
  }

  private static ObjectNode region(RegionDeclaration region) {
    ObjectNode links = NODES.objectNode();
    new TreeMap<>(region.linkLatencyMs()).forEach((id, ms) -> links.put(id.value(), ms));
    ObjectNode json = NODES.objectNode().put("id", region.id().value());
    json.set("failureDomains", texts(region.failureDomains()));
    json.set("linkLatencyMs", links);
    return json;
  }

  private static ObjectNode service(ServiceDeclaration service) {
    return NODES
        .objectNode()
        .put("id", service.id().value())
        .put("slotsPerTarget", service.slotsPerTarget())
        .put("connectionsPerTarget", service.connectionsPerTarget());
  }

  private static ObjectNode worker(WorkerDeclaration worker) {
    Resources capacity = worker.capacity();
    ObjectNode json =
        NODES
            .objectNode()
            .put("id", worker.id().value())
            .put("failureDomain", worker.failureDomain().value())
            .put("rack", worker.rack().value())
            .put("positionInRack", worker.positionInRack())
            .put("host", worker.host())
            .put("port", worker.port());
    json.set(
        "capacity",
        NODES
            .objectNode()
            .put("accelerators", capacity.accelerators())
            .put("millicores", capacity.millicores())
            .put("memoryMib", capacity.memoryMib()));
    json.set("services", texts(worker.services()));
    return json;
  }

  private static ObjectNode workspace(WorkspaceDeclaration workspace) {
    ArrayNode guarantees = NODES.arrayNode();
    workspace.guarantees().forEach(guarantee -> guarantees.add(guarantee(guarantee)));
    ObjectNode json =
        NODES
            .objectNode()
            .put("id", workspace.id().value())
            .put("weight", workspace.weight())
            .put("maxQueued", workspace.maxQueued())
            .put("maxAccelerators", workspace.maxAccelerators());
    json.set("guarantees", guarantees);
    json.set("tokenSha256", texts(workspace.tokenSha256()));
    return json;
  }

  private static ObjectNode guarantee(Guarantee guarantee) {
    ObjectNode json = NODES.objectNode().put("region", guarantee.region().value());
    json.set("shape", shape(guarantee.shape()));
    return json.put("count", guarantee.count());
  }

  private static ObjectNode shape(Shape shape) {
    return NODES
        .objectNode()
        .put("members", shape.members())
        .put("acceleratorsPerMember", shape.acceleratorsPerMember())
        .put("millicoresPerMember", shape.millicoresPerMember())
        .put("memoryMibPerMember", shape.memoryMibPerMember())
        .put("adjacency", ObjectCursor.choiceName(shape.adjacency()));
  }

  private static ObjectNode template(TemplateDeclaration template) {
    ArrayNode parameters = NODES.arrayNode();
    template.parameters().forEach(parameter -> parameters.add(parameter(parameter)));
    ObjectNode json =
        NODES
            .objectNode()
            .put("id", template.id().value())
            .put("service", template.service().value());
    json.set("shape", shape(template.shape()));
    json.set("parameters", parameters);
    return json.put("repeatable", template.repeatable())
        .put("expectedRunMs", template.expectedRunMs())
        .put("maxRunMs", template.maxRunMs())
        .put("maxAttempts", template.maxAttempts())
        .put("checkpointable", template.checkpointable());
  }

  private static ObjectNode parameter(ParameterDeclaration parameter) {
    ObjectNode json =
        NODES
            .objectNode()
            .put("name", parameter.name())
            .put("type", ObjectCursor.choiceName(parameter.type()))
            .put("required", parameter.required());
    if (parameter.minimum() != null) {
      json.put("minimum", parameter.minimum());
    }
    if (parameter.maximum() != null) {
      json.put("maximum", parameter.maximum());
    }
    json.set("allowedValues", texts(parameter.allowedValues()));
    String defaultJson = parameter.defaultJson();
    if (defaultJson != null) {
      JsonNode value = NODES.rawValueNode(new RawValue(defaultJson));
      json.set("default", value);
    }
    return json;
  }

  private static ObjectNode policy(PolicyDeclaration policy) {
    return NODES
        .objectNode()
        .put("completionTimeWeight", policy.completionTimeWeight())
        .put("fragmentationWeight", policy.fragmentationWeight())
        .put("shareHalfLifeMs", policy.shareHalfLifeMs())
        .put("ageingMs", policy.ageingMs())
        .put("ejectionMaxShare", policy.ejectionMaxShare())
        .put("retryBudgetShare", policy.retryBudgetShare())
        .put("hedgeAfterQuantile", policy.hedgeAfterQuantile())
        .put("spillHysteresisMs", policy.spillHysteresisMs());
  }
}
