package dev.bambootray.jobs.lead;

import dev.bambootray.jobs.lead.LeaseEvent.Abandon;
import dev.bambootray.jobs.lead.LeaseEvent.CommitFailed;
import dev.bambootray.jobs.lead.LeaseEvent.Committed;
import dev.bambootray.jobs.lead.LeaseEvent.Conflicted;
import dev.bambootray.jobs.lead.LeaseEvent.LoadChanged;
import dev.bambootray.jobs.lead.LeaseEvent.OwnerRead;
import dev.bambootray.jobs.lead.LeaseEvent.Persist;
import dev.bambootray.jobs.lead.LeaseEvent.ReadFailed;
import dev.bambootray.jobs.lead.LeaseEvent.Release;
import dev.bambootray.jobs.lead.LeaseEvent.Return;
import dev.bambootray.jobs.lead.LeaseEvent.StepAside;
import dev.bambootray.jobs.scheduling.JobEffect;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether this node owns the pool, and writes the owner's records.
 *
 * <p>The owner row changes with every commit of the owner, and every commit requires the version
 * that the previous commit produced. A delayed commit, or one of an earlier owner, can therefore
 * never overwrite newer records. Nodes do not compare clocks: a node may claim the pool after it
 * has read the same version for the whole expiry time.
 */
public final class PoolLease {
  private enum Role {
    FOLLOWER,
    CLAIMING,
    OWNER
  }

  private final String holder;
  private final PoolLeaseTimes times;
  private Role role = Role.FOLLOWER;
  private boolean mayClaim = true;
  private boolean aside;
  private final OwnerRowReads reads;
  private final CommitTimeLimit commitLimit;
  private long nextReadMs;

  /** Whether it must be read whether a claim without an answer was applied. */
  private boolean claimUnanswered;

  private long version;
  private long epoch;

  /** Sequence of the newest commit that is known to be applied. */
  private long sequence;

  /** Sequence of the newest commit that was attempted. */
  private long attemptedSequence;

  /** Sequence of the first attempt that included the batch. */
  private long batchFromSequence;

  private boolean committing;
  private boolean releasing;
  private @Nullable OwnerRecord attempted;
  private JobEffect.@Nullable Persist attemptedBatch;
  private JobEffect.@Nullable Persist waitingBatch;
  private Map<String, Long> pending = Map.of();
  private int heldPercent;
  private long nextCommitMs;
  private long commitSentMs;
  private long lastSuccessMs;

  /** Time before which no other node can have claimed the pool, as far as is known. */
  private long ownUntilMs;

  private List<LeaseEffect> effects = new ArrayList<>();

  private PoolLease(String holder, PoolLeaseTimes times) {
    this.holder = holder;
    this.times = times;
    reads = new OwnerRowReads(times);
    commitLimit = new CommitTimeLimit(times);
  }

  /**
   * Returns a lease whose owner this node has not read yet.
   *
   * @param holder name of this process, unique to each start
   * @param times intervals and timeouts of the lease
   */
  public static PoolLease create(String holder, PoolLeaseTimes times) {
    return new PoolLease(holder, times);
  }

  /**
   * Handles an event and returns the effects in the order in which they must be carried out. The
   * answer to a commit must not be passed once a later commit was requested.
   */
  public List<LeaseEffect> handle(LeaseEvent event, long nowMs) {
    if (event instanceof OwnerRead read) {
      onRead(read, nowMs);
    } else if (event instanceof ReadFailed) {
      reads.onFailed(nowMs);
    } else if (event instanceof Committed committed) {
      commitLimit.onAnswered(nowMs - commitSentMs);
      // Others claim only after the expiry, which begins when the commit is applied.
      onCommitted(committed.version(), Math.min(nowMs, commitSentMs + times.expiryMs()), nowMs);
    } else if (event instanceof Conflicted conflicted) {
      commitLimit.onAnswered(nowMs - commitSentMs);
      onConflict(conflicted.owner(), conflicted.version(), nowMs);
    } else if (event instanceof CommitFailed failed) {
      onCommitFailed(failed.mayApply(), nowMs);
    } else if (event instanceof Persist persist) {
      waitingBatch = role == Role.OWNER ? persist.batch() : null;
    } else if (event instanceof LoadChanged changed) {
      pending = changed.pending();
      heldPercent = changed.heldPercent();
    } else if (event instanceof Abandon abandon) {
      if (role == Role.OWNER) {
        loseOwnership(abandon.reason(), nowMs);
      }
    } else if (event instanceof StepAside) {
      aside = true;
      releasing = role != Role.FOLLOWER;
    } else if (event instanceof Return) {
      aside = false;
    } else if (event instanceof Release) {
      mayClaim = false;
      releasing = role != Role.FOLLOWER;
    }
    proceed(nowMs);
    List<LeaseEffect> taken = effects;
    effects = new ArrayList<>();
    return taken;
  }

