package dev.bambootray.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.ExecutionStatus;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.routing.RouterEffect.RunOnTarget;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against retry storms and against targets that fail or delay the requests. */
final class RetryAndEjectionTest {

  /** Sends one request every 10 ms; runs take 20 ms, and failing workers fail at once. */
  private static void drive(RouterFixture fixture, int requests, Set<WorkerId> failing) {
    Deque<RequestKey> served = new ArrayDeque<>();
    for (int i = 0; i < requests; i++) {
      served.addLast(fixture.queue());
      failAll(fixture, failing);
      fixture.advance(10);
      failAll(fixture, failing);
      if (served.size() > 2) {
        RequestKey key = served.removeFirst();
        if (!fixture.runsOf(key).isEmpty()) {
          fixture.answer(key);
        }
      }
    }
  }

  private static void failAll(RouterFixture fixture, Set<WorkerId> failing) {
    List<RunOnTarget> open = new ArrayList<>(fixture.all(RunOnTarget.class));
    for (RunOnTarget run : open.subList(Math.max(0, open.size() - 8), open.size())) {
      if (failing.contains(run.worker())) {
        fixture.send(new RouterEvent.RunFailed(run.task(), "broken"));
      }
    }
  }

  private static long runsOn(RouterFixture fixture, WorkerId worker, int fromIndex) {
    return fixture.all(RunOnTarget.class).stream()
        .skip(fromIndex)
        .filter(run -> run.worker().equals(worker))
        .count();
  }

  /** Guards against retries that multiply the load of a failing service. */
  @Nested
  final class Retries {
    @Test
    void stayWithinATenthOfTheFirstRunsWhenEverythingFails() {
      RouterFixture fixture = new RouterFixture(4, 8);
      int requests = 500;
      for (int i = 0; i < requests; i++) {
        fixture.queue();
        failAll(
            fixture,
            Set.of(
                RouterFixture.worker(0),
                RouterFixture.worker(1),
                RouterFixture.worker(2),
                RouterFixture.worker(3)));
        fixture.advance(10);
      }
      int runs = fixture.all(RunOnTarget.class).size();
      assertTrue(runs > requests && runs <= requests * 1.1, runs + " runs");
    }

    @Test
    void preferAnotherTarget() {
      RouterFixture fixture = new RouterFixture(2, 8);
      fixture.serve(50, 10);
      RequestKey key = fixture.queue();
      WorkerId first = fixture.runOf(key).worker();
      fixture.fail(key);
      fixture.advance(100);
      assertNotEquals(first, fixture.runOf(key).worker());
    }

    @Test
    void areNotMadeWithoutBudgetAndTheErrorIsReturnedAtOnce() {
      RouterFixture fixture = new RouterFixture(2, 8);
      RequestKey key = fixture.queue();
      fixture.fail(key);
      assertEquals(ExecutionStatus.YES, fixture.refusalOf(key).ran());
      assertTrue(fixture.refusalOf(key).retryAfterMs() > 0);
    }

    @Test
    void replaceRunsThatWereLostWithTheirWorker() {
      RouterFixture fixture = new RouterFixture(2, 8);
      RequestKey key = fixture.queue();
      WorkerId lost = fixture.runOf(key).worker();
      fixture.send(new RouterEvent.TargetLost(lost));
      assertNotEquals(lost, fixture.runOf(key).worker());
    }
  }

  /**
   * Guards against slower runs of a hedged request that keep their slots or cause a second answer.
   */
  @Nested
  final class Hedges {
    @Test
    void startAfterTheQuantileAndTheSlowerRunIsCancelled() {
      RouterFixture fixture = new RouterFixture(2, 8);
      fixture.serve(200, 10);
      RequestKey key = fixture.queue();
      fixture.advance(40);
      List<RunOnTarget> runs = fixture.runsOf(key);
      assertEquals(2, runs.size());
      assertNotEquals(runs.get(0).worker(), runs.get(1).worker());
      fixture.answer(key);
      assertEquals(runs.get(0).task(), fixture.all(RouterEffect.CancelRun.class).get(0).task());
      fixture.send(new RouterEvent.RunAnswered(runs.get(0).task(), "late"));
      assertEquals(1, fixture.answersOf(key));
    }

