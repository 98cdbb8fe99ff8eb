package dev.bambootray.standins.jobs;

import dev.bambootray.jobs.model.RunName;
import java.util.HashMap;
import java.util.Map;

/** Counts the running members of each run of a gang by rack. */
final class GangMemberCounter {
  private record GangRun(String job, int occurrence, int step, int run) {
    private static GangRun of(RunName run) {
      return new GangRun(run.task().job(), run.task().occurrence(), run.task().step(), run.run());
    }
  }

  private final Map<GangRun, Map<String, Integer>> byRack = new HashMap<>();

  void add(RunName run, String rack) {
    byRack.computeIfAbsent(GangRun.of(run), key -> new HashMap<>()).merge(rack, 1, Integer::sum);
  }

  void remove(RunName run, String rack) {
    GangRun gang = GangRun.of(run);
    Map<String, Integer> racks = byRack.getOrDefault(gang, new HashMap<>());
    racks.computeIfPresent(rack, (key, count) -> count > 1 ? count - 1 : null);
    if (racks.isEmpty()) {
      byRack.remove(gang);
    }
  }

  int members(RunName run) {
    return racks(run).values().stream().mapToInt(Integer::intValue).sum();
  }

  boolean spansRacks(RunName run) {
    return racks(run).size() > 1;
  }

  private Map<String, Integer> racks(RunName run) {
    return byRack.getOrDefault(GangRun.of(run), Map.of());
  }
}
