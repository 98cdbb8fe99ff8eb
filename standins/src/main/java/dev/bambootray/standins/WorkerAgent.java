package dev.bambootray.standins;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.concurrent.TimeUnit.MILLISECONDS;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/** Tasks, leases and epochs of a stand-in worker, as the platform protocol states them. */
final class WorkerAgent {
  private static final long ADOPTED_LEASE_MS = 10_000;
  private static final long RETAINED_MS = 600_000;
  private static final long USAGE_AGE_MS = 2_000;

  private record Poll(HttpCall call, long afterSequence, long leaseMs) {}

  private final StandInWorker.Spec spec;
  private final RunLedger ledger;
  private final ScheduledExecutorService timers;
  private final LongSupplier nowMs;
  private final long startedAtMs;
  private final Map<String, WorkerTask> tasks = new LinkedHashMap<>();
  private final Map<String, WorkerTask> forgotten = new HashMap<>();
  private final Set<String> fenced = new HashSet<>();
  private final EventLog events = new EventLog();
  private final List<Poll> polls = new ArrayList<>();
  private long highestEpoch;
  private String owner = "";
  private boolean failEveryTask;
  private long leavingSinceMs = -1;
  private long latestWorkAfterLeavingMs = -1;
  private int peakSlots;
  private boolean dead;

  WorkerAgent(
      StandInWorker.Spec spec,
      RunLedger ledger,
      ScheduledExecutorService timers,
      LongSupplier nowMs) {
    this.spec = spec;
    this.ledger = ledger;
    this.timers = timers;
    this.nowMs = nowMs;
    startedAtMs = nowMs.getAsLong();
  }

  synchronized void setFailEveryTask(boolean value) {
    failEveryTask = value;
  }

  synchronized void leave() {
    leavingSinceMs = nowMs.getAsLong();
    List.copyOf(polls).forEach(this::answerPoll);
  }

  synchronized void die() {
    dead = true;
    tasks.values().stream().filter(WorkerTask::isRunning).forEach(task -> finish(task, "DIED", ""));
  }

  synchronized ObjectNode counters() {
    return HttpCall.JSON
        .createObjectNode()
        .put("highestEpoch", highestEpoch)
        .put("slotsInUse", slotsInUse())
        .put("peakSlots", peakSlots)
        .put("latestWorkAfterLeavingMs", latestWorkAfterLeavingMs);
  }

  synchronized void handle(String command, HttpCall call) {
    JsonNode json = call.json();
    String refusal = checkClaim(command, json);
    if (!refusal.isEmpty()) {
      refuse(call, refusal);
      return;
    }
    switch (command) {
      case "adopt" -> adopt(json, call);
      case "reserve", "run" -> admit(command.equals("run"), json, call);
      case "start" -> change(json, call, task -> begin(task, json));
      case "stop" -> stop(json, call);
      case "checkpoint" -> change(json, call, this::checkpoint);
      case "throttle" ->
          change(json, call, task -> task.throttlePercent = json.path("percent").asInt(100));
      case "acknowledge" -> acknowledge(json, call);
      case "query" -> query(json, call);
      case "poll" -> poll(json, call);
      default -> refuse(call, "INVALID");
    }
  }

  private String checkClaim(String command, JsonNode json) {
    if (!json.path("epoch").canConvertToLong()
        || !json.path("region").asText().equals(spec.region())) {
      return "INVALID";
    }
    long epoch = json.get("epoch").asLong();
    String sender = json.path("owner").asText();
    if (epoch < highestEpoch || (epoch == highestEpoch && !sender.equals(owner))) {
      return "STALE_EPOCH";
    }
    return epoch > highestEpoch && !command.equals("adopt") ? "NOT_ADOPTED" : "";
  }

  private void adopt(JsonNode json, HttpCall call) {
    highestEpoch = json.get("epoch").asLong();
    owner = json.path("owner").asText();
    polls.forEach(poll -> refuse(poll.call(), "STALE_EPOCH"));
    polls.clear();
    ObjectNode reply = HttpCall.JSON.createObjectNode().put("sequence", events.lastSequence());
    reply.put("leaving", leavingSinceMs >= 0).put("aliveForMs", nowMs.getAsLong() - startedAtMs);
    ArrayNode list = reply.putArray("tasks");
    for (WorkerTask task : tasks.values()) {
      extendLease(task, ADOPTED_LEASE_MS);
      list.add(task.snapshot(nowMs.getAsLong()));
    }
    call.answer(200, reply);
  }

