package dev.bambootray.core.node;

import dev.bambootray.core.ledger.RequestRecord;
import dev.bambootray.core.model.AttemptToken;
import dev.bambootray.core.model.Ownership;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.store.CommitResult;
import java.util.List;
import java.util.function.Consumer;

/**
 * Records the intent to run an attempt before its first dispatch, unless the request is repeatable.
 */
final class IntentWriter {
  private final NodeContext context;
  private final Ownership ownership;
  private final Consumer<ServedRequest> onSuperseded;

  IntentWriter(NodeContext context, Ownership ownership, Consumer<ServedRequest> onSuperseded) {
    this.context = context;
    this.ownership = ownership;
    this.onSuperseded = onSuperseded;
  }

  /** Records an intent, then passes to the continuation whether the attempt may be dispatched. */
  void write(
      ServedRequest request,
      AttemptToken attempt,
      List<WorkerId> workers,
      Consumer<Boolean> continuation) {
    if (request.content.spec().repeatable()) {
      continuation.accept(true);
      return;
    }
    if (!request.isDurable() || request.isFinishing) {
      continuation.accept(false);
      return;
    }
    RequestRecord intent = request.content.withIntent(attempt, ownership.epoch(), workers);
    context
        .store()
        .write(
            context.rows().intentWrites(intent, request.recordVersion),
            request.content.spec().deadlineAtMs(),
            outcome -> {
              if (outcome.isRight() && outcome.get() instanceof CommitResult.Committed committed) {
                request.content = intent;
                request.recordVersion = committed.versions().get(0);
                continuation.accept(true);
                return;
              }
              if (outcome.isRight()) {
                onSuperseded.accept(request);
              }
              continuation.accept(false);
            });
  }
}
