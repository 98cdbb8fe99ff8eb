package dev.bambootray.daemon;

import static dev.bambootray.daemon.rig.Declarations.GANG;
import static dev.bambootray.daemon.rig.Declarations.REQUEST;
import static dev.bambootray.daemon.rig.Declarations.spec;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.ledger.RecordState;
import dev.bambootray.core.ledger.RequestRecord;
import dev.bambootray.core.message.PeerMessage;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestSpec;
import dev.bambootray.core.model.RunState;
import dev.bambootray.core.model.TemplateId;
import dev.bambootray.core.node.NodeEffect;
import dev.bambootray.core.worker.WorkerCommand;
import dev.bambootray.daemon.rig.Declarations;
import dev.bambootray.daemon.rig.FakeWorker;
import dev.bambootray.daemon.rig.NodeRig;
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
final class NodePathTest {
  private static final long SETTLE_MS = 6_000;

  private NodeRig rig;
  private NodeId first;
  private NodeId second;
  private NodeId third;

  @BeforeEach
  void startThreeNodes() {
    rig = NodeRig.create(Declarations.twoRegions(4));
    first = rig.start("n1", "r1");
    second = rig.start("n2", "r1");
    third = rig.start("n3", "r2");
    rig.run(SETTLE_MS);
  }

  @Test
  void requestIsAnsweredOnceWithItsOwnResult() {
    RequestSpec spec = spec(rig, "a", REQUEST, true, 200);
    long ticket = rig.submit(first, spec, 30_000);
    rig.run(2_000);
    assertAnswered(ticket, spec);
    assertEquals(1, rig.startsOf(spec).size());
  }

  @Test
  void gangRunsOnAllItsWorkersAndIsAnsweredOnce() {
    RequestSpec spec = spec(rig, "g", GANG, false, 400);
    long ticket = rig.submit(third, spec, 30_000);
    rig.run(3_000);
    assertAnswered(ticket, spec);
    assertEquals(2, rig.startsOf(spec).size());
  }

  @Test
  void callerThatReconnectsThroughAnotherNodeGetsTheSameAnswer() {
    RequestSpec spec = spec(rig, "b", REQUEST, false, 1_000);
    rig.submit(first, spec, 30_000);
    rig.run(500);
    long again = rig.submit(third, spec, 30_000);
    rig.run(3_000);
    assertAnswered(again, spec);
    assertEquals(1, rig.startsOf(spec).size());
  }

  @Test
  void reusedKeyWithOtherContentIsRefusedAsNotRun() {
    RequestSpec spec = spec(rig, "c", REQUEST, false, 100);
    rig.submit(first, spec, 30_000);
    rig.run(2_000);
    long other = rig.submit(second, spec(rig, "c", REQUEST, false, 300), 30_000);
    rig.run(2_000);
    assertEquals(RunState.NO, onlyReply(other).getLeft().ran());
  }

  @Test
  void cancelledRequestInTheQueueGetsOneAnswer() {
    RequestSpec spec = spec(rig, "d", REQUEST, true, 20_000);
    long ticket = rig.submit(first, spec, 30_000);
    rig.run(500);
    rig.cancel(first, spec);
    rig.run(4_000);
    assertEquals(RecordState.ANSWERED, onlyReply(ticket).get().state());
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
      RequestSpec spec = spec(rig, "e", REQUEST, repeatable, 2_000);
      rig.submit(entry, spec, 0);
      rig.run(1_000);
      assertEquals(1, rig.startsOf(spec).size());
      rig.kill(entry);
      assertAnsweredAfterReconnect(spec);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void afterTheResultAndBeforeTheAnswer(boolean repeatable) {
      dies(repeatable, effect -> effect instanceof NodeEffect.ReplyToCaller);
    }

    private void dies(boolean repeatable, Predicate<NodeEffect> when) {
      NodeId entry = nodeThatDoesNotOwn("r1");
      RequestSpec spec = spec(rig, "f", REQUEST, repeatable, 300);
      rig.killBefore(entry, when);
      rig.submit(entry, spec, 30_000);
      rig.run(1_500);
      assertAnsweredAfterReconnect(spec);
    }
  }

  /** Guards against work that is lost or run twice when the owner of a region dies. */
  @Nested
  class OwnerDies {

