package dev.bambootray.platform.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.bambootray.adapters.http.ApiRequest;
import dev.bambootray.adapters.http.ApiResponse;
import dev.bambootray.adapters.http.HttpApiServer;
import dev.bambootray.adapters.http.HttpLimits;
import dev.bambootray.adapters.http.PendingResponse;
import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.RunName;
import dev.bambootray.jobs.model.StepSpec;
import dev.bambootray.jobs.model.TaskName;
import dev.bambootray.jobs.worker.HoldReply;
import dev.bambootray.jobs.worker.RunEnd;
import dev.bambootray.jobs.worker.StartReply;
import dev.bambootray.jobs.worker.WorkerEntry;
import dev.bambootray.standins.jobs.WorkerModel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Workers that speak the platform's protocol over HTTP; confined to one event loop. */
final class SoakWorkers implements WorkerModel.Pool, AutoCloseable {
  static final String SERVICE = "soaked";
  private static final String TABLE = "servers";
  private static final Pattern TASK = Pattern.compile("(.+)\\.(\\d+)\\.(\\d+)\\.(\\d+)");
  private static final Resources CAPACITY = new Resources(8, 32_000, 65_536);
  private static final int PER_RACK = 4;
  private static final long STEP_MS = 20;

  /** The platform removes the entry of a silent worker after three of its beats. */
  private static final long REMOVED_AFTER_MS = 4_500;

  /** Every second worker has a clock that is 2% slow, which the platform allows. */
  private static final double SLOW_CLOCK = 0.98;

  private static final HttpLimits LIMITS = HttpLimits.defaults();

  private record Waiting(
      JsonNode order, long untilMs, CompletableFuture<ApiResponse> answer, WorkerModel model) {}

  /** One worker: an address with one life after the other. */
  private final class Seat {
    private final int number;
    private final HttpApiServer server;
    private final LoopbackProxy proxy;
    private final List<Waiting> waiting = new ArrayList<>();
    private WorkerModel model;
    private boolean present = true;
    private boolean draining;
    private int lives;
    private long lastMs;

    private Seat(int number, EventLoopGroup group, EventLoop loop) {
      this.number = number;
      server = HttpApiServer.start(group, "127.0.0.1", 0, this::route, LIMITS);
      proxy = LoopbackProxy.start(loop, server.port());
      model = newLife("w" + number);
    }

    private WorkerModel newLife(String id) {
      lives++;
      String rack = "rack" + number / PER_RACK;
      return new WorkerModel(
          new WorkerEntry(
              id,
              SERVICE,
              "127.0.0.1:" + proxy.port(),
              "z",
              rack,
              Set.of("kind", rack),
              CAPACITY,
              System.currentTimeMillis(),
              false),
          SoakWorkers.this);
    }

    private long nowMs() {
      return number % 2 == 0 ? clock.getAsLong() : (long) (clock.getAsLong() * SLOW_CLOCK);
    }

    private void register() {
      ObjectNode entry =
          StandInStore.JSON
              .createObjectNode()
              .put("service", SERVICE)
              .put("address", model.entry().address())
              .put("zone", "z")
              .put("version", "1")
              .put("slots", 8)
              .put("state", draining ? "draining" : "ready")
              .put("seq", lives)
              .put("born", model.entry().bornMs());
      entry
          .putObject("capacity")
          .put("gpu", CAPACITY.accelerators())
          .put("cpu", CAPACITY.millicores())
          .put("mem_mb", CAPACITY.memoryMib());
      entry.putArray("labels").add("kind").add(model.entry().rack());
      store.put(TABLE, model.entry().id(), entry);
    }

    private PendingResponse route(ApiRequest request) {
      CompletableFuture<ApiResponse> answer = new CompletableFuture<>();
      loop.execute(() -> serve(request, answer));
      return PendingResponse.of(answer, response -> response);
    }

    private void serve(ApiRequest request, CompletableFuture<ApiResponse> answer) {
      String meant = request.header("Bambootray-Expect-Instance");
      if (!present) {
        return; // A VM that is down answers nothing.
      }
      if (!meant.isEmpty() && !meant.equals(model.entry().id())) {
        answer.complete(response(421, ""));
        return;
      }
      JsonNode order = StandInStore.read(request.body());
      switch (request.rawPath()) {
        case "/api/run-start" -> answer.complete(start(order));
        case "/api/run-stop" -> answer.complete(stop(order));
        case "/api/hold" -> hold(order, answer);
        default -> answer.complete(response(404, ""));
      }
    }

    private ApiResponse start(JsonNode order) {
      RunName run = run(order);
      String checkpoint = order.path("checkpoint").asText("");
      if (!jobs.containsKey(run.task().job())) {
        book.violate(run.task().job(), run + " is ordered, but nobody submitted the job");
        return response(400, "");
      }
      boolean before = model.runs().contains(run);
      StartReply reply =
          model.start(
              run,
              order.path("until_ms").asLong(),
              checkpoint,
              order.path("fencing_token").asLong(),
              nowMs());
      if (reply instanceof StartReply.Started && !before) {
        book.started(
            model.entry().id(),
            run,
            order.path("spec").asText(),
            checkpoint,
            running(),
            clock.getAsLong());
      }
      return reply instanceof StartReply.Refused refused
          ? response(409, word(refused.reason()))
          : response(200, "");
    }

    private ApiResponse stop(JsonNode order) {
      boolean taken = model.stop(run(order), order.path("fencing_token").asLong(), nowMs());
      return taken ? response(200, "") : response(409, "fence");
    }

