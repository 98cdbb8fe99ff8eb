package dev.bambootray.adapters.platform;

import com.fasterxml.jackson.databind.JsonNode;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.Resources;
import dev.bambootray.core.model.TemplateId;
import dev.bambootray.core.worker.RefusalReason;
import dev.bambootray.core.worker.TaskId;
import dev.bambootray.core.worker.TaskPhase;
import dev.bambootray.core.worker.TaskSnapshot;
import dev.bambootray.core.worker.TaskUsage;
import dev.bambootray.core.worker.WorkerCommand;
import dev.bambootray.core.worker.WorkerEvent;
import dev.bambootray.core.worker.WorkerReply;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/**
 * Reads replies of worker agents. Every method throws {@link IllegalArgumentException} if a member
 * is missing or wrong.
 */
final class WorkerReplyJson {
  /** Stands for the request and template of a task that the worker does not know. */
  private static final String NOT_KNOWN = "unknown";

  private WorkerReplyJson() {}

  /** Reads the reply with status 200 to a command. */
  static WorkerReply reply(WorkerCommand command, JsonNode json) {
    if (command instanceof WorkerCommand.Adopt) {
      return new WorkerReply.Adopted(
          list(json.required("tasks"), WorkerReplyJson::snapshot),
          json.required("sequence").asLong(),
          json.required("leaving").asBoolean(),
          json.required("aliveForMs").asLong());
    }
    if (command instanceof WorkerCommand.Run || command instanceof WorkerCommand.QueryTask) {
      return new WorkerReply.TaskState(snapshot(json));
    }
    if (command instanceof WorkerCommand.PollEvents) {
      return new WorkerReply.Events(
          list(json.required("events"), WorkerReplyJson::event),
          list(json.required("usage"), WorkerReplyJson::usage),
          json.required("leaving").asBoolean());
    }
    return new WorkerReply.Done();
  }

  /** Reads the reply with status 409. */
  static WorkerReply refusal(JsonNode json) {
    return new WorkerReply.Refused(
        RefusalReason.valueOf(json.required("reason").asText()),
        json.required("highestEpoch").asLong());
  }

  private static WorkerEvent event(JsonNode json) {
    return new WorkerEvent(json.required("sequence").asLong(), snapshot(json.required("snapshot")));
  }

  private static TaskUsage usage(JsonNode json) {
    return new TaskUsage(task(json), resources(json), json.path("ageMs").asLong());
  }

  private static TaskSnapshot snapshot(JsonNode json) {
    return new TaskSnapshot(
        task(json),
        RequestKey.of(json.path("workspace").asText(NOT_KNOWN), json.path("key").asText(NOT_KNOWN)),
        TemplateId.of(json.path("template").asText(NOT_KNOWN)),
        json.path("members").asInt(),
        json.path("firstAccelerator").asInt(),
        resources(json),
        TaskPhase.valueOf(json.required("phase").asText()),
        json.path("detail").isTextual() ? json.get("detail").asText() : null,
        json.path("ranForMs").asLong());
  }

  private static TaskId task(JsonNode json) {
    return TaskId.parse(json.required("task").asText());
  }

  private static Resources resources(JsonNode json) {
    return new Resources(
        json.path("accelerators").asInt(),
        json.path("millicores").asInt(),
        json.path("memoryMib").asInt());
  }

  private static <T> List<T> list(JsonNode array, Function<JsonNode, T> reader) {
    List<T> list = new ArrayList<>();
    array.forEach(item -> list.add(reader.apply(item)));
    return List.copyOf(list);
  }
}
