package dev.bambootray.daemon;

import dev.bambootray.ports.api.EventPage;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Keeps the latest events of a node and lets operators wait for new ones. */
final class NodeEventLog {
  private static final int MAX_EVENTS = 10_000;
  private static final int MAX_PAGE = 500;

  private final Deque<EventPage.Event> events = new ArrayDeque<>();
  private List<CompletableFuture<Boolean>> waiting = new ArrayList<>();
  private long lastSequence;

  void add(long atMs, String kind, String subject, String detail) {
    List<CompletableFuture<Boolean>> toComplete;
    synchronized (this) {
      events.addLast(new EventPage.Event(++lastSequence, atMs, kind, subject, detail));
      if (events.size() > MAX_EVENTS) {
        events.removeFirst();
      }
      toComplete = waiting;
      waiting = new ArrayList<>();
    }
    toComplete.forEach(future -> future.complete(true));
  }

  CompletableFuture<EventPage> read(long after, long waitMs) {
    CompletableFuture<Boolean> added;
    synchronized (this) {
      EventPage page = page(after);
      if (!page.events().isEmpty() || waitMs <= 0) {
        return CompletableFuture.completedFuture(page);
      }
      added = new CompletableFuture<>();
      waiting.add(added);
    }
    return added
        .completeOnTimeout(false, waitMs, TimeUnit.MILLISECONDS)
        .thenApply(ignored -> page(after));
  }

  private synchronized EventPage page(long after) {
    List<EventPage.Event> found =
        events.stream().filter(event -> event.sequence() > after).limit(MAX_PAGE).toList();
    long next = found.isEmpty() ? after : found.get(found.size() - 1).sequence();
    return new EventPage(found, next);
  }
}
