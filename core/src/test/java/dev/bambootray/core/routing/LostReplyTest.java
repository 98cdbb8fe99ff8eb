package dev.bambootray.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.ExecutionStatus;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.routing.RouterEffect.RecordIntent;
import dev.bambootray.core.routing.RouterEffect.RunOnTarget;
import dev.bambootray.core.worker.TaskPhase;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against double runs and false answers when the connection of a run fails. */
final class LostReplyTest {
  private final RouterFixture fixture = RouterFixture.withoutHedges(2, 8);

  private RequestKey queueNotRepeatable() {
    RequestKey key = fixture.queue("big", false, 10_000);
    recordIntent();
    return key;
  }

  private void recordIntent() {
    List<RecordIntent> intents = fixture.all(RecordIntent.class);
    fixture.send(new RouterEvent.IntentRecorded(intents.get(intents.size() - 1).task()));
  }

  private void loseReply(RequestKey key) {
    fixture.send(new RouterEvent.RunNoReply(fixture.runOf(key).task(), "reset"));
  }

  /** Guards against a second run of a request that is not repeatable. */
  @Nested
  final class NotRepeatable {
    @Test
    void recordsItsIntentBeforeItRuns() {
      RequestKey key = fixture.queue("big", false, 10_000);
      assertTrue(fixture.runsOf(key).isEmpty());
      recordIntent();
      assertEquals(fixture.all(RecordIntent.class).get(0).task(), fixture.runOf(key).task());
    }

    @Test
    void isRefusedAsNotRunWhenItsIntentIsRejectedRepeatedly() {
      RequestKey key = fixture.queue("big", false, 10_000);
      for (int i = 0; i < 3 && fixture.refusalOf(key) == null; i++) {
        List<RecordIntent> intents = fixture.all(RecordIntent.class);
        fixture.send(new RouterEvent.IntentRejected(intents.get(intents.size() - 1).task()));
        fixture.advance(2_000);
      }
      assertEquals(ExecutionStatus.NO, fixture.refusalOf(key).ran());
      assertTrue(fixture.runsOf(key).isEmpty());
    }

    @Test
    void isNotSentWhenItsTargetLeavesWhileTheIntentIsRecorded() {
      RequestKey key = fixture.queue("big", false, 10_000);
      RecordIntent first = fixture.all(RecordIntent.class).get(0);
      fixture.send(new RouterEvent.TargetLeaving(first.worker()));
      recordIntent();
      assertTrue(fixture.runsOf(key).isEmpty());
      recordIntent();
      assertFalse(fixture.runOf(key).worker().equals(first.worker()));
    }

    @Test
    void isNeverSentTwiceWhileItsStatusIsUnknown() {
      RequestKey key = queueNotRepeatable();
      loseReply(key);
      assertEquals(1, fixture.all(RouterEffect.QueryRunStatus.class).size());
      for (int i = 0; i < 6; i++) {
        fixture.send(new RouterEvent.RunStatusUnavailable(fixture.runOf(key).task(), "timeout"));
        fixture.advance(2_500);
      }
      assertEquals(1, fixture.runsOf(key).size());
      assertEquals(ExecutionStatus.UNKNOWN, fixture.refusalOf(key).ran());
      assertEquals(1, fixture.answersOf(key));
    }

    @Test
    void isSentAgainAfterTheWorkerTwiceReportedTheRunAsUnknown() {
      RequestKey key = queueNotRepeatable();
      RunOnTarget first = fixture.runOf(key);
      loseReply(key);
      fixture.reportStatus(first, TaskPhase.UNKNOWN);
      assertEquals(1, fixture.all(RecordIntent.class).size());
      fixture.advance(300);
      fixture.reportStatus(first, TaskPhase.UNKNOWN);
      assertEquals(2, fixture.all(RecordIntent.class).size());
      recordIntent();
      assertEquals(2, fixture.runsOf(key).size());
    }

