package dev.bambootray.core.configuration;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.PolicyDeclaration;
import dev.bambootray.core.message.PeerMessage;
import dev.bambootray.core.model.NodeId;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Simulates several configurations that share one table, from a seed. At every tick it checks that
 * no node serves under an old version more than 5 s after a newer one was accepted.
 */
final class ConfigurationSimulation {
  private static final long TICK_MS = 50;
  private static final long EXCHANGE_MS = 500;

  private final UniformRandomProvider random;
  private final Map<NodeId, Node> nodes = new TreeMap<>();
  private final Map<Long, PublishedDeclaration> history = new TreeMap<>();
  private final Map<String, Long> tokens = new HashMap<>();
  private final Set<NodeId> withoutTable = new HashSet<>();
  private final PriorityQueue<Delivery> deliveries =
      new PriorityQueue<>(
          Comparator.comparingLong(Delivery::atMs).thenComparingLong(Delivery::number));
  private BiPredicate<NodeId, NodeId> cut = (from, to) -> false;
  private double lostAnswers;
  private long acceptedVersion;
  private long acceptedAtMs;
  private long number;
  long nowMs = 1_000_000;
  long slowestMs;
  int longestOffer;
  final Map<Long, PublishOutcome> outcomes = new TreeMap<>();
  final List<String> violations = new ArrayList<>();

