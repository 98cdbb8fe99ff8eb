package dev.bambootray.adapters.peer;

import dev.bambootray.core.membership.Gossip;
import dev.bambootray.core.membership.MemberState;
import dev.bambootray.core.membership.MemberStatus;
import dev.bambootray.core.message.PeerMessage;
import dev.bambootray.core.model.Answer;
import dev.bambootray.core.model.ExecutionStatus;
import dev.bambootray.core.model.FailureDomainId;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.RequestSpec;
import dev.bambootray.core.model.RequestStep;
import dev.bambootray.core.model.TemplateId;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.routing.RegionLoad;
import dev.bambootray.core.scheduling.Explanation;
import java.util.List;
import java.util.Random;
import java.util.function.Function;
import java.util.stream.Stream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;

/** Random messages of every type, with numbers and texts at their bounds. */
final class MessageArbitraries {
  private static final List<Function<Source, PeerMessage>> TYPES =
      List.of(
          s ->
              new PeerMessage.SubmitRequest(s.node(), s.region(), s.number(), s.spec(), s.number()),
          s -> new PeerMessage.AwaitRequest(s.node(), s.region(), s.number(), s.key()),
          s -> new PeerMessage.OwnerMismatch(s.node(), s.region(), s.number(), s.list(s::key)),
          s -> new PeerMessage.RequestAnswered(s.node(), s.answer()),
          s -> new PeerMessage.CancelRequests(s.node(), s.region(), s.number(), s.list(s::key)),
          s ->
              new PeerMessage.ExplainRequest(s.node(), s.region(), s.number(), s.number(), s.key()),
          s -> new PeerMessage.ExplainReply(s.node(), s.number(), s.explanation()),
          s ->
              new PeerMessage.DrainWorker(
                  s.node(), s.region(), s.number(), WorkerId.of(s.id()), s.flag()),
          s -> new PeerMessage.Probe(s.node(), s.number(), s.member(), s.gossip()),
          s -> new PeerMessage.ProbeAck(s.node(), s.number(), s.gossip()),
          s -> new PeerMessage.ConfigurationOffer(s.node(), s.number(), s.text()),
          s -> new PeerMessage.ConfigurationConfirm(s.node(), s.number()),
          s -> new PeerMessage.ConfigurationFetch(s.node(), s.number()));

  private MessageArbitraries() {}

  static Arbitrary<PeerMessage> messages() {
    return Arbitraries.randomValue(MessageArbitraries::message);
  }

  static PeerMessage message(Random random) {
    return TYPES.get(random.nextInt(TYPES.size())).apply(new Source(random));
  }

  static Stream<PeerMessage> oneOfEachType(long seed) {
    return TYPES.stream().map(type -> type.apply(new Source(new Random(seed))));
  }

  private record Source(Random random) {
    long number() {
      long[] bounds = {0, 1, -1, Long.MAX_VALUE, Long.MIN_VALUE, 1L << 32, random.nextLong()};
      return bounds[random.nextInt(bounds.length)];
    }

    int small() {
      return random.nextInt();
    }

    boolean flag() {
      return random.nextBoolean();
    }

    String id() {
      return "n" + Integer.toHexString(random.nextInt()) + "._:-";
    }

    String text() {
      String[] texts = {"", "{}", "\u0000\uD83D\uDE00\u00e9", "x".repeat(random.nextInt(70_000))};
      return texts[random.nextInt(texts.length)];
    }

    NodeId node() {
      return NodeId.of(id());
    }

    RegionId region() {
      return RegionId.of(id());
    }

    RequestKey key() {
      return RequestKey.of(id(), id());
    }

    RequestSpec spec() {
      return new RequestSpec(
          key(), TemplateId.of(id()), text(), number(), flag(), flag(), number(), text());
    }

    Answer answer() {
      return switch (random.nextInt(3)) {
        case 0 -> Answer.success(key(), text());
        case 1 -> Answer.reference(key(), text());
        default -> Answer.failure(key(), error());
      };
    }

    RequestError error() {
      return new RequestError(
          pick(RequestStep.values()),
          id(),
          text(),
          pick(ExecutionStatus.values()),
          flag(),
          flag() ? number() : null);
    }

    Explanation explanation() {
      return new Explanation(
          key(), text(), small(), text(), list(this::id), list(this::id), number());
    }

    MemberState member() {
      return new MemberState(
          node(),
          region(),
          FailureDomainId.of(id()),
          id(),
          small(),
          small(),
          number(),
          pick(MemberStatus.values()));
    }

    Gossip gossip() {
      return new Gossip(list(this::member), number(), list(this::load));
    }

    RegionLoad load() {
      return new RegionLoad(
          region(), node(), number(), small(), small(), small(), small(), number(), number(),
          number());
    }

    <T> T pick(T[] values) {
      return values[random.nextInt(values.length)];
    }

    <T> List<T> list(java.util.function.Supplier<T> items) {
      return Stream.generate(items).limit(random.nextInt(4)).toList();
    }
  }
}