    @ParameterizedTest
    @ValueSource(strings = {"request", "gang"})
    void whileTheWorkRuns(String template) {
      NodeId owner = rig.ownerOf("r1");
      RequestSpec spec = spec(rig, "o", TemplateId.of(template), false, 12_000);
      NodeId entry = nodeThatDoesNotOwn("r1");
      long ticket = rig.submit(entry, spec, 60_000);
      rig.run(1_500);
      int startsBefore = rig.startsOf(spec).size();
      rig.kill(owner);
      rig.run(20_000);
      assertAnswered(ticket, spec);
      assertEquals(startsBefore, rig.startsOf(spec).size());
    }

    @Test
    void afterTheIntentAndBeforeTheDispatch() {
      NodeId owner = rig.ownerOf("r1");
      RequestSpec spec = spec(rig, "p", REQUEST, false, 300);
      rig.killBefore(owner, effect -> isCommand(effect, WorkerCommand.Run.class));
      long ticket = rig.submit(nodeThatDoesNotOwn("r1"), spec, 60_000);
      rig.run(20_000);
      assertAnswered(ticket, spec);
      assertEquals(1, rig.startsOf(spec).size());
    }

    @Test
    void afterTheResultAndBeforeTheAnswerIsRecorded() {
      NodeId owner = rig.ownerOf("r1");
      RequestSpec spec = spec(rig, "q", REQUEST, false, 300);
      rig.killBefore(
          owner,
          effect ->
              effect instanceof NodeEffect.Commit commit
                  && commit.transaction().writes().get(0).key().equals("request/ws/q")
                  && commit.transaction().writes().get(0).value().contains("ANSWERED"));
      long ticket = rig.submit(nodeThatDoesNotOwn("r1"), spec, 60_000);
      rig.run(20_000);
      assertAnswered(ticket, spec);
      assertEquals(1, rig.startsOf(spec).size());
    }
  }

  /** Guards against "not run" for a request that an earlier owner ran on a worker that died. */
  @Test
  void requestThatAnEarlierOwnerMayHaveRunIsNotReportedAsNotRun() {
    NodeId owner = rig.ownerOf("r1");
    RequestSpec spec = spec(rig, "z", REQUEST, true, 50_000);
    long ticket = rig.submit(nodeThatDoesNotOwn("r1"), spec, 100_000);
    rig.run(1_000);
    assertEquals(1, rig.startsOf(spec).size());
    rig.workers().forEach(FakeWorker::die);
    rig.kill(owner);
    rig.run(80_000);
    assertEquals(RunState.UNKNOWN, onlyReply(ticket).get().answer().ran());
  }

  @Test
  void ownerPausedPastItsLeaseCannotRunAnythingAfterItsSuccessor() {
    NodeId owner = rig.ownerOf("r1");
    rig.setPaused(owner, true);
    rig.run(12_000);
    NodeId successor = rig.ownerOf("r1");
    assertTrue(!successor.equals(owner));
    RequestSpec spec = spec(rig, "s", REQUEST, false, 500);
    long ticket = rig.submit(successor, spec, 60_000);
    rig.setPaused(owner, false);
    rig.run(5_000);
    assertAnswered(ticket, spec);
    assertEquals(1, rig.startsOf(spec).size());
    assertTrue(
        rig.snapshot(owner).owned().stream().noneMatch(o -> o.region().value().equals("r1")));
  }

  @Test
  void lostAnswersOfTheTableDoNotRunANonRepeatableRequestTwice() {
    RequestSpec spec = spec(rig, "t", REQUEST, false, 300);
    rig.table().loseAnswers(3);
    long ticket = rig.submit(first, spec, 30_000);
    rig.run(10_000);
    assertAnswered(ticket, spec);
    assertEquals(1, rig.startsOf(spec).size());
  }

  @Test
  void whileTheTableIsUnavailableRepeatableRequestsRunAndOthersWait() {
    rig.table().setAway(true);
    rig.run(1_000);
    RequestSpec repeatable = spec(rig, "u", REQUEST, true, 200);
    RequestSpec once = spec(rig, "v", REQUEST, false, 200);
    long served = rig.submit(first, repeatable, 30_000);
    long waiting = rig.submit(first, once, 50_000);
    rig.run(5_000);
    assertAnswered(served, repeatable);
    assertEquals(List.of(), rig.replies(waiting));
    assertEquals(0, rig.startsOf(once).size());
    rig.table().setAway(false);
    rig.run(10_000);
    assertAnswered(waiting, once);
    assertEquals(1, rig.startsOf(once).size());
  }

