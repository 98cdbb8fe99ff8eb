package dev.bambootray.adapters.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.membership.Gossip;
import dev.bambootray.core.membership.MemberState;
import dev.bambootray.core.membership.MemberStatus;
import dev.bambootray.core.message.PeerMessage;
import dev.bambootray.core.model.FailureDomainId;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.routing.RegionLoad;
import io.vavr.control.Either;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
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
  void absentComponentsAreRefusedUnlessTheyMayBeNull() {
    byte[] confirm = {1, 12, (byte) 0x92, (byte) 0xa1, 'n', 5};
    assertTrue(codec.decode(confirm).isRight());
    byte[] nullSender = {1, 12, (byte) 0x92, (byte) 0xc0, 5};
    assertTrue(codec.decode(nullSender).isLeft());
    byte[] noSender = {1, 12, (byte) 0x90};
    assertTrue(codec.decode(noSender).isLeft());
    byte[] nullInList = {
      1, 3, (byte) 0x94, (byte) 0xa1, 'n', (byte) 0xa1, 'r', 7, (byte) 0x91, (byte) 0xc0
    };
    assertTrue(codec.decode(nullInList).isLeft());
    byte[] laterComponent = {1, 12, (byte) 0x93, (byte) 0xa1, 'n', 5, (byte) 0xa1, 'x'};
    assertTrue(codec.decode(laterComponent).isRight());
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
    NodeId sender = NodeId.of("n1");
    assertTrue(codec.encode(new PeerMessage.ConfigurationOffer(sender, 1, text)).isLeft());
  }

  /**
   * A node sends 3 probes every 500 ms, answers as many, and receives the same; its budget is 26 KB
   * a second for control traffic of all kinds.
   */
  @Example
  void probesOfNineNodesStayWithinTheTrafficBudget() {
    List<MemberState> members = new ArrayList<>();
    List<RegionLoad> loads = new ArrayList<>();
    for (int i = 0; i < 9; i++) {
      members.add(member(i));
    }
    for (int i = 0; i < 3; i++) {
      NodeId owner = NodeId.of("node-" + i);
      loads.add(
          new RegionLoad(region(i), owner, 41, 60, 80, 70, 80, 12, 90_000, 1_780_000_000_000L));
    }
    Gossip gossip = new Gossip(members, 4_600, loads);
    NodeId sender = NodeId.of("node-0");
    int probe = codec.encode(new PeerMessage.Probe(sender, 86_400, member(0), gossip)).get().length;
    int ack = codec.encode(new PeerMessage.ProbeAck(sender, 86_400, gossip)).get().length;
    int perSecond = 6 * 2 * (probe + ack + 2 * Frames.LENGTH_BYTES);
    assertTrue(perSecond < 26_000, perSecond + " B/s");
  }

  private static RegionId region(int i) {
    return RegionId.of(List.of("gwynedd", "powys", "morgannwg").get(i % 3));
  }

  private static MemberState member(int i) {
    return new MemberState(
        NodeId.of("node-" + i),
        region(i),
        FailureDomainId.of(region(i).value() + "-" + i % 2),
        "10.20.30.4" + i,
        7_400,
        8_080,
        1_780_000_000_000L,
        MemberStatus.ALIVE);
  }

  private static long allocatedBytes() {
    return ((com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean())
        .getThreadAllocatedBytes(Thread.currentThread().getId());
  }
}