    @Test
    void areNeverStartedForRequestsThatAreNotRepeatable() {
      RouterFixture fixture = new RouterFixture(2, 8);
      fixture.serve(200, 10);
      RequestKey key = fixture.queue("big", false, 10_000);
      fixture.send(
          new RouterEvent.IntentRecorded(
              fixture.all(RouterEffect.RecordIntent.class).get(0).task()));
      fixture.advance(3_000);
      assertEquals(1, fixture.runsOf(key).size());
    }
  }

  /** Guards against a target that fails every request at once and so always has free slots. */
  @Nested
  final class Ejection {
    @Test
    void keepsWorkFromATargetThatFailsEverything() {
      RouterFixture fixture = new RouterFixture(4, 8);
      WorkerId bad = RouterFixture.worker(0);
      drive(fixture, 400, Set.of(bad));
      int before = fixture.all(RunOnTarget.class).size();
      drive(fixture, 100, Set.of(bad));
      assertEquals(0, runsOn(fixture, bad, before));
    }

    @Test
    void endsAfterSeveralAnsweredProbesWithOneRunAtFirst() {
      RouterFixture fixture = new RouterFixture(4, 8);
      WorkerId bad = RouterFixture.worker(0);
      drive(fixture, 400, Set.of(bad));
      fixture.advance(3_000);
      for (int i = 0; i < 3; i++) {
        fixture.send(new RouterEvent.ProbeAnswered(bad));
        fixture.advance(500);
      }
      int before = fixture.all(RunOnTarget.class).size();
      for (int i = 0; i < 32; i++) {
        fixture.queue();
      }
      assertEquals(1, runsOn(fixture, bad, before));
    }

    @Test
    void affectsNoMoreThanTheDeclaredShare() {
      RouterFixture fixture = new RouterFixture(4, 8);
      drive(
          fixture,
          1_000,
          Set.of(RouterFixture.worker(0), RouterFixture.worker(1), RouterFixture.worker(2)));
      assertTrue(fixture.router.loadOf(fixture.nowMs).freeSlots() > 0);
      long ejected =
          fixture.router.explain(fixture.queue(), fixture.nowMs).wouldStartIf().stream()
              .filter(text -> text.contains("ejected"))
              .count();
      assertTrue(ejected <= 2, ejected + " of 4 targets are ejected");
    }

    @Test
    void doesNotFollowFromARequestThatFailsEverywhere() {
      RouterFixture fixture = RouterFixture.withoutHedges(4, 8);
      fixture.serve(300, 10);
      for (int i = 0; i < 30; i++) {
        RequestKey poison = fixture.queue();
        for (int run = 0; run < 3 && fixture.answersOf(poison) == 0; run++) {
          fixture.fail(poison);
          fixture.advance(100);
        }
        fixture.serve(4, 10);
      }
      assertEquals(32, fixture.router.loadOf(fixture.nowMs).freeSlots());
    }

    @Test
    void isNotAppliedWhenAllTargetsFail() {
      RouterFixture fixture = new RouterFixture(4, 8);
      Set<WorkerId> all =
          Set.of(
              RouterFixture.worker(0),
              RouterFixture.worker(1),
              RouterFixture.worker(2),
              RouterFixture.worker(3));
      drive(fixture, 500, all);
      assertTrue(fixture.router.loadOf(fixture.nowMs).freeSlots() >= 16);
    }
  }

  /** Guards against a slow target that holds requests. */
  @Nested
  final class SlowTargets {
    @Test
    void getFewRequestsWhileOthersAreFree() {
      RouterFixture fixture = new RouterFixture(4, 8);
      WorkerId slow = RouterFixture.worker(0);
      for (int i = 0; i < 200; i++) {
        RequestKey key = fixture.queue();
        fixture.advance(fixture.runOf(key).worker().equals(slow) ? 200 : 20);
        fixture.answer(key);
      }
      int before = fixture.all(RunOnTarget.class).size();
      fixture.serve(200, 20);
      long onSlow = runsOn(fixture, slow, before);
      assertTrue(onSlow <= 2, onSlow + " runs on the slow target");
      assertFalse(fixture.all(RunOnTarget.class).isEmpty());
    }
  }
}
