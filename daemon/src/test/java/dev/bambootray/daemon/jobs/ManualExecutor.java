package dev.bambootray.daemon.jobs;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * An executor whose tasks run only when a test calls {@link #runAll}; delayed tasks run only with
 * {@link #runLater}, and periodic tasks never.
 */
final class ManualExecutor extends AbstractExecutorService implements ScheduledExecutorService {
  private final Deque<Runnable> ready = new ArrayDeque<>();
  private final List<Runnable> delayed = new ArrayList<>();

  void runAll() {
    while (!ready.isEmpty()) {
      ready.remove().run();
    }
  }

  void runLater() {
    List<Runnable> due = List.copyOf(delayed);
    delayed.clear();
    due.forEach(Runnable::run);
    runAll();
  }

  @Override
  public void execute(Runnable command) {
    ready.add(command);
  }

  @Override
  public ScheduledFuture<?> schedule(Runnable command, long delay, TimeUnit unit) {
    delayed.add(command);
    return new Task<>(command, null);
  }

  @Override
  public <V> ScheduledFuture<V> schedule(Callable<V> callable, long delay, TimeUnit unit) {
    throw new IllegalStateException("not used by the tests");
  }

  @Override
  public ScheduledFuture<?> scheduleAtFixedRate(
      Runnable command, long initialDelay, long period, TimeUnit unit) {
    return new Task<>(command, null);
  }

  @Override
  public ScheduledFuture<?> scheduleWithFixedDelay(
      Runnable command, long initialDelay, long delay, TimeUnit unit) {
    return new Task<>(command, null);
  }

  @Override
  public void shutdown() {}

  @Override
  public List<Runnable> shutdownNow() {
    return List.of();
  }

  @Override
  public boolean isShutdown() {
    return false;
  }

  @Override
  public boolean isTerminated() {
    return false;
  }

  @Override
  public boolean awaitTermination(long timeout, TimeUnit unit) {
    return true;
  }

  private static final class Task<V> extends FutureTask<V> implements ScheduledFuture<V> {
    Task(Runnable command, V result) {
      super(command, result);
    }

    @Override
    public long getDelay(TimeUnit unit) {
      return 0;
    }

    @Override
    public int compareTo(Delayed other) {
      return 0;
    }
  }
}
