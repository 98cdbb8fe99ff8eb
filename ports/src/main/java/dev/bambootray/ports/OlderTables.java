package dev.bambootray.ports;

import java.util.Optional;

/** Names the tables of the product as nodes of an older format know them. */
public interface OlderTables {

  /**
   * Returns the name that a node of an older format has for a table, or empty if it would read or
   * write other rows than this node means.
   *
   * @param format format of the older node
   * @param table the table as this node names it
   * @param range whether the call is for a range of keys instead of one key
   */
  Optional<String> tableAt(int format, String table, boolean range);

  /**
   * Returns the table to assume for a changed row that an older node reports without its partition.
   *
   * @param storedTable the table in the store
   */
  default String tableOfChange(String storedTable) {
    return storedTable;
  }
}
