package dev.bambootray.bench.routing;

import org.apache.commons.rng.UniformRandomProvider;

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
      int offset = random.nextInt(count);
      int best = usable[offset];
      for (int i = 1; i < count; i++) {
        int target = usable[(i + offset) % count];
        best = view.outstanding[target] < view.outstanding[best] ? target : best;
      }
      return best;
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
  };

  /** What one node knows. */
  static final class NodeView {
    final int[] outstanding = new int[Topology.TARGETS];
    int next;
  }

  private final String title;

  BaselinePolicy(String title) {
    this.title = title;
  }

  String title() {
    return title;
  }

  abstract int choose(int[] usable, int count, NodeView view, UniformRandomProvider random);
}
