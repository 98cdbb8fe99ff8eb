package dev.bambootray.bench.control;

import com.fasterxml.jackson.annotation.JsonValue;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.bambootray.core.model.FailureDomainId;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.RackId;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.ServiceId;
import dev.bambootray.core.model.TemplateId;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.model.WorkspaceId;
import dev.bambootray.core.worker.TaskId;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.zip.DeflaterOutputStream;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Estimates the bytes of messages on the wire; field names are included, so it errs upwards. */
final class WireSize {
  /** Frame length 4, TLS 1.3 record 22, IPv4 and TCP with timestamps 52. */
  static final int MESSAGE_OVERHEAD_BYTES = 78;

  private static final List<Class<?>> TEXTS =
      List.of(
          NodeId.class,
          RegionId.class,
          FailureDomainId.class,
          RackId.class,
          WorkerId.class,
          WorkspaceId.class,
          ServiceId.class,
          TemplateId.class,
          RequestKey.class,
          TaskId.class);
  private static final ObjectMapper MESSAGE_PACK =
      withTexts(new ObjectMapper(new MessagePackFactory()));
  private static final ObjectMapper JSON = withTexts(new ObjectMapper());

  private WireSize() {}

  static byte[] encode(Object message) {
    try {
      return MESSAGE_PACK.writeValueAsBytes(message);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Reads a message into a tree, which stands for the cost of reading it. */
  static JsonNode tree(byte[] message) {
    try {
      return MESSAGE_PACK.readTree(message);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static String json(Object value) {
    try {
      return JSON.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Reads JSON into a tree, which stands for the cost of reading it. */
  static JsonNode readJson(String text) {
    try {
      return JSON.readTree(text);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the bytes of a text after compression. */
  static int deflated(String text) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try (DeflaterOutputStream deflater = new DeflaterOutputStream(out)) {
      deflater.write(text.getBytes(StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.size();
  }

  private static ObjectMapper withTexts(ObjectMapper mapper) {
    TEXTS.forEach(type -> mapper.addMixIn(type, AsText.class));
    return mapper;
  }

  /** Writes an identifier as its text. */
  private interface AsText {
    @JsonValue
    @Override
    String toString();
  }
}
