package dev.bambootray.adapters.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.adapters.httpclient.LinkDelay;
import dev.bambootray.core.declaration.WorkerDeclaration;
import dev.bambootray.core.model.AttemptToken;
import dev.bambootray.core.model.FailureDomainId;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.Ownership;
import dev.bambootray.core.model.RackId;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.Resources;
import dev.bambootray.core.model.TemplateId;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.worker.RefusalReason;
import dev.bambootray.core.worker.TaskId;
import dev.bambootray.core.worker.TaskPhase;
import dev.bambootray.core.worker.TaskSnapshot;
import dev.bambootray.core.worker.WorkerCommand;
import dev.bambootray.core.worker.WorkerReply;
import dev.bambootray.standins.RunLedger;
import dev.bambootray.standins.StandInWorker;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Drives stand-in workers over loopback through the faults that the gateway must tell apart. */
final class HttpWorkerGatewayTest {
  private static final long TIMEOUT_MS = 20_000;
  private static final RegionId REGION = RegionId.of("north");
  private static final RequestKey KEY = RequestKey.of("w1", "k1");
  private static final TemplateId TEMPLATE = TemplateId.of("plan");

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);
  private final RunLedger ledger = RunLedger.create();
  private StandInWorker worker;
  private HttpWorkerGateway gateway;

  @BeforeEach
  void start() {
    worker =
        StandInWorker.start(StandInWorker.Spec.standard("w", "north"), group, timers, ledger, 1);
    gateway = HttpWorkerGateway.create(group, LinkDelay.NONE);
  }

  @AfterEach
  void stop() {
    gateway.close();
    worker.close();
    timers.shutdownNow();
    group.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS).syncUninterruptibly();
  }

  @Nested
  final class Epochs {
    @Test
    void commandsBeforeAdoptionAndUnderAnOlderEpochAreRefused() {
      assertRefused(RefusalReason.NOT_ADOPTED, 0, run(owner(1), "a", "{}"));
      adopt(2);
      assertRefused(RefusalReason.STALE_EPOCH, 2, run(owner(1), "a", "{}"));
      assertEquals(List.of(), ledger.runs());
    }

    @Test
    void anotherOwnerUnderTheSameEpochIsRefused() {
      adopt(1);
      Ownership other = new Ownership(REGION, NodeId.of("n2"), 1);
      assertRefused(RefusalReason.STALE_EPOCH, 1, send(new WorkerCommand.Adopt(other)));
    }

    @Test
    void adoptionListsTheOutcomesThatAreNotAcknowledged() {
      adopt(1);
      TaskSnapshot ended = taskState(run(owner(1), "a", "{}"));
      assertEquals(TaskPhase.FINISHED, ended.phase());
      assertEquals(
          List.of(ended.task()), adopt(2).tasks().stream().map(TaskSnapshot::task).toList());
      send(new WorkerCommand.Acknowledge(owner(2), List.of(ended.task())));
      assertEquals(List.of(), adopt(3).tasks());
    }
  }

  @Nested
  final class Tasks {
    @Test
    void aRepeatedRunHasNoFurtherEffect() {
      adopt(1);
      TaskSnapshot first = taskState(run(owner(1), "a", "{}"));
      TaskSnapshot second = taskState(run(owner(1), "a", "{}"));
      assertEquals(first, second);
      assertEquals(1, ledger.runs().size());
    }

    @Test
    void aTaskReportedAsUnknownNeverRunsLater() {
      adopt(1);
      TaskSnapshot asked = taskState(send(new WorkerCommand.QueryTask(owner(1), task("a"), 0)));
      assertEquals(TaskPhase.UNKNOWN, asked.phase());
      assertRefused(RefusalReason.UNKNOWN_TASK, 1, run(owner(1), "a", "{}"));
      assertEquals(0, ledger.refusedButRan(Set.of("w1/k1")));
    }

    @Test
    void anAcknowledgedTaskIsNotReportedAsUnknown() {
      adopt(1);
      run(owner(1), "a", "{}");
      send(new WorkerCommand.Acknowledge(owner(1), List.of(task("a"))));
      TaskSnapshot asked = taskState(send(new WorkerCommand.QueryTask(owner(1), task("a"), 0)));
      assertEquals(TaskPhase.STOPPED, asked.phase());
    }

    @Test
    void aGangMemberIsReservedStartedAndReportedByEvents() {
      adopt(1);
      assertInstanceOf(WorkerReply.Done.class, reserve("a", 0, 4));
      assertRefused(RefusalReason.NO_CAPACITY, 1, reserve("b", 3, 4));
      assertInstanceOf(WorkerReply.Done.class, reserve("c", 4, 4));
      send(new WorkerCommand.Start(owner(1), task("a"), "{}", 1_000, null, ""));
      assertEquals(
          List.of(TaskPhase.RESERVED, TaskPhase.RESERVED, TaskPhase.RUNNING), phases(0, 3));
      assertEquals(List.of(TaskPhase.FINISHED), phases(3, 1));
    }

    @Test
    void aStoppedReservationIsReleasedAndCannotBeStarted() {
      adopt(1);
      reserve("a", 0, 8);
      send(new WorkerCommand.Stop(owner(1), task("a")));
      assertInstanceOf(WorkerReply.Done.class, reserve("b", 0, 8));
      assertRefused(
          RefusalReason.UNKNOWN_TASK,
          1,
          send(new WorkerCommand.Start(owner(1), task("a"), "{}", 1_000, null, "")));
    }

    @Test
    void runsBeyondTheSlotsAreRefusedAndDoNotRun() {
      adopt(1);
      List<CompletableFuture<WorkerReply>> running = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        running.add(runLater("r" + i, "{\"runMs\":3600000}"));
      }
      awaitSlots(8);
      // A second gateway stands for another owner's connections, which have their own bound.
      HttpWorkerGateway second = HttpWorkerGateway.create(group, LinkDelay.NONE);
      WorkerReply ninth =
          second.send(declaration(), runCommand(owner(1), "r8", "{}"), TIMEOUT_MS).join();
      second.close();
      assertRefused(RefusalReason.NO_CAPACITY, 1, ninth);
      running.forEach(run -> assertEquals(false, run.isDone()));
    }

    @Test
    void aLeavingWorkerRefusesNewWorkAndSaysSo() {
      adopt(1);
      worker.leave();
      assertRefused(RefusalReason.LEAVING, 1, run(owner(1), "a", "{}"));
      assertTrue(adopt(2).leaving());
    }
  }

  @Nested
  final class Connections {
    @Test
    void aPeerThatDoesNotListenYieldsNotSent() {
      worker.die();
      assertInstanceOf(WorkerReply.NotSent.class, send(new WorkerCommand.Adopt(owner(1))));
    }

    @Test
    void aLostAnswerYieldsNoReplyAlthoughTheTaskRan() {
      adopt(1);
      worker.server().faults().setLostAnswerShare(1);
      assertInstanceOf(WorkerReply.NoReply.class, run(owner(1), "a", "{}"));
      worker.server().faults().setLostAnswerShare(0);
      assertEquals(1, ledger.runs().size());
      TaskSnapshot asked = taskState(send(new WorkerCommand.QueryTask(owner(1), task("a"), 0)));
      assertEquals(TaskPhase.FINISHED, asked.phase());
    }

    @Test
    void aQueryWorksWhileOpenConnectionsAreSilent() {
      adopt(1);
      CompletableFuture<WorkerReply> run = runLater("a", "{\"runMs\":3600000}");
      awaitSlots(1);
      worker.server().silenceOpenConnections();
      TaskSnapshot asked = taskState(send(new WorkerCommand.QueryTask(owner(1), task("a"), 0)));
      assertEquals(TaskPhase.RUNNING, asked.phase());
      gateway.closeConnectionOf(declaration(), task("a"));
      assertInstanceOf(WorkerReply.NoReply.class, run.join());
    }

    @Test
    void commandsPassWhileAllRunsAndThePollHoldConnections() {
      adopt(1);
      for (int i = 0; i < 8; i++) {
        var unused = runLater("r" + i, "{\"runMs\":3600000}");
      }
      var unusedPoll =
          gateway.send(
              declaration(), new WorkerCommand.PollEvents(owner(1), 99, 3_600_000, 1), TIMEOUT_MS);
      awaitSlots(8);
      for (int i = 0; i < 20; i++) {
        taskState(send(new WorkerCommand.QueryTask(owner(1), task("r0"), 0)));
      }
      assertTrue(worker.counters().get("peakConnections").asInt() <= 10);
    }

    @Test
    void oneSilentConnectionCostsOneReplyAndNotOneForEachIdleConnection() {
      adopt(1);
      List<CompletableFuture<WorkerReply>> runs = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        runs.add(runLater("r" + i, "{\"runMs\":100}"));
      }
      runs.forEach(run -> taskState(run.join()));
      worker.server().silenceOpenConnections();
      WorkerReply reply = null;
      while (!(reply instanceof WorkerReply.NoReply)) {
        reply = gateway.send(declaration(), new WorkerCommand.Adopt(owner(1)), 500).join();
      }
      adopt(1);
    }

    @Test
    void rateLimitedCommandsHaveNoEffect() {
      adopt(1);
      worker.server().faults().setRequestsPerSecond(-1);
      assertRefused(RefusalReason.NO_CAPACITY, 0, run(owner(1), "a", "{}"));
      assertEquals(List.of(), ledger.runs());
    }
  }

  private List<TaskPhase> phases(long after, int count) {
    List<TaskPhase> phases = new ArrayList<>();
    while (phases.size() < count) {
      var poll =
          new WorkerCommand.PollEvents(owner(1), after + phases.size(), TIMEOUT_MS, TIMEOUT_MS);
      var events = assertInstanceOf(WorkerReply.Events.class, send(poll));
      events.events().forEach(event -> phases.add(event.snapshot().phase()));
    }
    return phases.subList(0, count);
  }

  /** Waits by asking, not by time: the runs travel on other connections than the question. */
  private void awaitSlots(int slots) {
    while (worker.counters().get("slotsInUse").asInt() < slots) {
      Thread.onSpinWait();
    }
  }

  private WorkerReply.Adopted adopt(long epoch) {
    return assertInstanceOf(WorkerReply.Adopted.class, send(new WorkerCommand.Adopt(owner(epoch))));
  }

  private WorkerReply reserve(String attempt, int first, int accelerators) {
    return send(
        new WorkerCommand.Reserve(
            owner(1),
            task(attempt),
            KEY,
            TEMPLATE,
            1,
            first,
            new Resources(accelerators, 1_000, 1_024),
            3_600_000));
  }

  private WorkerReply run(Ownership ownership, String attempt, String parameters) {
    return send(runCommand(ownership, attempt, parameters));
  }

  private CompletableFuture<WorkerReply> runLater(String attempt, String parameters) {
    return gateway.send(declaration(), runCommand(owner(1), attempt, parameters), 3_600_000);
  }

  private WorkerReply send(WorkerCommand command) {
    return gateway.send(declaration(), command, TIMEOUT_MS).join();
  }

  private WorkerDeclaration declaration() {
    return new WorkerDeclaration(
        WorkerId.of("w"),
        REGION,
        FailureDomainId.of("north-1"),
        RackId.of("r1"),
        0,
        "127.0.0.1",
        worker.server().port(),
        new Resources(8, 32_000, 65_536),
        List.of());
  }

  private static WorkerCommand runCommand(Ownership ownership, String attempt, String parameters) {
    return new WorkerCommand.Run(
        ownership, task(attempt), KEY, TEMPLATE, parameters, 3_600_000, "");
  }

  private static Ownership owner(long epoch) {
    return new Ownership(REGION, NodeId.of("n1"), epoch);
  }

  private static TaskId task(String attempt) {
    return new TaskId(AttemptToken.of(attempt), 0);
  }

  private static TaskSnapshot taskState(WorkerReply reply) {
    return assertInstanceOf(WorkerReply.TaskState.class, reply).snapshot();
  }

  private static void assertRefused(RefusalReason reason, long highestEpoch, WorkerReply reply) {
    assertEquals(new WorkerReply.Refused(reason, highestEpoch), reply);
  }
}
