package dev.bambootray.daemon.jobs;

import com.fasterxml.jackson.annotation.JsonAutoDetect.Visibility;
import com.fasterxml.jackson.annotation.PropertyAccessor;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.bambootray.adapters.httpclient.PeerAddress;
import dev.bambootray.jobs.lead.OwnerRecord;
import dev.bambootray.jobs.model.JobPhase;
import dev.bambootray.jobs.model.JobRecord;
import dev.bambootray.jobs.model.JobSpec;
import dev.bambootray.jobs.model.TaskRecord;
import dev.bambootray.jobs.model.TaskRecord.State;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

/**
 * Encodes and decodes the rows of the job tables as JSON.
 *
 * <p>Unknown members are ignored, so that newer nodes may add some. Tasks are written as short
 * arrays, because the row of a job with many tasks is written often.
 */
final class JobRowCodec {
  private final ObjectMapper json =
      JsonMapper.builder()
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .visibility(PropertyAccessor.IS_GETTER, Visibility.NONE)
          .build();

  byte[] encode(JobSpec job) {
    return bytes(job);
  }

  Either<String, JobSpec> decodeJob(byte[] value) {
    return read(value, JobSpec.class);
  }

  byte[] encode(OwnerRecord owner) {
    ObjectNode row = json.valueToTree(owner);
    if (owner.heldPercent() == 0) {
      row.remove("heldPercent");
    }
    return bytes(row);
  }

  Either<String, OwnerRecord> decodeOwner(byte[] value) {
    return read(value, OwnerRecord.class);
  }

  byte[] encode(NodeRow node) {
    return bytes(node);
  }

  Either<String, NodeRow> decodeNode(byte[] value) {
    return read(value, NodeRow.class)
        .filterOrElse(
            JobRowCodec::isComplete,
            node -> "the row of a node lacks a member or has an invalid address");
  }

  byte[] encode(JobRecord saved) {
    ObjectNode row = json.createObjectNode();
    row.put("job", saved.job());
    row.put("phase", saved.phase().name());
    row.put("finishedWallMs", saved.finishedWallMs());
    ArrayNode tasks = row.putArray("tasks");
    for (TaskRecord task : saved.tasks()) {
      ArrayNode values = tasks.addArray();
      values.add(stateCode(task.state())).add(task.run()).add(task.failures());
      if (!task.worker().isEmpty() || !task.checkpoint().isEmpty() || task.crashes() > 0) {
        values.add(task.worker()).add(task.checkpoint());
      }
      if (task.crashes() > 0) {
        values.add(task.crashes()); // Earlier builds ignore it and drop it with their next write.
      }
    }
    return bytes(row);
  }

  Either<String, JobRecord> decodeRecord(byte[] value) {
    try {
      JsonNode row = json.readTree(value);
      if (!row.path("job").isTextual() || !row.path("tasks").isArray()) {
        return Either.left("the record of a job lacks the job or its tasks");
      }
      List<TaskRecord> tasks = new ArrayList<>();
      for (JsonNode task : row.path("tasks")) {
        tasks.add(
            new TaskRecord(
                state(task.path(0).asText()),
                task.path(1).asInt(),
                task.path(2).asInt(),
                task.path(3).asText(""),
                task.path(4).asText(""),
                task.path(5).asInt()));
      }
      return Either.right(
          new JobRecord(
              row.path("job").asText(),
              JobPhase.valueOf(row.path("phase").asText()),
              row.path("finishedWallMs").asLong(),
              tasks));
    } catch (IOException | IllegalArgumentException e) {
      return Either.left("the record of a job cannot be read: " + e.getMessage());
    }
  }

  private static boolean isComplete(NodeRow node) {
    return Stream.of(node.name(), node.address(), node.failureDomain(), node.region())
            .allMatch(Objects::nonNull)
        && PeerAddress.isValid(node.address());
  }

  private static String stateCode(State state) {
    return switch (state) {
      case WAITING -> "W";
      case PLACED -> "P";
      case DONE -> "D";
    };
  }

  private static State state(String letter) {
    return switch (letter) {
      case "W" -> State.WAITING;
      case "P" -> State.PLACED;
      case "D" -> State.DONE;
      default -> throw new IllegalArgumentException("unknown task state: " + letter);
    };
  }

  private byte[] bytes(Object value) {
    try {
      return json.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a row cannot be written", e);
    }
  }

  private <T> Either<String, T> read(byte[] value, Class<T> type) {
    try {
      return Either.right(json.readValue(value, type));
    } catch (IOException e) {
      return Either.left("a row of " + type.getSimpleName() + " cannot be read: " + e.getMessage());
    }
  }
}
