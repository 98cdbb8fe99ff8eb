package dev.bambootray.adapters.http;

import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/** Holds up the event loops of a group until it is released. */
final class HeldLoops implements AutoCloseable {
  private final CountDownLatch released = new CountDownLatch(1);

  private HeldLoops() {}

  /** Returns once all loops of the group are held up. */
  static HeldLoops hold(EventLoopGroup group) throws InterruptedException {
    HeldLoops held = new HeldLoops();
    List<EventExecutor> loops = new ArrayList<>();
    group.forEach(loops::add);
    CountDownLatch reached = new CountDownLatch(loops.size());
    loops.forEach(loop -> loop.execute(() -> held.await(reached)));
    reached.await();
    return held;
  }

  void release() {
    released.countDown();
  }

  private void await(CountDownLatch reached) {
    reached.countDown();
    try {
      released.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    release();
  }
}
