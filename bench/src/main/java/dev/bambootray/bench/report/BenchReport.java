package dev.bambootray.bench.report;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Collects the rows and measures of one benchmark run and checks the measures against the bounds in
 * the resource {@code /bounds/<name>.json}, a JSON array of {@link Bound}.
 */
public final class BenchReport {
  private static final ObjectMapper JSON =
      new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

  private final String name;
  private final List<String> header;
  private final List<List<String>> rows = new ArrayList<>();
  private final Map<String, Double> measures = new LinkedHashMap<>();

  private BenchReport(String name, List<String> header) {
    this.name = name;
    this.header = header;
  }

  /** Returns an empty report with the given table header. */
  public static BenchReport create(String name, String... header) {
    return new BenchReport(name, List.of(header));
  }

  /** Adds a row to the table. */
  public void addRow(Object... cells) {
    rows.add(Arrays.stream(cells).map(BenchReport::format).toList());
  }

  /** Sets a measure that may have a bound; a repeated measure keeps its worst value. */
  public void measure(String measure, double value) {
    measures.merge(measure, value, Math::max);
  }

  /**
   * Prints the table or JSON and the verdict on each bound.
   *
   * @return 0 if every bound holds and every bounded measure was taken, else 1
   */
  public int print(PrintStream out, boolean json) {
    List<Verdict> verdicts = verdicts();
    boolean passed = verdicts.stream().allMatch(Verdict::holds);
    if (json) {
      out.println(toJson(verdicts, passed));
    } else {
      printTable(out);
      verdicts.forEach(verdict -> out.println(verdict.text()));
      out.println(passed ? "All bounds hold." : "At least one bound is broken.");
    }
    return passed ? 0 : 1;
  }

  private List<Verdict> verdicts() {
    return bounds().stream()
        .map(bound -> new Verdict(bound, measures.getOrDefault(bound.measure(), Double.NaN)))
        .toList();
  }

  private List<Bound> bounds() {
    try (InputStream in = BenchReport.class.getResourceAsStream("/bounds/" + name + ".json")) {
      if (in == null) {
        throw new IllegalStateException("no bounds file for benchmark " + name);
      }
      return List.of(JSON.readValue(in, Bound[].class));
    } catch (IOException e) {
      throw new UncheckedIOException("cannot read the bounds of benchmark " + name, e);
    }
  }

  private String toJson(List<Verdict> verdicts, boolean passed) {
    Map<String, Object> document = new LinkedHashMap<>();
    document.put("benchmark", name);
    document.put("passed", passed);
    document.put("measures", measures);
    document.put("header", header);
    document.put("rows", rows);
    document.put("bounds", verdicts);
    try {
      return JSON.writeValueAsString(document);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void printTable(PrintStream out) {
    int[] widths = new int[header.size()];
    List<List<String>> lines = new ArrayList<>();
    lines.add(header);
    lines.addAll(rows);
    for (List<String> line : lines) {
      for (int i = 0; i < line.size(); i++) {
        widths[i] = Math.max(widths[i], line.get(i).length());
      }
    }
    for (List<String> line : lines) {
      StringBuilder text = new StringBuilder();
      for (int i = 0; i < line.size(); i++) {
        text.append(line.get(i)).append(" ".repeat(widths[i] - line.get(i).length() + 2));
      }
      out.println(text.toString().stripTrailing());
    }
  }

  private static String format(Object cell) {
    return cell instanceof Double number
        ? String.format(Locale.ROOT, "%.3f", number)
        : String.valueOf(cell);
  }

  /**
   * Whether a bound holds.
   *
   * @param bound the bound
   * @param value the measured value, NaN if the measure was not taken
   */
  private record Verdict(Bound bound, double value) {
    boolean holds() {
      return value <= bound.max();
    }

    String text() {
      return String.format(
          Locale.ROOT,
          "%s %s = %.4f, at most %.4f (%s)",
          holds() ? "ok    " : "BROKEN",
          bound.measure(),
          value,
          bound.max(),
          bound.why());
    }
  }
}
