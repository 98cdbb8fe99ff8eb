package dev.bambootray.soak.wire;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import dev.bambootray.adapters.http.ApiRequest;
import dev.bambootray.adapters.http.ApiResponse;
import dev.bambootray.adapters.http.PendingResponse;
import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.worker.WorkerEntry;
import dev.bambootray.soak.wire.StandInStore.Failure;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** The stand-in store against the platform's published rules, with a clock of the test. */
final class StandInStoreTest {
  private record Timer(long atMs, Runnable action) {}

  private long nowMs;
  private final List<Timer> timers = new ArrayList<>();
  private final StandInStore store =
      new StandInStore(
          1, (delayMs, action) -> timers.add(new Timer(nowMs + delayMs, action)), () -> nowMs);

  private void pass(long forMs) {
    long endMs = nowMs + forMs;
    while (nowMs < endMs) {
      nowMs++;
      for (Timer timer : List.copyOf(timers)) {
        if (timer.atMs() <= nowMs && timers.remove(timer)) {
          timer.action().run();
        }
      }
    }
  }

  private PendingResponse call(String path, Map<String, String> query, String body) {
    Map<String, List<String>> lists = new HashMap<>();
    query.forEach((name, value) -> lists.put(name, List.of(value)));
    return store.route(
        new ApiRequest(
            "POST", path, new DefaultHttpHeaders(), List.of(), lists, "", "", null, "", body));
  }

  private static ApiResponse answer(PendingResponse pending) {
    ApiResponse response = pending.response().getNow(null);
    assertTrue(response != null, "no answer yet");
    return response;
  }

  private ApiResponse commit(long expected, String value) {
    PendingResponse pending = send(expected, value);
    pass(10);
    return answer(pending);
  }

  private PendingResponse send(long expected, String value) {
    String row = "{\"table\":\"t\",\"part\":\"p\",\"key\":\"k\"";
    return call(
        "/api/rows-tx",
        Map.of(),
        "{\"expected_rev\":["
            + row
            + ",\"ver\":"
            + expected
            + "}],\"writes\":["
            + row
            + ",\"value\":\""
            + value
            + "\"}]}");
  }

  private JsonNode rows(String path, Map<String, String> query) {
    PendingResponse pending = call(path, query, "");
    pass(10);
    return Json.read(answer(pending).body()).path("rows");
  }

  @Test
  void listsOddEntriesUntilTheyAreRemoved() {
    List<String> keys = store.leaveOddEntries();
    Map<String, String> registry = Map.of("table", "servers", "part", "");
    assertEquals(keys.size(), rows("/api/rows-get", registry).size());
    keys.forEach(store::unregister);
    assertTrue(rows("/api/rows-get", registry).isEmpty());
  }

  @Nested
  final class Transactions {
    @Test
    void needTheExpectedVersion() {
      assertEquals(200, commit(0, "YQ==").status());
      assertEquals(412, commit(0, "Yg==").status());
      JsonNode row = rows("/api/rows-get", Map.of("table", "t", "part", "p")).path(0);
      assertEquals("YQ==", row.path("value").asText());
      assertEquals(200, commit(row.path("ver").asLong(), "Yg==").status());
    }

    @Test
    void areRefusedWithoutEffectWhileTheStoreRefuses() {
      store.begin(Failure.REFUSES);
      assertEquals(503, commit(0, "YQ==").status());
      store.end(Failure.REFUSES);
      assertTrue(rows("/api/rows-get", Map.of("table", "t", "part", "p")).isEmpty());
    }

    @Test
    void mayBeCarriedOutWithoutAnAnswer() {
      store.begin(Failure.LATE);
      PendingResponse last = send(0, "YQ==");
      pass(10);
      for (int tries = 0; tries < 20 && last.response().isDone(); tries++) {
        last = send(version(), "Yg==");
        pass(10);
      }
      assertFalse(last.response().isDone());
      long before = version();
      pass(5_000);
      assertFalse(last.response().isDone());
      assertTrue(version() > before, "the transaction was not carried out");
    }

    private long version() {
      return rows("/api/rows-get", Map.of("table", "t", "part", "p")).path(0).path("ver").asLong();
    }
  }

  @Nested
  final class Restart {
    @Test
    void keepsRowsAndForgetsWhatWaits() {
      assertEquals(200, commit(0, "YQ==").status());
      PendingResponse feed =
          call("/api/rows-feed", Map.of("table", "t", "after", "1", "wait_ms", "1000"), "");
      pass(10);
      PendingResponse commit = send(1, "Yg==");
      store.restart();
      pass(2_000);
      assertFalse(feed.response().isDone());
      assertFalse(commit.response().isDone());
      JsonNode row = rows("/api/rows-get", Map.of("table", "t", "part", "p")).path(0);
      assertEquals("YQ==", row.path("value").asText());
      assertEquals(1, row.path("ver").asLong());
      assertEquals(200, commit(1, "Yg==").status());
    }

    @Test
    void keepsOrDropsTheHistoryByACoin() {
      Set<Integer> statuses = new HashSet<>();
      for (int restarts = 0; restarts < 20; restarts++) {
        store.register(worker(), false, restarts);
        store.restart();
        Map<String, String> old = Map.of("table", "servers", "after", String.valueOf(restarts));
        PendingResponse feed = call("/api/rows-feed", old, "");
        pass(10);
        statuses.add(answer(feed).status());
      }
      assertEquals(Set.of(200, 410), statuses);
    }

    private static WorkerEntry worker() {
      return new WorkerEntry(
          "w", "s", "127.0.0.1:1", "z", "r", Set.of(), new Resources(1, 1, 1), 0, false);
    }
  }

  @Test
  void countsTakeoversByTheOwnerRow() {
    for (int epoch : new int[] {1, 1, 2, 2, 5}) {
      byte[] owner = ("{\"holder\":\"n\",\"epoch\":" + epoch + "}").getBytes(UTF_8);
      String row =
          "{\"table\":\"owner\",\"part\":\"\",\"key\":\"pool\",\"value\":\""
              + Base64.getEncoder().encodeToString(owner)
              + "\"}";
      call("/api/rows-tx", Map.of(), "{\"writes\":[" + row + "]}");
      pass(10);
    }
    assertEquals(3, store.owners());
  }

  @Nested
  final class Feed {
    @Test
    void waitsForAChange() {
      PendingResponse feed =
          call("/api/rows-feed", Map.of("table", "t", "after", "0", "wait_ms", "1000"), "");
      pass(100);
      assertFalse(feed.response().isDone());
      assertEquals(200, commit(0, "YQ==").status());
      assertEquals(1, Json.read(answer(feed).body()).path("rows").size());
    }

    @Test
    void answersWithoutNewsAfterItsTime() {
      PendingResponse feed =
          call("/api/rows-feed", Map.of("table", "t", "after", "0", "wait_ms", "1000"), "");
      pass(1_100);
      assertTrue(Json.read(answer(feed).body()).path("rows").isEmpty());
    }

    @Test
    void isGoneAfterTheHistoryIsDropped() {
      assertEquals(200, commit(0, "YQ==").status());
      store.compact();
      PendingResponse feed = call("/api/rows-feed", Map.of("table", "t", "after", "0"), "");
      pass(10);
      assertEquals(410, answer(feed).status());
    }
  }
}
