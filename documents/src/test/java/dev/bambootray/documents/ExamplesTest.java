package dev.bambootray.documents;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.TemplateDeclaration;
import dev.bambootray.core.declaration.WorkerDeclaration;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against examples that no longer parse, or that the demonstration can't run. */
final class ExamplesTest {
  private static String text(String deployment, String file) throws IOException {
    return Files.readString(Path.of("..", "examples", deployment, file));
  }

  private static Declaration declaration(String deployment) throws IOException {
    return DeclarationParser.create().read(text(deployment, "declaration.json"), 1).get();
  }

  @ParameterizedTest
  @ValueSource(strings = {"brodwaith", "tsagaan-tulga"})
  void declareTheDeploymentsOfTheDesignPage(String deployment) throws IOException {
    Declaration declaration = declaration(deployment);
    assertEquals(3, declaration.regions().size());
    assertEquals(4, declaration.workspaces().size());
    assertEquals(30, declaration.workers().size());
    assertTrue(
        declaration.workers().values().stream().allMatch(w -> w.capacity().accelerators() == 8));
    List<Long> rackSizes =
        declaration.workers().values().stream()
            .collect(Collectors.groupingBy(WorkerDeclaration::rack, Collectors.counting()))
            .values()
            .stream()
            .sorted()
            .toList();
    assertEquals(List.of(2L, 2L, 2L, 8L, 8L, 8L), rackSizes);
    Set<Integer> sizes =
        declaration.templates().values().stream()
            .map(template -> template.shape().totalAccelerators())
            .collect(Collectors.toSet());
    assertTrue(sizes.containsAll(Set.of(0, 4, 16, 32, 64)), sizes.toString());
    assertTrue(
        declaration.templates().values().stream()
            .anyMatch(t -> !t.repeatable() && t.isServiceRequest()));
    Settings settings = Settings.parse("s", text(deployment, "settings.json")).get();
    assertTrue(declaration.regions().containsKey(settings.region()));
  }

  @ParameterizedTest
  @ValueSource(strings = {"brodwaith", "tsagaan-tulga"})
  void drawRequestsThatFitTheirTemplates(String deployment) throws IOException {
    Declaration declaration = declaration(deployment);
    RequestMix mix =
        RequestMix.read("requests.json", text(deployment, "requests.json"), declaration).get();
    var random = RandomSource.XO_SHI_RO_256_PP.create(21);
    Set<RequestKind> drawn = new HashSet<>();
    for (int i = 0; i < 5_000; i++) {
      RequestKind kind = mix.pick(random);
      drawn.add(kind);
      TemplateDeclaration template = declaration.templates().get(kind.template());
      assertTrue(
          ParameterChecker.check(template.parameters(), kind.parametersJson(random)).isRight());
      assertTrue(kind.repeatable() || !template.repeatable(), kind.toString());
    }
    assertEquals(mix.kinds().size(), drawn.size());
  }

  @Test
  void mixesThatDoNotFitTheDeclarationAreRefused() throws IOException {
    String text =
        """
        {"kinds": [
          {"workspace": "none", "template": "proof", "deadlineMs": 1,
           "parameters": {"runMs": {"from": 5, "to": 90000}}},
          {"workspace": "ysbytai", "template": "proofs", "deadlineMs": 1},
          {"workspace": "ysbytai", "template": "proof", "deadline": 1,
           "parameters": {"runMs": {"from": 5, "to": 4}}}
        ]}
        """;
    assertEquals(
        List.of(
            "m.json:2:17: kinds[0].workspace: found \"none\", expected a workspace of the"
                + " declaration",
            "m.json:3:18: kinds[0].parameters: found {\"runMs\":90000}, expected parameters of the"
                + " template: parameters:1:10: runMs: found 90000, expected a whole number from 1"
                + " to 60000",
            "m.json:4:40: kinds[1].template: found \"proofs\", expected a template of the"
                + " declaration",
            "m.json:5:3: kinds[2].deadlineMs: found nothing, expected a whole number of"
                + " milliseconds from 1 to 2592000000",
            "m.json:5:49: kinds[2].deadline: found an unknown key, expected \"deadlineMs\" (a"
                + " number of milliseconds)",
            "m.json:6:46: kinds[2].parameters.runMs.to: found 4, expected at least from, 5"),
        RequestMix.read("m.json", text, declaration("brodwaith")).getLeft());
  }
}
