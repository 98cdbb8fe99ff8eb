package dev.bambootray.core.ledger;

import dev.bambootray.core.model.Answer;
import dev.bambootray.core.model.AttemptToken;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.RequestSpec;
import dev.bambootray.core.model.WorkerId;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The stored record of a request. Its row in the table is the authority on what happened to the
 * request.
 *
 * @param spec the request
 * @param region the region that serves it
 * @param state its state
 * @param epoch epoch of the owner that recorded the attempt, or 0
 * @param attempt the recorded attempt, or null
 * @param workers workers of the recorded attempt
 * @param answer the final answer, or null
 */
public record RequestRecord(
    RequestSpec spec,
    RegionId region,
    RequestRecordState state,
    long epoch,
    @Nullable AttemptToken attempt,
    List<WorkerId> workers,
    @Nullable Answer answer) {

  /** Copies the workers. */
  public RequestRecord {
    workers = List.copyOf(workers);
  }

  /** Returns the record of a request that was just accepted. */
  public static RequestRecord accepted(RequestSpec spec, RegionId region) {
    return new RequestRecord(spec, region, RequestRecordState.ACCEPTED, 0, null, List.of(), null);
  }

  /** Returns this record with the intent to run an attempt. */
  public RequestRecord withIntent(AttemptToken newAttempt, long newEpoch, List<WorkerId> where) {
    return new RequestRecord(
        spec, region, RequestRecordState.INTENT, newEpoch, newAttempt, where, null);
  }

  /** Returns this record with its final answer. */
  public RequestRecord withAnswer(Answer finalAnswer) {
    return new RequestRecord(
        spec, region, RequestRecordState.ANSWERED, epoch, attempt, workers, finalAnswer);
  }

  /** Returns whether another submission under the same key asks for the same work. */
  public boolean matches(RequestSpec other) {
    return spec.template().equals(other.template())
        && spec.parametersJson().equals(other.parametersJson());
  }
}
