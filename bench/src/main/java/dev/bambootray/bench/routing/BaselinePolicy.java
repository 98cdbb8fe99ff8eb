package dev.bambootray.bench.routing;

import java.util.Arrays;
import java.util.Comparator;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** How a node of a simple policy chooses a target from what it alone knows. */
enum BaselinePolicy {
  /** Each node takes the targets in turn. */
  ROUND_ROBIN("round robin") {
    @Override
    int choose(int[] usable, int count, NodeView view, UniformRandomProvider random) {
      return usable[Math.floorMod(view.next++, count)];
    }
  },
  /** A random target. */
  RANDOM("random") {
    @Override
    int choose(int[] usable, int count, NodeView view, UniformRandomProvider random) {
      return usable[random.nextInt(count)];
    }
  },
  /** The target with the fewest unanswered requests of this node. */
  LEAST_OUTSTANDING("least outstanding per node") {
    @Override
    int choose(int[] usable, int count, NodeView view, UniformRandomProvider random) {
      return leastOutstanding(usable, count, view, random);
    }
  },
  /** The better of two random targets by unanswered requests of this node. */
  POWER_OF_TWO("power of two choices") {
    @Override
    int choose(int[] usable, int count, NodeView view, UniformRandomProvider random) {
      int first = usable[random.nextInt(count)];
      int second = usable[random.nextInt(count)];
      return view.outstanding[second] < view.outstanding[first] ? second : first;
    }
  },
  /** The least outstanding target of the node's own subset, drawn by rendezvous hashing. */
  RENDEZVOUS_SUBSET("rendezvous subset of 10") {
    @Override
    int choose(int[] usable, int count, NodeView view, UniformRandomProvider random) {
      int[] subset = new int[SUBSET];
      int size = 0;
      for (int rank = 0; rank < Topology.TARGETS && size < SUBSET; rank++) {
        int target = view.byRendezvous[rank];
        if (Arrays.binarySearch(usable, 0, count, target) >= 0) {
          subset[size++] = target;
        }
      }
      return leastOutstanding(subset, size, view, random);
    }
  };

  private static final int SUBSET = 10;

  /** What one node knows. */
  static final class NodeView {
    final int[] outstanding = new int[Topology.TARGETS];
    final int[] byRendezvous;
    int next;

    NodeView(int node) {
      byRendezvous =
          IntStream.range(0, Topology.TARGETS)
              .boxed()
              .sorted(Comparator.comparingLong(target -> weight(node, target)))
              .mapToInt(Integer::intValue)
              .toArray();
    }

    private static long weight(int node, int target) {
      return RandomSource.SPLIT_MIX_64.create(node * 1_000L + target).nextLong();
    }
  }

  private final String title;

  BaselinePolicy(String title) {
    this.title = title;
  }

  String title() {
    return title;
  }

  private static int leastOutstanding(
      int[] usable, int count, NodeView view, UniformRandomProvider random) {
    int offset = random.nextInt(count);
    int best = usable[offset];
    for (int i = 1; i < count; i++) {
      int target = usable[(i + offset) % count];
      best = view.outstanding[target] < view.outstanding[best] ? target : best;
    }
    return best;
  }

  abstract int choose(int[] usable, int count, NodeView view, UniformRandomProvider random);
}
