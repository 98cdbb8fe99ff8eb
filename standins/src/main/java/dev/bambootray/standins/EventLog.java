package dev.bambootray.standins;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;

/** The last events of a stand-in worker; guarded by the lock of its {@link WorkerAgent}. */
final class EventLog {
  private static final int MAX_EVENTS = 10_000;
  private static final int EVENTS_PER_POLL = 500;

  private record Event(long sequence, ObjectNode snapshot) {}

  private final Deque<Event> events = new ArrayDeque<>();
  private long lastSequence;

  long lastSequence() {
    return lastSequence;
  }

  void add(ObjectNode snapshot) {
    lastSequence++;
    events.add(new Event(lastSequence, snapshot));
    if (events.size() > MAX_EVENTS) {
      events.remove();
    }
  }

  void writeAfter(long sequence, ArrayNode page) {
    for (Event event : events) {
      if (event.sequence() > sequence && page.size() < EVENTS_PER_POLL) {
        page.addObject().put("sequence", event.sequence()).set("snapshot", event.snapshot());
      }
    }
  }
}
