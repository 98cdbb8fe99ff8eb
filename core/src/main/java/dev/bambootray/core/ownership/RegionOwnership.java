package dev.bambootray.core.ownership;

import static dev.bambootray.core.ownership.RegionLeaseTimes.FRESH_READ_MS;
import static dev.bambootray.core.ownership.RegionLeaseTimes.LEASE_MS;
import static dev.bambootray.core.ownership.RegionLeaseTimes.MAX_MOVE_INTERVAL_MS;
import static dev.bambootray.core.ownership.RegionLeaseTimes.READ_INTERVAL_MS;
import static dev.bambootray.core.ownership.RegionLeaseTimes.RENEW_INTERVAL_MS;
import static dev.bambootray.core.ownership.RegionLeaseTimes.RETAKE_DELAY_MS;
import static dev.bambootray.core.ownership.RegionLeaseTimes.SETTLED_MS;
import static dev.bambootray.core.ownership.RegionLeaseTimes.STORE_TIMEOUT_MS;
import static java.util.stream.Collectors.toSet;

import dev.bambootray.core.membership.MemberState;
import dev.bambootray.core.membership.MemberStatus;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.Ownership;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.ownership.OwnershipEffect.LossReason;
import dev.bambootray.core.ownership.RegionLease.Attempt;
import dev.bambootray.core.ownership.RegionLease.Purpose;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

/**
 * Decides which regions this node owns, by conditional writes of the rows {@code owner/<region>}.
 *
 * <p>The lease only decides when another node may try to take a region. A claim ends when its epoch
 * is refused, when the row names another owner, or by release. An owner that cannot reach the table
 * keeps its claim: this is safe because workers refuse lower epochs.
 */
public final class RegionOwnership {
  private final MemberState self;
  private final String tokenPrefix;
  private final UniformRandomProvider random;
  private final Map<RegionId, RegionLease> leases = new TreeMap<>();
  private List<MemberState> members;
  private Set<NodeId> dead = Set.of();
  private long membersChangedMs = Long.MIN_VALUE;
  private long nextReadMs;
  private long readSentMs = -1;
  private long nextMoveMs;
  private long writes;
  private boolean releasing;

  private RegionOwnership(MemberState self, UniformRandomProvider random) {
    this.self = self;
    this.random = random;
    this.members = List.of(self);
    this.tokenPrefix = "owner:" + self.node() + ":" + self.incarnation() + ":";
  }

  /**
   * Returns an instance that owns no region.
   *
   * @param self state of this node; node and incarnation make write tokens unique
   * @param random source of the jitter that spreads the attempts of the nodes
   */
  public static RegionOwnership create(MemberState self, UniformRandomProvider random) {
    return new RegionOwnership(self, random);
  }

  /** Returns the regions that this node claims to own, with their epochs. */
  public List<Ownership> owned() {
    List<Ownership> owned = new ArrayList<>();
    for (RegionLease lease : leases.values()) {
      if (lease.held != null) {
        owned.add(lease.held);
      }
    }
    return owned;
  }

  /** Returns the owner of a region as far as this node knows. */
  public Optional<Ownership> ownerOf(RegionId region) {
    RegionLease lease = leases.get(region);
    return lease == null ? Optional.empty() : Optional.ofNullable(ownership(lease.row));
  }

  /** Returns whether this node owns a region and its last renewal is younger than the lease. */
  public boolean isLeaseCurrent(RegionId region, long nowMs) {
    RegionLease lease = leases.get(region);
    return lease != null && lease.held != null && nowMs - lease.renewedAtMs < LEASE_MS;
  }

