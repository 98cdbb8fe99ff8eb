package dev.bambootray.bench.scheduling;

import dev.bambootray.core.declaration.TemplateDeclaration;
import dev.bambootray.core.model.AttemptToken;
import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** What a replay knows of one job. */
final class ReplayJob {
  final Arrival arrival;
  final TemplateDeclaration template;
  boolean answered;
  boolean completed;
  boolean running;
  long answeredAtMs;
  long firstStartMs = -1;
  long doneMs;

  /** Start time that its first reservation promised, or -1. */
  long promisedStartMs = -1;

  /** Whether its claim lay within the guarantee of its workspace when it was submitted. */
  boolean withinGuarantee;

  int runsStarted;

  /** Members that run under the current attempt, and since when this number stands. */
  int membersRunning;

  long membersChangedAtMs;
  private @Nullable AttemptToken attempt;
  private final Set<AttemptToken> disturbed = new HashSet<>();
  private int checkpointedMembers;
  private boolean counted;

  ReplayJob(Arrival arrival, TemplateDeclaration template) {
    this.arrival = arrival;
    this.template = template;
  }

  int accelerators() {
    return template.shape().totalAccelerators();
  }

  long remainingMs() {
    return arrival.runMs() - doneMs;
  }

  /** Marks an attempt as ended by a fault, so that its lost work is not a preemption. */
  void disturbed(AttemptToken token) {
    disturbed.add(token);
  }

  boolean isDisturbed(AttemptToken token) {
    return disturbed.contains(token);
  }

  void started(long nowMs) {
    running = true;
    if (firstStartMs < 0) {
      firstStartMs = nowMs;
    }
  }

  void memberStarted(AttemptToken token, long nowMs) {
    if (!token.equals(attempt)) {
      attempt = token;
      membersRunning = 0;
      checkpointedMembers = 0;
      runsStarted++;
    }
    membersRunning++;
    membersChangedAtMs = nowMs;
  }

  void memberEnded(AttemptToken token, long nowMs) {
    if (token.equals(attempt) && membersRunning > 0) {
      membersRunning--;
      membersChangedAtMs = nowMs;
      running = false;
    }
  }

  /** Keeps the progress once every member wrote its checkpoint. */
  void checkpointed(AttemptToken token, long ranMs) {
    if (token.equals(attempt)) {
      checkpointedMembers++;
      if (checkpointedMembers == template.shape().members()) {
        doneMs += Math.min(ranMs, remainingMs() - 1);
      }
    }
  }

  void answer(long nowMs, boolean withResult) {
    answered = true;
    running = false;
    completed = withResult;
    answeredAtMs = nowMs;
  }

  /** Returns whether it may still be counted as waiting. */
  boolean waiting() {
    return !answered && !running && membersRunning == 0;
  }

  /** Returns true the first time it is asked. */
  boolean countOnce() {
    boolean first = !counted;
    counted = true;
    return first;
  }
}
