package dev.bambootray.daemon;

import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import dev.bambootray.core.node.NodeCore;
import dev.bambootray.core.node.NodeEffect;
import dev.bambootray.core.node.NodeEvent;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.ThreadFactory;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * The one control thread of a node: takes events from a ring, lets the control state decide and
 * passes the effects on.
 */
final class ControlLoop implements AutoCloseable {
  private static final int RING_SIZE = 8_192;

  private final NodeCore core;
  private final LongSupplier clock;
  private final Consumer<NodeEffect> effects;
  private final LongConsumer durations;
  private final Disruptor<Slot> disruptor;
  private final Queue<NodeEvent> ownEvents = new ArrayDeque<>();
  private volatile @Nullable Thread controlThread;

  private ControlLoop(
      NodeCore core,
      LongSupplier clock,
      Consumer<NodeEffect> effects,
      LongConsumer durations,
      String threadName) {
    this.core = core;
    this.clock = clock;
    this.effects = effects;
    this.durations = durations;
    ThreadFactory threads =
        task -> {
          Thread thread = new Thread(task, threadName);
          thread.setDaemon(true);
          controlThread = thread;
          return thread;
        };
    disruptor =
        new Disruptor<>(
            Slot::new, RING_SIZE, threads, ProducerType.MULTI, new BlockingWaitStrategy());
    EventHandler<Slot> handler = (slot, sequence, endOfBatch) -> handle(slot.take());
    disruptor.handleEventsWith(handler);
  }

  /**
   * Creates a loop that is not running yet.
   *
   * @param core decides
   * @param clock the time in milliseconds since the epoch
   * @param effects carries effects out
   * @param durations takes the time of each event in nanoseconds
   * @param threadName name of the control thread
   */
  static ControlLoop create(
      NodeCore core,
      LongSupplier clock,
      Consumer<NodeEffect> effects,
      LongConsumer durations,
      String threadName) {
    return new ControlLoop(core, clock, effects, durations, threadName);
  }

  void start() {
    disruptor.start();
  }

  /**
   * Hands an event to the control thread. Traffic threads wait if the ring is full; the control
   * thread itself never waits, because nobody else could empty the ring.
   */
  void post(NodeEvent event) {
    if (Thread.currentThread() == controlThread) {
      ownEvents.add(event);
      return;
    }
    disruptor.publishEvent((slot, sequence) -> slot.event = event);
  }

  @Override
  public void close() {
    disruptor.halt();
  }

  private void handle(@Nullable NodeEvent event) {
    NodeEvent next = event;
    while (next != null) {
      decide(next);
      next = ownEvents.poll();
    }
  }

  private void decide(NodeEvent event) {
    long startNanos = System.nanoTime();
    try {
      for (NodeEffect effect : core.handle(event, clock.getAsLong())) {
        effects.accept(effect);
      }
    } catch (RuntimeException e) {
      // One bad event must not end the control thread and with it the node.
      Logger.error(e, "control: Event {} failed.", event.getClass().getSimpleName());
    } finally {
      durations.accept(System.nanoTime() - startNanos);
    }
  }

  private static final class Slot {
    private @Nullable NodeEvent event;

    private @Nullable NodeEvent take() {
      NodeEvent taken = event;
      event = null;
      return taken;
    }
  }
}