  /** Handles an event and returns the effects to carry out, in order. */
  public List<OwnershipEffect> handle(OwnershipEvent event, long nowMs) {
    List<OwnershipEffect> effects = new ArrayList<>();
    if (event instanceof OwnershipEvent.Tick) {
      tick(nowMs, effects);
    } else if (event instanceof OwnershipEvent.MembersChanged changed) {
      members = changed.members();
      dead =
          members.stream()
              .filter(member -> member.status() == MemberStatus.DEAD)
              .map(MemberState::node)
              .collect(toSet());
      membersChangedMs = nowMs;
    } else if (event instanceof OwnershipEvent.RegionsDeclared declared) {
      declare(declared.regions(), nowMs, effects);
    } else if (event instanceof OwnershipEvent.OwnersRead read) {
      onOwnersRead(read.rows(), nowMs, effects);
    } else if (event instanceof OwnershipEvent.OwnersReadFailed) {
      readSentMs = -1;
    } else if (event instanceof OwnershipEvent.OwnerRead read) {
      onOwnerRead(read.row(), nowMs, effects);
    } else if (event instanceof OwnershipEvent.OwnerReadFailed failed) {
      dropAttempt(leases.get(failed.region()), nowMs);
    } else if (event instanceof OwnershipEvent.OwnerWritten written) {
      onWritten(written, nowMs, effects);
    } else if (event instanceof OwnershipEvent.OwnerWriteConflicted conflicted) {
      onWriteConflicted(conflicted, nowMs, effects);
    } else if (event instanceof OwnershipEvent.OwnerWriteFailed failed) {
      onWriteFailed(failed, nowMs, effects);
    } else if (event instanceof OwnershipEvent.EpochRefused refused) {
      onEpochRefused(refused, effects);
    } else if (event instanceof OwnershipEvent.ReleaseRequested) {
      releasing = true;
      leases.values().forEach(lease -> release(lease, nowMs, effects));
    }
    return effects;
  }

  private void tick(long nowMs, List<OwnershipEffect> effects) {
    if (readSentMs >= 0 && nowMs - readSentMs >= STORE_TIMEOUT_MS) {
      readSentMs = -1;
    }
    if (readSentMs < 0 && nowMs >= nextReadMs && !leases.isEmpty()) {
      readSentMs = nowMs;
      nextReadMs = nowMs + READ_INTERVAL_MS;
      effects.add(new OwnershipEffect.ReadOwners());
    }
    for (RegionLease lease : leases.values()) {
      if (lease.isAttemptOverdue(nowMs)) {
        onAttemptOverdue(lease, nowMs, effects);
      }
      if (lease.attempt == null && lease.held != null && nowMs >= lease.renewAtMs) {
        lease.renewAtMs = nowMs + RENEW_INTERVAL_MS;
        write(lease, Purpose.RENEW, self.node(), lease.held.epoch(), nowMs, effects);
      } else if (lease.attempt == null && lease.held == null) {
        considerTaking(lease, nowMs, effects);
      }
    }
    considerMoving(nowMs, effects);
  }

  private void considerTaking(RegionLease lease, long nowMs, List<OwnershipEffect> effects) {
    if (releasing || nowMs < lease.retakeAfterMs || !lease.isFree(self.node(), dead, nowMs)) {
      return;
    }
    if (lease.takeAtMs < 0) {
      lease.takeAtMs = nowMs + ranking().delayMs(self.node(), self.region(), lease.region, random);
    }
    if (nowMs >= lease.takeAtMs && nowMs - lease.lastReadMs > FRESH_READ_MS) {
      // Another node may have taken the region since the last read; a read costs less than a
      // conflict.
      lease.attempt = new Attempt("", Purpose.TAKE, lease.row, nowMs, true);
      effects.add(new OwnershipEffect.ReadOwner(lease.region));
    } else if (nowMs >= lease.takeAtMs) {
      lease.takeAtMs = -1;
      write(lease, Purpose.TAKE, self.node(), lease.row.epoch() + 1, nowMs, effects);
    }
  }

  /** Releases at most one region at a time to a better owner, and only while members are stable. */
  private void considerMoving(long nowMs, List<OwnershipEffect> effects) {
    if (releasing || nowMs < nextMoveMs || nowMs - membersChangedMs < SETTLED_MS) {
      return;
    }
    nextMoveMs = nowMs + SETTLED_MS;
    int held = owned().size();
    for (RegionLease lease : leases.values()) {
      if (lease.held != null
          && nowMs >= lease.nextMoveMs
          && ranking().shouldMove(self.node(), self.region(), lease.region, held)) {
        lease.moveIntervalMs = Math.min(2 * lease.moveIntervalMs, MAX_MOVE_INTERVAL_MS);
        lease.nextMoveMs = nowMs + lease.moveIntervalMs;
        release(lease, nowMs, effects);
        return;
      }
    }
  }

