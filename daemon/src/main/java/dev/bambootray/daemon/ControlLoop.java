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
 * Runs the single control thread of a node, which handles events from a ring buffer one by one.
 *
 * @param <E> type of the events
 */
public final class ControlLoop<E> implements AutoCloseable {
  private static final int RING_SIZE = 8_192;

  private final Consumer<E> handler;
  private final LongConsumer durations;
  private final Consumer<Throwable> fatalErrors;
  private final Disruptor<Slot<E>> disruptor;
  private final Queue<E> ownEvents = new ArrayDeque<>();
  private volatile @Nullable Thread controlThread;

  private ControlLoop(
      Consumer<E> handler,
      LongConsumer durations,
      String threadName,
      Consumer<Throwable> fatalErrors) {
    this.handler = handler;
    this.durations = durations;
    this.fatalErrors = fatalErrors;
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
   * Creates a loop that is not running yet. An error that ends its control thread ends the process.
   *
   * @param <E> type of the events
   * @param handler handles an event and carries out its effects
   * @param durations receives the handling time of each event in nanoseconds
   * @param threadName name of the control thread
   */
  public static <E> ControlLoop<E> create(
      Consumer<E> handler, LongConsumer durations, String threadName) {
    return create(handler, durations, threadName, FatalErrors::endProcess);
  }

  /**
   * Creates a loop that is not running yet.
   *
   * @param <E> type of the events
   * @param handler handles an event and carries out its effects
   * @param durations receives the handling time of each event in nanoseconds
   * @param threadName name of the control thread
   * @param fatalErrors receives an error that ends the control thread
   */
  static <E> ControlLoop<E> create(
      Consumer<E> handler,
      LongConsumer durations,
      String threadName,
      Consumer<Throwable> fatalErrors) {
    return new ControlLoop<>(handler, durations, threadName, fatalErrors);
  }

  /** Starts the control thread. */
  public void start() {
    disruptor.start();
  }

  /**
   * Posts an event to the control thread.
   *
   * <p>Other threads wait if the ring is full. Events that the control thread itself posts are
   * queued separately, because it would deadlock if it waited for room in the ring.
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
      // An exception must not end the control thread, since the node cannot work without it.
      Logger.error(e, "control: Event {} failed.", event.getClass().getSimpleName());
    } catch (Error e) {
      // It may have left any state inconsistent, and memory may be exhausted.
      fatalErrors.accept(e);
      throw e;
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
