package dev.bambootray.documents;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.WorkerDeclaration;
import dev.bambootray.core.model.WorkerId;
import java.util.List;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against declarations that are misread and errors that hide or mislead. */
final class DeclarationParserTest {
  private final DeclarationParser parser = DeclarationParser.create();

  private List<String> errors(String text) {
    return parser.read("d.json", text, 1).getLeft();
  }

  @Nested
  class Racks {
    @Test
    void countPortsUp() {
      Declaration declaration = parser.read(DeclarationTexts.SMALL, 7).get();
      WorkerDeclaration last = declaration.workers().get(WorkerId.of("r1-w3"));
      assertEquals(7, declaration.version());
      assertEquals(3, declaration.workers().size());
      assertEquals(2, last.positionInRack());
      assertEquals(7003, last.port());
      assertEquals("north", last.region().value());
    }

    @Test
    void countHostsUpAcrossOctets() {
      String text =
          DeclarationTexts.SMALL.replace(
              "\"host\": \"127.0.0.1\", \"firstPort\": 7001",
              "\"firstHost\": \"10.0.0.254\", \"port\": 7000");
      Declaration declaration = parser.read(text, 1).get();
      assertEquals("10.0.1.0", declaration.workers().get(WorkerId.of("r1-w3")).host());
      assertEquals(7000, declaration.workers().get(WorkerId.of("r1-w3")).port());
    }

    @Test
    void stayWithinTheMostWorkersEvenIfTheTextAsksForMillions() {
      StringBuilder racks = new StringBuilder();
      for (int i = 0; i < 2_000; i++) {
        racks.append(
            ("{\"id\":\"x%d\",\"failureDomain\":\"north-a\",\"workers\":128,\"port\":1,"
                    + "\"firstHost\":\"10.%d.%d.0\",\"capacity\":{\"accelerators\":1,"
                    + "\"millicores\":1,\"memoryMib\":1}},")
                .formatted(i, i / 256, i % 256));
      }
      String text = DeclarationTexts.SMALL.replace("\"racks\": [", "\"racks\": [" + racks);
      List<String> errors = errors(text);
      assertTrue(errors.get(0).contains("at most 20000 workers"), errors.toString());
      assertTrue(errors.size() < 5, errors.toString());
    }
  }

  @Test
  void reportsEveryErrorAtOnceWithItsPlace() {
    Approvals.verify(
        String.join(
            "\n",
            errors(
                """
                {
                  "regions": [
                    {"id": "north", "failureDomains": ["a"], "linkLatencyMs": {"soth": 20}},
                    {"id": "south", "failureDomains": ["b", "a"], "linkLatencyMs": {"north": -1}}
                  ],
                  "services": [{"id": "web", "slots": 8}, {"id": "web"}],
                  "workers": [
                    {"id": "w 1", "failureDomain": "c", "rack": "r", "positionInRack": 1.5,
                     "host": "example", "port": 70000,
                     "capacity": {"accelerators": "8", "millicores": 32000, "memoryBytes": 65536}}
                  ],
                  "workspaces": [
                    {"id": "team", "weight": 0, "tokenSha256": ["plain-token"],
                     "guarantees": [{"region": "north", "count": 2,
                       "shape": {"members": 65, "acceleratorsPerMember": 8}}]},
                    {"id": "more",
                     "guarantees": [{"region": "north", "shape": {"acceleratorsPerMember": 8}}]}
                  ],
                  "templates": [
                    {"id": "t", "service": "wb", "shape": {"acceleratorsPerMember": 1, "adjacency": "near"},
                     "expectedRunSeconds": 5, "expectedRunMs": "5s", "repeatable": 1, "repeatable": true,
                     "parameters": [{"name": "n", "type": "integer", "maximum": 3, "default": 4}]}
                  ],
                  "polcy": {}
                }
                """)));
  }

  @Test
  void refusesGuaranteesLargerThanTheirRegionOrItsRacks() {
    String tooMany = DeclarationTexts.SMALL.replace("\"members\": 2,", "\"members\": 4,");
    assertEquals(
        List.of(
            "d.json:20:9: workspaces[0].guarantees[0]: found 32 accelerators in a region of 24"
                + " accelerators, expected a guarantee that fits region \"north\""),
        errors(tooMany));
    String split =
        DeclarationTexts.SMALL
            .replace("\"workers\": 3", "\"workers\": 1")
            .replace(
                "\"racks\": [",
                "\"racks\": [{\"id\": \"r2\", \"failureDomain\": \"north-a\", \"workers\": 1,"
                    + "\"host\": \"127.0.0.1\", \"firstPort\": 8001, \"capacity\":"
                    + " {\"accelerators\": 8, \"millicores\": 1, \"memoryMib\": 1}},");
    assertTrue(errors(split).get(0).contains("2 members together where 1 fit"), split);
  }

