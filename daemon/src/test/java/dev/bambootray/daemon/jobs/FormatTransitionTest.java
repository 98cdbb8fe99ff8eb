package dev.bambootray.daemon.jobs;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.daemon.jobs.JobApi.CancelOutcome;
import dev.bambootray.daemon.jobs.JobApi.SubmitOutcome;
import dev.bambootray.jobs.model.JobPhase;
import dev.bambootray.jobs.reach.Peer;
import dev.bambootray.jobs.reach.PeerSelector;
import dev.bambootray.jobs.scheduling.JobEvent;
import dev.bambootray.jobs.store.RowChange;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Nodes of this build beside nodes of commit 7193ad2, which keep all rows in one partition. */
final class FormatTransitionTest {
  private static final long TIME_MS = 2_000;

  private final PartitionedStore.Content content = new PartitionedStore.Content();
  private final FormatOneNode old = new FormatOneNode(content);

  /** A node of this build that has started. */
  private final class NewNode {
    private final PartitionedStore store = new PartitionedStore(content, new JobPartitions());
    private final ManualExecutor executor = new ManualExecutor();
    private final DecisionLog log = DecisionLog.start();
    private final JobRowCodec codec = new JobRowCodec();
    private final StoreFormats formats = new StoreFormats();
    private final OwnerRowStore ownerRows = new OwnerRowStore(store, codec, log, formats);
    private final Peer self;
    private final JobApi api;

    NewNode(String name) {
      self = new Peer(name, "10.0.0.1:7011", "a", "r");
      api =
          new JobApi(
              store,
              executor,
              codec,
              new DeclarationFollower(
                  store, new ManualExecutor(), new FakeDocuments(), log, declaration -> {}),
              ownerRows,
              log,
              JobMetrics.create(),
              new OwnerHintSender(ownerRows, name, (node, hint) -> {}, hint -> {}),
              formats);
      new NodeDirectory(store, executor, log, self, new PeerSelector(self), formats).start();
      executor.runAll();
    }

    SubmitOutcome submit(String id) {
      return api.submit(TestJob.of(id), TIME_MS).join();
    }

    JobView poll(String id) {
      return api.state(id, TIME_MS).join();
    }

    CancelOutcome cancel(String id) {
      return api.cancel(id, TIME_MS).join();
    }

    JobEvent.TookOver takeOver() {
      List<JobEvent> events = new ArrayList<>();
      new PoolLoader(store, executor, new FakeDocuments(), codec, log, formats)
          .start(events::add, Optional::empty);
      executor.runAll();
      return (JobEvent.TookOver) events.get(0);
    }
  }

  /** Rows that the older build wrote and this one reads. */
  @Nested
  final class RowsOfTheOlderBuild {
    private final NewNode node;

    RowsOfTheOlderBuild() {
      old.submit(TestJob.of("j"));
      node = new NewNode("n1");
    }

    @Test
    void areShownToCallers() {
      assertEquals(JobView.of(JobPhase.QUEUED), node.poll("j"));
    }

    @Test
    void canBeCancelled() {
      assertEquals(CancelOutcome.CANCELLED, node.cancel("j"));
      assertEquals(List.of("j", JobTables.cancelKey("j")), old.jobRows());
      assertEquals(Set.of("j"), node.takeOver().cancelled());
    }

    @Test
    void areTakenOver() {
      assertEquals(List.of(TestJob.of("j")), node.takeOver().jobs());
    }

    @Test
    void remainOneJobIfSubmittedAgain() {
      assertEquals(SubmitOutcome.ACCEPTED, node.submit("j"));
      assertEquals(List.of(TestJob.of("j")), node.takeOver().jobs());
      assertTrue(node.ownerRows.removeJobRows("j").join());
      // A row that stays would run the job again as soon as its record is removed.
      assertEquals(0, content.count("jobs"));
    }
  }

  /** Both builds in turns. */
  @Nested
  final class WhileAnOlderNodeIsAlive {
    private final NewNode node;

    WhileAnOlderNodeIsAlive() {
      old.renew("n9");
      node = new NewNode("n1");
    }

    @Test
    void acceptedJobsAreStoredWhereItReadsThem() {
      old.submit(TestJob.of("a"));
      assertEquals(SubmitOutcome.ACCEPTED, node.submit("b"));
      old.submit(TestJob.of("c"));
      assertEquals(List.of("a", "b", "c"), old.jobRows());
      assertEquals(
          List.of(TestJob.of("a"), TestJob.of("b"), TestJob.of("c")), node.takeOver().jobs());
    }

    @Test
    void itFindsTheNewerNodes() {
      assertEquals(List.of("n1", "n9"), old.nodes());
    }

    @Test
    void anIdentifierIsStoredOnce() {
      old.submit(TestJob.of("a"));
      assertEquals(SubmitOutcome.ACCEPTED, node.submit("a"));
      assertEquals(1, content.count("jobs"));
    }
  }

  /** Nodes of this build learn at different moments that the last older node is gone. */
  @Nested
  final class WhenTheLastOlderNodeIsGone {
    private final NewNode first;
    private final NewNode second;

    WhenTheLastOlderNodeIsGone() {
      old.renew("n9");
      first = new NewNode("n1");
      second = new NewNode("n2");
      first.executor.runLater();
      second.executor.runLater();
      assertEquals(SubmitOutcome.ACCEPTED, first.submit("before"));
      old.forget("n9");
      first.executor.runLater();
    }