  /**
   * Returns the time limit of calls that commit. The lease itself may count a commit as lost before
   * and request another one.
   */
  public long commitTimeoutMs() {
    return times.longestCommitMs();
  }

  /** Returns the newest owner row that this node has read or written, or null. */
  public @Nullable OwnerRecord owner() {
    return role == Role.OWNER ? attempted : reads.newest();
  }

  /** Returns whether this node owns the pool. */
  public boolean isOwner() {
    return role == Role.OWNER;
  }

  /** Returns whether this node neither owns nor claims the pool, as after {@link Release}. */
  public boolean isReleased() {
    return role == Role.FOLLOWER;
  }

  private void proceed(long nowMs) {
    long commitMs = nowMs - commitSentMs;
    if (committing && commitMs >= commitLimit.limitMs(reads.isAnsweredDuring(commitSentMs))) {
      onCommitFailed(true, nowMs);
    }
    if (role == Role.OWNER) {
      if (nowMs - lastSuccessMs > times.uncommittedMs()) {
        loseOwnership("no commit for " + (nowMs - lastSuccessMs) + " ms", nowMs);
        return;
      }
      if (nowMs - ownUntilMs > times.giveUpMs()) {
        loseOwnership("not confirmed for " + (nowMs - ownUntilMs) + " ms", nowMs);
        return;
      }
      boolean due = waitingBatch != null || releasing || nowMs - lastSuccessMs >= times.renewMs();
      if (!committing && nowMs >= nextCommitMs && (due || attemptedBatch != null)) {
        commit(nowMs);
      }
    }
    if (needsRead(nowMs) && !reads.isPending() && nowMs >= nextReadMs) {
      nextReadMs = nowMs + times.readMs();
      reads.onSent(nowMs);
      effects.add(new LeaseEffect.ReadOwner());
    }
  }

  private boolean needsRead(long nowMs) {
    return switch (role) {
      case FOLLOWER -> true;
      case CLAIMING -> claimUnanswered;
      // Reads do not wait behind transactions, so they tell a slow store from one that is lost.
      case OWNER ->
          nowMs - ownUntilMs >= times.commitMs()
              || (committing && nowMs - commitSentMs >= times.readMs());
    };
  }

  private void onRead(LeaseEvent.OwnerRead read, long nowMs) {
    OwnerRecord owner = read.owner();
    reads.onAnswered(owner, read.version(), nowMs);
    if (role == Role.OWNER) {
      onOwnersRead(read, nowMs);
      return;
    }
    if (role == Role.CLAIMING && claimUnanswered) {
      settleClaim(owner, read.version(), nowMs);
      return;
    }
    if (role != Role.FOLLOWER || !mayClaim || aside) {
      return;
    }
    boolean restarted = owner != null && owner.isEarlierProcessOf(holder);
    boolean free = owner == null || owner.released() || restarted;
    long waitMs = (free ? 0 : reads.expiryMs()) + times.claimDelayMs();
    if (reads.unchangedMs(nowMs) >= waitMs) {
      claim(owner, read.version(), nowMs);
    }
  }

  /** Handles what a read of the owner shows; one that was overtaken by a commit shows nothing. */
  private void onOwnersRead(LeaseEvent.OwnerRead read, long nowMs) {
    if (read.version() < version) {
      return;
    }
    if (!isOurs(read.owner())) {
      loseOwnership("the pool has another owner", nowMs);
      return;
    }
    ownUntilMs = Math.max(ownUntilMs, reads.sentMs());
    if (read.owner() != null && read.version() > version) {
      // An attempt was applied, so the one in flight has been answered or will be refused.
      committing = false;
      version = read.version();
      lastSuccessMs = nowMs;
      nextCommitMs = 0;
      onApplied(read.owner().sequence(), read.owner().released(), nowMs);
    }
  }

  /** Handles what a read shows of a claim without an answer. */
  private void settleClaim(@Nullable OwnerRecord owner, long readVersion, long nowMs) {
    if (isOurs(owner)) {
      onCommitted(readVersion, reads.sentMs(), nowMs);
    } else if (readVersion == version) {
      claimUnanswered = false;
      send(new OwnerRecord(holder, epoch, sequence, false, pending, heldPercent), null, nowMs);
    } else {
      giveUpClaim(owner, nowMs);
    }
  }

