package dev.bambootray.adapters.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.message.PeerMessage;
import io.vavr.control.Either;
import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.Random;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Guards against messages that change on their way and frames that harm the reader. */
final class MessageCodecProperties {
  /** Bound on what the reader allocates for one frame, however long it claims to be. */
  private static final long MAX_ALLOCATED_BYTES = 16L * MessageCodec.MAX_FRAME_BYTES;

  private final MessageCodec codec = MessageCodec.create();

  @Provide
  Arbitrary<PeerMessage> messages() {
    return MessageArbitraries.messages();
  }

  @Property(seed = "11", tries = 2_000)
  void messagesKeepTheirContent(@ForAll("messages") PeerMessage message) {
    assertEquals(Either.right(message), codec.decode(codec.encode(message).get()));
  }

  @Property(seed = "12", tries = 2_000)
  void truncatedAndExtendedFramesAreRefused(
      @ForAll("messages") PeerMessage message, @ForAll int at) {
    byte[] frame = codec.encode(message).get();
    int cut = Math.floorMod(at, frame.length);
    assertTrue(codec.decode(Arrays.copyOf(frame, cut)).isLeft());
    assertTrue(codec.decode(Arrays.copyOf(frame, frame.length + 1)).isLeft());
  }

  @Property(seed = "13", tries = 5_000)
  void changedBytesNeverThrowNorYieldAnIncompleteMessage(
      @ForAll("messages") PeerMessage message, @ForAll long seed) {
    byte[] frame = codec.encode(message).get();
    Random random = new Random(seed);
    for (int i = 0; i < 3; i++) {
      frame[random.nextInt(frame.length)] = (byte) random.nextInt();
    }
    Either<String, PeerMessage> read = codec.decode(frame);
    assertTrue(read.isLeft() || NullCheck.isComplete(read.get()));
  }

  @Property(seed = "14", tries = 5_000)
  void randomBytesAreRefused(@ForAll byte[] body, @ForAll byte tag) {
    byte[] frame = new byte[body.length + 2];
    frame[0] = MessageCodec.VERSION;
    frame[1] = tag;
    System.arraycopy(body, 0, frame, 2, body.length);
    assertTrue(codec.decode(frame).isLeft());
  }

  @Example
  void declaredLengthsBeyondTheFrameAllocateNothingOfThatSize() {
    // Array of one binary of 2 GiB, text of 2 GiB, array and map of 2^31 - 1 items.
    for (int header : new int[] {0xc6, 0xdb, 0xdd, 0xdf, 0xc9}) {
      byte[] frame = {1, 13, (byte) 0x92, (byte) header, 0x7f, -1, -1, -1, 1, 2, 3};
      long before = allocatedBytes();
      assertTrue(codec.decode(frame).isLeft());
      assertTrue(allocatedBytes() - before < MAX_ALLOCATED_BYTES);
    }
  }

  @Example
  void deeplyNestedArraysAreRefused() {
    byte[] frame = new byte[MessageCodec.MAX_FRAME_BYTES];
    Arrays.fill(frame, (byte) 0x91);
    frame[0] = 1;
    frame[1] = 9;
    frame[frame.length - 1] = 1;
    long before = allocatedBytes();
    assertTrue(codec.decode(frame).isLeft());
    assertTrue(allocatedBytes() - before < MAX_ALLOCATED_BYTES);
  }

  @Example
  void everyTypeHasATag() {
    MessageArbitraries.oneOfEachType(5)
        .forEach(message -> assertTrue(codec.encode(message).isRight()));
    assertEquals(
        PeerMessage.class.getPermittedSubclasses().length,
        MessageArbitraries.oneOfEachType(5).map(Object::getClass).distinct().count());
  }

  @Example
  void aMessageBeyondAFrameIsNotEncoded() {
    String text = "x".repeat(MessageCodec.MAX_FRAME_BYTES);
    var sender = dev.bambootray.core.model.NodeId.of("n1");
    assertTrue(codec.encode(new PeerMessage.ConfigurationOffer(sender, 1, text)).isLeft());
  }

  private static long allocatedBytes() {
    return ((com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean())
        .getThreadAllocatedBytes(Thread.currentThread().getId());
  }
}
