package dev.bambootray.daemon;

import static dev.bambootray.daemon.rig.TestDeclarations.GANG;
import static dev.bambootray.daemon.rig.TestDeclarations.REQUEST;
import static dev.bambootray.daemon.rig.TestDeclarations.spec;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.ledger.RequestRecord;
import dev.bambootray.core.ledger.RequestRecordState;
import dev.bambootray.core.message.PeerMessage;
import dev.bambootray.core.model.ExecutionStatus;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestSpec;
import dev.bambootray.core.model.TemplateId;
import dev.bambootray.core.node.NodeEffect;
import dev.bambootray.core.worker.WorkerCommand;
import dev.bambootray.daemon.rig.FakeWorker;
import dev.bambootray.daemon.rig.SimulatedCluster;
import dev.bambootray.daemon.rig.TestDeclarations;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the path of a request through nodes, table and workers, with and without failures. */
final class RequestPathTest {
  private static final long SETTLE_MS = 6_000;

  private SimulatedCluster cluster;
  private NodeId first;
  private NodeId second;
  private NodeId third;

  @BeforeEach
  void startThreeNodes() {
    cluster = SimulatedCluster.create(TestDeclarations.twoRegions(4));
    first = cluster.start("n1", "r1");
    second = cluster.start("n2", "r1");
    third = cluster.start("n3", "r2");
    cluster.run(SETTLE_MS);
  }

  @Test
  void requestIsAnsweredOnceWithItsOwnResult() {
    RequestSpec spec = spec(cluster, "a", REQUEST, true, 200);
    long ticket = cluster.submit(first, spec, 30_000);
    cluster.run(2_000);
    assertAnswered(ticket, spec);
    assertEquals(1, cluster.startsOf(spec).size());
  }

  @Test
  void gangRunsOnAllItsWorkersAndIsAnsweredOnce() {
    RequestSpec spec = spec(cluster, "g", GANG, false, 400);
    long ticket = cluster.submit(third, spec, 30_000);
    cluster.run(3_000);
    assertAnswered(ticket, spec);
    assertEquals(2, cluster.startsOf(spec).size());
  }

  @Test
  void callerThatReconnectsThroughAnotherNodeGetsTheSameAnswer() {
    RequestSpec spec = spec(cluster, "b", REQUEST, false, 1_000);
    cluster.submit(first, spec, 30_000);
    cluster.run(500);
    long again = cluster.submit(third, spec, 30_000);
    cluster.run(3_000);
    assertAnswered(again, spec);
    assertEquals(1, cluster.startsOf(spec).size());
  }

  @Test
  void reusedKeyWithOtherContentIsRefusedAsNotRun() {
    RequestSpec spec = spec(cluster, "c", REQUEST, false, 100);
    cluster.submit(first, spec, 30_000);
    cluster.run(2_000);
    long other = cluster.submit(second, spec(cluster, "c", REQUEST, false, 300), 30_000);
    cluster.run(2_000);
    assertEquals(ExecutionStatus.NO, onlyReply(other).getLeft().ran());
  }

  @Test
  void cancelledRequestInTheQueueGetsOneAnswer() {
    RequestSpec spec = spec(cluster, "d", REQUEST, true, 20_000);
    long ticket = cluster.submit(first, spec, 30_000);
    cluster.run(500);
    cluster.cancel(first, spec);
    cluster.run(4_000);
    assertEquals(RequestRecordState.ANSWERED, onlyReply(ticket).get().state());
  }

