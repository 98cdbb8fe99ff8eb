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
import java.util.stream.Stream;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against examples that no longer parse, or that the demonstration can't run. */
final class ExamplesTest {
  /** Returns the directories of the deployments. */
  static List<Path> deployments() throws IOException {
    try (Stream<Path> directories = Files.list(Path.of("..", "examples"))) {
      return directories.filter(Files::isDirectory).sorted().toList();
    }
  }

  private static Declaration declaration(Path deployment) throws IOException {
    String text = Files.readString(deployment.resolve("declaration.json"));
    return DeclarationParser.create().read(text, 1).get();
  }

  @ParameterizedTest
  @MethodSource("deployments")
  void declareTheDeploymentsOfTheDesignPage(Path deployment) throws IOException {
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
    Settings settings =
        Settings.parse("s", Files.readString(deployment.resolve("settings.json"))).get();
    assertTrue(declaration.regions().containsKey(settings.region()));
  }

  @ParameterizedTest
  @MethodSource("deployments")
  void drawRequestsThatFitTheirTemplates(Path deployment) throws IOException {
    Declaration declaration = declaration(deployment);
    RequestMix mix =
        RequestMix.read(
                "requests.json", Files.readString(deployment.resolve("requests.json")), declaration)
            .get();
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
  void mixesThatDoNotFitTheDeclarationAreRefused() {
    Declaration small = DeclarationParser.create().read(DeclarationTexts.SMALL, 1).get();
    String text =
        """
        {"kinds": [
          {"workspace": "none", "template": "render", "deadlineMs": 1,
           "parameters": {"runMs": {"from": 5, "to": 90000}}},
          {"workspace": "team", "template": "draw", "deadlineMs": 1},
          {"workspace": "team", "template": "render", "deadline": 1,
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
            "m.json:4:37: kinds[1].template: found \"draw\", expected a template of the"
                + " declaration",
            "m.json:5:3: kinds[2].deadlineMs: found nothing, expected a whole number of"
                + " milliseconds from 1 to 2592000000",
            "m.json:5:47: kinds[2].deadline: found an unknown key, expected \"deadlineMs\" (a"
                + " number of milliseconds)",
            "m.json:6:46: kinds[2].parameters.runMs.to: found 4, expected at least from, 5"),
        RequestMix.read("m.json", text, small).getLeft());
  }
}
