package dev.bambootray.adapters.platform;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.bambootray.adapters.httpclient.HttpExchange.Body;
import dev.bambootray.adapters.httpclient.HttpExchange.Lane;
import dev.bambootray.adapters.httpclient.HttpExchange.Request;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.Resources;
import dev.bambootray.core.model.TemplateId;
import dev.bambootray.core.worker.TaskId;
import dev.bambootray.core.worker.WorkerCommand;
import dev.bambootray.core.worker.WorkerCommand.Acknowledge;
import dev.bambootray.core.worker.WorkerCommand.Adopt;
import dev.bambootray.core.worker.WorkerCommand.Checkpoint;
import dev.bambootray.core.worker.WorkerCommand.PollEvents;
import dev.bambootray.core.worker.WorkerCommand.QueryTask;
import dev.bambootray.core.worker.WorkerCommand.Reserve;
import dev.bambootray.core.worker.WorkerCommand.Run;
import dev.bambootray.core.worker.WorkerCommand.Start;
import dev.bambootray.core.worker.WorkerCommand.Stop;
import dev.bambootray.core.worker.WorkerCommand.Throttle;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Writes worker commands in the form of the platform protocol. */
final class WorkerCommandJson {
  private WorkerCommandJson() {}

  /** Returns the HTTP request that carries a command. */
  static Request request(WorkerCommand command) {
    ObjectNode json = PlatformCalls.JSON.createObjectNode();
    json.put("region", command.ownership().region().value())
        .put("owner", command.ownership().owner().value())
        .put("epoch", command.ownership().epoch());
    if (command instanceof Adopt) {
      return post("adopt", json);
    }
    if (command instanceof Reserve reserve) {
      putTask(json, reserve.task());
      putRequest(json, reserve.key(), reserve.template());
      putResources(json, reserve.resources());
      json.put("members", reserve.members())
          .put("firstAccelerator", reserve.firstAccelerator())
          .put("leaseMs", reserve.leaseMs());
      return post("reserve", json);
    }
    if (command instanceof Start start) {
      putTask(json, start.task());
      putRun(json, start.parametersJson(), start.maxRunMs(), start.traceparent());
      return post("start", json.put("checkpoint", start.checkpoint()));
    }
    if (command instanceof Run run) {
      putTask(json, run.task());
      putRequest(json, run.key(), run.template());
      putRun(json, run.parametersJson(), run.maxRunMs(), run.traceparent());
      return post("run", json, Lane.RUN, run.task());
    }
    if (command instanceof Stop stop) {
      return post("stop", putTask(json, stop.task()));
    }
    if (command instanceof Checkpoint checkpoint) {
      return post("checkpoint", putTask(json, checkpoint.task()));
    }
    if (command instanceof Throttle throttle) {
      return post("throttle", putTask(json, throttle.task()).put("percent", throttle.percent()));
    }
    if (command instanceof Acknowledge acknowledge) {
      ArrayNode tasks = json.putArray("tasks");
      acknowledge.tasks().forEach(task -> tasks.add(task.text()));
      return post("acknowledge", json);
    }
    if (command instanceof QueryTask query) {
      putTask(json, query.task()).put("waitMs", query.waitMs());
      return post("query", json).onFreshConnection();
    }
    PollEvents poll = (PollEvents) command;
    json.put("afterSequence", poll.afterSequence())
        .put("waitMs", poll.waitMs())
        .put("leaseMs", poll.leaseMs());
    return post("poll", json, Lane.POLL, null);
  }

  private static Request post(String path, ObjectNode json) {
    return post(path, json, Lane.COMMAND, null);
  }

  private static Request post(String command, ObjectNode json, Lane lane, @Nullable TaskId tag) {
    Body body = new Body(json.toString().getBytes(UTF_8));
    return new Request(
        "POST", "/agent/" + command, Map.of(), body, lane, false, Request.ANY_CONNECTION, tag);
  }

  private static ObjectNode putTask(ObjectNode json, TaskId task) {
    return json.put("task", task.text());
  }

  private static void putRequest(ObjectNode json, RequestKey key, TemplateId template) {
    json.put("workspace", key.workspace().value())
        .put("key", key.idempotencyKey())
        .put("template", template.value());
  }

  private static void putResources(ObjectNode json, Resources resources) {
    json.put("accelerators", resources.accelerators())
        .put("millicores", resources.millicores())
        .put("memoryMib", resources.memoryMib());
  }

  private static void putRun(
      ObjectNode json, String parametersJson, long maxRunMs, String traceparent) {
    json.put("parameters", parametersJson)
        .put("maxRunMs", maxRunMs)
        .put("traceparent", traceparent);
  }
}
