package dev.bambootray.soak.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.bambootray.adapters.http.ApiRequest;
import dev.bambootray.adapters.http.ApiResponse;
import dev.bambootray.adapters.http.PendingResponse;
import dev.bambootray.adapters.http.RequestRouter;
import dev.bambootray.jobs.model.RunName;
import dev.bambootray.jobs.model.TaskName;
import dev.bambootray.jobs.worker.HoldReply;
import dev.bambootray.jobs.worker.RunEnd;
import dev.bambootray.jobs.worker.StartReply;
import dev.bambootray.standins.jobs.SimulatedPoolWorker;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/** The address of a worker, with one life of it after the other; confined to one event loop. */
public final class WorkerEndpoint implements RequestRouter {
  private static final Pattern TASK = Pattern.compile("(.+)\\.(\\d+)\\.(\\d+)\\.(\\d+)");

  private record Waiting(
      JsonNode order,
      long untilMs,
      CompletableFuture<ApiResponse> answer,
      SimulatedPoolWorker life) {}

  /** Sees the orders that a worker gets and what it reports. */
  public interface Observer {

    /** Returns whether somebody submitted the job of a run; others are not started. */
    boolean isKnown(RunName run);

    /** A run has been started. */
    void onStart(String worker, RunName run, String payload, String checkpoint);

    /** A checkpoint is reported. */
    void onCheckpoint(RunName run, String checkpoint);

    /** An end that stands for good may be forgotten. */
    void onNoted(RunEnd end);
  }

  private final EventLoop loop;
  private final LongSupplier clock;
  private final Observer observer;
  private final List<Waiting> waiting = new ArrayList<>();
  private @Nullable SimulatedPoolWorker life;
  private long lastMs;

  /**
   * Creates an address at which nothing answers yet.
   *
   * @param clock the worker's steady clock in milliseconds
   */
  public WorkerEndpoint(EventLoop loop, LongSupplier clock, Observer observer) {
    this.loop = loop;
    this.clock = clock;
    this.observer = observer;
  }

  /** Begins a life, or ends the one before with null: a VM that is down answers nothing. */
  public void setLife(@Nullable SimulatedPoolWorker newLife) {
    life = newLife;
  }

  /** Lets time pass for the runs and answers the calls that wait for an end. */
  public void advance() {
    long nowMs = clock.getAsLong();
    SimulatedPoolWorker current = life;
    if (current != null) {
      current.advance(lastMs, nowMs);
    }
    lastMs = nowMs;
    answerWaiting();
  }

  @Override
  public PendingResponse route(ApiRequest request) {
    CompletableFuture<ApiResponse> answer = new CompletableFuture<>();
    loop.execute(() -> serve(request, answer));
    return PendingResponse.of(answer, response -> response);
  }

  private void serve(ApiRequest request, CompletableFuture<ApiResponse> answer) {
    SimulatedPoolWorker current = life;
    if (current == null) {
      return;
    }
    String meant = request.header("Bambootray-Expect-Instance");
    if (!meant.isEmpty() && !meant.equals(current.entry().id())) {
      answer.complete(response(421, ""));
      return;
    }
    JsonNode order = Json.read(request.body());
    switch (request.rawPath()) {
      case "/api/run-start" -> answer.complete(start(current, order));
      case "/api/run-stop" -> answer.complete(stop(current, order));
      case "/api/hold" -> hold(current, order, answer);
      default -> answer.complete(response(404, ""));
    }
  }

  private ApiResponse start(SimulatedPoolWorker current, JsonNode order) {
    RunName run = run(order);
    if (!observer.isKnown(run)) {
      return response(400, "");
    }
    String checkpoint = order.path("checkpoint").asText("");
    boolean before = current.runs().contains(run);
    StartReply reply =
        current.start(run, untilMs(order), checkpoint, epoch(order), clock.getAsLong());
    if (reply instanceof StartReply.Refused refused) {
      return response(409, word(refused.reason()));
    }
    if (!before) {
      observer.onStart(current.entry().id(), run, order.path("spec").asText(), checkpoint);
    }
    return response(200, "");
  }

