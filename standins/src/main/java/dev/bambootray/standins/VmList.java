package dev.bambootray.standins;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/** The lagging list of VMs: a change becomes visible only after the lag. Thread-safe. */
public final class VmList {
  private record Change(
      long visibleAtMs, String name, String host, boolean gone, boolean leaving) {}

  private final LongSupplier nowMs;
  private final Deque<Change> pending = new ArrayDeque<>();
  private final Map<String, Change> visible = new TreeMap<>();
  private long lagMs;

  VmList(LongSupplier nowMs) {
    this.nowMs = nowMs;
  }

  /** Sets the time until later changes become visible, in milliseconds. */
  public synchronized void setLagMs(long value) {
    lagMs = value;
  }

  synchronized long lagMs() {
    return lagMs;
  }

  /** Adds a VM or changes whether it is leaving. */
  public synchronized void put(String name, String host, boolean leaving) {
    pending.add(new Change(nowMs.getAsLong() + lagMs, name, host, false, leaving));
  }

  /** Removes a VM. */
  public synchronized void remove(String name) {
    pending.add(new Change(nowMs.getAsLong() + lagMs, name, "", true, true));
  }

  synchronized ObjectNode toJson() {
    long now = nowMs.getAsLong();
    while (!pending.isEmpty() && pending.peek().visibleAtMs() <= now) {
      Change change = pending.remove();
      if (change.gone()) {
        visible.remove(change.name());
      } else {
        visible.put(change.name(), change);
      }
    }
    ObjectNode reply = HttpCall.JSON.createObjectNode();
    ArrayNode list = reply.putArray("vms");
    for (Change vm : visible.values()) {
      list.addObject().put("name", vm.name()).put("host", vm.host()).put("leaving", vm.leaving());
    }
    return reply;
  }
}
