package dev.bambootray.jobs.model;

import static java.util.Objects.requireNonNull;

import dev.bambootray.core.model.Resources;
import java.util.List;

/**
 * Specifies one step of a job, which consists of identical tasks.
 *
 * @param count number of tasks, at least 1
 * @param each resources of one task
 * @param estimateMs rough estimate of a task's run time in milliseconds, 0 if unknown; may be wrong
 *     by a factor of ten
 * @param after indexes of steps that must be done first
 * @param checkpointing whether its tasks save their progress
 * @param gang whether its tasks make progress only while all of them run
 * @param sameRack whether its tasks are slower when they span racks
 * @param requiredLabel label that a worker must have, or empty
 * @param dataRack rack that holds its input data, or empty
 * @param maxPerWorker maximum number of tasks of the step on one worker, 0 for no limit
 * @param longRunning whether its tasks run until the job is cancelled
 */
public record StepSpec(
    int count,
    Resources each,
    long estimateMs,
    List<Integer> after,
    boolean checkpointing,
    boolean gang,
    boolean sameRack,
    String requiredLabel,
    String dataRack,
    int maxPerWorker,
    boolean longRunning) {

  /** Copies the list and rejects null, so that decoding an incomplete stored step fails. */
  public StepSpec {
    requireNonNull(each, "each");
    requireNonNull(requiredLabel, "requiredLabel");
    requireNonNull(dataRack, "dataRack");
    after = List.copyOf(after);
  }

  /** Returns a builder for a step of the given number of tasks. */
  public static Builder builder(int count, Resources each) {
    return new Builder(count, each);
  }

  /** Builds a step; optional properties are absent by default. */
  public static final class Builder {
    private final int count;
    private final Resources each;
    private long estimateMs;
    private List<Integer> after = List.of();
    private boolean checkpointing;
    private boolean gang;
    private boolean sameRack;
    private String requiredLabel = "";
    private String dataRack = "";
    private int maxPerWorker;
    private boolean longRunning;

    private Builder(int count, Resources each) {
      this.count = count;
      this.each = each;
    }

    /** Sets the estimated run time of a task. */
    public Builder estimateMs(long value) {
      estimateMs = value;
      return this;
    }

    /** Sets the steps that must be done first. */
    public Builder after(List<Integer> value) {
      after = value;
      return this;
    }

    /** Sets whether tasks save their progress. */
    public Builder checkpointing(boolean value) {
      checkpointing = value;
      return this;
    }

    /** Sets whether the tasks form a gang. */
    public Builder gang(boolean value) {
      gang = value;
      return this;
    }

    /** Sets whether the tasks should share a rack. */
    public Builder sameRack(boolean value) {
      sameRack = value;
      return this;
    }

    /** Sets the label that a worker must have. */
    public Builder requiredLabel(String value) {
      requiredLabel = value;
      return this;
    }

    /** Sets the rack that holds the input data. */
    public Builder dataRack(String value) {
      dataRack = value;
      return this;
    }

    /** Sets the maximum number of tasks of the step on one worker. */
    public Builder maxPerWorker(int value) {
      maxPerWorker = value;
      return this;
    }

    /** Sets whether the tasks run until the job is cancelled. */
    public Builder longRunning(boolean value) {
      longRunning = value;
      return this;
    }

    /** Returns the step. */
    public StepSpec build() {
      return new StepSpec(
          count,
          each,
          estimateMs,
          after,
          checkpointing,
          gang,
          sameRack,
          requiredLabel,
          dataRack,
          maxPerWorker,
          longRunning);
    }
  }
}