  /** Guards against a request that is lost or run twice when its entry node dies. */
  @Nested
  class EntryNodeDies {

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void afterTheAcceptance(boolean repeatable) {
      dies(repeatable, effect -> isMessage(effect, PeerMessage.SubmitRequest.class));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void afterTheDispatch(boolean repeatable) {
      NodeId entry = nodeThatDoesNotOwn("r1");
      RequestSpec spec = spec(cluster, "e", REQUEST, repeatable, 2_000);
      cluster.submit(entry, spec, 0);
      cluster.run(1_000);
      assertEquals(1, cluster.startsOf(spec).size());
      cluster.kill(entry);
      assertAnsweredAfterReconnect(spec);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void afterTheResultAndBeforeTheAnswer(boolean repeatable) {
      dies(repeatable, effect -> effect instanceof NodeEffect.ReplyToCaller);
    }

    private void dies(boolean repeatable, Predicate<NodeEffect> when) {
      NodeId entry = nodeThatDoesNotOwn("r1");
      RequestSpec spec = spec(cluster, "f", REQUEST, repeatable, 300);
      cluster.killBefore(entry, when);
      cluster.submit(entry, spec, 30_000);
      cluster.run(1_500);
      assertAnsweredAfterReconnect(spec);
    }
  }

  /** Guards against work that is lost or run twice when the owner of a region dies. */
  @Nested
  class OwnerDies {

    @ParameterizedTest
    @ValueSource(strings = {"request", "gang"})
    void whileTheWorkRuns(String template) {
      NodeId owner = cluster.ownerOf("r1");
      RequestSpec spec = spec(cluster, "o", TemplateId.of(template), false, 12_000);
      NodeId entry = nodeThatDoesNotOwn("r1");
      long ticket = cluster.submit(entry, spec, 60_000);
      cluster.run(1_500);
      int startsBefore = cluster.startsOf(spec).size();
      cluster.kill(owner);
      cluster.run(20_000);
      assertAnswered(ticket, spec);
      assertEquals(startsBefore, cluster.startsOf(spec).size());
    }

    @Test
    void afterTheIntentAndBeforeTheDispatch() {
      NodeId owner = cluster.ownerOf("r1");
      RequestSpec spec = spec(cluster, "p", REQUEST, false, 300);
      cluster.killBefore(owner, effect -> isCommand(effect, WorkerCommand.Run.class));
      long ticket = cluster.submit(nodeThatDoesNotOwn("r1"), spec, 60_000);
      cluster.run(20_000);
      assertAnswered(ticket, spec);
      assertEquals(1, cluster.startsOf(spec).size());
    }

    @Test
    void afterTheResultAndBeforeTheAnswerIsRecorded() {
      NodeId owner = cluster.ownerOf("r1");
      RequestSpec spec = spec(cluster, "q", REQUEST, false, 300);
      cluster.killBefore(
          owner,
          effect ->
              effect instanceof NodeEffect.Commit commit
                  && commit.transaction().writes().get(0).key().equals("request/ws/q")
                  && commit.transaction().writes().get(0).value().contains("ANSWERED"));
      long ticket = cluster.submit(nodeThatDoesNotOwn("r1"), spec, 60_000);
      cluster.run(20_000);
      assertAnswered(ticket, spec);
      assertEquals(1, cluster.startsOf(spec).size());
    }
  }

  /** Guards against "not run" for a request that an earlier owner ran on a worker that died. */
  @Test
  void requestThatAnEarlierOwnerMayHaveRunIsNotReportedAsNotRun() {
    NodeId owner = cluster.ownerOf("r1");
    RequestSpec spec = spec(cluster, "z", REQUEST, true, 50_000);
    long ticket = cluster.submit(nodeThatDoesNotOwn("r1"), spec, 100_000);
    cluster.run(1_000);
    assertEquals(1, cluster.startsOf(spec).size());
    cluster.workers().forEach(FakeWorker::die);
    cluster.kill(owner);
    cluster.run(80_000);
    assertEquals(ExecutionStatus.UNKNOWN, onlyReply(ticket).get().answer().ran());
  }

  @Test
  void ownerPausedPastItsLeaseCannotRunAnythingAfterItsSuccessor() {
    NodeId owner = cluster.ownerOf("r1");
    cluster.setPaused(owner, true);
    cluster.run(12_000);
    NodeId successor = cluster.ownerOf("r1");
    assertTrue(!successor.equals(owner));
    RequestSpec spec = spec(cluster, "s", REQUEST, false, 500);
    long ticket = cluster.submit(successor, spec, 60_000);
    cluster.setPaused(owner, false);
    cluster.run(5_000);
    assertAnswered(ticket, spec);
    assertEquals(1, cluster.startsOf(spec).size());
    assertTrue(
        cluster.snapshot(owner).owned().stream().noneMatch(o -> o.region().value().equals("r1")));
  }

  @Test
  void lostAnswersOfTheTableDoNotRunANonRepeatableRequestTwice() {
    RequestSpec spec = spec(cluster, "t", REQUEST, false, 300);
    cluster.table().loseAnswers(3);
    long ticket = cluster.submit(first, spec, 30_000);
    cluster.run(10_000);
    assertAnswered(ticket, spec);
    assertEquals(1, cluster.startsOf(spec).size());
  }

  @Test
  void whileTheTableIsUnavailableRepeatableRequestsRunAndOthersWait() {
    cluster.table().setUnavailable(true);
    cluster.run(1_000);
    RequestSpec repeatable = spec(cluster, "u", REQUEST, true, 200);
    RequestSpec once = spec(cluster, "v", REQUEST, false, 200);
    long served = cluster.submit(first, repeatable, 30_000);
    long waiting = cluster.submit(first, once, 50_000);
    cluster.run(5_000);
    assertAnswered(served, repeatable);
    assertEquals(List.of(), cluster.replies(waiting));
    assertEquals(0, cluster.startsOf(once).size());
    cluster.table().setUnavailable(false);
    cluster.run(10_000);
    assertAnswered(waiting, once);
    assertEquals(1, cluster.startsOf(once).size());
  }

  /** Guards against a node that takes more requests during an outage than it may hold. */
  @Test
  void nodeHoldsABoundedNumberOfRequestsWhileTheTableIsUnavailable() {
    cluster.table().setUnavailable(true);
    cluster.run(1_000);
    List<Long> tickets = new ArrayList<>();
    for (int i = 0; i < 600; i++) {
      tickets.add(cluster.submit(first, spec(cluster, "held" + i, REQUEST, false, 100), 50_000));
    }
    cluster.run(200);
    long refused =
        tickets.stream()
            .flatMap(ticket -> cluster.replies(ticket).stream())
            .filter(reply -> reply.isLeft() && reply.getLeft().ran() == ExecutionStatus.NO)
            .count();
    assertEquals(100, refused);
  }

  @Test
  void allNodesLostAtOnceStillAnswerEveryAcceptedRequestOnce() {
    RequestSpec once = spec(cluster, "w", REQUEST, false, 9_000);
    RequestSpec gang = spec(cluster, "x", GANG, false, 9_000);
    cluster.submit(first, once, 0);
    cluster.submit(third, gang, 0);
    cluster.run(2_000);
    List.of(first, second, third).forEach(cluster::kill);
    cluster.run(3_000);
    first = cluster.start("n1", "r1");
    third = cluster.start("n3", "r2");
    cluster.run(15_000);
    long onceAgain = cluster.read(first, once, 10_000);
    long gangAgain = cluster.read(first, gang, 10_000);
    cluster.run(10_000);
    assertAnswered(onceAgain, once);
    assertAnswered(gangAgain, gang);
    assertEquals(1, cluster.startsOf(once).size());
    assertEquals(2, cluster.startsOf(gang).size());
  }

  @Test
  void plannedStopHandsOverWithoutInterruptingARunningRequest() {
    NodeId owner = cluster.ownerOf("r1");
    RequestSpec spec = spec(cluster, "y", REQUEST, false, 8_000);
    long ticket = cluster.submit(owner, spec, 60_000);
    cluster.run(1_000);
    cluster.drain(owner);
    cluster.run(20_000);
    assertAnswered(ticket, spec);
    assertEquals(1, cluster.startsOf(spec).size());
  }

  /** Guards against accelerators that stay reserved for a gang that could not start. */
  @Test
  void reservationsOfAGangThatCouldNotStartAreReleased() {
    cluster.worker("r1-w0").setLeaving(true);
    RequestSpec spec = spec(cluster, "h", GANG, false, 300);
    long ticket = cluster.submit(first, spec, 30_000);
    cluster.run(10_000);
    assertAnswered(ticket, spec);
    assertEquals(2, cluster.startsOf(spec).size());
    assertEquals(0, cluster.workers().stream().mapToLong(FakeWorker::heldAccelerators).sum());
  }

  @Test
  void leavingWorkerGetsNothingNewLaterThanThreeSeconds() {
    cluster.worker("r1-w0").setLeaving(true);
    long leftAtMs = cluster.nowMs();
    for (int i = 0; i < 100; i++) {
      cluster.submit(first, spec(cluster, "l" + i, REQUEST, true, 100), 30_000);
      cluster.run(100);
    }
    assertTrue(
        cluster.worker("r1-w0").starts().stream().allMatch(s -> s.atMs() <= leftAtMs + 3_000));
  }

  private NodeId nodeThatDoesNotOwn(String region) {
    NodeId owner = cluster.ownerOf(region);
    return List.of(first, second, third).stream()
        .filter(node -> !node.equals(owner) && !node.equals(third))
        .findFirst()
        .orElseThrow();
  }

  private void assertAnsweredAfterReconnect(RequestSpec spec) {
    long again = cluster.submit(third, spec, 30_000);
    cluster.run(12_000);
    assertAnswered(again, spec);
    assertEquals(1, cluster.startsOf(spec).size());
  }

  private void assertAnswered(long ticket, RequestSpec spec) {
    RequestRecord answered = onlyReply(ticket).get();
    assertEquals(RequestRecordState.ANSWERED, answered.state());
    assertEquals("{\"key\":\"" + spec.key() + "\"}", answered.answer().resultJson());
  }

  private Either<RequestError, RequestRecord> onlyReply(long ticket) {
    List<Either<RequestError, RequestRecord>> all = cluster.replies(ticket);
    assertEquals(1, all.size(), "replies of the call: " + all);
    return all.get(0);
  }

  private static boolean isMessage(NodeEffect effect, Class<? extends PeerMessage> type) {
    return effect instanceof NodeEffect.SendPeer send && type.isInstance(send.message());
  }

  private static boolean isCommand(NodeEffect effect, Class<? extends WorkerCommand> type) {
    return effect instanceof NodeEffect.SendWorker send && type.isInstance(send.command());
  }
}
