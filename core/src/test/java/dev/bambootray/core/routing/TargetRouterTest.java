package dev.bambootray.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.ExecutionStatus;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.worker.RefusalReason;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Checks how the router manages its queue, its slots and its answers. */
final class TargetRouterTest {

  /** Guards against more runs on a target than it has slots, and against idle slots. */
  @Nested
  final class Slots {
    @Test
    void areNeverExceededAndAllUsed() {
      RouterFixture fixture = new RouterFixture(3, 8);
      for (int i = 0; i < 40; i++) {
        fixture.queue();
      }
      Map<String, Long> runs =
          fixture.all(RouterEffect.RunOnTarget.class).stream()
              .collect(Collectors.groupingBy(run -> run.worker().value(), Collectors.counting()));
      assertEquals(Map.of("w0", 8L, "w1", 8L, "w2", 8L), runs);
    }

    @Test
    void ofARunWithUnknownStatusStayTaken() {
      RouterFixture fixture = new RouterFixture(1, 1);
      RequestKey first = fixture.queue("big", false, 30_000);
      fixture.send(
          new RouterEvent.IntentRecorded(
              fixture.all(RouterEffect.RecordIntent.class).get(0).task()));
      RequestKey second = fixture.queue();
      fixture.send(new RouterEvent.RunNoReply(fixture.runOf(first).task(), "reset"));
      fixture.send(new RouterEvent.RunStatusUnavailable(fixture.runOf(first).task(), "timeout"));
      fixture.send(new RouterEvent.ProbeAnswered(RouterFixture.worker(0)));
      fixture.advance(3_000);
      assertTrue(fixture.runsOf(second).isEmpty());
      assertEquals(0, fixture.router.loadOf(fixture.nowMs).freeSlots());
    }
  }

  /** Guards against lost, late and duplicate final answers. */
  @Nested
  final class Answers {
    @Test
    void comeOnceWithTheResult() {
      RouterFixture fixture = new RouterFixture(1, 1);
      RequestKey key = fixture.queue();
      fixture.answer(key);
      fixture.answer(key);
      fixture.advance(31_000);
      assertEquals(1, fixture.answersOf(key));
      assertEquals("1", fixture.all(RouterEffect.CompleteRequest.class).get(0).resultJson());
    }

    @Test
    void areGivenAtTheDeadlineToRequestsThatWait() {
      RouterFixture fixture = new RouterFixture(1, 1);
      fixture.queue();
      RequestKey waiting = fixture.queue("small", true, 500);
      fixture.advance(500);
      assertEquals(ExecutionStatus.NO, fixture.refusalOf(waiting).ran());
      assertEquals(1, fixture.answersOf(waiting));
      assertTrue(fixture.refusalOf(waiting).retryAfterMs() > 0);
    }

    @Test
    void areGivenOnArrivalWhenTheWaitWouldExceedTheDeadline() {
      RouterFixture fixture = new RouterFixture(1, 1);
      for (int i = 0; i < 50; i++) {
        fixture.queue();
      }
      RequestKey late = fixture.queue("big", true, 1_000);
      assertEquals(ExecutionStatus.NO, fixture.refusalOf(late).ran());
      assertTrue(fixture.refusalOf(late).retryAfterMs() >= 1_000);
    }

    @Test
    void areGivenOnArrivalWhenTheQueueIsFull() {
      RouterFixture fixture = new RouterFixture(1, 1);
      fixture.queue();
      fixture.queue("tiny", true, 30_000);
      RequestKey fits = fixture.queue("tiny", true, 30_000);
      RequestKey tooMany = fixture.queue("tiny", true, 30_000);
      assertNull(fixture.refusalOf(fits));
      assertEquals(ExecutionStatus.NO, fixture.refusalOf(tooMany).ran());
    }

    @Test
    void areGivenSoonAfterTheLastTargetIsLost() {
      RouterFixture fixture = new RouterFixture(1, 1);
      fixture.queue();
      RequestKey waiting = fixture.queue("big", true, 600_000);
      fixture.send(new RouterEvent.TargetLost(RouterFixture.worker(0)));
      fixture.advance(8_000);
      assertEquals(ExecutionStatus.NO, fixture.refusalOf(waiting).ran());
    }
  }

  /** Guards against one workspace starving another. */
  @Nested
  final class Fairness {
    @Test
    void followsTheWeights() {
      RouterFixture fixture = new RouterFixture(1, 1);
      RequestKey running = fixture.queue();
      for (int i = 0; i < 40; i++) {
        fixture.queue("big", true, 600_000);
      }
      for (int i = 0; i < 40; i++) {
        fixture.queue("small", true, 600_000);
      }
      fixture.answer(running);
      for (int i = 0; i < 20; i++) {
        List<RouterEffect.RunOnTarget> runs = fixture.all(RouterEffect.RunOnTarget.class);
        fixture.answer(runs.get(runs.size() - 1).key());
      }
      long small =
          fixture.all(RouterEffect.RunOnTarget.class).stream()
              .filter(run -> run.key().workspace().value().equals("small"))
              .count();
      assertTrue(small >= 4 && small <= 7, "small got " + small + " of 21 runs");
    }
  }

  /** Guards against new requests on a target that is leaving. */
  @Nested
  final class LeavingTargets {
    @Test
    void getNoNewRequests() {
      RouterFixture fixture = new RouterFixture(2, 8);
      fixture.send(new RouterEvent.TargetLeaving(RouterFixture.worker(0)));
      for (int i = 0; i < 20; i++) {
        fixture.queue();
      }
      assertTrue(
          fixture.all(RouterEffect.RunOnTarget.class).stream()
              .allMatch(run -> run.worker().equals(RouterFixture.worker(1))));
    }

    @Test
    void areDetectedByTheirRefusalAndTheRequestRunsElsewhere() {
      RouterFixture fixture = new RouterFixture(2, 8);
      RequestKey key = fixture.queue();
      RouterEffect.RunOnTarget first = fixture.runOf(key);
      fixture.send(new RouterEvent.RunRefused(first.task(), RefusalReason.LEAVING));
      assertFalse(fixture.runOf(key).worker().equals(first.worker()));
      for (int i = 0; i < 20; i++) {
        fixture.queue();
      }
      assertEquals(
          1,
          fixture.all(RouterEffect.RunOnTarget.class).stream()
              .filter(run -> run.worker().equals(first.worker()))
              .count());
    }
  }

  /** Guards against cancelled requests that keep running, block capacity or are answered twice. */
  @Nested
  final class BulkCancellation {
    @Test
    void endEveryRequestOnceAndFreeSlotsWhenStopsAreConfirmed() {
      RouterFixture fixture = new RouterFixture(1, 2);
      List<RequestKey> keys =
          java.util.stream.IntStream.range(0, 10).mapToObj(i -> fixture.queue()).toList();
      RequestKey kept = fixture.queue("small", true, 30_000);
      fixture.send(new RouterEvent.RequestsCancelled(keys));
      assertEquals(2, fixture.all(RouterEffect.CancelRun.class).size());
      assertEquals(ExecutionStatus.NO, fixture.refusalOf(keys.get(9)).ran());
      assertEquals(ExecutionStatus.UNKNOWN, fixture.refusalOf(keys.get(0)).ran());
      assertTrue(fixture.runsOf(kept).isEmpty());
      fixture.send(new RouterEvent.RunFailed(fixture.runOf(keys.get(0)).task(), "stopped"));
      assertEquals(1, fixture.runsOf(kept).size());
      keys.forEach(key -> assertEquals(1, fixture.answersOf(key)));
    }
  }
}
