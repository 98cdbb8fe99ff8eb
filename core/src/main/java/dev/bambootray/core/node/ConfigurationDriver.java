package dev.bambootray.core.node;

import dev.bambootray.core.configuration.ConfigurationEffect;
import dev.bambootray.core.configuration.ConfigurationEvent;
import dev.bambootray.core.configuration.ConfigurationState;
import dev.bambootray.core.configuration.CurrentVersion;
import dev.bambootray.core.configuration.PublishedDeclaration;
import dev.bambootray.core.membership.MembershipEvent;
import dev.bambootray.core.store.CommitResult;
import dev.bambootray.core.store.RowWrite;
import dev.bambootray.core.store.StoreError;
import dev.bambootray.core.store.StoredRow;
import dev.bambootray.core.store.TableTransaction;
import io.vavr.control.Either;
import java.util.List;
import java.util.function.Consumer;

/**
 * Carries out the effects of the node's {@link ConfigurationState}: reads and writes its rows in
 * the table, sends its messages to peers and informs the other parts of the node.
 */
final class ConfigurationDriver {
  private static final String CURRENT_ROW = "config/current";
  private static final String HISTORY_PREFIX = "config/history/";

  private final NodeContext context;
  private final RowCodec codec;
  private final ConfigurationState state;
  private final Consumer<ConfigurationEffect.DeclarationInForce> onDeclaration;
  private final Consumer<MembershipEvent> toMembership;

  ConfigurationDriver(
      NodeContext context,
      RowCodec codec,
      ConfigurationState state,
      Consumer<ConfigurationEffect.DeclarationInForce> onDeclaration,
      Consumer<MembershipEvent> toMembership) {
    this.context = context;
    this.codec = codec;
    this.state = state;
    this.onDeclaration = onDeclaration;
    this.toMembership = toMembership;
  }

  ConfigurationState state() {
    return state;
  }

  void handle(ConfigurationEvent event) {
    state.handle(event, context.now()).forEach(this::apply);
  }

  private void apply(ConfigurationEffect effect) {
    if (effect instanceof ConfigurationEffect.ReadCurrent read) {
      context.store().read(CURRENT_ROW, row -> currentRead(read.askedAtMs(), row));
    } else if (effect instanceof ConfigurationEffect.ReadHistory read) {
      context
          .store()
          .read(HISTORY_PREFIX + read.version(), row -> historyRead(read.version(), row));
    } else if (effect instanceof ConfigurationEffect.CommitDeclaration commit) {
      commit(commit);
    } else if (effect instanceof ConfigurationEffect.SendToPeer send) {
      context.routes().toNode(send.peer(), send.message());
    } else if (effect instanceof ConfigurationEffect.DeclarationInForce inForce) {
      report("in-force", inForce.declaration().version(), "The declaration is in force.");
      onDeclaration.accept(inForce);
    } else if (effect instanceof ConfigurationEffect.FreshnessChanged changed) {
      report(
          changed.current() ? "current" : "not-current",
          state.version(),
          changed.current()
              ? "The version is confirmed; new work is accepted."
              : "The version could not be confirmed; new work is refused.");
    } else if (effect instanceof ConfigurationEffect.ExchangesWanted wanted) {
      toMembership.accept(new MembershipEvent.ExchangesWanted(wanted.wanted()));
    } else if (effect instanceof ConfigurationEffect.HeldVersionChanged held) {
      toMembership.accept(new MembershipEvent.ConfigurationVersionChanged(held.version()));
    } else if (effect instanceof ConfigurationEffect.DeclarationUnreadable unreadable) {
      report("unreadable", unreadable.version(), String.join("; ", unreadable.problems()));
    } else if (effect instanceof ConfigurationEffect.PublishFinished finished) {
      context.outbox().add(new NodeEffect.ReplyPublish(finished.publishId(), finished.outcome()));
    }
  }

  private void currentRead(long askedAtMs, Either<StoreError, StoredRow> outcome) {
    handle(
        outcome
            .mapLeft(StoreError::message)
            .flatMap(this::currentOf)
            .fold(
                failure -> new ConfigurationEvent.CurrentReadFailed(),
                current -> new ConfigurationEvent.CurrentRead(current, askedAtMs)));
  }

  private void historyRead(long version, Either<StoreError, StoredRow> outcome) {
    outcome
        .mapLeft(StoreError::message)
        .flatMap(this::declarationOf)
        .peek(found -> handle(new ConfigurationEvent.HistoryRead(version, found)));
  }

  private void commit(ConfigurationEffect.CommitDeclaration commit) {
    PublishedDeclaration declaration = commit.declaration();
    TableTransaction transaction =
        new TableTransaction(
            commit.writeToken(),
            List.of(
                new RowWrite(
                    CURRENT_ROW,
                    codec.encodeCurrent(declaration.toCurrentVersion()),
                    declaration.version() - 1),
                new RowWrite(
                    HISTORY_PREFIX + declaration.version(),
                    codec.encodeDeclaration(declaration),
                    0)));
    context.store().commitOnce(transaction, outcome -> commitEnded(commit.publishId(), outcome));
  }

  private void commitEnded(long publishId, Either<StoreError, CommitResult> outcome) {
    if (outcome.isLeft()) {
      handle(new ConfigurationEvent.CommitFailed(publishId, outcome.getLeft().maybeApplied()));
    } else if (outcome.get() instanceof CommitResult.Committed) {
      handle(new ConfigurationEvent.CommitSucceeded(publishId));
    } else {
      // The conflict may name only the history row, so the current row is read as well.
      context
          .store()
          .read(
              CURRENT_ROW,
              row ->
                  handle(
                      row.mapLeft(StoreError::message)
                          .flatMap(this::currentOf)
                          .fold(
                              failure -> new ConfigurationEvent.CommitFailed(publishId, false),
                              current ->
                                  new ConfigurationEvent.CommitConflicted(publishId, current))));
    }
  }

  private Either<String, CurrentVersion> currentOf(StoredRow row) {
    return row.version() == 0
        ? Either.right(CurrentVersion.NONE)
        : codec.decodeCurrent(row.value());
  }

  private Either<String, PublishedDeclaration> declarationOf(StoredRow row) {
    return row.version() == 0
        ? Either.right(PublishedDeclaration.NONE)
        : codec.decodeDeclaration(row.value());
  }

  private void report(String kind, long version, String detail) {
    context.outbox().report("config:", kind, version, detail);
  }
}
