package dev.bambootray.daemon;

import dev.bambootray.adapters.telemetry.Hop;
import dev.bambootray.core.configuration.PublishOutcome;
import dev.bambootray.core.configuration.PublishedDeclaration;
import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.TemplateDeclaration;
import dev.bambootray.core.ledger.RequestRecord;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.RequestSpec;
import dev.bambootray.core.model.RequestStep;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.node.NodeEffect;
import dev.bambootray.core.node.NodeEvent;
import dev.bambootray.core.node.NodeSnapshot;
import dev.bambootray.core.scheduling.Explanation;
import dev.bambootray.documents.DeclarationParser;
import dev.bambootray.documents.GuaranteeProblems;
import dev.bambootray.documents.ParameterChecker;
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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Implements the operations that callers and operators can use. It validates input on the calling
 * thread as far as that needs no control state, and posts the rest to the control thread.
 */
final class NodeService implements NodeApi {
  /** Also rejects guarantees that cannot be met; declarations already published skip this check. */
  private static final DeclarationParser PUBLISH_CHECK =
      DeclarationParser.create().withCheck(GuaranteeProblems::of);

  private static final long MAX_DEADLINE_MS = 30L * 24 * 60 * 60 * 1_000;

  private final NodeId node;
  private final LongSupplier clock;
  private final Consumer<NodeEvent> post;
  private final TableQueries queries;
  private final TokenAuthenticator tokens;
  private final NodeEventLog events;
  private final NodeTelemetry telemetry;
  private final AtomicLong numbers = new AtomicLong();
  private final PendingReplies<Either<RequestError, RequestView>> requests =
      new PendingReplies<>(numbers);
  private final PendingReplies<Either<RequestError, Explanation>> explanations =
      new PendingReplies<>(numbers);
  private final PendingReplies<Either<RequestError, PublishResult>> publishes =
      new PendingReplies<>(numbers);
  private final PendingReplies<NodeSnapshot> snapshots = new PendingReplies<>(numbers);
  private volatile @Nullable Declaration declaration;

  NodeService(
      NodeId node,
      LongSupplier clock,
      Consumer<NodeEvent> post,
      TableQueries queries,
      TokenAuthenticator tokens,
      NodeEventLog events,
      NodeTelemetry telemetry) {
    this.node = node;
    this.clock = clock;
    this.post = post;
    this.queries = queries;
    this.tokens = tokens;
    this.events = events;
    this.telemetry = telemetry;
  }

  /** Completes the call that an effect replies to; returns false for other effects. */
  boolean deliver(NodeEffect effect) {
    if (effect instanceof NodeEffect.ReplyToCaller reply) {
      telemetry.replied(reply, isGang(reply));
      requests.complete(
          reply.ticket(), reply.outcome().map(found -> viewOf(found, reply.durable())));
    } else if (effect instanceof NodeEffect.ReplyExplanation reply) {
      explanations.complete(reply.ticket(), reply.outcome());
    } else if (effect instanceof NodeEffect.ReplyPublish reply) {
      publishes.complete(reply.ticket(), resultOf(reply.outcome()));
    } else if (effect instanceof NodeEffect.ReplyStatus reply) {
      telemetry.updateGauges(reply.snapshot());
      snapshots.complete(reply.ticket(), reply.snapshot());
    } else if (effect instanceof NodeEffect.UseDeclaration use) {
      declaration = use.declaration();
      tokens.use(use.declaration());
    } else {
      return false;
    }
    return true;
  }

  @Override
  public Either<RequestError, Principal> authenticate(String bearerToken) {
    return tokens.authenticate(bearerToken);
  }

  @Override
  public CompletableFuture<Either<RequestError, RequestView>> submit(SubmitCommand command) {
    Either<RequestError, RequestSpec> spec = check(command);
    CompletableFuture<Either<RequestError, RequestView>> future = new CompletableFuture<>();
    if (spec.isLeft()) {
      future.complete(Either.left(spec.getLeft()));
      return future;
    }
    Hop hop = telemetry.beginSubmit(spec.get());
    post.accept(
        new NodeEvent.CallerSubmitted(
            requests.register(future),
            spec.get().withTraceparent(hop.traceparent()),
            command.waitMs()));
    var unused = future.whenComplete((outcome, failure) -> hop.end());
    return future;
  }

  @Override
  public CompletableFuture<Either<RequestError, RequestView>> read(RequestKey key, long waitMs) {
    CompletableFuture<Either<RequestError, RequestView>> future = new CompletableFuture<>();
    post.accept(new NodeEvent.CallerRead(requests.register(future), key, waitMs));
    return future;
  }

  @Override
  public CompletableFuture<Either<RequestError, RequestView>> cancel(RequestKey key) {
    CompletableFuture<Either<RequestError, RequestView>> future = new CompletableFuture<>();
    post.accept(new NodeEvent.CallerCancelled(requests.register(future), key));
    return future;
  }

  @Override
  public CompletableFuture<Either<RequestError, RequestPage>> list(ListQuery query) {
    return queries.list(query);
  }

  @Override
  public CompletableFuture<Either<RequestError, Explanation>> explain(RequestKey key) {
    CompletableFuture<Either<RequestError, Explanation>> future = new CompletableFuture<>();
    post.accept(new NodeEvent.CallerRequestedExplanation(explanations.register(future), key));
    return future;
  }

  @Override
  public CompletableFuture<Either<RequestError, DeclarationText>> declaration() {
    return queries.currentDeclaration();
  }

  @Override
  public CompletableFuture<Either<RequestError, DeclarationText>> declaration(long version) {
    return queries.declaration(version);
  }

