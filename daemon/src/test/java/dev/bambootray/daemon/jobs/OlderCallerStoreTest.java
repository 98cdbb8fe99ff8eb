package dev.bambootray.daemon.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import dev.bambootray.jobs.store.CommitOutcome;
import dev.bambootray.jobs.store.Row;
import dev.bambootray.jobs.store.RowChange;
import dev.bambootray.jobs.store.RowCondition;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Calls of nodes that don't say in which partition a row is. */
final class OlderCallerStoreTest {
  private static final byte[] VALUE = new byte[1];

  private final PartitionedStore.Content content = new PartitionedStore.Content();
  private final PartitionedStore direct = new PartitionedStore(content, new JobPartitions());
  private final StoreFormats formats = new StoreFormats();
  private final OlderCallerStore store = new OlderCallerStore(direct, formats);

  private CommitOutcome write(RowCondition condition, String key) {
    return store
        .commit(List.of(condition), List.of(new RowChange(JobTables.JOBS, key, VALUE)), 1_000)
        .join();
  }

  private CommitOutcome submit(String id) {
    return write(new RowCondition(JobTables.JOBS, id, 0), id);
  }

  private void update(boolean mayReadFormat1Only) {
    var unused = formats.update(mayReadFormat1Only, true, false);
  }

  private List<Row> rows(String id) {
    return store.read(JobTables.JOBS, id, JobTables.endOfJobRows(id), 2).join().get().rows();
  }

  @Test
  void refusesWhileTheFormatIsUnknown() {
    assertInstanceOf(CommitOutcome.Refused.class, submit("a"));
  }

  @Test
  void storesJobsWhereThisNodeStoresThem() {
    update(true);
    submit("a");
    assertEquals(Set.of("pool"), content.partitionsWith("jobs"));
    update(false);
    submit("b");
    assertEquals(2, content.partitionsWith("jobs").size());
  }

  @Test
  void findsAndMarksAJobOfEitherFormat() {
    // Guards against a caller that is told that its job is gone because nodes changed their format.
    update(true);
    submit("a");
    update(false);
    Row job = rows("a").get(0);
    String mark = JobTables.cancelKey("a");
    assertInstanceOf(
        CommitOutcome.Committed.class,
        write(new RowCondition(JobTables.JOBS, "a", job.version()), mark));
    assertEquals(List.of("a", mark), rows("a").stream().map(Row::key).toList());
    assertEquals(Set.of("pool"), content.partitionsWith("jobs"));
  }
}