  /** Guards against a node that takes more requests during an outage than it may hold. */
  @Test
  void nodeHoldsABoundedNumberOfRequestsWhileTheTableIsUnavailable() {
    rig.table().setAway(true);
    rig.run(1_000);
    List<Long> tickets = new ArrayList<>();
    for (int i = 0; i < 600; i++) {
      tickets.add(rig.submit(first, spec(rig, "held" + i, REQUEST, false, 100), 50_000));
    }
    rig.run(200);
    long refused =
        tickets.stream()
            .flatMap(ticket -> rig.replies(ticket).stream())
            .filter(reply -> reply.isLeft() && reply.getLeft().ran() == RunState.NO)
            .count();
    assertEquals(100, refused);
  }

  @Test
  void allNodesLostAtOnceStillAnswerEveryAcceptedRequestOnce() {
    RequestSpec once = spec(rig, "w", REQUEST, false, 9_000);
    RequestSpec gang = spec(rig, "x", GANG, false, 9_000);
    rig.submit(first, once, 0);
    rig.submit(third, gang, 0);
    rig.run(2_000);
    List.of(first, second, third).forEach(rig::kill);
    rig.run(3_000);
    first = rig.start("n1", "r1");
    third = rig.start("n3", "r2");
    rig.run(15_000);
    long onceAgain = rig.read(first, once, 10_000);
    long gangAgain = rig.read(first, gang, 10_000);
    rig.run(10_000);
    assertAnswered(onceAgain, once);
    assertAnswered(gangAgain, gang);
    assertEquals(1, rig.startsOf(once).size());
    assertEquals(2, rig.startsOf(gang).size());
  }

  @Test
  void plannedStopHandsOverWithoutInterruptingARunningRequest() {
    NodeId owner = rig.ownerOf("r1");
    RequestSpec spec = spec(rig, "y", REQUEST, false, 8_000);
    long ticket = rig.submit(owner, spec, 60_000);
    rig.run(1_000);
    rig.drain(owner);
    rig.run(20_000);
    assertAnswered(ticket, spec);
    assertEquals(1, rig.startsOf(spec).size());
  }

  /** Guards against accelerators that stay reserved for a gang that could not start. */
  @Test
  void reservationsOfAGangThatCouldNotStartAreReleased() {
    rig.worker("r1-w0").setLeaving(true);
    RequestSpec spec = spec(rig, "h", GANG, false, 300);
    long ticket = rig.submit(first, spec, 30_000);
    rig.run(10_000);
    assertAnswered(ticket, spec);
    assertEquals(2, rig.startsOf(spec).size());
    assertEquals(0, rig.workers().stream().mapToLong(FakeWorker::heldAccelerators).sum());
  }

  @Test
  void leavingWorkerGetsNothingNewLaterThanThreeSeconds() {
    rig.worker("r1-w0").setLeaving(true);
    long leftAtMs = rig.nowMs();
    for (int i = 0; i < 100; i++) {
      rig.submit(first, spec(rig, "l" + i, REQUEST, true, 100), 30_000);
      rig.run(100);
    }
    assertTrue(rig.worker("r1-w0").starts().stream().allMatch(s -> s.atMs() <= leftAtMs + 3_000));
  }

  private NodeId nodeThatDoesNotOwn(String region) {
    NodeId owner = rig.ownerOf(region);
    return List.of(first, second, third).stream()
        .filter(node -> !node.equals(owner) && !node.equals(third))
        .findFirst()
        .orElseThrow();
  }

  private void assertAnsweredAfterReconnect(RequestSpec spec) {
    long again = rig.submit(third, spec, 30_000);
    rig.run(12_000);
    assertAnswered(again, spec);
    assertEquals(1, rig.startsOf(spec).size());
  }

  private void assertAnswered(long ticket, RequestSpec spec) {
    RequestRecord answered = onlyReply(ticket).get();
    assertEquals(RecordState.ANSWERED, answered.state());
    assertEquals("{\"key\":\"" + spec.key() + "\"}", answered.answer().resultJson());
  }

  private Either<RequestError, RequestRecord> onlyReply(long ticket) {
    List<Either<RequestError, RequestRecord>> all = rig.replies(ticket);
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
