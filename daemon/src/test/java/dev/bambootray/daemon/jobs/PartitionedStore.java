package dev.bambootray.daemon.jobs;

import static java.util.concurrent.CompletableFuture.completedFuture;

import dev.bambootray.core.store.StoreError;
import dev.bambootray.jobs.store.ChangePage;
import dev.bambootray.jobs.store.CommitOutcome;
import dev.bambootray.jobs.store.Row;
import dev.bambootray.jobs.store.RowChange;
import dev.bambootray.jobs.store.RowCondition;
import dev.bambootray.jobs.store.RowReadPage;
import dev.bambootray.ports.RowPartitions;
import dev.bambootray.ports.RowStore;
import io.vavr.control.Either;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Rows in partitions, as one build sees them that assigns them in its own way. */
final class PartitionedStore implements RowStore {
  /** What the nodes of all builds share. */
  static final class Content {
    private record Place(String table, String partition, String key) {}

    private final Map<Place, Row> rows = new HashMap<>();
    private long version = 10;

    Set<String> partitionsWith(String table) {
      return rows.keySet().stream()
          .filter(place -> place.table().equals(table))
          .map(Place::partition)
          .collect(Collectors.toSet());
    }

    long count(String table) {
      return rows.keySet().stream().filter(place -> place.table().equals(table)).count();
    }
  }

  private final Content content;
  private final RowPartitions partitions;

  /** Number of partitions that were read. */
  int reads;

  /** Number of transactions. */
  int commits;

  PartitionedStore(Content content, RowPartitions partitions) {
    this.content = content;
    this.partitions = partitions;
  }

  private Content.Place place(String table, String key) {
    return new Content.Place(
        partitions.storedTable(table), partitions.partitionOf(table, key), key);
  }

  @Override
  public CompletableFuture<CommitOutcome> commit(
      List<RowCondition> conditions, List<RowChange> changes, long timeoutMs) {
    commits++;
    Set<String> touched =
        Stream.concat(
                conditions.stream().map(each -> place(each.table(), each.key()).partition()),
                changes.stream().map(each -> place(each.table(), each.key()).partition()))
            .collect(Collectors.toSet());
    if (touched.size() > 1) {
      return completedFuture(new CommitOutcome.Refused("status 400"));
    }
    List<Row> found =
        conditions.stream()
            .map(condition -> content.rows.get(place(condition.table(), condition.key())))
            .flatMap(Stream::ofNullable)
            .toList();
    boolean conditionsHold =
        conditions.stream()
            .allMatch(
                each -> {
                  Row row = content.rows.get(place(each.table(), each.key()));
                  return (row == null ? 0 : row.version()) == each.version();
                });
    if (!conditionsHold) {
      return completedFuture(new CommitOutcome.Conflict(found));
    }
    content.version++;
    for (RowChange change : changes) {
      byte[] value = change.value();
      Content.Place place = place(change.table(), change.key());
      if (value == null) {
        content.rows.remove(place);
      } else {
        content.rows.put(
            place, new Row(change.table(), change.key(), value, content.version, false));
      }
    }
    return completedFuture(new CommitOutcome.Committed(content.version));
  }

  @Override
  public CompletableFuture<Either<StoreError, RowReadPage>> read(
      String table, String from, String to, int limit) {
    List<String> parts = partitions.partitionsOf(table, from, to);
    reads += parts.size();
    List<Row> found =
        content.rows.entrySet().stream()
            .filter(entry -> entry.getKey().table().equals(partitions.storedTable(table)))
            .filter(entry -> parts.contains(entry.getKey().partition()))
            .filter(entry -> entry.getKey().key().compareTo(from) >= 0)
            .filter(entry -> to.isEmpty() || entry.getKey().key().compareTo(to) < 0)
            .map(this::named)
            .sorted(Comparator.comparing(Row::key))
            .toList();
    List<Row> page = found.subList(0, Math.min(limit, found.size()));
    return completedFuture(
        Either.right(new RowReadPage(page, page.size() < found.size(), content.version)));
  }

  private Row named(Map.Entry<Content.Place, Row> entry) {
    String table = partitions.tableOf(entry.getKey().table(), entry.getKey().partition());
    Row row = entry.getValue();
    return new Row(table, row.key(), row.value(), row.version(), false);
  }

  @Override
  public CompletableFuture<ChangePage> changes(String table, long after, long waitMs) {
    return new CompletableFuture<>();
  }
}
