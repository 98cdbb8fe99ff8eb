package dev.bambootray.documents;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.ParameterDeclaration;
import dev.bambootray.core.declaration.PolicyDeclaration;
import dev.bambootray.core.declaration.RegionDeclaration;
import dev.bambootray.core.declaration.ServiceDeclaration;
import dev.bambootray.core.declaration.TemplateDeclaration;
import dev.bambootray.core.declaration.WorkerDeclaration;
import dev.bambootray.core.declaration.WorkspaceDeclaration;
import dev.bambootray.core.model.Adjacency;
import dev.bambootray.core.model.FailureDomainId;
import dev.bambootray.core.model.RackId;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.Resources;
import dev.bambootray.core.model.ServiceId;
import dev.bambootray.core.model.Shape;
import dev.bambootray.core.model.TemplateId;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.model.WorkspaceId;
import dev.bambootray.documents.json.JsonText;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Guards against texts that throw, and against a writer and a parser that disagree. */
final class DeclarationProperties {
  private static final DeclarationParser PARSER = DeclarationParser.create();
  private static final JsonMapper MAPPER =
      JsonMapper.builder().enable(JsonReadFeature.ALLOW_JAVA_COMMENTS).build();

  private static final String SETTINGS = Settings.defaultText();
  private static final String MIX = example("requests.json");
  private static final Declaration EXAMPLE = PARSER.read(example("declaration.json"), 1).get();

  @Property(tries = 300, seed = "11")
  void aWrittenDeclarationParsesToTheSameValue(@ForAll("declarations") Declaration declaration) {
    String text = DeclarationWriter.write(declaration);
    assertEquals(declaration, PARSER.read(text, declaration.version()).get());
  }

  @Property(tries = 300, seed = "12")
  void aDiffIsEmptyExactlyForEqualContent(
      @ForAll("declarations") Declaration a, @ForAll("declarations") Declaration b) {
    assertEquals(List.of(), DeclarationDiff.between(a, a.withVersion(99)));
    assertEquals(
        a.withVersion(0).equals(b.withVersion(0)), DeclarationDiff.between(a, b).isEmpty());
  }

  @Property(tries = 1_000, seed = "13")
  void damagedTextsGiveErrorsAndNeverThrow(@ForAll long seed) {
    Random random = new Random(seed);
    StringBuilder text = new StringBuilder(DeclarationTexts.SMALL);
    int edits = 1 + random.nextInt(4);
    for (int i = 0; i < edits; i++) {
      int at = random.nextInt(text.length());
      switch (random.nextInt(4)) {
        case 0 -> text.setCharAt(at, (char) random.nextInt(0x10000));
        case 1 -> text.delete(at, Math.min(text.length() - 1, at + random.nextInt(60)));
        case 2 -> text.insert(at, text.substring(at, Math.min(text.length(), at + 40)));
        default -> text.insert(at, "{}[],:\"-9e1/*".charAt(random.nextInt(13)));
      }
    }
    check(text.toString());
  }

  @Property(tries = 2_000, seed = "16")
  void valuesOfTheWrongKindGiveErrorsAndNeverThrow(@ForAll long seed) throws IOException {
    Random random = new Random(seed);
    check(replaceOne(DeclarationTexts.SMALL, random));
    Settings.parse("s", replaceOne(SETTINGS, random));
    RequestMix.read("m", replaceOne(MIX, random), EXAMPLE);
  }

