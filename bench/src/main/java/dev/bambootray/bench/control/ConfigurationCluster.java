package dev.bambootray.bench.control;

import dev.bambootray.core.configuration.ConfigurationEffect;
import dev.bambootray.core.configuration.ConfigurationEvent;
import dev.bambootray.core.configuration.ConfigurationState;
import dev.bambootray.core.configuration.PublishOutcome;
import dev.bambootray.core.configuration.PublishedDeclaration;
import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.message.PeerMessage;
import dev.bambootray.core.model.NodeId;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** Configurations in virtual time that publish at a steady rate and count their traffic. */
final class ConfigurationCluster {
  private static final long LINK_MS = 20;
  private static final long STORE_MS = 10;
  private static final int SMALL_MESSAGE_BYTES = 60 + WireSize.MESSAGE_OVERHEAD_BYTES;
  private static final Declaration PARSED = Fleet.declaration(0, 0);

  private final VirtualClock clock = new VirtualClock();
  private final Map<NodeId, ConfigurationState> nodes = new TreeMap<>();
  private final Map<Long, PublishedDeclaration> history = new HashMap<>();
  private final Map<Long, Long> publishedAtMs = new HashMap<>();
  private final Map<Long, Integer> inForce = new HashMap<>();
  private final Set<NodeId> cutOff = new HashSet<>();
  private final List<NodeId> ids = new ArrayList<>();
  private final int textBytes;
  private long acceptedVersion;
  private long acceptedAtMs;
  private int turn;
  long messages;
  long bytes;
  long tableBytes;
  long tableReads;
  long accepted;
  long slowestMs;
  long servedStaleMs;

  ConfigurationCluster(int size, int textBytes) {
    this.textBytes = textBytes;
    for (int i = 0; i < size; i++) {
      NodeId id = Fleet.node(i, 0).node();
      ids.add(id);
      nodes.put(id, ConfigurationState.create(id, 1, ConfigurationCluster::read));
    }
    Set<NodeId> members = Set.copyOf(ids);
    ids.forEach(id -> offer(id, new ConfigurationEvent.MembersChanged(members)));
    clock.every(100, () -> ids.forEach(id -> offer(id, new ConfigurationEvent.Tick())));
    clock.every(100, this::checkStale);
    clock.every(500, this::exchange);
    clock.run(3_000);
    publish();
    clock.run(5_000);
    slowestMs = 0;
  }

  /** Publishes at a steady rate; one node is cut off during every second publication if asked. */
  void run(int changesADay, long forMs, boolean withCuts) {
    long intervalMs = 86_400_000L / changesADay;
    long untilMs = clock.nowMs() + forMs;
    while (clock.nowMs() + intervalMs <= untilMs) {
      if (withCuts && turn % 2 == 0) {
        cutOff.add(ids.get(turn % ids.size()));
        clock.run(37L * turn % 1_000);
      }
      publish();
      clock.run(Math.min(intervalMs, 12_000));
      cutOff.clear();
      clock.run(Math.max(1_000, intervalMs - 12_000));
    }
  }

  private static Either<List<String>, Declaration> read(String text, long version) {
    return Either.right(PARSED.withVersion(version));
  }

  private void publish() {
    NodeId publisher = ids.get((++turn + 1) % ids.size());
    ConfigurationState node = nodes.get(publisher);
    if (node != null) {
      long version = node.version() + 1;
      publishedAtMs.put(version, clock.nowMs());
      offer(
          publisher,
          new ConfigurationEvent.PublishRequested(turn, "v" + version, version - 1, "operator"));
    }
  }

  private void checkStale() {
    nodes.forEach(
        (id, node) -> {
          if (node.version() < acceptedVersion && node.isCurrent(clock.nowMs())) {
            servedStaleMs = Math.max(servedStaleMs, clock.nowMs() - acceptedAtMs);
          }
        });
  }

