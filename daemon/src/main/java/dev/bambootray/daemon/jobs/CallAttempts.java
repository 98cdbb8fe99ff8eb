package dev.bambootray.daemon.jobs;

import static java.util.concurrent.CompletableFuture.completedFuture;

import dev.bambootray.ports.RowStore;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Decides when a call of a caller attempts to reach the store, and when it gives up. */
final class CallAttempts {
  private final RowStore store;
  private final ScheduledExecutorService executor;
  private final OwnerRowStore ownerRows;
  private final DecisionLog log;

  CallAttempts(
      RowStore store, ScheduledExecutorService executor, OwnerRowStore ownerRows, DecisionLog log) {
    this.store = store;
    this.executor = executor;
    this.ownerRows = ownerRows;
    this.log = log;
  }

  /**
   * Makes an attempt at once or, while the store is busy for long, when it serves calls again. The
   * call fails without an attempt if that takes too long or if the store cannot be reached.
   */
  <T> CompletableFuture<T> whenStoreAnswers(
      String job, CallTime time, Supplier<CompletableFuture<T>> attempt, T failure) {
    if (time.isOver()) {
      return completedFuture(failure);
    }
    if (!ownerRows.isStoreOutage()) {
      return attempt.get();
    }
    // A node without a connection to the store sends its callers to other nodes at once.
    CompletableFuture<Boolean> wait = store.isBusy() ? awaitAnswer(time) : completedFuture(false);
    return wait.thenCompose(
        answering -> {
          if (answering && !time.isOver()) {
            return attempt.get();
          }
          log.line("front:", job, "refused, the store is unreachable");
          return completedFuture(failure);
        });
  }

  private CompletableFuture<Boolean> awaitAnswer(CallTime time) {
    if (time.waitMs() == 0) {
      return completedFuture(false);
    }
    CompletableFuture<Boolean> wait = ownerRows.awaitAnswer();
    if (!wait.isDone()) {
      Runnable giveUp = () -> wait.complete(false);
      ScheduledFuture<?> timer = executor.schedule(giveUp, time.waitMs(), TimeUnit.MILLISECONDS);
      var unused = wait.whenComplete((answering, error) -> timer.cancel(false));
    }
    return wait;
  }

  /** Repeats an attempt that a busy store has refused, unless its caller has waited long enough. */
  <T> CompletableFuture<T> afterPause(
      CallTime time, Supplier<CompletableFuture<T>> repeat, T failure) {
    if (!store.isBusy() || time.waitMs() <= StoreWaitPolicy.RETRY_MS) {
      return completedFuture(failure);
    }
    CompletableFuture<Boolean> pause = new CompletableFuture<>();
    Runnable end = () -> pause.complete(true);
    var unused = executor.schedule(end, StoreWaitPolicy.RETRY_MS, TimeUnit.MILLISECONDS);
    return pause.thenCompose(over -> repeat.get());
  }
}