  private static String example(String file) {
    try {
      return Files.readString(ExamplesTest.deployments().get(0).resolve(file));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Replaces one value of the text, at any depth, with a value of another kind or range. */
  private static String replaceOne(String text, Random random) throws IOException {
    JsonNode root = MAPPER.readTree(text);
    List<String> others =
        List.of(
            "0", "-1", "1e999", "\"\"", "\"x\"", "null", "true", "[]", "{}", "[0]", "[[]]", "1.5");
    JsonNode other = MAPPER.readTree(others.get(random.nextInt(others.size())));
    JsonNode at = root;
    while (true) {
      List<JsonNode> inner = new ArrayList<>();
      at.forEach(inner::add);
      int index = random.nextInt(inner.size());
      boolean descend = inner.get(index).size() > 0 && random.nextInt(4) > 0;
      if (descend) {
        at = inner.get(index);
      } else {
        if (at instanceof ArrayNode array) {
          array.set(index, other);
        } else {
          List<String> names = new ArrayList<>();
          at.fieldNames().forEachRemaining(names::add);
          ((ObjectNode) at).set(names.get(index), other);
        }
        return root.toString();
      }
    }
  }

  @Property(tries = 1_000, seed = "14")
  void arbitraryTextsGiveErrorsAndNeverThrow(@ForAll String text) {
    check(text);
    check("{\"regions\":" + text + "}");
  }

  @Property(tries = 500, seed = "15")
  void arbitraryParametersGiveErrorsAndNeverThrow(@ForAll String text, @ForAll long number) {
    List<ParameterDeclaration> declared =
        PARSER
            .read(DeclarationTexts.SMALL, 1)
            .get()
            .templates()
            .values()
            .iterator()
            .next()
            .parameters();
    ParameterChecker.check(declared, text);
    var checked = ParameterChecker.check(declared, "{\"runMs\":" + number + "}");
    assertEquals(number >= 1 && number <= 60_000, checked.isRight());
  }

  private static void check(String text) {
    var read = PARSER.read("d.json", text, 1);
    if (read.isLeft()) {
      assertFalse(read.getLeft().isEmpty());
      read.getLeft().forEach(line -> assertTrue(line.startsWith("d.json:"), line));
      read.getLeft().forEach(line -> assertFalse(line.contains("\n"), line));
    }
  }

  @Provide
  Arbitrary<Declaration> declarations() {
    Arbitrary<Integer> workers = Arbitraries.integers().between(0, 3);
    Arbitrary<Double> shares = Arbitraries.doubles().between(0, 1);
    Arbitrary<String> texts = Arbitraries.strings().ofMinLength(0).ofMaxLength(8);
    Arbitrary<Long> times = Arbitraries.longs().between(1, 1_000_000);
    Arbitrary<Adjacency> adjacencies = Arbitraries.of(Adjacency.class);
    Arbitrary<Boolean> flags = Arbitraries.of(true, false);
    return Combinators.combine(workers, shares, texts, times, adjacencies, flags)
        .as(DeclarationProperties::declaration);
  }

  private static Declaration declaration(
      int count, double share, String text, long timeMs, Adjacency adjacency, boolean flag) {
    RegionId region = RegionId.of("north");
    FailureDomainId domain = FailureDomainId.of("north-a");
    ServiceId service = ServiceId.of("web");
    TemplateId template = TemplateId.of("render");
    WorkspaceId workspace = WorkspaceId.of("team");
    Shape shape = new Shape(1, 0, count, count * 10, adjacency);
    Map<WorkerId, WorkerDeclaration> workers = new java.util.HashMap<>();
    for (int i = 0; i < count; i++) {
      WorkerId id = WorkerId.of("w" + i);
      workers.put(
          id,
          new WorkerDeclaration(
              id,
              region,
              domain,
              RackId.of("r"),
              i,
              "::1",
              7000 + i,
              new Resources(i, 1 + i, 1 + i),
              flag ? List.of(service) : List.of()));
    }
    return new Declaration(
        timeMs,
        Map.of(
            region,
            new RegionDeclaration(
                region, List.of(domain), flag ? Map.of() : Map.of(RegionId.of("south"), share)),
            RegionId.of("south"),
            new RegionDeclaration(
                RegionId.of("south"), List.of(FailureDomainId.of("south-a")), Map.of())),
        Map.of(service, new ServiceDeclaration(service, 1 + count, 64)),
        workers,
        Map.of(
            workspace,
            new WorkspaceDeclaration(
                workspace, 0.001 + share, List.of(), count, count, List.of("0a".repeat(32)))),
        Map.of(
            template,
            new TemplateDeclaration(
                template,
                service,
                shape,
                List.of(
                    new ParameterDeclaration(
                        "p",
                        ParameterDeclaration.Type.STRING,
                        flag,
                        null,
                        null,
                        List.of(text),
                        null),
                    new ParameterDeclaration(
                        "q",
                        ParameterDeclaration.Type.NUMBER,
                        false,
                        -share,
                        share,
                        List.of(),
                        flag ? null : "0.0"),
                    new ParameterDeclaration(
                        "s",
                        ParameterDeclaration.Type.STRING,
                        false,
                        null,
                        null,
                        List.of(),
                        JsonText.quote(text))),
                flag,
                timeMs,
                timeMs * 2,
                1 + count,
                !flag)),
        new PolicyDeclaration(share, 1 - share, timeMs, timeMs, share, share, share, timeMs));
  }
}
