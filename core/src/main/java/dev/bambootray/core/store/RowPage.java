package dev.bambootray.core.store;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * One page of a scan.
 *
 * @param rows the rows in the order of their keys
 * @param nextAfterKey key to continue after, or null on the last page
 */
public record RowPage(List<StoredRow> rows, @Nullable String nextAfterKey) {}