    private void hold(JsonNode order, CompletableFuture<ApiResponse> answer) {
      long untilMs = clock.getAsLong() + order.path("wait_ms").asLong();
      model.acknowledged(order.path("last_seen").asLong()).forEach(book::noted);
      waiting.add(new Waiting(order, untilMs, answer, model));
      answerWaiting();
    }

    private void answerWaiting() {
      for (Waiting one : List.copyOf(waiting)) {
        if (one.model() != model || !present) {
          waiting.remove(one); // Its life is over, and with it the connection.
          continue;
        }
        HoldReply reply =
            model.hold(
                one.order().path("last_seen").asLong(),
                one.order().path("until_ms").asLong(),
                one.order().path("fencing_token").asLong(),
                nowMs());
        boolean news = reply instanceof HoldReply.Listed listed && !listed.ended().isEmpty();
        boolean fenced = !(reply instanceof HoldReply.Listed);
        if (news || fenced || clock.getAsLong() >= one.untilMs()) {
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
                book.saved(one.run(), one.checkpoint());
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
                book.saved(end.run(), end.checkpoint());
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
      return StandInStore.JSON.createObjectNode().put("clock_ms", WorkerModel.clock(nowMs()));
    }

    private ApiResponse response(int status, String reason) {
      ObjectNode body = body();
      if (!reason.isEmpty()) {
        body.put("reason", reason);
      }
      return ApiResponse.json(status, body);
    }

    private void advance() {
      long now = nowMs();
      if (present) {
        model.advance(lastMs, now);
        answerWaiting();
      }
      lastMs = now;
    }
  }

  private final EventLoop loop;
  private final StandInStore store;
  private final PromiseBook book;
  private final LongSupplier clock;
  private final Map<String, SoakJob> jobs;
  private final List<Seat> seats = new ArrayList<>();

  /**
   * Starts workers. Must not be called on the loop.
   *
   * @param count number of workers
   * @param jobs jobs by identifier, filled by the callers
   */
  SoakWorkers(
      EventLoopGroup group,
      EventLoop loop,
      StandInStore store,
      PromiseBook book,
      LongSupplier clock,
      Map<String, SoakJob> jobs,
      int count) {
    this.loop = loop;
    this.store = store;
    this.book = book;
    this.clock = clock;
    this.jobs = jobs;
    for (int i = 0; i < count; i++) {
      seats.add(new Seat(i, group, loop));
    }
    var unusedTimer =
        loop.scheduleAtFixedRate(
            () -> seats.forEach(Seat::advance), STEP_MS, STEP_MS, TimeUnit.MILLISECONDS);
  }

  /** Writes the entries of all workers. */
  void registerAll() {
    seats.forEach(Seat::register);
  }

  LoopbackProxy proxy(int worker) {
    return seats.get(worker).proxy;
  }

  WorkerModel model(int worker) {
    return seats.get(worker).model;
  }

  /** Ends a life without a word; the next one begins after a time, by turns under the same name. */
  void crash(int worker, long forMs) {
    Seat seat = seats.get(worker);
    if (!seat.present) {
      return;
    }
    leave(seat);
    boolean sameName = seat.lives % 2 == 0;
    String old = seat.model.entry().id();
    if (!sameName) {
      later(REMOVED_AFTER_MS, () -> store.remove(TABLE, old));
    }
    later(forMs, () -> comeBack(seat, sameName ? old : "w" + seat.number + "-" + seat.lives));
  }

  /** Announces that a worker leaves, and lets it go after a time. */
  void drain(int worker, long forMs) {
    Seat seat = seats.get(worker);
    if (!seat.present || seat.draining) {
      return;
    }
    seat.draining = true;
    seat.register();
    WorkerModel leaving = seat.model;
    later(
        forMs,
        () -> {
          if (seat.present && Objects.equals(seat.model.entry(), leaving.entry())) {
            leave(seat);
            store.remove(TABLE, leaving.entry().id());
            later(forMs, () -> comeBack(seat, "w" + seat.number + "-" + seat.lives));
          }
        });
  }

  private void leave(Seat seat) {
    seat.present = false;
    seat.model.vanish();
    seat.proxy.resetAll();
  }

  private void comeBack(Seat seat, String id) {
    seat.model = seat.newLife(id);
    seat.draining = false;
    seat.present = true;
    seat.register();
  }

  private void later(long delayMs, Runnable action) {
    var unusedTimer = loop.schedule(action, delayMs, TimeUnit.MILLISECONDS);
  }

  /** Returns the runs at all workers. */
  List<RunName> running() {
    return seats.stream().flatMap(seat -> seat.model.runs().stream()).toList();
  }

  private SoakJob job(TaskName task) {
    return Objects.requireNonNull(jobs.get(task.job()), () -> "no job of " + task);
  }

  @Override
  public StepSpec step(TaskName task) {
    return job(task).steps().get(task.step());
  }

  @Override
  public long workMs(TaskName task) {
    return job(task).work().workMs(task.step(), task.index());
  }

  @Override
  public boolean fails(RunName run) {
    return job(run.task()).work().fails(run.task().step(), run.task().index(), run.run());
  }

  @Override
  public int present(RunName run) {
    return (int)
        running().stream()
            .filter(other -> other.run() == run.run())
            .filter(other -> other.task().job().equals(run.task().job()))
            .filter(other -> other.task().step() == run.task().step())
            .count();
  }

  @Override
  public double speed(RunName run, WorkerModel worker) {
    return 1;
  }

  @Override
  public void onStart(WorkerModel worker, RunName run) {}

  @Override
  public void onEnd(WorkerModel worker, RunEnd end, double unsavedMs) {
    book.ended(end);
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

  @Override
  public void close() {
    for (Seat seat : seats) {
      seat.proxy.close();
      seat.server.close();
    }
  }
}
