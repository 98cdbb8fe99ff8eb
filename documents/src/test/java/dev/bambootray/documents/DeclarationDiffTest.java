package dev.bambootray.documents;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.bambootray.core.declaration.Declaration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a comparison that hides a change or shows one that has no meaning. */
final class DeclarationDiffTest {
  private final DeclarationParser parser = DeclarationParser.create();
  private final Declaration before = parser.read(DeclarationTexts.SMALL, 1).get();

  @Test
  void givesOneLineForEachChangedItem() {
    String text =
        DeclarationTexts.SMALL
            .replace("\"workers\": 3", "\"workers\": 2")
            .replace("\"default\": \"low\"", "\"default\": \"high\"")
            .replace("\"weight\": 2", "\"weight\": 3")
            .replace("{\"south\": 20}", "{}")
            .replace("\"accelerators\": 8", "\"accelerators\": 16");
    Declaration after = parser.read(text, 2).get();
    assertEquals(
        List.of(
            "~ region north: linkLatencyMs.south 20.0 -> none",
            "~ worker r1-w1: capacity.accelerators 8 -> 16",
            "~ worker r1-w2: capacity.accelerators 8 -> 16",
            "- worker r1-w3",
            "~ workspace team: weight 2.0 -> 3.0",
            "~ template render: parameters[1].default \"low\" -> \"high\""),
        DeclarationDiff.between(before, after).stream()
            .map(DeclarationDiff.Change::toString)
            .toList());
  }
}