  private void declare(Set<RegionId> regions, long nowMs, List<OwnershipEffect> effects) {
    regions.forEach(region -> leases.computeIfAbsent(region, RegionLease::new));
    for (RegionLease lease : leases.values()) {
      if (!regions.contains(lease.region)) {
        release(lease, nowMs, effects);
      }
    }
    leases.keySet().retainAll(regions);
  }

  private void onOwnersRead(List<OwnerRow> rows, long nowMs, List<OwnershipEffect> effects) {
    readSentMs = -1;
    Map<RegionId, OwnerRow> byRegion = new TreeMap<>();
    rows.forEach(row -> byRegion.put(row.region(), row));
    for (RegionLease lease : leases.values()) {
      OwnerRow read = byRegion.getOrDefault(lease.region, OwnerRow.absent(lease.region));
      observe(lease, read, nowMs, effects);
    }
  }

  private void onOwnerRead(OwnerRow read, long nowMs, List<OwnershipEffect> effects) {
    RegionLease lease = leases.get(read.region());
    if (lease == null) {
      return;
    }
    if (lease.attempt != null && lease.attempt.settling()) {
      lease.attempt = null;
    }
    observe(lease, read, nowMs, effects);
  }

  private void observe(
      RegionLease lease, OwnerRow read, long nowMs, List<OwnershipEffect> effects) {
    if (lease.observe(read, nowMs)) {
      effects.add(new OwnershipEffect.OwnerChanged(lease.region, ownership(read)));
    }
    Ownership held = lease.held;
    if (held != null && isTakenFrom(held, lease.row)) {
      lose(lease, held, LossReason.ROW_TAKEN, effects);
    } else if (held == null && lease.isOutcomeOfLastTake(lease.row) && !releasing) {
      gain(lease, nowMs, effects);
    }
  }

  private void onWritten(
      OwnershipEvent.OwnerWritten written, long nowMs, List<OwnershipEffect> effects) {
    RegionLease lease = leaseWithAttempt(written.writeToken());
    if (lease == null || lease.attempt == null) {
      return;
    }
    Attempt done = lease.attempt;
    lease.attempt = null;
    OwnerRow row = done.row();
    OwnerRow now =
        new OwnerRow(
            row.region(), row.owner(), row.epoch(), row.expiresAtMs(), written.rowVersion());
    if (done.purpose() == Purpose.RENEW) {
      lease.renewedAtMs = done.sentMs();
    }
    observe(lease, now, nowMs, effects);
  }

  private void onWriteConflicted(
      OwnershipEvent.OwnerWriteConflicted conflicted, long nowMs, List<OwnershipEffect> effects) {
    RegionLease lease = leaseWithAttempt(conflicted.writeToken());
    if (lease == null || lease.attempt == null) {
      return;
    }
    Attempt refused = lease.attempt;
    lease.attempt = null;
    observe(lease, conflicted.current(), nowMs, effects);
    boolean unreleased =
        refused.purpose() == Purpose.RELEASE
            && self.node().equals(lease.row.owner())
            && lease.row.epoch() == refused.row().epoch();
    if (unreleased) {
      // A pending renewal took effect before the release.
      write(lease, Purpose.RELEASE, null, lease.row.epoch(), nowMs, effects);
    }
  }

  private void onWriteFailed(
      OwnershipEvent.OwnerWriteFailed failed, long nowMs, List<OwnershipEffect> effects) {
    RegionLease lease = leaseWithAttempt(failed.writeToken());
    if (lease == null || lease.attempt == null) {
      return;
    }
    if (failed.maybeApplied()) {
      settleByReading(lease, lease.attempt, nowMs, effects);
    } else {
      dropAttempt(lease, nowMs);
    }
  }