  @Test
  void refusesTwoWorkersAtOneAddress() {
    String text =
        DeclarationTexts.SMALL.replace(
            "\"racks\": [",
            "\"workers\": [{\"id\": \"w\", \"failureDomain\": \"south-a\", \"rack\": \"r9\","
                + "\"positionInRack\": 0, \"host\": \"127.0.0.1\", \"port\": 7002, \"capacity\":"
                + " {\"accelerators\": 8, \"millicores\": 1, \"memoryMib\": 1}}], \"racks\": [");
    assertTrue(errors(text).get(0).contains("\"r1-w2\" at address 127.0.0.1 port 7002"));
  }

  @Test
  void refusesWhatAnAddedCheckObjectsTo() {
    DeclarationParser strict =
        parser.withCheck(d -> d.workers().size() > 2 ? List.of("too many workers") : List.of());
    assertEquals(
        List.of("d.json:2:1: too many workers"),
        strict.read("d.json", DeclarationTexts.SMALL, 1).getLeft());
    assertTrue(strict.read("d.json", "{}", 1).isRight());
  }

  @Test
  void namesThePlaceOfBrokenJson() {
    assertTrue(errors("{\n  \"regions\": [}").get(0).startsWith("d.json:2:15: found text that is"));
    assertTrue(errors("").get(0).startsWith("d.json:1:1: found an empty text"));
    assertTrue(errors("[]").get(0).startsWith("d.json:1:1: found an array, expected an object"));
    assertTrue(errors("{} {}").get(0).startsWith("d.json:1:4: found more text after the value"));
  }

  @Test
  void boundsTextNestingAndErrors() {
    assertTrue(errors(" ".repeat(8 * 1024 * 1024 + 1)).get(0).contains("at most 8388608 bytes"));
    assertTrue(errors("[".repeat(1_000_000)).get(0).contains("nesting depth"));
    assertTrue(errors("[" + "0,".repeat(600_000) + "0]").get(0).contains("500000 values"));
    List<String> many = errors("{\"regions\": [" + "0,".repeat(1_000) + "0]}");
    assertEquals(201, many.size());
    assertEquals("d.json: 801 more errors are not shown", many.get(200));
  }

  /** Texts within the bounds that made earlier versions of the parser allocate gigabytes. */
  @Nested
  class HostileTexts {
    private static final long MAX_ALLOCATED_BYTES = 1L << 30;

    private long allocatedBytes(String text) {
      var threads =
          (com.sun.management.ThreadMXBean)
              java.lang.management.ManagementFactory.getThreadMXBean();
      long before = threads.getCurrentThreadAllocatedBytes();
      assertTrue(parser.read("d.json", text, 1).isLeft());
      return threads.getCurrentThreadAllocatedBytes() - before;
    }

    @Test
    void withDeepLongNamesAllocateWithinTheBound() {
      String name = "{\"" + "n".repeat(900) + "\":";
      String text = name.repeat(30) + "[" + "0,".repeat(490_000) + "0]" + "}".repeat(30);
      assertTrue(allocatedBytes(text) < MAX_ALLOCATED_BYTES);
    }

    @Test
    void withUnknownKeysAllocateWithinTheBound() {
      StringBuilder text = new StringBuilder("{\"regions\": [{");
      for (int i = 0; i < 400_000; i++) {
        text.append("\"failureD").append(i).append("\":0,");
      }
      assertTrue(allocatedBytes(text.append("\"id\":\"x\"}]}").toString()) < MAX_ALLOCATED_BYTES);
    }

    @Test
    void withDanglingReferencesAllocateWithinTheBound() {
      StringBuilder text = new StringBuilder("{\"templates\": [");
      for (int i = 0; i < 100_000; i++) {
        text.append("{\"id\":\"t").append(i).append("\",\"service\":\"t\",\"shape\":0},");
      }
      assertTrue(allocatedBytes(text.append("0]}").toString()) < MAX_ALLOCATED_BYTES);
    }
  }

  @Test
  void namesTheFullPathOfADuplicateKey() {
    assertEquals(
        List.of(
            "d.json:1:48: regions[0].linkLatencyMs.b: found a duplicate key, expected one value"
                + " for the key, first given on line 1"),
        errors("{\"regions\":[{\"id\":\"a\",\"linkLatencyMs\":{\"b\":1,  \"b\":2}}]}").stream()
            .filter(line -> line.contains("duplicate"))
            .toList());
  }
}