  @Override
  public CompletableFuture<Either<RequestError, List<DeclarationText>>> history(int limit) {
    return queries.history(limit);
  }

  @Override
  public CompletableFuture<Either<RequestError, PublishResult>> publish(
      long expectedVersion, String text, String author) {
    Either<List<String>, Declaration> checked = PUBLISH_CHECK.read(text, expectedVersion + 1);
    if (checked.isLeft()) {
      return CompletableFuture.completedFuture(
          Either.right(new PublishResult.Invalid(checked.getLeft())));
    }
    CompletableFuture<Either<RequestError, PublishResult>> future = new CompletableFuture<>();
    post.accept(
        new NodeEvent.PublishRequested(publishes.register(future), expectedVersion, text, author));
    return future;
  }

  @Override
  public CompletableFuture<NodeStatus> status() {
    CompletableFuture<NodeSnapshot> future = new CompletableFuture<>();
    post.accept(new NodeEvent.StatusRequested(snapshots.register(future)));
    return future.thenApply(this::statusOf);
  }

  @Override
  public CompletableFuture<EventPage> events(long after, long waitMs) {
    return events.read(after, waitMs);
  }

  @Override
  public CompletableFuture<Either<RequestError, Boolean>> drainNode() {
    post.accept(new NodeEvent.DrainRequested());
    return CompletableFuture.completedFuture(Either.right(true));
  }

  @Override
  public CompletableFuture<Either<RequestError, Boolean>> drainWorker(
      WorkerId worker, boolean drain) {
    Declaration current = declaration;
    if (current == null || !current.workers().containsKey(worker)) {
      return CompletableFuture.completedFuture(
          Either.left(refusal("there is no worker " + worker)));
    }
    post.accept(new NodeEvent.WorkerDrainRequested(worker, drain));
    return CompletableFuture.completedFuture(Either.right(true));
  }

  private Either<RequestError, RequestSpec> check(SubmitCommand command) {
    Declaration current = declaration;
    if (current == null) {
      return Either.left(
          RequestError.notRun(
              RequestStep.ADMISSION, node.value(), "no declaration is in force yet", 1_000));
    }
    TemplateDeclaration template = current.templates().get(command.template());
    if (template == null) {
      return Either.left(refusal("there is no template " + command.template()));
    }
    if (!current.workspaces().containsKey(command.key().workspace())) {
      return Either.left(refusal("there is no workspace " + command.key().workspace()));
    }
    if (command.deadlineInMs() <= 0 || command.deadlineInMs() > MAX_DEADLINE_MS) {
      return Either.left(
          refusal("deadlineMs is " + command.deadlineInMs() + ": expected 1 to 30 days"));
    }
    long nowMs = clock.getAsLong();
    Boolean repeatable = command.repeatable();
    return ParameterChecker.check(template.parameters(), command.parametersJson())
        .mapLeft(problems -> refusal(String.join("; ", problems)))
        .map(
            parameters ->
                new RequestSpec(
                    command.key(),
                    command.template(),
                    parameters,
                    nowMs + command.deadlineInMs(),
                    repeatable == null ? template.repeatable() : repeatable,
                    command.urgent(),
                    nowMs,
                    command.traceparent()));
  }

  private boolean isGang(NodeEffect.ReplyToCaller reply) {
    Declaration current = declaration;
    if (current == null || reply.outcome().isLeft()) {
      return false;
    }
    TemplateDeclaration template = current.templates().get(reply.outcome().get().spec().template());
    return template != null && !template.isServiceRequest();
  }

  private RequestError refusal(String message) {
    return RequestError.impossible(RequestStep.ADMISSION, node.value(), message);
  }

  static RequestView viewOf(RequestRecord found, boolean durable) {
    return new RequestView(
        found.spec().key(),
        found.spec().template(),
        RequestView.State.valueOf(found.state().name()),
        found.region(),
        durable,
        found.spec().submittedAtMs(),
        found.spec().deadlineAtMs(),
        found.answer());
  }

  static DeclarationText textOf(PublishedDeclaration published) {
    return new DeclarationText(
        published.version(), published.text(), published.publishedAtMs(), published.author());
  }

  private static Either<RequestError, PublishResult> resultOf(PublishOutcome outcome) {
    if (outcome instanceof PublishOutcome.Accepted accepted) {
      return Either.right(new PublishResult.Accepted(accepted.version()));
    }
    if (outcome instanceof PublishOutcome.Committed committed) {
      return Either.right(
          new PublishResult.Committed(
              committed.version(), committed.missing().stream().map(NodeId::value).toList()));
    }
    if (outcome instanceof PublishOutcome.LostRace lost) {
      return Either.right(new PublishResult.LostRace(textOf(lost.current())));
    }
    if (outcome instanceof PublishOutcome.Invalid invalid) {
      return Either.right(new PublishResult.Invalid(invalid.problems()));
    }
    return Either.left(
        RequestError.notRun(
            RequestStep.CONFIGURATION,
            "table",
            "the table gave no usable answer; read the declaration before you try again",
            1_000));
  }

  private NodeStatus statusOf(NodeSnapshot snapshot) {
    return new NodeStatus(
        node,
        snapshot.isReady(),
        snapshot.notReadyReason(),
        snapshot.draining(),
        snapshot.configurationVersion(),
        snapshot.configurationCurrent(),
        snapshot.storeAvailable(),
        snapshot.owned(),
        snapshot.members(),
        snapshot.loads(),
        snapshot.openRequests());
  }
}
