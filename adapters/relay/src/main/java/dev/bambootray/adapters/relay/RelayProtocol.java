package dev.bambootray.adapters.relay;

import com.fasterxml.jackson.annotation.JsonAutoDetect.Visibility;
import com.fasterxml.jackson.annotation.PropertyAccessor;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import dev.bambootray.jobs.store.Row;
import dev.bambootray.jobs.store.RowChange;
import dev.bambootray.jobs.store.RowCondition;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.Objects;

/**
 * Paths and bodies of calls between nodes. The bodies are JSON, since they are sent over the HTTP
 * client and server that nodes have anyway. Unknown members are ignored; a call that lacks a member
 * is malformed.
 */
final class RelayProtocol {
  static final String COMMIT_PATH = "/store/3/commit";
  static final String READ_PATH = "/store/3/read";

  /** Paths of builds before format 3, which leave the partition of a row to the relaying node. */
  static final String OLDER_COMMIT_PATH = "/store/commit";

  static final String OLDER_READ_PATH = "/store/read";

  static final String CHANGES_PATH = "/store/changes";
  static final String HINT_PATH = "/jobs/hint";

  private static final ObjectMapper JSON =
      JsonMapper.builder()
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .visibility(PropertyAccessor.IS_GETTER, Visibility.NONE)
          .build();

  private RelayProtocol() {}

  /** A transaction; {@code timeoutMs} limits the call of the store. */
  record CommitCall(List<RowCondition> conditions, List<RowChange> changes, long timeoutMs) {
    CommitCall {
      conditions = List.copyOf(conditions);
      changes = List.copyOf(changes);
    }
  }

  /** A read of rows. */
  record ReadCall(String table, String from, String to, int limit) {
    ReadCall {
      Objects.requireNonNull(table, "table");
      Objects.requireNonNull(from, "from");
      Objects.requireNonNull(to, "to");
    }
  }

  /** A wait for changes. */
  record ChangesCall(String table, long after, long waitMs) {
    ChangesCall {
      Objects.requireNonNull(table, "table");
    }
  }

  /** How a call of the store ended. */
  enum Result {
    COMMITTED,
    CONFLICT,
    REFUSED,
    UNKNOWN,
    PAGE,
    CHANGES,
    HISTORY_LOST,
    NOTED,
    FAILED
  }

  /**
   * The answer to a call.
   *
   * @param result how the call ended
   * @param rows rows, if any
   * @param more whether a range holds more rows
   * @param version version of the store
   * @param detail what went wrong, or empty
   */
  record Reply(Result result, List<Row> rows, boolean more, long version, String detail) {
    Reply {
      Objects.requireNonNull(result, "result");
      Objects.requireNonNull(detail, "detail");
      rows = List.copyOf(rows);
    }

    static Reply of(Result result, long version) {
      return new Reply(result, List.of(), false, version, "");
    }

    static Reply failed(Result result, String detail) {
      return new Reply(result, List.of(), false, 0, detail);
    }
  }

  static byte[] write(Object body) {
    try {
      return JSON.writeValueAsBytes(body);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot serialize a call between nodes", e);
    }
  }

  static <T> Either<String, T> read(byte[] body, Class<T> type) {
    try {
      T value = JSON.readValue(body, type);
      return value == null ? Either.left("the body is empty") : Either.right(value);
    } catch (IOException e) {
      return Either.left("the body is not a " + type.getSimpleName() + ": " + e.getMessage());
    }
  }
}
