package dev.bambootray.daemon.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.RunName;
import dev.bambootray.jobs.model.TaskName;
import dev.bambootray.jobs.scheduling.JobEffect;
import dev.bambootray.jobs.scheduling.JobEvent;
import dev.bambootray.jobs.scheduling.StopCause;
import dev.bambootray.jobs.worker.HoldReply;
import dev.bambootray.jobs.worker.StartReply;
import dev.bambootray.jobs.worker.WorkerEntry;
import dev.bambootray.ports.JobWorkerGateway;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class WorkerCallsTest {
  private static final long EPOCH = 3;
  private static final long SENT_MS = 5_000;
  private static final long WAIT_MS = 700;
  private static final WorkerEntry WORKER =
      new WorkerEntry(
          "w1", "s", "10.0.0.1:80", "z", "r", Set.of(), new Resources(8, 8, 8), 1, false);
  private static final RunName RUN = new RunName(new TaskName("j", 0, 0, 0), 1);
  private static final JobEffect.StartRun START =
      new JobEffect.StartRun(WORKER, RUN, "p", 9_000, "");
  private static final JobEffect.StopRun STOP =
      new JobEffect.StopRun(WORKER, RUN, StopCause.RECLAIMED, false);
  private static final JobEffect.StopRun REPEATED_STOP =
      new JobEffect.StopRun(WORKER, RUN, StopCause.RECLAIMED, true);
  private static final JobEffect.HoldWorker HOLD =
      new JobEffect.HoldWorker(WORKER, 0, 0, 9_000, WAIT_MS, true);
  private static final RuntimeException FAULT = new IllegalStateException("fault");
  private static final String FAULT_TEXT = "unexpected error " + FAULT;

  private record Call(JobEffect order, long epoch, long timeoutMs) {}

  private record Answer(long sentEpoch, JobEvent event) {}

  /** Records calls, which stay open until the test completes their futures. */
  private static final class OpenCalls implements JobWorkerGateway {
    private final List<Call> calls = new ArrayList<>();
    private final CompletableFuture<StartReply> start = new CompletableFuture<>();
    private final CompletableFuture<Boolean> stop = new CompletableFuture<>();
    private final CompletableFuture<HoldReply> hold = new CompletableFuture<>();

    @Override
    public CompletableFuture<StartReply> start(
        JobEffect.StartRun order, long epoch, long timeoutMs) {
      calls.add(new Call(order, epoch, timeoutMs));
      return start;
    }

    @Override
    public CompletableFuture<Boolean> stop(JobEffect.StopRun order, long epoch, long timeoutMs) {
      calls.add(new Call(order, epoch, timeoutMs));
      return stop;
    }

    @Override
    public CompletableFuture<HoldReply> hold(
        JobEffect.HoldWorker order, long epoch, long timeoutMs) {
      calls.add(new Call(order, epoch, timeoutMs));
      return hold;
    }
  }

  private final OpenCalls gateway = new OpenCalls();
  private final RecordedLog recorded = new RecordedLog();
  private final JobMetrics metrics = JobMetrics.create();
  private final List<Answer> answers = new ArrayList<>();
  private final WorkerCalls calls =
      new WorkerCalls(
          gateway,
          recorded.log(),
          metrics,
          (sentEpoch, event) -> answers.add(new Answer(sentEpoch, event)));

  private void assertFailureIsLogged(String call) {
    List<String> lines = recorded.lines();
    assertEquals(1, lines.size());
    String start = "worker: id=w1 " + call + " failed unexpectedly error=" + FAULT;
    assertTrue(lines.get(0).startsWith(start), lines.get(0));
  }

  @Nested
  final class Starts {
    @Test
    void areSentAndCounted() {
      calls.start(START, EPOCH);
      assertEquals(List.of(new Call(START, EPOCH, CallTimeouts.ORDER_MS)), gateway.calls);
      assertEquals(List.of(), answers);
      assertTrue(metrics.expose().contains("bambootray_job_starts_total 1.0"));
    }

    @Test
    void areAnswered() {
      StartReply reply = new StartReply.Started(SENT_MS);
      calls.start(START, EPOCH);
      gateway.start.complete(reply);
      assertEquals(
          List.of(new Answer(EPOCH, new JobEvent.StartAnswered(WORKER, RUN, reply))), answers);
      assertEquals(List.of(), recorded.lines());
    }

    /** Guards against a run that is started elsewhere although the worker may have started it. */
    @Test
    void areUnknownAfterAnUnexpectedError() {
      calls.start(START, EPOCH);
      gateway.start.completeExceptionally(FAULT);
      StartReply unknown = new StartReply.Unknown(FAULT_TEXT);
      assertEquals(
          List.of(new Answer(EPOCH, new JobEvent.StartAnswered(WORKER, RUN, unknown))), answers);
      assertFailureIsLogged("start");
    }
  }

  @Nested
  final class Stops {
    @Test
    void areSentAndCountedByCause() {
      calls.stop(STOP, EPOCH);
      assertEquals(List.of(new Call(STOP, EPOCH, CallTimeouts.ORDER_MS)), gateway.calls);
      String text = metrics.expose();
      assertTrue(text.contains("bambootray_job_stops_total{cause=\"reclaimed\"} 1.0"), text);
    }

    @Test
    void areNotCountedAgainWhenRepeated() {
      calls.stop(REPEATED_STOP, EPOCH);
      assertEquals(List.of(new Call(REPEATED_STOP, EPOCH, CallTimeouts.ORDER_MS)), gateway.calls);
      assertFalse(metrics.expose().contains("bambootray_job_stops_total{"));
    }

    @Test
    void areAnswered() {
      calls.stop(STOP, EPOCH);
      gateway.stop.complete(true);
      assertEquals(
          List.of(new Answer(EPOCH, new JobEvent.StopAnswered(WORKER, RUN, true))), answers);
    }

    /** Guards against a run that is taken as stopped although it may go on. */
    @Test
    void areNotConfirmedAfterAnUnexpectedError() {
      calls.stop(STOP, EPOCH);
      gateway.stop.completeExceptionally(FAULT);
      assertEquals(
          List.of(new Answer(EPOCH, new JobEvent.StopAnswered(WORKER, RUN, false))), answers);
      assertFailureIsLogged("stop");
    }
  }

  @Nested
  final class Holds {
    @Test
    void getTheirWaitAndAMarginAsTimeout() {
      calls.hold(HOLD, EPOCH, SENT_MS);
      assertEquals(
          List.of(new Call(HOLD, EPOCH, WAIT_MS + CallTimeouts.HOLD_MARGIN_MS)), gateway.calls);
    }

    @Test
    void areAnsweredWithTheTimeOfTheCall() {
      HoldReply reply = new HoldReply.Listed(1, 1, 1, List.of(), List.of(), false);
      calls.hold(HOLD, EPOCH, SENT_MS);
      gateway.hold.complete(reply);
      assertEquals(
          List.of(new Answer(EPOCH, new JobEvent.HoldAnswered(WORKER, reply, SENT_MS, true))),
          answers);
    }

    /** Guards against a worker that is never called again because a call ended without a reply. */
    @Test
    void areFailedAfterAnUnexpectedError() {
      calls.hold(HOLD, EPOCH, SENT_MS);
      gateway.hold.completeExceptionally(FAULT);
      HoldReply failed = new HoldReply.Failed(FAULT_TEXT);
      assertEquals(
          List.of(new Answer(EPOCH, new JobEvent.HoldAnswered(WORKER, failed, SENT_MS, true))),
          answers);
      assertFailureIsLogged("hold");
    }
  }
}
