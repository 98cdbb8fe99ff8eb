package dev.bambootray.ports.api;

import java.util.List;

/**
 * Recent events of a node, for live watching.
 *
 * @param events the events, oldest first
 * @param nextAfter sequence number to continue after
 */
public record EventPage(List<Event> events, long nextAfter) {

  /** Copies the events. */
  public EventPage {
    events = List.copyOf(events);
  }

  /**
   * Something that happened to a request, worker, region or declaration.
   *
   * @param sequence rises by one with each event of the node
   * @param atMs when, in milliseconds since the epoch
   * @param kind for example {@code accepted}, {@code started}, {@code answered}, {@code waiting}
   * @param subject the request, worker, region or version
   * @param detail one sentence
   */
  public record Event(long sequence, long atMs, String kind, String subject, String detail) {}
}