    @Test
    void isAnsweredAsUnknownAtOnceWhenItsWorkerIsLost() {
      RequestKey key = queueNotRepeatable();
      fixture.send(new RouterEvent.TargetLost(fixture.runOf(key).worker()));
      assertEquals(ExecutionStatus.UNKNOWN, fixture.refusalOf(key).ran());
    }

    @Test
    void isAnsweredWithItsResultOnceItsStatusIsKnown() {
      RequestKey key = queueNotRepeatable();
      loseReply(key);
      fixture.reportStatus(fixture.runOf(key), TaskPhase.RUNNING);
      fixture.advance(100);
      fixture.reportStatus(fixture.runOf(key), TaskPhase.FINISHED);
      assertEquals("2", fixture.all(RouterEffect.CompleteRequest.class).get(0).resultJson());
    }

    @Test
    void isNotRetriedAfterAnError() {
      fixture.serve(100, 10);
      RequestKey key = queueNotRepeatable();
      fixture.fail(key);
      assertEquals(ExecutionStatus.YES, fixture.refusalOf(key).ran());
      fixture.advance(2_000);
      assertEquals(1, fixture.runsOf(key).size());
    }
  }

  /** Guards against connections that deliver no reply although the worker continues. */
  @Nested
  final class SilentConnections {
    @Test
    void areFoundWithinTwoSecondsAndClosedWhileTheTargetStaysInUse() {
      RequestKey key = fixture.queue();
      List<RouterEffect> soon = fixture.advance(2_000);
      assertEquals(1, RouterFixture.of(soon, RouterEffect.QueryRunStatus.class).size());
      fixture.reportStatus(fixture.runOf(key), TaskPhase.FINISHED);
      assertEquals(1, fixture.answersOf(key));
      assertEquals(1, fixture.all(RouterEffect.CloseConnection.class).size());
      assertEquals(16, fixture.router.loadOf(fixture.nowMs).freeSlots());
    }

    @Test
    void areFoundSoonerOnceRunTimesAreMeasured() {
      fixture.serve(200, 10);
      fixture.queue();
      assertEquals(
          1, RouterFixture.of(fixture.advance(300), RouterEffect.QueryRunStatus.class).size());
    }

    @Test
    void areStillFoundAfterTheOutcomeOfAQueryWasLost() {
      RequestKey first = fixture.queue("big", true, 60_000);
      RouterEffect.QueryRunStatus lost =
          RouterFixture.of(fixture.advance(1_100), RouterEffect.QueryRunStatus.class).get(0);
      fixture.answer(first);
      fixture.advance(6_000);
      for (int i = 0; i < 2; i++) {
        fixture.queue("big", true, 60_000);
      }
      List<RouterEffect> later = fixture.advance(2_000);
      assertTrue(
          RouterFixture.of(later, RouterEffect.QueryRunStatus.class).stream()
              .anyMatch(query -> query.worker().equals(lost.worker())));
    }

    @Test
    void areNotAssumedForARunThatIsStillRunning() {
      RequestKey key = fixture.queue();
      fixture.advance(1_500);
      fixture.reportStatus(fixture.runOf(key), TaskPhase.RUNNING);
      assertTrue(fixture.all(RouterEffect.CloseConnection.class).isEmpty());
      assertNull(fixture.refusalOf(key));
      fixture.answer(key);
      assertEquals("1", fixture.all(RouterEffect.CompleteRequest.class).get(0).resultJson());
    }

    @Test
    void toAnUnreachableTargetStopNewRunsThereButNotOnOtherTargetsOfItsRack() {
      fixture.serve(100, 10);
      RequestKey key = fixture.queue();
      RunOnTarget first = fixture.runOf(key);
      fixture.advance(1_500);
      fixture.send(new RouterEvent.RunStatusUnavailable(first.task(), "timeout"));
      fixture.advance(1_000);
      assertEquals(2, fixture.runsOf(key).size());
      for (int i = 0; i < 7; i++) {
        assertFalse(fixture.runOf(fixture.queue()).worker().equals(first.worker()));
      }
      fixture.send(new RouterEvent.ProbeAnswered(first.worker()));
      assertEquals(first.worker(), fixture.runOf(fixture.queue()).worker());
    }

