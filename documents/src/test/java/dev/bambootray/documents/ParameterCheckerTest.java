package dev.bambootray.documents;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.declaration.ParameterDeclaration;
import dev.bambootray.core.model.TemplateId;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against parameters that reach a worker without the declared checks and defaults. */
final class ParameterCheckerTest {
  private final List<ParameterDeclaration> declared =
      DeclarationParser.create()
          .read(DeclarationTexts.SMALL, 1)
          .get()
          .templates()
          .get(TemplateId.of("render"))
          .parameters();

  @Test
  void fillsInDefaultsInTheDeclaredOrder() {
    assertEquals(
        "{\"runMs\":5,\"quality\":\"low\"}",
        ParameterChecker.check(declared, "{\"runMs\": 5}").get());
    assertEquals(
        "{\"runMs\":5,\"quality\":\"high\"}",
        ParameterChecker.check(declared, "{\"quality\": \"high\", \"runMs\": 5}").get());
  }

  @Test
  void reportsEveryErrorAtOnce() {
    assertEquals(
        List.of(
            "parameters:1:2: runms: found an unknown key, expected \"runMs\"",
            "parameters:1:25: quality: found \"medium\", expected one of low, high"),
        ParameterChecker.check(declared, "{\"runms\": 5, \"quality\": \"medium\"}")
            .getLeft()
            .stream()
            .filter(line -> !line.contains("found nothing"))
            .toList());
    assertTrue(
        ParameterChecker.check(declared, "{\"runMs\": 1.5}")
            .getLeft()
            .get(0)
            .endsWith("runMs: found 1.5, expected a whole number from 1 to 60000"));
  }

  @Test
  void refusesMoreThanTheLongestText() {
    String text = "{\"runMs\": 5, \"quality\": \"" + "x".repeat(70_000) + "\"}";
    assertTrue(
        ParameterChecker.check(declared, text).getLeft().get(0).contains("at most 65536 bytes"));
  }
}
