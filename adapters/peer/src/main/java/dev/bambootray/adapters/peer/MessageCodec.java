package dev.bambootray.adapters.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.introspect.AnnotationIntrospectorPair;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import dev.bambootray.core.message.PeerMessage;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.Map;
import java.util.stream.Collectors;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Content of a frame: a version byte, a type tag and the message in MessagePack. A frame without
 * its length has at most {@link #MAX_FRAME_BYTES}.
 */
final class MessageCodec {
  /** Largest frame, without the four bytes of its length. */
  static final int MAX_FRAME_BYTES = 1024 * 1024;

  /** Version that this codec writes; frames of later versions are refused. */
  static final int VERSION = 1;

  /** Tag of a frame that refuses the version of a frame received on the same connection. */
  static final int TAG_VERSION_REFUSED = 0;

  private static final int HEADER_BYTES = 2;

  private static final Map<Integer, Class<? extends PeerMessage>> TYPES =
      Map.ofEntries(
          Map.entry(1, PeerMessage.SubmitRequest.class),
          Map.entry(2, PeerMessage.AwaitRequest.class),
          Map.entry(3, PeerMessage.OwnerMismatch.class),
          Map.entry(4, PeerMessage.RequestAnswered.class),
          Map.entry(5, PeerMessage.CancelRequests.class),
          Map.entry(6, PeerMessage.ExplainRequest.class),
          Map.entry(7, PeerMessage.ExplainReply.class),
          Map.entry(8, PeerMessage.DrainWorker.class),
          Map.entry(9, PeerMessage.Probe.class),
          Map.entry(10, PeerMessage.ProbeAck.class),
          Map.entry(11, PeerMessage.ConfigurationOffer.class),
          Map.entry(12, PeerMessage.ConfigurationConfirm.class),
          Map.entry(13, PeerMessage.ConfigurationFetch.class));

  private static final Map<Class<?>, Integer> TAGS =
      TYPES.entrySet().stream().collect(Collectors.toMap(Map.Entry::getValue, Map.Entry::getKey));

  private final ObjectMapper mapper;

  private MessageCodec() {
    mapper =
        new ObjectMapper(new MessagePackFactory())
            .setAnnotationIntrospector(
                new AnnotationIntrospectorPair(
                    new CoreRecordIntrospector(), new JacksonAnnotationIntrospector()))
            .registerModule(new IdentifierModule())
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
  }

  /** Returns a codec; it is thread-safe. */
  static MessageCodec create() {
    return new MessageCodec();
  }

  /** Returns the content of a frame that refuses a later version. */
  static byte[] versionRefused() {
    return new byte[] {VERSION, TAG_VERSION_REFUSED};
  }

  /** Writes a message, or says why it cannot be sent. */
  Either<String, byte[]> encode(PeerMessage message) {
    Integer tag = TAGS.get(message.getClass());
    if (tag == null) {
      return Either.left("no tag for " + message.getClass().getSimpleName());
    }
    byte[] body;
    try {
      body = mapper.writeValueAsBytes(message);
    } catch (JsonProcessingException e) {
      return Either.left("cannot write " + message.getClass().getSimpleName());
    }
    if (body.length + HEADER_BYTES > MAX_FRAME_BYTES) {
      return Either.left(
          message.getClass().getSimpleName() + " of " + body.length + " bytes exceeds a frame");
    }
    byte[] frame = new byte[body.length + HEADER_BYTES];
    frame[0] = VERSION;
    frame[1] = tag.byteValue();
    System.arraycopy(body, 0, frame, HEADER_BYTES, body.length);
    return Either.right(frame);
  }

  /** Reads the content of a frame, or says what is wrong with it. */
  Either<String, PeerMessage> decode(byte[] frame) {
    if (frame.length < HEADER_BYTES || frame[0] != VERSION) {
      return Either.left("frame without a known version");
    }
    Class<? extends PeerMessage> type = TYPES.get((int) frame[1]);
    if (type == null) {
      return Either.left("unknown tag " + frame[1]);
    }
    if (!isOneWholeValue(frame)) {
      return Either.left("malformed " + type.getSimpleName());
    }
    try {
      PeerMessage message =
          mapper.readValue(frame, HEADER_BYTES, frame.length - HEADER_BYTES, type);
      return NullCheck.isComplete(message)
          ? Either.right(message)
          : Either.left("incomplete " + type.getSimpleName());
    } catch (IOException | RuntimeException e) {
      return Either.left("malformed " + type.getSimpleName());
    }
  }

  /**
   * Walks over the value without allocating for it. The parser allocates what a text or byte header
   * declares before it reads on, so a header that declares more than the frame holds must be found
   * first.
   */
  private static boolean isOneWholeValue(byte[] frame) {
    int length = frame.length - HEADER_BYTES;
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(frame, HEADER_BYTES, length)) {
      unpacker.skipValue();
      return unpacker.getTotalReadBytes() == length;
    } catch (IOException | RuntimeException e) {
      return false;
    }
  }
}
