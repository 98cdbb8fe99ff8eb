package dev.bambootray.ports;

import java.util.List;

/**
 * Assigns the rows of the product to partitions of the platform's store.
 *
 * <p>A transaction covers rows of one partition, and the store applies the transactions of a
 * partition one after another.
 */
public interface RowPartitions {

  /** Returns the partition of a row. */
  String partitionOf(String table, String key);

  /**
   * Returns the partitions that may hold rows of a range of keys, at least one.
   *
   * @param table the table
   * @param from first key, or empty for the start
   * @param to key that ends the range and is not part of it, or empty for the end
   */
  List<String> partitionsOf(String table, String from, String to);

  /** Returns the name under which the store keeps the rows of a table. */
  default String storedTable(String table) {
    return table;
  }

  /**
   * Returns the table that a stored row belongs to.
   *
   * @param storedTable the table in the store
   * @param partition the partition of the row
   */
  default String tableOf(String storedTable, String partition) {
    return storedTable;
  }
}