  private ApiResponse stop(SimulatedPoolWorker current, JsonNode order) {
    boolean taken = current.stop(run(order), epoch(order), clock.getAsLong());
    return taken ? response(200, "") : response(409, "fence");
  }

  private void hold(
      SimulatedPoolWorker current, JsonNode order, CompletableFuture<ApiResponse> answer) {
    current.acknowledged(acknowledged(order)).forEach(observer::onNoted);
    long untilMs = clock.getAsLong() + order.path("wait_ms").asLong();
    waiting.add(new Waiting(order, untilMs, answer, current));
    answerWaiting();
  }

  private void answerWaiting() {
    for (Waiting one : List.copyOf(waiting)) {
      if (one.life() != life) {
        waiting.remove(one); // Its life is over, and with it the connection.
        continue;
      }
      JsonNode order = one.order();
      HoldReply reply =
          one.life().hold(acknowledged(order), untilMs(order), epoch(order), clock.getAsLong());
      boolean quiet = reply instanceof HoldReply.Listed listed && listed.ended().isEmpty();
      if (!quiet || clock.getAsLong() >= one.untilMs()) {
        waiting.remove(one);
        one.answer().complete(list(reply));
      }
    }
  }

  private ApiResponse list(HoldReply reply) {
    if (!(reply instanceof HoldReply.Listed listed)) {
      return response(409, "fence");
    }
    ObjectNode body = body().put("born", listed.bornMs());
    ArrayNode running = body.putArray("running");
    listed
        .running()
        .forEach(
            one -> {
              observer.onCheckpoint(one.run(), one.checkpoint());
              running
                  .addArray()
                  .add(text(one.run().task()))
                  .add(one.run().run())
                  .add(one.checkpoint())
                  .add(one.percent());
            });
    ArrayNode ended = body.putArray("ended");
    listed
        .ended()
        .forEach(
            end -> {
              observer.onCheckpoint(end.run(), end.checkpoint());
              ended
                  .addArray()
                  .add(end.number())
                  .add(text(end.run().task()))
                  .add(end.run().run())
                  .add(end.cause().name().toLowerCase(Locale.ROOT))
                  .add(end.checkpoint());
            });
    return ApiResponse.json(200, body);
  }

  private ObjectNode body() {
    return Json.object().put("clock_ms", SimulatedPoolWorker.clock(clock.getAsLong()));
  }

  private ApiResponse response(int status, String reason) {
    ObjectNode body = body();
    if (!reason.isEmpty()) {
      body.put("reason", reason);
    }
    return ApiResponse.json(status, body);
  }

  private static long epoch(JsonNode order) {
    return order.path("fencing_token").asLong();
  }

  private static long untilMs(JsonNode order) {
    return order.path("until_ms").asLong();
  }

  private static long acknowledged(JsonNode order) {
    return order.path("last_seen").asLong();
  }

  private static RunName run(JsonNode order) {
    Matcher matcher = TASK.matcher(order.path("task").asText());
    if (!matcher.matches()) {
      throw new IllegalStateException("a task's name has an unknown form: " + order);
    }
    TaskName task =
        new TaskName(
            matcher.group(1),
            Integer.parseInt(matcher.group(2)),
            Integer.parseInt(matcher.group(3)),
            Integer.parseInt(matcher.group(4)));
    return new RunName(task, order.path("run").asInt());
  }

  private static String text(TaskName task) {
    return task.job() + "." + task.occurrence() + "." + task.step() + "." + task.index();
  }

  private static String word(StartReply.Reason reason) {
    return switch (reason) {
      case FENCED -> "fence";
      case OLD_RUN -> "old";
      case EXPIRED -> "late";
      case NO_ROOM -> "room";
      case UNHEALTHY, NOT_SENT -> "unhealthy";
    };
  }
}