  private void onAttemptOverdue(RegionLease lease, long nowMs, List<OwnershipEffect> effects) {
    Attempt attempt = lease.attempt;
    if (attempt != null && !attempt.settling()) {
      settleByReading(lease, attempt, nowMs, effects);
    } else {
      dropAttempt(lease, nowMs);
    }
  }

  private void settleByReading(
      RegionLease lease, Attempt attempt, long nowMs, List<OwnershipEffect> effects) {
    lease.attempt = new Attempt(attempt.token(), attempt.purpose(), attempt.row(), nowMs, true);
    effects.add(new OwnershipEffect.ReadOwner(lease.region));
  }

  /** Drops the attempt; the next read of the rows shows its outcome. */
  private static void dropAttempt(@Nullable RegionLease lease, long nowMs) {
    if (lease != null) {
      lease.attempt = null;
      lease.renewAtMs = nowMs + RENEW_INTERVAL_MS;
      if (lease.takeAtMs >= 0) {
        // Postponed, so that a candidate does not read the row again with every tick.
        lease.takeAtMs = nowMs + RENEW_INTERVAL_MS;
      }
    }
  }

  private void onEpochRefused(OwnershipEvent.EpochRefused refused, List<OwnershipEffect> effects) {
    RegionLease lease = leases.get(refused.region());
    if (lease == null) {
      return;
    }
    Ownership held = lease.held;
    if (held != null && refused.highestEpoch() > held.epoch()) {
      lose(lease, held, LossReason.EPOCH_REFUSED, effects);
    }
  }

  private void release(RegionLease lease, long nowMs, List<OwnershipEffect> effects) {
    Ownership held = lease.held;
    if (held == null) {
      return;
    }
    lose(lease, held, LossReason.RELEASED, effects);
    lease.retakeAfterMs = nowMs + RETAKE_DELAY_MS;
    write(lease, Purpose.RELEASE, null, held.epoch(), nowMs, effects);
  }

  private static void gain(RegionLease lease, long nowMs, List<OwnershipEffect> effects) {
    Ownership gained = ownership(lease.row);
    if (gained != null) {
      lease.held = gained;
      lease.renewedAtMs = lease.lastReadMs;
      lease.renewAtMs = nowMs + RENEW_INTERVAL_MS;
      effects.add(new OwnershipEffect.OwnershipGained(gained));
    }
  }

  private static void lose(
      RegionLease lease, Ownership held, LossReason reason, List<OwnershipEffect> effects) {
    lease.held = null;
    lease.lastTake = null;
    effects.add(new OwnershipEffect.OwnershipLost(held, reason));
  }

  private void write(
      RegionLease lease,
      Purpose purpose,
      @Nullable NodeId owner,
      long epoch,
      long nowMs,
      List<OwnershipEffect> effects) {
    OwnerRow row =
        new OwnerRow(lease.region, owner, epoch, nowMs + LEASE_MS, lease.row.rowVersion());
    lease.attempt = new Attempt(tokenPrefix + ++writes, purpose, row, nowMs, false);
    if (purpose == Purpose.TAKE) {
      lease.lastTake = row;
    }
    effects.add(new OwnershipEffect.WriteOwner(lease.attempt.token(), row));
  }

  private @Nullable RegionLease leaseWithAttempt(String token) {
    Collection<RegionLease> all = leases.values();
    return all.stream()
        .filter(lease -> lease.attempt != null && lease.attempt.token().equals(token))
        .findFirst()
        .orElse(null);
  }

  private OwnerRanking ranking() {
    return OwnerRanking.of(members, leases.values(), leases.size());
  }

  private static boolean isTakenFrom(Ownership held, OwnerRow row) {
    return row.epoch() > held.epoch() || !held.owner().equals(row.owner());
  }

  private static @Nullable Ownership ownership(OwnerRow row) {
    return row.owner() == null ? null : new Ownership(row.region(), row.owner(), row.epoch());
  }
}