    @Test
    void eachFindsTheJobsOfTheOther() {
      assertEquals(SubmitOutcome.ACCEPTED, first.submit("spread"));
      assertEquals(SubmitOutcome.ACCEPTED, second.submit("pooled"));
      assertEquals(List.of("before", "pooled"), old.jobRows());
      for (NewNode node : List.of(first, second)) {
        for (String id : List.of("before", "spread", "pooled")) {
          assertEquals(JobView.of(JobPhase.QUEUED), node.poll(id));
        }
        assertEquals(
            List.of(TestJob.of("before"), TestJob.of("pooled"), TestJob.of("spread")),
            node.takeOver().jobs());
      }
    }

    @Test
    void anIdentifierThatBothStoreIsOneJob() {
      assertEquals(SubmitOutcome.ACCEPTED, first.submit("j"));
      assertEquals(SubmitOutcome.ACCEPTED, second.submit("j"));
      assertEquals(CancelOutcome.CANCELLED, second.cancel("j"));
      JobEvent.TookOver takeover = first.takeOver();
      assertEquals(List.of(TestJob.of("before"), TestJob.of("j")), takeover.jobs());
      assertEquals(Set.of("j"), takeover.cancelled());
      assertTrue(first.ownerRows.removeJobRows("j").join());
      assertEquals(1, content.count("jobs"));
    }

    @Test
    void aCancellationFollowsItsJob() {
      assertEquals(SubmitOutcome.ACCEPTED, second.submit("pooled"));
      assertEquals(CancelOutcome.CANCELLED, first.cancel("pooled"));
      assertEquals(SubmitOutcome.ACCEPTED, first.submit("spread"));
      assertEquals(CancelOutcome.CANCELLED, second.cancel("spread"));
      assertEquals(Set.of("pooled", "spread"), first.takeOver().cancelled());
      assertEquals(CancelOutcome.GONE, first.cancel("none"));
    }

    @Test
    void itsJobsAreCountedUntilTheyAreRemoved() {
      var unused = first.takeOver();
      assertEquals(1, first.formats.formatOneJobs());
      assertTrue(first.ownerRows.removeJobRows("before").join());
      assertEquals(0, first.formats.formatOneJobs());
      assertEquals(0, content.count("jobs"));
    }

    @Test
    void jobsOfTheNewFormatCostNoMoreCalls() {
      assertEquals(SubmitOutcome.ACCEPTED, first.submit("spread"));
      int commits = first.store.commits;
      int reads = first.store.reads;
      assertEquals(JobView.of(JobPhase.QUEUED), first.poll("spread"));
      assertEquals(2, first.store.reads - reads);
      assertTrue(first.ownerRows.removeJobRows("spread").join());
      assertEquals(1, first.store.commits - commits);
    }

    @Test
    void eachNodeIsListedOnce() {
      second.executor.runLater();
      first.executor.runLater();
      second.executor.runLater();
      assertEquals(List.of(), old.nodes());
      assertEquals(2, content.count("nodes"));
    }

    @Test
    void aNodeThatComesBackIsServedAgain() {
      old.renew("n9");
      first.executor.runLater();
      assertEquals(SubmitOutcome.ACCEPTED, first.submit("again"));
      assertEquals(List.of("again", "before"), old.jobRows());
    }
  }

  /**
   * Guards against an upgrade from commit e87b6cb that hides jobs from the nodes of that commit.
   */
  @Test
  void jobsAreSpreadAtOnceBesideNodesThatSpreadThem() {
    var unused =
        new PartitionedStore(content, new JobPartitions())
            .commit(
                List.of(),
                List.of(new RowChange(JobTables.NODES, "n9", "{}".getBytes(UTF_8))),
                TIME_MS)
            .join();
    assertEquals(SubmitOutcome.ACCEPTED, new NewNode("n1").submit("j"));
    assertEquals(Set.of("nodes"), content.partitionsWith("nodes"));
    assertEquals(List.of(), old.jobRows());
  }

  @Test
  void aNodeThatKnowsNoFormatAcceptsNothing() {
    StoreFormats unknown = new StoreFormats();
    assertFalse(unknown.isReady());
    var unused = unknown.update(false, true, false);
    assertTrue(unknown.isReady());
  }

  @Test
  void aNodeIsNotReadyWhileAnotherStoresANewerFormat() {
    NewNode node = new NewNode("n1");
    assertTrue(node.formats.isReady());
    NodeRow newer = new NodeRow("n2", "10.0.0.2:7011", "a", "r", 9, 9);
    var unused =
        node.store
            .commit(
                List.of(),
                List.of(new RowChange(JobTables.NODES, "n2", node.codec.encode(newer))),
                TIME_MS)
            .join();
    node.executor.runLater();
    assertFalse(node.formats.isReady());
    assertEquals(SubmitOutcome.NOT_STORED, node.submit("j"));
    assertEquals(0, content.count("jobs"));
  }

  /** Guards against an upgrade that keeps the single partition, which a slow store cannot serve. */
  @Test
  void nodesOfThisBuildAloneSpreadTheJobs() {
    NewNode node = new NewNode("n1");
    node.executor.runLater();
    for (int i = 0; i < 100; i++) {
      assertEquals(SubmitOutcome.ACCEPTED, node.submit("job" + i));
    }
    assertEquals(16, content.partitionsWith("jobs").size());
    assertEquals(Set.of("nodes"), content.partitionsWith("nodes"));
  }
}
