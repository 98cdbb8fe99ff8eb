package dev.bambootray.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import org.jspecify.annotations.Nullable;

/** One task of a stand-in worker; guarded by the lock of its {@link WorkerAgent}. */
final class WorkerTask {
  static final long NO_LEASE = Long.MAX_VALUE;

  final String id;
  final String workspace;
  final String key;
  final String template;
  final int members;
  final int firstAccelerator;
  final int accelerators;
  final int millicores;
  final int memoryMib;
  final boolean inSlot;
  final long epoch;

  /** Calls that wait for the end: the {@code run} itself, repeats of it, and queries. */
  final List<HttpCall> waiting = new ArrayList<>();

  String phase = "RESERVED";
  @Nullable String detail;
  long leaseUntilMs = NO_LEASE;
  long startedAtMs;
  long endedAtMs;
  int throttlePercent = 100;
  double memoryFactor = 1;
  int run = -1;
  @Nullable Future<?> timer;

  WorkerTask(JsonNode command, boolean inSlot) {
    this.id = command.required("task").asText();
    this.workspace = command.required("workspace").asText();
    this.key = command.required("key").asText();
    this.template = command.required("template").asText();
    this.members = command.path("members").asInt(1);
    this.firstAccelerator = command.path("firstAccelerator").asInt(0);
    this.accelerators = command.path("accelerators").asInt(0);
    this.millicores = command.path("millicores").asInt(0);
    this.memoryMib = command.path("memoryMib").asInt(0);
    this.inSlot = inSlot;
    this.epoch = command.required("epoch").asLong();
  }

  String attempt() {
    return id.substring(0, id.lastIndexOf('~'));
  }

  int member() {
    return Integer.parseInt(id.substring(id.lastIndexOf('~') + 1));
  }

  boolean isRunning() {
    return phase.equals("RUNNING");
  }

  boolean isLive() {
    return isRunning() || phase.equals("RESERVED");
  }

  boolean overlaps(int first, int count) {
    return isLive() && first < firstAccelerator + accelerators && firstAccelerator < first + count;
  }

  ObjectNode snapshot(long nowMs) {
    long until = isRunning() ? nowMs : endedAtMs;
    return HttpCall.JSON
        .createObjectNode()
        .put("task", id)
        .put("workspace", workspace)
        .put("key", key)
        .put("template", template)
        .put("members", members)
        .put("firstAccelerator", firstAccelerator)
        .put("accelerators", accelerators)
        .put("millicores", millicores)
        .put("memoryMib", memoryMib)
        .put("phase", phase)
        .put("detail", detail)
        .put("ranForMs", run < 0 ? 0 : Math.max(0, until - startedAtMs));
  }

  ObjectNode usage(long ageMs) {
    return HttpCall.JSON
        .createObjectNode()
        .put("task", id)
        .put("accelerators", accelerators)
        .put("millicores", millicores * throttlePercent / 100)
        .put("memoryMib", (int) (memoryMib * memoryFactor))
        .put("ageMs", ageMs);
  }
}