  private void admit(boolean inSlot, JsonNode json, HttpCall call) {
    WorkerTask task = new WorkerTask(json, inSlot);
    WorkerTask known = known(task.id);
    if (known != null) {
      if (inSlot) {
        answerAtEnd(known, call);
      } else {
        call.done();
      }
      return;
    }
    if (fenced.contains(task.id)) {
      refuse(call, "UNKNOWN_TASK");
      return;
    }
    if (leavingSinceMs >= 0) {
      latestWorkAfterLeavingMs = nowMs.getAsLong() - leavingSinceMs;
      refuse(call, "LEAVING");
      return;
    }
    if (inSlot ? slotsInUse() >= spec.slots() : !spec.fits(task, tasks.values())) {
      refuse(call, "NO_CAPACITY");
      return;
    }
    if (inSlot) {
      begin(task, json);
      tasks.put(task.id, task);
      task.waiting.add(call);
      peakSlots = Math.max(peakSlots, slotsInUse());
      return;
    }
    tasks.put(task.id, task);
    extendLease(task, json.path("leaseMs").asLong());
    emit(task);
    call.done();
  }

  private void answerAtEnd(WorkerTask task, HttpCall call) {
    if (task.isLive()) {
      task.waiting.add(call);
    } else {
      answerSnapshot(task, call);
    }
  }

  private void answerSnapshot(WorkerTask task, HttpCall call) {
    call.answer(200, task.snapshot(nowMs.getAsLong()));
  }

  private int slotsInUse() {
    return (int) tasks.values().stream().filter(task -> task.inSlot && task.isRunning()).count();
  }

  private void change(JsonNode json, HttpCall call, Consumer<WorkerTask> change) {
    WorkerTask task = known(json.required("task").asText());
    if (task == null) {
      refuse(call, "UNKNOWN_TASK");
      return;
    }
    change.accept(task);
    call.done();
  }

  private void begin(WorkerTask task, JsonNode json) {
    if (!task.phase.equals("RESERVED")) {
      return;
    }
    String text = json.path("parameters").asText("{}");
    JsonNode parameters = HttpCall.parse(text);
    String checkpoint = json.path("checkpoint").asText("");
    long doneMs = Long.parseLong("0" + checkpoint.substring(checkpoint.indexOf('@') + 1));
    task.phase = "RUNNING";
    task.startedAtMs = nowMs.getAsLong();
    task.memoryFactor = parameters.path("memoryFactor").asDouble(1);
    task.run =
        ledger.begin(
            new RunLedger.Start(
                task.request,
                task.attempt(),
                task.member(),
                task.members,
                spec.name(),
                spec.region(),
                task.firstAccelerator,
                task.accelerators,
                checkpoint.contains("@"),
                task.startedAtMs,
                text.getBytes(UTF_8).length));
    long runMs = Math.max(0, parameters.path("runMs").asLong(0) - doneMs);
    long maxRunMs = json.path("maxRunMs").asLong(Long.MAX_VALUE);
    task.timer =
        timers.schedule(
            () -> complete(task, parameters, runMs > maxRunMs),
            Math.min(runMs, maxRunMs),
            MILLISECONDS);
    if (!task.inSlot) {
      emit(task);
    }
  }

  private synchronized void complete(WorkerTask task, JsonNode parameters, boolean overtime) {
    if (!task.isRunning() || dead) {
      return;
    }
    if (overtime) {
      finish(task, "STOPPED", "run time limit reached");
    } else if (failEveryTask || parameters.path("fail").asBoolean(false)) {
      finish(task, "FAILED", "task failed on " + spec.name());
    } else {
      finish(task, "FINISHED", task.result(spec.name(), parameters.path("resultBytes").asInt(0)));
    }
  }

  private void finish(WorkerTask task, String phase, String detail) {
    boolean ran = task.isRunning();
    task.phase = phase;
    task.detail = detail;
    task.endedAtMs = nowMs.getAsLong();
    if (task.timer != null) {
      task.timer.cancel(false);
    }
    if (ran) {
      ledger.end(task.run, new RunLedger.End(task.endedAtMs, phase, detail.getBytes(UTF_8).length));
    }
    if (dead) {
      return;
    }
    boolean delivered = false;
    for (HttpCall call : task.waiting) {
      delivered |= call.isConnected();
      call.answer(200, task.snapshot(task.endedAtMs));
    }
    task.waiting.clear();
    if (!task.inSlot || !delivered || task.epoch != highestEpoch) {
      emit(task);
    }
  }

  private void release(WorkerTask task) {
    task.phase = "UNKNOWN";
    fenced.add(task.id);
    tasks.remove(task.id);
    emit(task);
  }

