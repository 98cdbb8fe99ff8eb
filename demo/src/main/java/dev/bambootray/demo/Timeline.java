package dev.bambootray.demo;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Consumer;

/** Actions at given times of a run, in order. */
final class Timeline {
  private final Queue<Entry> entries = new ArrayDeque<>();
  private Consumer<String> listener = text -> {};

  Timeline at(long atMs, String text, Runnable action) {
    entries.add(new Entry(atMs, text, action));
    return this;
  }

  Timeline tellingTo(Consumer<String> newListener) {
    listener = newListener;
    return this;
  }

  /** Carries out what is due at a time of the run. */
  void advance(long nowMs) {
    while (!entries.isEmpty() && entries.peek().atMs() <= nowMs) {
      Entry entry = entries.remove();
      listener.accept(entry.text());
      entry.action().run();
    }
  }

  /**
   * An action.
   *
   * @param atMs when, in milliseconds from the start of the run
   * @param text what to tell
   * @param action the action
   */
  private record Entry(long atMs, String text, Runnable action) {}
}
