package dev.bambootray.adapters.http;

import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.RequestStep;
import dev.bambootray.core.model.TemplateId;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.model.WorkspaceId;
import dev.bambootray.core.scheduling.Explanation;
import dev.bambootray.ports.api.DeclarationText;
import dev.bambootray.ports.api.EventPage;
import dev.bambootray.ports.api.ListQuery;
import dev.bambootray.ports.api.NodeApi;
import dev.bambootray.ports.api.NodeStatus;
import dev.bambootray.ports.api.Principal;
import dev.bambootray.ports.api.PublishResult;
import dev.bambootray.ports.api.RequestPage;
import dev.bambootray.ports.api.RequestView;
import dev.bambootray.ports.api.SubmitCommand;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;

/** Records what the server asks and answers when the test says so. */
final class RecordingApi implements NodeApi {
  final BlockingQueue<SubmitCommand> submitted = new LinkedBlockingQueue<>();
  final BlockingQueue<String> calls = new LinkedBlockingQueue<>();
  final Map<String, CompletableFuture<Either<RequestError, RequestView>>> reads =
      new ConcurrentHashMap<>();
  volatile Either<RequestError, RequestView> submitResult = Either.right(view("k", null));
  volatile PublishResult publishResult = new PublishResult.Accepted(2);

  static RequestView view(String key, dev.bambootray.core.model.Answer answer) {
    return new RequestView(
        RequestKey.of("w1", key),
        TemplateId.of("plan"),
        answer == null ? RequestView.State.ACCEPTED : RequestView.State.ANSWERED,
        RegionId.of("north"),
        true,
        1,
        2,
        answer);
  }

  CompletableFuture<Either<RequestError, RequestView>> pendingRead(String key) {
    return reads.computeIfAbsent(key, k -> new CompletableFuture<>());
  }

  @Override
  public Either<RequestError, Principal> authenticate(String bearerToken) {
    return switch (bearerToken) {
      case "token1" -> Either.right(new Principal(WorkspaceId.of("w1"), false));
      case "root" -> Either.right(new Principal(null, true));
      default ->
          Either.left(
              RequestError.impossible(RequestStep.AUTHENTICATION, "local", "no valid token"));
    };
  }

  @Override
  public CompletableFuture<Either<RequestError, RequestView>> submit(SubmitCommand command) {
    submitted.add(command);
    return CompletableFuture.completedFuture(submitResult);
  }

  @Override
  public CompletableFuture<Either<RequestError, RequestView>> read(RequestKey key, long waitMs) {
    calls.add("read " + key + " " + waitMs);
    return pendingRead(key.idempotencyKey());
  }

  @Override
  public CompletableFuture<Either<RequestError, RequestView>> cancel(RequestKey key) {
    calls.add("cancel " + key);
    return CompletableFuture.completedFuture(Either.right(view(key.idempotencyKey(), null)));
  }

  @Override
  public CompletableFuture<Either<RequestError, RequestPage>> list(ListQuery query) {
    calls.add("list " + query);
    return CompletableFuture.completedFuture(
        Either.right(new RequestPage(List.of(view("k", null)), "k")));
  }

  @Override
  public CompletableFuture<Either<RequestError, Explanation>> explain(RequestKey key) {
    return CompletableFuture.completedFuture(
        Either.right(
            new Explanation(key, "queued", 3, "no run", List.of("8 free"), List.of(), 100)));
  }

  @Override
  public CompletableFuture<Either<RequestError, DeclarationText>> declaration() {
    return declaration(1);
  }

  @Override
  public CompletableFuture<Either<RequestError, DeclarationText>> declaration(long version) {
    return CompletableFuture.completedFuture(
        version == 1
            ? Either.right(new DeclarationText(1, "{}", 5, "ann"))
            : Either.left(
                RequestError.impossible(RequestStep.CONFIGURATION, "table", "no such version")));
  }

  @Override
  public CompletableFuture<Either<RequestError, List<DeclarationText>>> history(int limit) {
    return CompletableFuture.completedFuture(
        Either.right(List.of(new DeclarationText(1, "", 5, "ann"))));
  }

  @Override
  public CompletableFuture<Either<RequestError, PublishResult>> publish(
      long expectedVersion, String text, String author) {
    calls.add("publish " + expectedVersion + " " + text + " " + author);
    return CompletableFuture.completedFuture(Either.right(publishResult));
  }

  @Override
  public CompletableFuture<NodeStatus> status() {
    return CompletableFuture.completedFuture(
        new NodeStatus(
            NodeId.of("n1"), true, "", false, 1, true, true, List.of(), List.of(), List.of(), 0));
  }

  @Override
  public CompletableFuture<EventPage> events(long after, long waitMs) {
    calls.add("events " + after + " " + waitMs);
    return CompletableFuture.completedFuture(
        new EventPage(List.of(new EventPage.Event(8, 9, "accepted", "w1/k", "d")), 8));
  }

  @Override
  public CompletableFuture<Either<RequestError, Boolean>> drainNode() {
    return CompletableFuture.completedFuture(Either.right(true));
  }

  @Override
  public CompletableFuture<Either<RequestError, Boolean>> drainWorker(
      WorkerId worker, boolean drain) {
    calls.add("drain " + worker + " " + drain);
    return CompletableFuture.completedFuture(Either.right(true));
  }
}
