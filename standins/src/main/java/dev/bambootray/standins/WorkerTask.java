package dev.bambootray.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import org.jspecify.annotations.Nullable;

/** One task of a stand-in worker; guarded by the lock of its {@link WorkerAgent}. */
final class WorkerTask {
  private static final String[] IN_SNAPSHOT =
      "task workspace key template members firstAccelerator accelerators millicores memoryMib"
          .split(" ", -1);

  final String id;
  final String request;
  final int members;
  final int firstAccelerator;
  final int accelerators;
  final int millicores;
  final int memoryMib;
  final boolean inSlot;
  final long epoch;
  private final ObjectNode fixed;

  /** Calls that wait for the end: the {@code run} itself, repeats of it, and queries. */
  final List<HttpCall> waiting = new ArrayList<>();

  String phase = "RESERVED";
  @Nullable String detail;
  long leaseUntilMs;
  long startedAtMs;
  long endedAtMs;
  int throttlePercent = 100;
  double memoryFactor = 1;
  int run = -1;
  @Nullable Future<?> timer;

  WorkerTask(JsonNode command, boolean inSlot) {
    id = command.required("task").asText();
    request = command.required("workspace").asText() + "/" + command.required("key").asText();
    members = command.path("members").asInt(1);
    firstAccelerator = command.path("firstAccelerator").asInt(0);
    accelerators = command.path("accelerators").asInt(0);
    millicores = command.path("millicores").asInt(0);
    memoryMib = command.path("memoryMib").asInt(0);
    epoch = command.required("epoch").asLong();
    this.inSlot = inSlot;
    fixed = HttpCall.JSON.createObjectNode().put("members", members);
    fixed.setAll(((ObjectNode) command).deepCopy().retain(IN_SNAPSHOT));
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

  /** Returns the result of a task that succeeded; it names its request, so that mix-ups show. */
  String result(String worker, int textBytes) {
    return HttpCall.JSON
        .createObjectNode()
        .put("request", request)
        .put("worker", worker)
        .put("member", member())
        .put("text", "x".repeat(textBytes))
        .toString();
  }

  boolean overlaps(int first, int count) {
    return isLive() && first < firstAccelerator + accelerators && firstAccelerator < first + count;
  }

  ObjectNode snapshot(long nowMs) {
    long until = isRunning() ? nowMs : endedAtMs;
    return fixed
        .deepCopy()
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
