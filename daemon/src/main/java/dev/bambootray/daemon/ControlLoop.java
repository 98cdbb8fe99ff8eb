package dev.bambootray.daemon;

import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.ThreadFactory;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * The one control thread of a node: takes events from a ring and handles them one after the other.
 *
 * @param <E> type of the events
 */
public final class ControlLoop<E> implements AutoCloseable {
  private static final int RING_SIZE = 8_192;

  private final Consumer<E> handler;
  private final LongConsumer durations;
  private final Disruptor<Slot<E>> disruptor;
  private final Queue<E> ownEvents = new ArrayDeque<>();
  private volatile @Nullable Thread controlThread;

  private ControlLoop(Consumer<E> handler, LongConsumer durations, String threadName) {
    this.handler = handler;
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
            Slot<E>::new, RING_SIZE, threads, ProducerType.MULTI, new BlockingWaitStrategy());
    EventHandler<Slot<E>> consumer = (slot, sequence, endOfBatch) -> handle(slot.take());
    disruptor.handleEventsWith(consumer);
  }

  /**
   * Creates a loop that is not running yet.
   *
   * @param <E> type of the events
   * @param handler decides and passes the effects on
   * @param durations takes the time of each event in nanoseconds
   * @param threadName name of the control thread
   */
  public static <E> ControlLoop<E> create(
      Consumer<E> handler, LongConsumer durations, String threadName) {
    return new ControlLoop<>(handler, durations, threadName);
  }

  /** Starts the control thread. */
  public void start() {
    disruptor.start();
  }

  /**
   * Hands an event to the control thread. Traffic threads wait if the ring is full; the control
   * thread itself never waits, because nobody else could empty the ring.
   */
  public void post(E event) {
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

  private void handle(@Nullable E event) {
    E next = event;
    while (next != null) {
      decide(next);
      next = ownEvents.poll();
    }
  }

  private void decide(E event) {
    long startNanos = System.nanoTime();
    try {
      handler.accept(event);
    } catch (RuntimeException e) {
      // One bad event must not end the control thread and with it the node.
      Logger.error(e, "control: Event {} failed.", event.getClass().getSimpleName());
    } finally {
      durations.accept(System.nanoTime() - startNanos);
    }
  }

  private static final class Slot<E> {
    private @Nullable E event;

    private @Nullable E take() {
      E taken = event;
      event = null;
      return taken;
    }
  }
}
