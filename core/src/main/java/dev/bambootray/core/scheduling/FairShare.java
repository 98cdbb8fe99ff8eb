package dev.bambootray.core.scheduling;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.WorkspaceDeclaration;
import dev.bambootray.core.model.WorkspaceId;
import java.util.HashMap;
import java.util.Map;

/** Tracks the resources that each workspace holds and its weighted dominant share with decay. */
final class FairShare {
  private final WorkerPool pool;
  private final Map<WorkspaceId, Account> accounts = new HashMap<>();
  private double halfLifeMs = 1;

  FairShare(WorkerPool pool) {
    this.pool = pool;
  }

  void declare(Declaration declaration) {
    halfLifeMs = Math.max(1, declaration.policy().shareHalfLifeMs());
    for (WorkspaceDeclaration workspace : declaration.workspaces().values()) {
      account(workspace.id()).weight = Math.max(1e-9, workspace.weight());
    }
  }

  /** Adds the resources of a gang to the use of its workspace. */
  void add(Gang gang, long nowMs) {
    change(gang, 1, nowMs);
  }

  /** Subtracts the resources of a gang from the use of its workspace. */
  void remove(Gang gang, long nowMs) {
    change(gang, -1, nowMs);
  }

  private void change(Gang gang, int sign, long nowMs) {
    Account account = account(gang.job.workspace());
    account.advance(nowMs, halfLifeMs, dominantShare(account));
    int members = sign * gang.memberCount;
    account.accelerators += members * gang.job.shape.acceleratorsPerMember();
    account.millicores += (long) members * gang.job.shape.millicoresPerMember();
    account.memoryMib += (long) members * gang.job.shape.memoryMibPerMember();
  }

  int acceleratorsInUse(WorkspaceId workspace) {
    return account(workspace).accelerators;
  }

  /** Returns the mean of the current and the decayed dominant share, divided by the weight. */
  double weightedShare(WorkspaceId workspace, long nowMs) {
    Account account = account(workspace);
    double share = dominantShare(account);
    account.advance(nowMs, halfLifeMs, share);
    return (account.decayed + share) / 2 / account.weight;
  }

  private double dominantShare(Account account) {
    double accelerators = (double) account.accelerators / Math.max(1, pool.totalAccelerators());
    double millicores = (double) account.millicores / Math.max(1, pool.totalMillicores());
    double memory = (double) account.memoryMib / Math.max(1, pool.totalMemoryMib());
    return Math.max(accelerators, Math.max(millicores, memory));
  }

  private Account account(WorkspaceId workspace) {
    return accounts.computeIfAbsent(workspace, w -> new Account());
  }

  /** The resources that one workspace uses, and the decayed average of its dominant share. */
  private static final class Account {
    private double weight = 1;
    private int accelerators;
    private long millicores;
    private long memoryMib;
    private double decayed;
    private long updatedAtMs;

    void advance(long nowMs, double halfLifeMs, double share) {
      double kept = Math.pow(0.5, Math.max(0, nowMs - updatedAtMs) / halfLifeMs);
      decayed = decayed * kept + share * (1 - kept);
      updatedAtMs = nowMs;
    }
  }
}