  ConfigurationSimulation(long seed, int count) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    for (int i = 0; i < count; i++) {
      nodes.put(NodeId.of("n" + i), null);
    }
    for (int i = 0; i < count; i++) {
      restart("n" + i);
    }
  }

  /** Reads every text as an empty declaration, except {@code wrong}, which is invalid. */
  static Either<List<String>, Declaration> read(String text, long version) {
    return text.equals("wrong")
        ? Either.left(List.of("line 1, column 1: expected an object"))
        : Either.right(
            new Declaration(
                version,
                Map.of(),
                Map.of(),
                Map.of(),
                Map.of(),
                Map.of(),
                PolicyDeclaration.defaults()));
  }

  void restart(String name) {
    NodeId id = NodeId.of(name);
    Node node = new Node(id, ConfigurationState.create(id, nowMs, ConfigurationSimulation::read));
    nodes.put(id, node);
    perform(node, node.state.handle(new ConfigurationEvent.MembersChanged(nodes.keySet()), nowMs));
  }

  void withoutTable(String... names) {
    withoutTable.clear();
    for (String name : names) {
      withoutTable.add(NodeId.of(name));
    }
  }

  void cut(BiPredicate<NodeId, NodeId> changed) {
    cut = changed;
  }

  void pause(String name, long forMs) {
    nodes.get(NodeId.of(name)).pausedUntilMs = nowMs + forMs;
  }

  void slow(String name, long delayMs) {
    nodes.get(NodeId.of(name)).extraDelayMs = delayMs;
  }

  void loseAnswers(double rate) {
    lostAnswers = rate;
  }

  void publish(String name, long id, String text, long base) {
    offer(
        nodes.get(NodeId.of(name)),
        new ConfigurationEvent.PublishRequested(id, text, base, "operator-" + name));
  }

  void post(String name, ConfigurationEvent event) {
    offer(nodes.get(NodeId.of(name)), event);
  }

  long version(String name) {
    return nodes.get(NodeId.of(name)).state.version();
  }

  boolean isCurrent(String name) {
    return nodes.get(NodeId.of(name)).state.isCurrent(nowMs);
  }

  boolean allCurrentAt(long version) {
    return nodes.values().stream()
        .allMatch(node -> node.state.version() == version && node.state.isCurrent(nowMs));
  }

  ConfigurationSimulation run(long forMs) {
    long untilMs = nowMs + forMs;
    while (nowMs < untilMs) {
      nowMs += 5;
      while (!deliveries.isEmpty() && deliveries.peek().atMs() <= nowMs) {
        Delivery next = deliveries.poll();
        if (next.from() == null || !cut.test(next.from(), next.to())) {
          offer(nodes.get(next.to()), next.event());
        }
      }
      if (nowMs % TICK_MS == 0) {
        nodes.values().forEach(node -> offer(node, new ConfigurationEvent.Tick()));
        nodes.values().forEach(this::check);
      }
      if (nowMs % EXCHANGE_MS == 0) {
        nodes.values().forEach(this::exchange);
      }
    }
    return this;
  }

  private void check(Node node) {
    boolean serves = nowMs >= node.pausedUntilMs && node.state.isCurrent(nowMs);
    if (serves && node.state.version() < acceptedVersion) {
      slowestMs = Math.max(slowestMs, nowMs - acceptedAtMs);
      if (nowMs - acceptedAtMs > 5_000) {
        violations.add(nowMs + " " + node.id + " serves version " + node.state.version());
      }
    }
    if (node.state.version() < node.highest) {
      violations.add(nowMs + " " + node.id + " went back to version " + node.state.version());
    }
    node.highest = node.state.version();
  }

  /** Simulates the probes of the membership: three peers, and three more while that is wanted. */
  private void exchange(Node node) {
    if (nowMs < node.pausedUntilMs) {
      return;
    }
    List<NodeId> all = List.copyOf(nodes.keySet());
    int own = all.indexOf(node.id);
    for (int i = 1; i <= 3; i++) {
      ask(node, all.get((own + i) % all.size()));
    }
    for (int i = 0; node.exchangesWanted && i < 3; i++) {
      ask(node, all.get((own + 4 + node.turn++ % (all.size() - 4)) % all.size()));
    }
  }

  private void ask(Node node, NodeId peer) {
    if (!peer.equals(node.id)) {
      deliver(node.id, peer, 20, new VersionQuery(node.id, nowMs));
    }
  }

  private void offer(Node node, Object event) {
    if (nowMs < node.pausedUntilMs) {
      node.waiting.add(event);
      return;
    }
    List<Object> events = new ArrayList<>(node.waiting);
    node.waiting.clear();
    events.add(event);
    events.forEach(next -> handle(node, next));
  }

  private void handle(Node node, Object event) {
    if (event instanceof VersionQuery asked) {
      ConfigurationEvent answer =
          new ConfigurationEvent.VersionExchanged(
              node.id, node.state.announcedVersion(), asked.atMs());
      deliver(node.id, asked.by(), 20, answer);
    } else {
      perform(node, node.state.handle((ConfigurationEvent) event, nowMs));
    }
  }

  private void perform(Node node, List<ConfigurationEffect> effects) {
    for (ConfigurationEffect effect : effects) {
      if (effect instanceof ConfigurationEffect.SendToPeer send) {
        if (send.message() instanceof PeerMessage.ConfigurationOffer offer) {
          longestOffer = Math.max(longestOffer, offer.declarationJson().length());
        }
        deliver(node.id, send.peer(), 20, received(send.message()));
      } else if (effect instanceof ConfigurationEffect.ReadCurrent read) {
        Object answer =
            withoutTable.contains(node.id)
                ? new ConfigurationEvent.CurrentReadFailed()
                : new ConfigurationEvent.CurrentRead(
                    current().toCurrentVersion(), read.askedAtMs());
        deliver(null, node.id, 10, answer);
      } else if (effect instanceof ConfigurationEffect.ReadHistory read
          && !withoutTable.contains(node.id)) {
        PublishedDeclaration old = history.getOrDefault(read.version(), PublishedDeclaration.NONE);
        deliver(null, node.id, 10, new ConfigurationEvent.HistoryRead(read.version(), old));
      } else if (effect instanceof ConfigurationEffect.CommitDeclaration commit) {
        deliver(null, node.id, 10, commit(node.id, commit));
      } else if (effect instanceof ConfigurationEffect.ExchangesWanted wanted) {
        node.exchangesWanted = wanted.wanted();
      } else if (effect instanceof ConfigurationEffect.PublishFinished finished) {
        outcomes.put(finished.publishId(), finished.outcome());
        if (finished.outcome() instanceof PublishOutcome.Accepted accepted
            && accepted.version() > acceptedVersion) {
          acceptedVersion = accepted.version();
          acceptedAtMs = nowMs;
        }
      }
    }
  }

  private ConfigurationEvent commit(NodeId node, ConfigurationEffect.CommitDeclaration commit) {
    if (withoutTable.contains(node)) {
      return new ConfigurationEvent.CommitFailed(commit.publishId(), false);
    }
    PublishedDeclaration wanted = commit.declaration();
    if (!tokens.containsKey(commit.writeToken())) {
      if (current().version() != wanted.version() - 1) {
        return new ConfigurationEvent.CommitConflicted(
            commit.publishId(), current().toCurrentVersion());
      }
      tokens.put(commit.writeToken(), wanted.version());
      history.put(wanted.version(), wanted);
    }
    return random.nextDouble() < lostAnswers
        ? new ConfigurationEvent.CommitFailed(commit.publishId(), true)
        : new ConfigurationEvent.CommitSucceeded(commit.publishId());
  }

  private PublishedDeclaration current() {
    return history.getOrDefault((long) history.size(), PublishedDeclaration.NONE);
  }

  private void deliver(NodeId from, NodeId to, long delayMs, Object event) {
    long extraMs = nodes.get(to) == null ? 0 : nodes.get(to).extraDelayMs;
    deliveries.add(new Delivery(nowMs + delayMs + extraMs, ++number, from, to, event));
  }

  private static ConfigurationEvent received(PeerMessage message) {
    if (message instanceof PeerMessage.ConfigurationOffer offer) {
      return new ConfigurationEvent.OfferReceived(offer);
    }
    if (message instanceof PeerMessage.ConfigurationConfirm confirm) {
      return new ConfigurationEvent.ConfirmReceived(confirm);
    }
    return new ConfigurationEvent.FetchReceived((PeerMessage.ConfigurationFetch) message);
  }

  private record VersionQuery(NodeId by, long atMs) {}

  private record Delivery(long atMs, long number, NodeId from, NodeId to, Object event) {}

  private static final class Node {
    private final NodeId id;
    private final ConfigurationState state;
    private final List<Object> waiting = new ArrayList<>();
    private boolean exchangesWanted;
    private long pausedUntilMs;
    private long extraDelayMs;
    private long highest;
    private int turn;

    private Node(NodeId id, ConfigurationState state) {
      this.id = id;
      this.state = state;
    }
  }
}
