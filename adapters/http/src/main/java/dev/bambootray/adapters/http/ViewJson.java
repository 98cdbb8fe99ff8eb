package dev.bambootray.adapters.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import dev.bambootray.core.membership.MemberState;
import dev.bambootray.core.model.Answer;
import dev.bambootray.core.model.Ownership;
import dev.bambootray.core.routing.RegionLoad;
import dev.bambootray.core.scheduling.Explanation;
import dev.bambootray.ports.api.DeclarationText;
import dev.bambootray.ports.api.EventPage;
import dev.bambootray.ports.api.NodeStatus;
import dev.bambootray.ports.api.RequestPage;
import dev.bambootray.ports.api.RequestView;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;

/** Writes what the node returns as JSON. */
final class ViewJson {
  private static final ObjectMapper JSON = new ObjectMapper();

  private ViewJson() {}

  static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  static <T> ArrayNode array(List<T> items, Function<T, JsonNode> writer) {
    ArrayNode array = JsonNodeFactory.instance.arrayNode();
    items.forEach(item -> array.add(writer.apply(item)));
    return array;
  }

  static ObjectNode request(RequestView view) {
    ObjectNode json =
        object()
            .put("workspace", view.key().workspace().value())
            .put("idempotencyKey", view.key().idempotencyKey())
            .put("template", view.template().value())
            .put("state", text(view.state()))
            .put("region", view.region().value())
            .put("durable", view.durable())
            .put("submittedAtMs", view.submittedAtMs())
            .put("deadlineAtMs", view.deadlineAtMs());
    Answer answer = view.answer();
    if (answer != null) {
      json.set("answer", answer(answer));
    }
    return json;
  }

  static ObjectNode page(RequestPage page) {
    ObjectNode json = object();
    json.set("requests", array(page.requests(), ViewJson::request));
    return json.put("nextAfter", page.nextAfterKey());
  }

  static ObjectNode explanation(Explanation explanation) {
    ObjectNode json =
        object()
            .put("workspace", explanation.key().workspace().value())
            .put("idempotencyKey", explanation.key().idempotencyKey())
            .put("state", explanation.state())
            .put("queuePosition", explanation.queuePosition())
            .put("reason", explanation.reason());
    json.set("waitsFor", array(explanation.waitsFor(), TextNode::valueOf));
    json.set("wouldStartIf", array(explanation.wouldStartIf(), TextNode::valueOf));
    return json.put("expectedStartInMs", explanation.expectedStartInMs());
  }

  static ObjectNode declaration(DeclarationText declaration) {
    return object()
        .put("version", declaration.version())
        .put("text", declaration.text())
        .put("publishedAtMs", declaration.publishedAtMs())
        .put("author", declaration.author());
  }

  static ObjectNode events(EventPage page) {
    ObjectNode json = object();
    json.set("events", array(page.events(), ViewJson::event));
    return json.put("nextAfter", page.nextAfter());
  }

  static ObjectNode status(NodeStatus status) {
    ObjectNode json =
        object()
            .put("node", status.node().value())
            .put("ready", status.ready())
            .put("notReadyReason", status.notReadyReason())
            .put("draining", status.draining())
            .put("configurationVersion", status.configurationVersion())
            .put("configurationCurrent", status.configurationCurrent())
            .put("storeAvailable", status.storeAvailable());
    json.set("owned", array(status.owned(), ViewJson::ownership));
    json.set("members", array(status.members(), ViewJson::member));
    json.set("loads", array(status.loads(), ViewJson::load));
    return json.put("openRequests", status.openRequests());
  }

  private static ObjectNode answer(Answer answer) {
    ObjectNode json = object().put("ran", text(answer.ran()));
    if (answer.error() != null) {
      json.set("error", Problems.json(ErrorStatus.ofAnswer(answer.error()), answer.error()));
    } else if (answer.resultReference() != null) {
      json.put("resultReference", answer.resultReference());
    } else {
      json.set("result", result(answer.resultJson() == null ? "null" : answer.resultJson()));
    }
    return json;
  }

  /** Reads a result, which workers write; one that is not JSON is passed on as text. */
  private static JsonNode result(String text) {
    try {
      JsonNode json = JSON.readTree(text);
      return json.isMissingNode() ? JsonNodeFactory.instance.nullNode() : json;
    } catch (JsonProcessingException e) {
      return TextNode.valueOf(text);
    }
  }

  private static ObjectNode event(EventPage.Event event) {
    return object()
        .put("sequence", event.sequence())
        .put("atMs", event.atMs())
        .put("kind", event.kind())
        .put("subject", event.subject())
        .put("detail", event.detail());
  }

  private static ObjectNode ownership(Ownership ownership) {
    return object()
        .put("region", ownership.region().value())
        .put("owner", ownership.owner().value())
        .put("epoch", ownership.epoch());
  }

  private static ObjectNode member(MemberState member) {
    return object()
        .put("node", member.node().value())
        .put("region", member.region().value())
        .put("failureDomain", member.failureDomain().value())
        .put("host", member.host())
        .put("peerPort", member.peerPort())
        .put("httpPort", member.httpPort())
        .put("incarnation", member.incarnation())
        .put("status", text(member.status()));
  }

  private static ObjectNode load(RegionLoad load) {
    return object()
        .put("region", load.region().value())
        .put("owner", load.owner().value())
        .put("epoch", load.epoch())
        .put("freeSlots", load.freeSlots())
        .put("totalSlots", load.totalSlots())
        .put("freeAccelerators", load.freeAccelerators())
        .put("totalAccelerators", load.totalAccelerators())
        .put("expectedSlotWaitMs", load.expectedSlotWaitMs())
        .put("expectedGangWaitMs", load.expectedGangWaitMs())
        .put("measuredAtMs", load.measuredAtMs());
  }

  private static String text(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }
}
