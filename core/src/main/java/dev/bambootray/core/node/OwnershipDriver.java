package dev.bambootray.core.node;

import dev.bambootray.core.model.Ownership;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.ownership.OwnerRow;
import dev.bambootray.core.ownership.OwnershipEffect;
import dev.bambootray.core.ownership.OwnershipEvent;
import dev.bambootray.core.ownership.RegionOwnership;
import dev.bambootray.core.store.CommitResult;
import dev.bambootray.core.store.RowPage;
import dev.bambootray.core.store.RowWrite;
import dev.bambootray.core.store.StoreError;
import dev.bambootray.core.store.StoredRow;
import dev.bambootray.core.store.TableTransaction;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;

/**
 * Carries out the effects of the node's {@link RegionOwnership}: reads and writes the owner rows in
 * the table and informs the other parts of the node.
 */
final class OwnershipDriver {
  private static final String PREFIX = "owner/";
  private static final int MAX_REGIONS = 1_000;

  private final NodeContext context;
  private final RowCodec codec;
  private final RegionOwnership state;
  private final Listener listener;

  OwnershipDriver(NodeContext context, RowCodec codec, RegionOwnership state, Listener listener) {
    this.context = context;
    this.codec = codec;
    this.state = state;
    this.listener = listener;
  }

  List<Ownership> owned() {
    return state.owned();
  }

  void handle(OwnershipEvent event) {
    state.handle(event, context.now()).forEach(this::apply);
  }

  private void apply(OwnershipEffect effect) {
    if (effect instanceof OwnershipEffect.ReadOwners) {
      context.store().scan(PREFIX, null, MAX_REGIONS, this::ownersRead);
    } else if (effect instanceof OwnershipEffect.ReadOwner read) {
      readOwner(read.region());
    } else if (effect instanceof OwnershipEffect.WriteOwner write) {
      writeOwner(write);
    } else if (effect instanceof OwnershipEffect.OwnershipGained gained) {
      report("gained", gained.ownership(), "This node owns the region.");
      listener.gained(gained.ownership());
    } else if (effect instanceof OwnershipEffect.OwnershipLost lost) {
      report("lost", lost.ownership(), "This node no longer owns the region: " + lost.reason());
      listener.lost(lost.ownership());
    } else if (effect instanceof OwnershipEffect.OwnerChanged changed
        && changed.ownership() != null) {
      listener.ownerChanged(changed.ownership());
    }
  }

  private void ownersRead(Either<StoreError, RowPage> outcome) {
    if (outcome.isLeft()) {
      handle(new OwnershipEvent.OwnersReadFailed());
      return;
    }
    List<OwnerRow> rows = new ArrayList<>();
    for (StoredRow row : outcome.get().rows()) {
      codec
          .decodeOwner(row.value(), row.version())
          .peek(rows::add)
          .peekLeft(message -> context.outbox().report("owner:", "unreadable", row.key(), message));
    }
    handle(new OwnershipEvent.OwnersRead(rows));
  }

  private void readOwner(RegionId region) {
    context
        .store()
        .read(
            PREFIX + region,
            outcome ->
                handle(
                    outcome
                        .mapLeft(StoreError::message)
                        .flatMap(row -> ownerOf(region, row))
                        .fold(
                            failure -> new OwnershipEvent.OwnerReadFailed(region),
                            OwnershipEvent.OwnerRead::new)));
  }

  private void writeOwner(OwnershipEffect.WriteOwner write) {
    OwnerRow row = write.row();
    TableTransaction transaction =
        new TableTransaction(
            write.writeToken(),
            List.of(new RowWrite(PREFIX + row.region(), codec.encodeOwner(row), row.rowVersion())));
    context.store().commitOnce(transaction, outcome -> written(write, outcome));
  }

  private void written(OwnershipEffect.WriteOwner write, Either<StoreError, CommitResult> outcome) {
    String token = write.writeToken();
    if (outcome.isLeft()) {
      handle(new OwnershipEvent.OwnerWriteFailed(token, outcome.getLeft().maybeApplied()));
    } else if (outcome.get() instanceof CommitResult.Committed committed) {
      handle(new OwnershipEvent.OwnerWritten(token, committed.versions().get(0)));
    } else if (outcome.get() instanceof CommitResult.Conflict conflict) {
      handle(
          conflict.current().stream()
              .findFirst()
              .map(row -> ownerOf(write.row().region(), row))
              .flatMap(Either::toJavaOptional)
              .<OwnershipEvent>map(row -> new OwnershipEvent.OwnerWriteConflicted(token, row))
              .orElseGet(() -> new OwnershipEvent.OwnerWriteFailed(token, false)));
    }
  }

  private Either<String, OwnerRow> ownerOf(RegionId region, StoredRow row) {
    return row.version() == 0
        ? Either.right(OwnerRow.absent(region))
        : codec.decodeOwner(row.value(), row.version());
  }

  private void report(String kind, Ownership ownership, String detail) {
    context
        .outbox()
        .report("owner:", kind, ownership.region(), detail + " Epoch " + ownership.epoch() + ".");
  }

  /** Receives the changes of owners. */
  interface Listener {
    void gained(Ownership ownership);

    void lost(Ownership ownership);

    void ownerChanged(Ownership ownership);
  }
}
