package dev.bambootray.jobs.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.jobs.scheduling.JobEffect;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class PoolLeaseTest {
  private static final PoolLeaseTimes TIMES = PoolLeaseTimes.defaults(0, 6_000);
  private static final JobEffect.Persist BATCH = new JobEffect.Persist(7, List.of(), List.of());

  private final PoolLease lease = PoolLease.create("n1/100", TIMES);

  private static OwnerRecord owner(String holder, long epoch, long sequence) {
    return new OwnerRecord(holder, epoch, sequence, false, Map.of(), 0);
  }

  private LeaseEffect.Commit claim(long nowMs) {
    lease.handle(new LeaseEvent.Tick(), nowMs);
    List<LeaseEffect> effects = lease.handle(new LeaseEvent.OwnerRead(null, 0), nowMs);
    return assertInstanceOf(LeaseEffect.Commit.class, effects.get(0));
  }

  private void win(long nowMs) {
    claim(nowMs);
    List<LeaseEffect> effects = lease.handle(new LeaseEvent.Committed(5), nowMs);
    assertEquals(new LeaseEffect.Won(1), effects.get(0));
  }

  @Nested
  final class Claiming {
    @Test
    void claimsAPoolWithoutOwner() {
      LeaseEffect.Commit commit = claim(1_000);
      assertEquals(0, commit.expectedVersion());
      assertEquals(1, commit.owner().epoch());
    }

    @Test
    void waitsWhileTheOwnerCommits() {
      long nowMs = 1_000;
      for (int version = 1; version < 10; version++) {
        lease.handle(new LeaseEvent.Tick(), nowMs);
        List<LeaseEffect> effects =
            lease.handle(new LeaseEvent.OwnerRead(owner("n2/1", 1, version), version), nowMs);
        assertTrue(effects.isEmpty(), effects::toString);
        nowMs += TIMES.readMs();
      }
    }

    @Test
    void replacesAnOwnerWhoseRowDoesNotChange() {
      OwnerRecord dead = owner("n2/1", 4, 9);
      lease.handle(new LeaseEvent.Tick(), 1_000);
      lease.handle(new LeaseEvent.OwnerRead(dead, 9), 1_000);
      lease.handle(new LeaseEvent.Tick(), 1_000 + TIMES.expiryMs());
      List<LeaseEffect> effects =
          lease.handle(new LeaseEvent.OwnerRead(dead, 9), 1_000 + TIMES.expiryMs());
      LeaseEffect.Commit commit = assertInstanceOf(LeaseEffect.Commit.class, effects.get(0));
      assertEquals(9, commit.expectedVersion());
      assertEquals(5, commit.owner().epoch());
    }

    @Test
    void doesNotCountAnOutageOfTheStoreAgainstTheOwner() {
      OwnerRecord alive = owner("n2/1", 4, 9);
      lease.handle(new LeaseEvent.OwnerRead(alive, 9), 1_000);
      lease.handle(new LeaseEvent.ReadFailed(), 3_000);
      List<LeaseEffect> effects = lease.handle(new LeaseEvent.OwnerRead(alive, 9), 9_000);
      assertTrue(
          effects.stream().noneMatch(LeaseEffect.Commit.class::isInstance), effects::toString);
    }

    @Test
    void replacesItsOwnEarlierProcessAtOnce() {
      List<LeaseEffect> effects =
          lease.handle(new LeaseEvent.OwnerRead(owner("n1/50", 4, 9), 9), 1_000);
      assertInstanceOf(LeaseEffect.Commit.class, effects.get(0));
    }

    @Test
    void keepsThePendingJobsOfThePreviousOwner() {
      OwnerRecord dead = new OwnerRecord("n2/1", 4, 9, true, Map.of("t", 12L), 0);
      List<LeaseEffect> effects = lease.handle(new LeaseEvent.OwnerRead(dead, 9), 1_000);
      LeaseEffect.Commit commit = assertInstanceOf(LeaseEffect.Commit.class, effects.get(0));
      assertEquals(Map.of("t", 12L), commit.owner().pending());
    }

    @Test
    void recognizesThatAnUnansweredClaimWasApplied() {
      claim(1_000);
      lease.handle(new LeaseEvent.CommitFailed(true), 2_000);
      List<LeaseEffect> effects =
          lease.handle(new LeaseEvent.Conflicted(owner("n1/100", 1, 1), 8), 2_100);
      assertEquals(new LeaseEffect.Won(1), effects.get(0));
    }

    @Test
    void readsWhetherAnUnansweredClaimWasApplied() {
      claim(1_000);
      assertEquals(
          List.of(new LeaseEffect.ReadOwner()),
          lease.handle(new LeaseEvent.CommitFailed(true), 2_000));
      List<LeaseEffect> effects =
          lease.handle(new LeaseEvent.OwnerRead(owner("n1/100", 1, 1), 8), 2_010);
      assertEquals(new LeaseEffect.Won(1), effects.get(0));
    }

    @Test
    void repeatsAnUnansweredClaimThatWasNotApplied() {
      LeaseEffect.Commit claim = claim(1_000);
      lease.handle(new LeaseEvent.CommitFailed(true), 2_000);
      assertEquals(List.of(claim), lease.handle(new LeaseEvent.OwnerRead(null, 0), 2_010));
    }

    @Test
    void givesUpAnUnansweredClaimIfAnotherNodeHasClaimed() {
      claim(1_000);
      lease.handle(new LeaseEvent.CommitFailed(true), 2_000);
      assertTrue(lease.handle(new LeaseEvent.OwnerRead(owner("n2/1", 1, 1), 8), 2_010).isEmpty());
      assertTrue(lease.isReleased());
    }

    @Test
    void releasesThePoolIfAPendingClaimIsAppliedAfterTheRelease() {
      claim(1_000);
      lease.handle(new LeaseEvent.Release(), 1_010);
      List<LeaseEffect> effects = lease.handle(new LeaseEvent.Committed(5), 1_020);
      LeaseEffect.Commit release = assertInstanceOf(LeaseEffect.Commit.class, effects.get(1));
      assertTrue(release.owner().released());
    }

    @Test
    void staysAFollowerWhenAnotherNodeClaimsFirst() {
      claim(1_000);
      lease.handle(new LeaseEvent.Conflicted(owner("n2/1", 1, 1), 8), 1_100);
      assertFalse(lease.isOwner());
    }
  }

  @Nested
  final class Owning {
    @Test
    void writesABatchWithTheVersionOfThePreviousCommit() {
      win(1_000);
      List<LeaseEffect> effects = lease.handle(new LeaseEvent.Persist(BATCH), 1_100);
      LeaseEffect.Commit commit = assertInstanceOf(LeaseEffect.Commit.class, effects.get(0));
      assertEquals(5, commit.expectedVersion());
      assertEquals(BATCH, commit.batch());
      assertEquals(
          List.of(new LeaseEffect.BatchDurable(7)),
          lease.handle(new LeaseEvent.Committed(6), 1_130));
    }

    @Test
    void repeatsABatchWhoseAnswerWasLostAndFindsItApplied() {
      win(1_000);
      lease.handle(new LeaseEvent.Persist(BATCH), 1_100);
      List<LeaseEffect> again = lease.handle(new LeaseEvent.CommitFailed(true), 2_000);
      assertEquals(5, assertInstanceOf(LeaseEffect.Commit.class, again.get(0)).expectedVersion());
      List<LeaseEffect> found =
          lease.handle(new LeaseEvent.Conflicted(owner("n1/100", 1, 2), 9), 2_050);
      assertEquals(new LeaseEffect.BatchDurable(7), found.get(0));
    }

    @Test
    void writesABatchThatFollowsARenewalWhoseAnswerWasLost() {
      // Guards against lost records: the renewal was applied without the batch, but its success was
      // taken as the success of the batch.
      win(1_000);
      List<LeaseEffect> renewal = lease.handle(new LeaseEvent.Tick(), 1_000 + TIMES.renewMs());
      LeaseEffect.Commit lost = assertInstanceOf(LeaseEffect.Commit.class, renewal.get(0));
      lease.handle(new LeaseEvent.Persist(BATCH), 1_500);
      lease.handle(new LeaseEvent.CommitFailed(true), 2_000);
      List<LeaseEffect> found = lease.handle(new LeaseEvent.Conflicted(lost.owner(), 9), 2_050);
      LeaseEffect.Commit again = assertInstanceOf(LeaseEffect.Commit.class, found.get(0));
      assertEquals(9, again.expectedVersion());
      assertEquals(BATCH, again.batch());
      assertEquals(
          List.of(new LeaseEffect.BatchDurable(7)),
          lease.handle(new LeaseEvent.Committed(10), 2_080));
    }

    @Test
    void recognizesAnAppliedBatchThatWasSentTwiceAfterALostRenewal() {
      win(1_000);
      lease.handle(new LeaseEvent.Tick(), 1_000 + TIMES.renewMs());
      lease.handle(new LeaseEvent.Persist(BATCH), 1_500);
      List<LeaseEffect> first = lease.handle(new LeaseEvent.CommitFailed(true), 2_000);
      LeaseEffect.Commit batch = assertInstanceOf(LeaseEffect.Commit.class, first.get(0));
      lease.handle(new LeaseEvent.CommitFailed(true), 3_000);
      List<LeaseEffect> found = lease.handle(new LeaseEvent.Conflicted(batch.owner(), 9), 3_050);
      assertEquals(new LeaseEffect.BatchDurable(7), found.get(0));
    }

    @Test
    void repeatsABatchThatWasNotApplied() {
      win(1_000);
      lease.handle(new LeaseEvent.Persist(BATCH), 1_100);
      lease.handle(new LeaseEvent.CommitFailed(false), 1_150);
      assertTrue(lease.handle(new LeaseEvent.Tick(), 1_200).isEmpty());
      List<LeaseEffect> again = lease.handle(new LeaseEvent.Tick(), 1_150 + TIMES.retryMs());
      assertEquals(BATCH, assertInstanceOf(LeaseEffect.Commit.class, again.get(0)).batch());
    }

    @Test
    void renewsWithoutRecords() {
      win(1_000);
      assertTrue(lease.handle(new LeaseEvent.Tick(), 1_100).isEmpty());
      List<LeaseEffect> effects = lease.handle(new LeaseEvent.Tick(), 1_000 + TIMES.renewMs());
      assertInstanceOf(LeaseEffect.Commit.class, effects.get(0));
    }

    @Test
    void losesThePoolToALaterOwner() {
      win(1_000);
      lease.handle(new LeaseEvent.Persist(BATCH), 1_100);
      List<LeaseEffect> effects =
          lease.handle(new LeaseEvent.Conflicted(owner("n2/1", 2, 1), 9), 1_200);
      assertInstanceOf(LeaseEffect.Lost.class, effects.get(0));
      assertFalse(lease.isOwner());
    }

    @Test
    void stopsAfterALongTimeWithoutTheStore() {
      win(1_000);
      lease.handle(new LeaseEvent.Tick(), 1_700);
      lease.handle(new LeaseEvent.CommitFailed(true), 3_000);
      List<LeaseEffect> effects = lease.handle(new LeaseEvent.Tick(), 7_100);
      assertInstanceOf(LeaseEffect.Lost.class, effects.get(0));
    }

    @Test
    void dropsABatchThatArrivesAfterItLostThePool() {
      win(1_000);
      lease.handle(new LeaseEvent.Abandon("fault"), 1_100);
      lease.handle(new LeaseEvent.Persist(BATCH), 1_150);
      lease.handle(new LeaseEvent.Tick(), 2_000);
      lease.handle(new LeaseEvent.OwnerRead(owner("n2/1", 2, 1), 9), 2_000);
      List<LeaseEffect> claim =
          lease.handle(new LeaseEvent.OwnerRead(owner("n2/1", 2, 1), 9), 9_000);
      assertEquals(3, assertInstanceOf(LeaseEffect.Commit.class, claim.get(0)).owner().epoch());
      List<LeaseEffect> won = lease.handle(new LeaseEvent.Committed(10), 9_050);
      assertEquals(List.of(new LeaseEffect.Won(3)), won);
    }
  }

  private static List<LeaseEffect.Commit> commits(List<LeaseEffect> effects) {
    return effects.stream()
        .filter(LeaseEffect.Commit.class::isInstance)
        .map(LeaseEffect.Commit.class::cast)
        .toList();
  }

  @Nested
  final class LateAnswers {
    /** Guards against a claim by a node whose read showed an old state of the row. */
    @Test
    void countsAReadFromWhenItWasSent() {
      OwnerRecord alive = owner("n2/1", 4, 9);
      lease.handle(new LeaseEvent.Tick(), 1_000);
      lease.handle(new LeaseEvent.OwnerRead(alive, 9), 1_000);
      lease.handle(new LeaseEvent.Tick(), 1_300);
      List<LeaseEffect> effects =
          lease.handle(new LeaseEvent.OwnerRead(alive, 9), 1_300 + TIMES.expiryMs());
      assertTrue(
          effects.stream().noneMatch(LeaseEffect.Commit.class::isInstance), effects::toString);
    }

    @Test
    void repeatsACommitSoonOnlyIfTheStoreAnswersNothing() {
      win(1_000);
      lease.handle(new LeaseEvent.Persist(BATCH), 1_100);
      long lostMs = 1_100 + TIMES.commitMs();
      assertTrue(commits(lease.handle(new LeaseEvent.Tick(), lostMs - 1)).isEmpty());
      assertEquals(1, commits(lease.handle(new LeaseEvent.Tick(), lostMs)).size());
      lease.handle(new LeaseEvent.OwnerRead(owner("n1/100", 1, 1), 5), lostMs + 10);
      long longMs = lostMs + TIMES.longestCommitMs();
      assertTrue(commits(lease.handle(new LeaseEvent.Tick(), longMs - 1)).isEmpty());
      assertEquals(1, commits(lease.handle(new LeaseEvent.Tick(), longMs)).size());
    }

    @Test
    void keepsThePoolWhileReadsShowThatItIsItsOwn() {
      win(1_000);
      lease.handle(new LeaseEvent.Persist(BATCH), 1_100);
      lease.handle(new LeaseEvent.Tick(), 6_000);
      lease.handle(new LeaseEvent.OwnerRead(owner("n1/100", 1, 1), 5), 6_500);
      lease.handle(new LeaseEvent.Tick(), 6_000 + TIMES.giveUpMs());
      assertTrue(lease.isOwner());
      // A read shows the state at some time after it was sent, so it counts from then.
      lease.handle(new LeaseEvent.Tick(), 6_001 + TIMES.giveUpMs());
      assertFalse(lease.isOwner());
    }

    @Test
    void stopsIfItCanReadButNotCommit() {
      win(1_000);
      long nowMs = 1_000;
      while (lease.isOwner() && nowMs < 60_000) {
        nowMs += 50;
        lease.handle(new LeaseEvent.Tick(), nowMs);
        lease.handle(new LeaseEvent.OwnerRead(owner("n1/100", 1, 1), 5), nowMs);
        lease.handle(new LeaseEvent.CommitFailed(false), nowMs);
      }
      assertEquals(1_000 + TIMES.uncommittedMs() + 50, nowMs);
    }

    @Test
    void losesThePoolIfAReadShowsAnotherOwner() {
      win(1_000);
      lease.handle(new LeaseEvent.Tick(), 3_000);
      List<LeaseEffect> effects =
          lease.handle(new LeaseEvent.OwnerRead(owner("n2/1", 2, 1), 6), 3_050);
      assertInstanceOf(LeaseEffect.Lost.class, effects.get(0));
    }

    @Test
    void ignoresAReadFromBeforeItsLastCommit() {
      win(1_000);
      lease.handle(new LeaseEvent.Tick(), 3_000);
      lease.handle(new LeaseEvent.OwnerRead(owner("n2/1", 2, 1), 4), 3_050);
      assertTrue(lease.isOwner());
    }

    /** Guards against a commit that waits for the answer to an attempt that cannot be applied. */
    @Test
    void continuesFromAnAttemptThatAReadHasFound() {
      win(1_000);
      lease.handle(new LeaseEvent.Persist(BATCH), 1_100);
      lease.handle(new LeaseEvent.Tick(), 1_500);
      List<LeaseEffect> found =
          lease.handle(new LeaseEvent.OwnerRead(owner("n1/100", 1, 2), 9), 1_550);
      assertEquals(List.of(new LeaseEffect.BatchDurable(7)), found);
      List<LeaseEffect> next = lease.handle(new LeaseEvent.Persist(BATCH), 1_600);
      assertEquals(9, commits(next).get(0).expectedVersion());
    }
  }

  @Nested
  final class Releasing {
    @Test
    void releasesThePoolAndDoesNotClaimItAgain() {
      win(1_000);
      List<LeaseEffect> effects = lease.handle(new LeaseEvent.Release(), 1_100);
      assertTrue(assertInstanceOf(LeaseEffect.Commit.class, effects.get(0)).owner().released());
      lease.handle(new LeaseEvent.Committed(6), 1_150);
      assertTrue(lease.isReleased());
      lease.handle(new LeaseEvent.Tick(), 2_000);
      OwnerRecord free = new OwnerRecord("n1/100", 1, 2, true, Map.of(), 0);
      assertTrue(lease.handle(new LeaseEvent.OwnerRead(free, 6), 2_000).isEmpty());
    }

    @Test
    void leavesThePoolToOthersUntilItMayReturn() {
      win(1_000);
      List<LeaseEffect> effects = lease.handle(new LeaseEvent.StepAside(), 1_100);
      assertTrue(assertInstanceOf(LeaseEffect.Commit.class, effects.get(0)).owner().released());
      lease.handle(new LeaseEvent.Committed(6), 1_150);
      lease.handle(new LeaseEvent.Tick(), 2_000);
      OwnerRecord free = new OwnerRecord("n1/100", 1, 2, true, Map.of(), 0);
      assertTrue(lease.handle(new LeaseEvent.OwnerRead(free, 6), 2_000).isEmpty());
      lease.handle(new LeaseEvent.Return(), 2_100);
      lease.handle(new LeaseEvent.Tick(), 3_000);
      List<LeaseEffect> claim = lease.handle(new LeaseEvent.OwnerRead(free, 6), 3_000);
      assertEquals(2, assertInstanceOf(LeaseEffect.Commit.class, claim.get(0)).owner().epoch());
    }

    @Test
    void doesNotReturnAfterARelease() {
      lease.handle(new LeaseEvent.Release(), 1_000);
      lease.handle(new LeaseEvent.Return(), 1_100);
      lease.handle(new LeaseEvent.Tick(), 2_000);
      lease.handle(new LeaseEvent.OwnerRead(null, 0), 2_000);
      List<LeaseEffect> effects = lease.handle(new LeaseEvent.OwnerRead(null, 0), 9_000);
      assertTrue(effects.stream().noneMatch(LeaseEffect.Commit.class::isInstance));
    }
  }
}
