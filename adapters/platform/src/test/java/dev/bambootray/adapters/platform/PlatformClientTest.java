package dev.bambootray.adapters.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.adapters.httpclient.LinkDelay;
import dev.bambootray.core.store.CommitResult;
import dev.bambootray.core.store.RowPage;
import dev.bambootray.core.store.RowWrite;
import dev.bambootray.core.store.StoreError;
import dev.bambootray.core.store.StoredRow;
import dev.bambootray.core.store.TableTransaction;
import dev.bambootray.ports.VmDirectory.VmEntry;
import dev.bambootray.standins.StandInPlatform;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Drives the stand-in platform over loopback through outages and lost answers. */
final class PlatformClientTest {
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private StandInPlatform platform;
  private PlatformClient client;

  @BeforeEach
  void start() {
    platform = StandInPlatform.start(group, 7);
    client =
        PlatformClient.create(group, "127.0.0.1", platform.server().port(), 20_000, LinkDelay.NONE);
  }

  @AfterEach
  void stop() {
    client.close();
    platform.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  @Test
  void writesTakeEffectTogetherOrNotAtAll() {
    assertEquals(committed(1, 1), commit("t1", write("a", "1", 0), write("b", "1", 0)));
    assertEquals(
        Either.right(new CommitResult.Conflict(List.of(new StoredRow("b", "1", 1)))),
        commit("t2", write("a", "2", 1), write("b", "2", 0)));
    assertEquals(Either.right(new StoredRow("a", "1", 1)), client.table().get("a").join());
  }

  @Test
  void aRepeatedTokenHasNoFurtherEffect() {
    commit("t1", write("a", "1", RowWrite.ANY_VERSION));
    assertEquals(committed(1), commit("t1", write("a", "1", RowWrite.ANY_VERSION)));
    assertEquals(Either.right(new StoredRow("a", "1", 1)), client.table().get("a").join());
  }

  @Test
  void aRowThatWasDeletedDoesNotReuseItsVersions() {
    commit("t1", write("a", "1", 0));
    commit("t2", write("a", null, 1));
    assertEquals(committed(2), commit("t3", write("a", "1", 0)));
  }

  @Test
  void aCommitWhoseReadBackIsLostTooMayHaveBeenApplied() {
    platform.server().faults().setLostAnswerShare(1);
    StoreError error = commit("t1", write("a", "1", 0)).getLeft();
    assertTrue(error.maybeApplied());
    platform.server().faults().setLostAnswerShare(0);
    assertEquals(committed(1), commit("t1", write("a", "1", 0)));
  }

  @Test
  void lostAnswersAreReadBackByTheWriteToken() {
    platform.server().faults().setLostAnswerShare(0.5);
    int known = 0;
    for (int i = 0; i < 100; i++) {
      Either<StoreError, CommitResult> result = commit("t" + i, write("row" + i, "1", 0));
      known += result.isRight() ? 1 : 0;
      assertTrue(result.isRight() || result.getLeft().maybeApplied());
      assertEquals("1", platform.rowValue("row" + i));
    }
    // Half of the answers are lost, and half of the read-backs of those: about 75 are known.
    assertTrue(known > 60 && known < 90, "known: " + known);
  }

  @Test
  void aReadDuringAnOutageFailsAndIsNotAppliedEffect() {
    platform.server().faults().setAway(true);
    assertFalse(client.table().get("a").join().getLeft().maybeApplied());
    platform.server().faults().setAway(false);
    assertEquals(Either.right(new StoredRow("a", "", 0)), client.table().get("a").join());
  }

  @Test
  void aRateLimitedCommitHasNoEffect() {
    platform.server().faults().setRequestsPerSecond(-1);
    assertFalse(commit("t1", write("a", "1", 0)).getLeft().maybeApplied());
    assertEquals("", platform.rowValue("a"));
  }

  @Test
  void aServerThatDoesNotListenIsNotAppliedEffect() {
    platform.close();
    assertFalse(commit("t1", write("a", "1", 0)).getLeft().maybeApplied());
  }

  @Test
  void scansReturnEveryRowOfThePrefixOnceInOrder() {
    List<String> expected = new ArrayList<>();
    for (int i = 10; i < 60; i++) {
      commit("t" + i, write("p/" + i, "1", 0), write("q/" + i, "1", 0));
      expected.add("p/" + i);
    }
    List<String> seen = new ArrayList<>();
    String after = null;
    do {
      RowPage page = client.table().scan("p/", after, 7).join().get();
      page.rows().forEach(row -> seen.add(row.key()));
      after = page.nextAfterKey();
    } while (after != null);
    assertEquals(expected, seen);
  }

  @Test
  void objectsKeepTheirBytesAndNames() {
    byte[] content = new byte[300_000];
    new java.util.Random(3).nextBytes(content);
    assertEquals(Either.right(true), client.objects().put("a/b ü+%2F", content).join());
    assertArrayEquals(content, client.objects().get("a/b ü+%2F").join().get().orElseThrow());
    assertEquals(Either.right(Optional.empty()), client.objects().get("a/b").join());
  }

  @Test
  void theVmListLagsBehindItsChanges() {
    platform.vms().put("n1", "127.0.0.1", false);
    platform.vms().setLagMs(3_600_000);
    platform.vms().put("n1", "127.0.0.1", true);
    platform.vms().remove("n1");
    assertEquals(
        Either.right(List.of(new VmEntry("n1", "127.0.0.1", false))), client.vms().list().join());
  }

  private Either<StoreError, CommitResult> commit(String token, RowWrite... writes) {
    return client.table().commit(new TableTransaction(token, List.of(writes))).join();
  }

  private static RowWrite write(String key, String value, long expectedVersion) {
    return new RowWrite(key, value, expectedVersion);
  }

  private static Either<StoreError, CommitResult> committed(Long... versions) {
    return Either.right(new CommitResult.Committed(List.of(versions)));
  }

  private static Either<StoreError, CommitResult> committed(int... versions) {
    return committed(java.util.Arrays.stream(versions).asLongStream().boxed().toArray(Long[]::new));
  }
}