  private boolean isOurs(@Nullable OwnerRecord owner) {
    return owner != null && owner.holder().equals(holder) && owner.epoch() == epoch;
  }

  private void claim(@Nullable OwnerRecord last, long expectedVersion, long nowMs) {
    role = Role.CLAIMING;
    epoch = last == null ? 1 : last.epoch() + 1;
    sequence = 1;
    attemptedSequence = 1;
    version = expectedVersion;
    // The load of the previous owner remains valid until this node has read the jobs.
    pending = last == null ? Map.of() : last.pending();
    heldPercent = last == null ? 0 : last.heldPercent();
    attempted = new OwnerRecord(holder, epoch, sequence, false, pending, heldPercent);
    send(attempted, null, nowMs);
  }

  private void send(OwnerRecord owner, JobEffect.@Nullable Persist batch, long nowMs) {
    committing = true;
    commitSentMs = nowMs;
    effects.add(new LeaseEffect.Commit(version, owner, batch));
  }

  private void commit(long nowMs) {
    // Each attempt has its own sequence: an unanswered attempt may have been applied without the
    // batch that a later one includes.
    attemptedSequence++;
    if (attemptedBatch == null && waitingBatch != null) {
      attemptedBatch = waitingBatch;
      waitingBatch = null;
      batchFromSequence = attemptedSequence;
    }
    attempted = new OwnerRecord(holder, epoch, attemptedSequence, releasing, pending, heldPercent);
    send(attempted, attemptedBatch, nowMs);
  }

  private void onCommitted(long newVersion, long ownedMs, long nowMs) {
    committing = false;
    ownUntilMs = Math.max(ownUntilMs, ownedMs);
    version = newVersion;
    lastSuccessMs = nowMs;
    nextCommitMs = 0;
    if (role == Role.CLAIMING) {
      role = Role.OWNER;
      claimUnanswered = false;
      effects.add(new LeaseEffect.Won(epoch));
      return;
    }
    if (role != Role.OWNER) {
      return;
    }
    onApplied(attemptedSequence, attempted != null && attempted.released(), nowMs);
  }

  /** Handles that the attempt with a given sequence was applied, along with its batch. */
  private void onApplied(long appliedSequence, boolean released, long nowMs) {
    sequence = appliedSequence;
    JobEffect.Persist batch = attemptedBatch;
    if (batch != null && appliedSequence >= batchFromSequence) {
      attemptedBatch = null;
      effects.add(new LeaseEffect.BatchDurable(batch.batch()));
    }
    if (released) {
      loseOwnership("released", nowMs);
    }
  }

  private void onConflict(@Nullable OwnerRecord owner, long foundVersion, long nowMs) {
    committing = false;
    boolean ours = isOurs(owner);
    if (role == Role.CLAIMING) {
      if (ours) {
        onCommitted(foundVersion, commitSentMs, nowMs);
      } else {
        giveUpClaim(owner, nowMs);
      }
      return;
    }
    if (role != Role.OWNER) {
      return;
    }
    if (ours) {
      ownUntilMs = Math.max(ownUntilMs, commitSentMs);
    }
    if (owner != null && ours && owner.sequence() > sequence) {
      // An attempt whose answer was lost was applied, though not necessarily the newest one.
      version = foundVersion;
      lastSuccessMs = nowMs;
      nextCommitMs = 0;
      onApplied(owner.sequence(), owner.released(), nowMs);
    } else if (owner != null && ours && owner.sequence() == sequence) {
      version = foundVersion;
    } else {
      loseOwnership("the pool has another owner", nowMs);
    }
  }

  private void onCommitFailed(boolean mayApply, long nowMs) {
    committing = false;
    nextCommitMs = mayApply ? nowMs : nowMs + times.retryMs();
    if (role == Role.CLAIMING) {
      if (mayApply) {
        // A read is cheaper than another claim, which would delay the commits of an owner.
        claimUnanswered = true;
        nextReadMs = nowMs;
      } else {
        giveUpClaim(reads.newest(), nowMs);
      }
    }
  }

  private void loseOwnership(String reason, long nowMs) {
    waitingBatch = null;
    attemptedBatch = null;
    releasing = false;
    becomeFollower(nowMs);
    effects.add(new LeaseEffect.Lost(reason));
  }

  private void giveUpClaim(@Nullable OwnerRecord owner, long nowMs) {
    if (owner == null || owner.epoch() < epoch) {
      reads.onClaimFailed();
    }
    becomeFollower(nowMs);
  }

  private void becomeFollower(long nowMs) {
    role = Role.FOLLOWER;
    committing = false;
    claimUnanswered = false;
    reads.restart();
    nextReadMs = nowMs + times.retryMs();
  }
}