    @Test
    void areClosedBeforeARunThatTheWorkerDoesNotKnowIsSentAgain() {
      RequestKey key = fixture.queue();
      fixture.advance(1_500);
      List<RouterEffect> resulting =
          fixture.send(
              new RouterEvent.RunStatusReceived(
                  RouterFixture.snapshot(fixture.runOf(key).task(), key, TaskPhase.UNKNOWN, null)));
      assertTrue(resulting.get(0) instanceof RouterEffect.CloseConnection);
      assertEquals(1, RouterFixture.of(resulting, RunOnTarget.class).size());
    }

    @Test
    void causeOneQueryAtATimeForEachTarget() {
      for (int i = 0; i < 16; i++) {
        fixture.queue();
      }
      fixture.advance(1_500);
      assertEquals(2, fixture.all(RouterEffect.QueryRunStatus.class).size());
    }
  }

  /** Guards against lost or repeated runs when the owner of the region changes. */
  @Nested
  final class AdoptedRuns {
    private RequestKey adopt(boolean repeatable, TaskPhase phase) {
      QueuedRequest request = fixture.request("big", repeatable, 10_000);
      RequestKey key = request.spec().key();
      fixture.send(
          new RouterEvent.RunAdopted(
              RouterFixture.worker(0),
              RouterFixture.snapshot(
                  dev.bambootray.core.worker.TaskId.parse("north:6:old:1~0"), key, phase, "2"),
              request));
      fixture.send(new RouterEvent.RequestQueued(request));
      return key;
    }

    @Test
    void thatFinishedAreAnswered() {
      RequestKey key = adopt(false, TaskPhase.FINISHED);
      assertEquals("2", fixture.all(RouterEffect.CompleteRequest.class).get(0).resultJson());
      assertEquals(key, fixture.all(RouterEffect.CompleteRequest.class).get(0).key());
    }

    @Test
    void thatAreRunningHoldTheirSlotAndAreTracked() {
      RequestKey key = adopt(false, TaskPhase.RUNNING);
      assertEquals(15, fixture.router.loadOf(fixture.nowMs).freeSlots());
      assertTrue(fixture.runsOf(key).isEmpty());
      fixture.advance(100);
      RouterEffect.QueryRunStatus query = fixture.all(RouterEffect.QueryRunStatus.class).get(0);
      fixture.send(
          new RouterEvent.RunStatusReceived(
              RouterFixture.snapshot(query.task(), key, TaskPhase.FINISHED, "3")));
      assertEquals(1, fixture.answersOf(key));
      assertEquals(16, fixture.router.loadOf(fixture.nowMs).freeSlots());
    }

    @Test
    void onAWorkerThatIsNoLongerDeclaredAreTrackedToo() {
      QueuedRequest request = fixture.request("big", false, 10_000);
      RequestKey key = request.spec().key();
      fixture.send(
          new RouterEvent.RunAdopted(
              dev.bambootray.core.model.WorkerId.of("removed"),
              RouterFixture.snapshot(
                  dev.bambootray.core.worker.TaskId.parse("north:6:old:1~0"),
                  key,
                  TaskPhase.FINISHED,
                  "2"),
              request));
      assertEquals(1, fixture.all(RouterEffect.CompleteRequest.class).size());
    }

    @Test
    void thatWereStoppedRunAgainOnlyIfRepeatable() {
      assertEquals(1, fixture.runsOf(adopt(true, TaskPhase.STOPPED)).size());
    }

    @Test
    void thatWereStoppedAndAreNotRepeatableAreUnknown() {
      RequestKey key = adopt(false, TaskPhase.STOPPED);
      assertEquals(ExecutionStatus.UNKNOWN, fixture.refusalOf(key).ran());
    }
  }
}