  private void stop(JsonNode json, HttpCall call) {
    String id = json.required("task").asText();
    WorkerTask task = known(id);
    if (task == null) {
      fenced.add(id);
    } else {
      end(task, "STOPPED", "stopped by command");
    }
    call.done();
  }

  private void checkpoint(WorkerTask task) {
    long ranMs = Math.max(0, nowMs.getAsLong() - task.startedAtMs);
    end(task, "CHECKPOINTED", "checkpoint/" + task.id + "@" + ranMs);
  }

  private void end(WorkerTask task, String phase, String detail) {
    if (task.phase.equals("RESERVED")) {
      release(task);
    } else if (task.isRunning()) {
      finish(task, phase, detail);
    }
  }

  private void acknowledge(JsonNode json, HttpCall call) {
    for (JsonNode id : json.path("tasks")) {
      WorkerTask task = tasks.get(id.asText());
      if (task != null && !task.isLive()) {
        forgetOutcome(task);
      }
    }
    call.done();
  }

  /** Drops the outcome but not the fact that the task ran, so that it never runs again. */
  private void forgetOutcome(WorkerTask task) {
    task.phase = "STOPPED";
    task.detail = "outcome no longer retained";
    tasks.remove(task.id);
    forgotten.put(task.id, task);
  }

  private @Nullable WorkerTask known(String id) {
    WorkerTask task = tasks.get(id);
    return task == null ? forgotten.get(id) : task;
  }

  private void query(JsonNode json, HttpCall call) {
    String id = json.required("task").asText();
    WorkerTask task = known(id);
    if (task == null) {
      fenced.add(id);
      call.answer(200, HttpCall.JSON.createObjectNode().put("task", id).put("phase", "UNKNOWN"));
      return;
    }
    answerAtEnd(task, call);
    long waitMs = json.path("waitMs").asLong(0);
    var unused = timers.schedule(() -> endQuery(task, call), waitMs, MILLISECONDS);
  }

  private synchronized void endQuery(WorkerTask task, HttpCall call) {
    if (task.waiting.remove(call)) {
      answerSnapshot(task, call);
    }
  }

  private void poll(JsonNode json, HttpCall call) {
    Poll poll = new Poll(call, json.path("afterSequence").asLong(), json.path("leaseMs").asLong());
    tasks.values().forEach(task -> extendLease(task, poll.leaseMs()));
    polls.add(poll);
    if (events.lastSequence() > poll.afterSequence()) {
      answerPoll(poll);
      return;
    }
    long waitMs = json.path("waitMs").asLong(0);
    var unused = timers.schedule(() -> answerPoll(poll), waitMs, MILLISECONDS);
  }

  private synchronized void answerPoll(Poll poll) {
    if (!polls.remove(poll)) {
      return;
    }
    ObjectNode reply = HttpCall.JSON.createObjectNode().put("leaving", leavingSinceMs >= 0);
    events.writeAfter(poll.afterSequence(), reply.putArray("events"));
    ArrayNode usage = reply.putArray("usage");
    for (WorkerTask task : tasks.values()) {
      extendLease(task, poll.leaseMs());
      if (task.isRunning() && !task.inSlot) {
        usage.add(task.usage(USAGE_AGE_MS));
      }
    }
    poll.call().answer(200, reply);
  }

  private void emit(WorkerTask task) {
    events.add(task.snapshot(nowMs.getAsLong()));
    List.copyOf(polls).forEach(this::answerPoll);
  }

  private void extendLease(WorkerTask task, long leaseMs) {
    if (task.isLive() && !task.inSlot) {
      task.leaseUntilMs = Math.max(task.leaseUntilMs, nowMs.getAsLong() + leaseMs);
    }
  }

  /** Ends tasks whose lease has lapsed and outcomes that were retained long enough. */
  synchronized void sweep() {
    long now = nowMs.getAsLong();
    for (WorkerTask task : dead ? List.<WorkerTask>of() : List.copyOf(tasks.values())) {
      if (task.isLive() && !task.inSlot && task.leaseUntilMs <= now) {
        end(task, "STOPPED", "lease lapsed");
      } else if (!task.isLive() && now - task.endedAtMs > RETAINED_MS) {
        forgetOutcome(task);
      }
    }
  }

  private void refuse(HttpCall call, String reason) {
    ObjectNode reply = HttpCall.JSON.createObjectNode().put("reason", reason);
    call.answer(409, reply.put("highestEpoch", highestEpoch));
  }
}