  /** Stands for the probes of the membership, whose traffic is counted there. */
  private void exchange() {
    for (int i = 0; i < ids.size(); i++) {
      NodeId asker = ids.get(i);
      long askedAtMs = clock.nowMs();
      for (int next = 1; next <= 3; next++) {
        NodeId peer = ids.get((i + next) % ids.size());
        if (!cutOff.contains(asker) && !cutOff.contains(peer)) {
          clock.after(
              LINK_MS * 2,
              () ->
                  offer(
                      asker,
                      new ConfigurationEvent.VersionExchanged(peer, toldBy(peer), askedAtMs)));
        }
      }
    }
  }

  private long toldBy(NodeId peer) {
    ConfigurationState node = nodes.get(peer);
    return node == null ? 0 : node.announcedVersion();
  }

  private void offer(NodeId id, ConfigurationEvent event) {
    ConfigurationState node = nodes.get(id);
    if (node != null) {
      node.handle(event, clock.nowMs()).forEach(effect -> perform(id, effect));
    }
  }

  private void perform(NodeId id, ConfigurationEffect effect) {
    if (effect instanceof ConfigurationEffect.SendToPeer send) {
      send(id, send);
    } else if (effect instanceof ConfigurationEffect.ReadCurrent read) {
      tableReads++;
      tableBytes += 250;
      PublishedDeclaration current =
          history.getOrDefault((long) history.size(), PublishedDeclaration.NONE);
      answer(
          id,
          new ConfigurationEvent.CurrentRead(current.toCurrentVersion(), read.askedAtMs()),
          new ConfigurationEvent.CurrentReadFailed());
    } else if (effect instanceof ConfigurationEffect.ReadHistory read && !cutOff.contains(id)) {
      tableReads++;
      tableBytes += textBytes;
      PublishedDeclaration old = history.getOrDefault(read.version(), PublishedDeclaration.NONE);
      answer(id, new ConfigurationEvent.HistoryRead(read.version(), old), null);
    } else if (effect instanceof ConfigurationEffect.CommitDeclaration commit) {
      tableBytes += textBytes;
      history.put(commit.declaration().version(), commit.declaration());
      answer(
          id,
          new ConfigurationEvent.CommitSucceeded(commit.publishId()),
          new ConfigurationEvent.CommitFailed(commit.publishId(), true));
    } else if (effect instanceof ConfigurationEffect.DeclarationInForce force) {
      noteInForce(force.declaration().version());
    } else if (effect instanceof ConfigurationEffect.PublishFinished finished
        && finished.outcome() instanceof PublishOutcome.Accepted outcome) {
      accepted++;
      acceptedVersion = outcome.version();
      acceptedAtMs = clock.nowMs();
    }
  }

  private void noteInForce(long version) {
    int count = inForce.merge(version, 1, Integer::sum);
    if (count == ids.size() && cutOff.isEmpty()) {
      long since = publishedAtMs.getOrDefault(version, clock.nowMs());
      slowestMs = Math.max(slowestMs, clock.nowMs() - since);
    }
  }

  private void send(NodeId from, ConfigurationEffect.SendToPeer send) {
    messages++;
    PeerMessage message = send.message();
    bytes += SMALL_MESSAGE_BYTES;
    ConfigurationEvent event;
    if (message instanceof PeerMessage.ConfigurationOffer offer) {
      bytes += textBytes;
      event = new ConfigurationEvent.OfferReceived(offer);
    } else if (message instanceof PeerMessage.ConfigurationConfirm confirm) {
      event = new ConfigurationEvent.ConfirmReceived(confirm);
    } else {
      event = new ConfigurationEvent.FetchReceived((PeerMessage.ConfigurationFetch) message);
    }
    if (!cutOff.contains(from) && !cutOff.contains(send.peer())) {
      clock.after(LINK_MS, () -> offer(send.peer(), event));
    }
  }

  private void answer(NodeId id, ConfigurationEvent success, @Nullable ConfigurationEvent failure) {
    ConfigurationEvent event = cutOff.contains(id) ? failure : success;
    if (event != null) {
      clock.after(STORE_MS, () -> offer(id, event));
    }
  }
}
