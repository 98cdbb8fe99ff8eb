package dev.bambootray.cli.output;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.bambootray.cli.CliFailure;
import dev.bambootray.documents.ExitCode;
import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import java.util.function.Supplier;

/** Prints results as text or as JSON. */
public final class Console {
  private final PrintWriter out;
  private final PrintWriter err;
  private final boolean json;

  private Console(PrintWriter out, PrintWriter err, boolean json) {
    this.out = out;
    this.err = err;
    this.json = json;
  }

  /** Returns a console that prints results as JSON if asked to. */
  public static Console of(PrintWriter out, PrintWriter err, boolean json) {
    return new Console(out, err, json);
  }

  /** Returns whether results are printed as JSON. */
  public boolean isJson() {
    return json;
  }

  /** Prints a result: its JSON on one line, or its text. */
  public void print(JsonNode result, Supplier<String> text) {
    out.println(json ? result.toString() : text.get());
    out.flush();
  }

  /** Prints lines as a result: as text, or as a JSON object with one array. */
  public void printLines(String member, List<String> lines) {
    ObjectNode result = JsonNodeFactory.instance.objectNode();
    result.set(member, array(lines));
    print(result, () -> String.join("\n", lines));
  }

  /** Prints a note that is not part of the result. */
  public void note(String line) {
    err.println(line);
    err.flush();
  }

  /** Prints a failure and returns its exit code. */
  public ExitCode fail(CliFailure failure) {
    if (json) {
      ObjectNode error = JsonNodeFactory.instance.objectNode();
      error.put("exitCode", failure.code().code());
      error.put("kind", failure.code().name().toLowerCase(Locale.ROOT));
      error.set("errors", array(failure.lines()));
      if (!failure.problem().isMissingNode()) {
        error.set("problem", failure.problem());
      }
      err.println(error);
    } else {
      failure.lines().forEach(line -> err.println("error: " + line));
    }
    err.flush();
    return failure.code();
  }

  private static ArrayNode array(List<String> lines) {
    ArrayNode array = JsonNodeFactory.instance.arrayNode();
    lines.forEach(array::add);
    return array;
  }
}
