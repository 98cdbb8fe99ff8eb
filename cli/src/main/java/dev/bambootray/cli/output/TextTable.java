package dev.bambootray.cli.output;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** A table of left-aligned columns with a header. */
public final class TextTable {
  private static final String GAP = "  ";

  private final List<List<String>> rows = new ArrayList<>();

  private TextTable(List<String> header) {
    rows.add(header);
  }

  /** Returns a table with the given header. */
  public static TextTable of(String... header) {
    return new TextTable(List.of(header));
  }

  /** Adds a row with as many cells as the header. */
  public TextTable row(String... cells) {
    rows.add(List.of(cells));
    return this;
  }

  /** Returns the table, one row a line without a line break at the end. */
  public String render() {
    List<Integer> widths = new ArrayList<>(Collections.nCopies(rows.get(0).size(), 0));
    for (List<String> row : rows) {
      for (int i = 0; i < row.size(); i++) {
        widths.set(i, Math.max(widths.get(i), row.get(i).length()));
      }
    }
    List<String> lines = new ArrayList<>();
    for (List<String> row : rows) {
      StringBuilder line = new StringBuilder();
      for (int i = 0; i < row.size(); i++) {
        line.append(row.get(i)).append(" ".repeat(widths.get(i) - row.get(i).length())).append(GAP);
      }
      lines.add(line.toString().stripTrailing());
    }
    return String.join("\n", lines);
  }
}
