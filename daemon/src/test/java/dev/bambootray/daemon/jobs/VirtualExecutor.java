package dev.bambootray.daemon.jobs;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** An executor in virtual time, which passes only when a test calls {@link #runUntil}. */
final class VirtualExecutor extends AbstractExecutorService implements ScheduledExecutorService {
  private final PriorityQueue<Task<Boolean>> tasks =
      new PriorityQueue<>(
          Comparator.<Task<Boolean>>comparingLong(task -> task.atMs)
              .thenComparing(task -> task.number));
  private long nowMs;
  private long count;

  long nowMs() {
    return nowMs;
  }

  /** Lets time pass without running anything, as a pause of the process does. */
  void pauseFor(long durationMs) {
    nowMs += durationMs;
  }

  /** Runs all tasks that are due until a time, each at its time or as soon after as possible. */
  void runUntil(long untilMs) {
    while (!tasks.isEmpty() && tasks.peek().atMs <= untilMs) {
      Task<Boolean> task = tasks.remove();
      nowMs = Math.max(nowMs, task.atMs);
      task.run();
    }
    nowMs = Math.max(nowMs, untilMs);
  }

  private Task<Boolean> add(Runnable command, long delayMs) {
    Task<Boolean> task = new Task<>(command, true, nowMs + delayMs, count++);
    tasks.add(task);
    return task;
  }

  @Override
  public void execute(Runnable command) {
    add(command, 0);
  }

  @Override
  public ScheduledFuture<?> schedule(Runnable command, long delay, TimeUnit unit) {
    return add(command, unit.toMillis(delay));
  }

  @Override
  public <V> ScheduledFuture<V> schedule(Callable<V> callable, long delay, TimeUnit unit) {
    throw new IllegalStateException("not used by the tests");
  }

  @Override
  public ScheduledFuture<?> scheduleAtFixedRate(
      Runnable command, long initialDelay, long period, TimeUnit unit) {
    return add(
        () -> {
          command.run();
          var unused = scheduleAtFixedRate(command, period, period, unit);
        },
        unit.toMillis(initialDelay));
  }

  @Override
  public ScheduledFuture<?> scheduleWithFixedDelay(
      Runnable command, long initialDelay, long delay, TimeUnit unit) {
    throw new IllegalStateException("not used by the tests");
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
    private final long atMs;
    private final long number;

    Task(Runnable command, V result, long atMs, long number) {
      super(command, result);
      this.atMs = atMs;
      this.number = number;
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
