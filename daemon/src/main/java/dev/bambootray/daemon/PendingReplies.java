package dev.bambootray.daemon;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/** Holds the futures of calls that wait for a reply of the control thread, by ticket number. */
final class PendingReplies<T> {
  private final AtomicLong numbers;
  private final Map<Long, CompletableFuture<T>> waiting = new ConcurrentHashMap<>();

  PendingReplies(AtomicLong numbers) {
    this.numbers = numbers;
  }

  long register(CompletableFuture<T> future) {
    long number = numbers.incrementAndGet();
    waiting.put(number, future);
    return number;
  }

  void complete(long number, T value) {
    @Nullable CompletableFuture<T> future = waiting.remove(number);
    if (future != null) {
      future.complete(value);
    }
  }
}
