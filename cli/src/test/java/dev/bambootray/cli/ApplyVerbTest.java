package dev.bambootray.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import dev.bambootray.documents.ExitCode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a change that overwrites another operator's and against a lost change. */
final class ApplyVerbTest {
  private static final String BASE = service(8);
  private static final String MINE = service(16);

  @TempDir Path directory;
  private FakeDeployment nodes;
  private Path file;

  private static String service(int slots) {
    return "{\"services\": [{\"id\": \"web\", \"slotsPerTarget\": " + slots + "}]}";
  }

  private static String version(long version, String text, String author) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("version", version)
        .put("text", text)
        .put("author", author)
        .toString();
  }

  @BeforeEach
  void writeFile() throws IOException {
    nodes = new FakeDeployment(directory);
    file = Files.writeString(directory.resolve("mine.json"), MINE);
  }

  @Test
  void publishesOnConditionOfTheVersionThatWasRead() {
    nodes.reply(200, version(4, BASE, "ann")).reply(200, "{\"version\":5,\"accepted\":true}");
    assertEquals(ExitCode.OK.code(), nodes.run("apply", file.toString(), "--author", "bob"));
    assertEquals("version 5 is accepted\n", nodes.out);
    assertEquals("4", nodes.received.get(1).call().headers().get("If-Match"));
    assertEquals("bob", nodes.received.get(1).call().headers().get("X-Author"));
    assertEquals(MINE, nodes.received.get(1).call().body());
  }

  @Test
  void aLostRaceShowsBothVersionsAndWritesNothingMore() throws IOException {
    nodes
        .reply(200, version(4, BASE, "ann"))
        .reply(412, "{\"current\":" + version(5, service(4), "cem") + "}");
    assertEquals(ExitCode.LOST_RACE.code(), nodes.run("apply", file.toString()));
    assertEquals(2, nodes.received.size());
    assertEquals(MINE, Files.readString(file));
    Approvals.verify(nodes.err.replace(directory.toString(), "DIR"));
  }

  @Test
  void theExpectedVersionIsTheConditionEvenIfAnotherRuns() {
    nodes
        .reply(200, version(3, BASE, "ann"))
        .reply(412, "{\"current\":" + version(5, service(4), "cem") + "}");
    assertEquals(
        ExitCode.LOST_RACE.code(), nodes.run("apply", file.toString(), "--expect-version", "3"));
    assertEquals("http://127.0.0.1:8080 GET /v1/declaration/history/3", nodes.calls().get(0));
    assertEquals("3", nodes.received.get(1).call().headers().get("If-Match"));
  }

  @Test
  void aReplyLostAfterTheWriteIsNotTakenForALostRace() {
    nodes
        .reply(200, version(4, BASE, "ann"))
        .lost()
        .reply(412, "{\"current\":" + version(5, MINE, "bob") + "}");
    int code = nodes.run("apply", file.toString(), "--node", "a:1,b:1");
    assertEquals(ExitCode.NOT_ACCEPTED_YET.code(), code);
    assertEquals("version 5 has this content; its confirmation was not seen\n", nodes.out);
  }

  @Test
  void aCommittedVersionThatIsNotConfirmedNamesTheMissingNodes() {
    nodes
        .reply(200, version(4, BASE, "ann"))
        .reply(202, "{\"version\":5,\"accepted\":false,\"missing\":[\"n2\",\"n3\"]}");
    assertEquals(ExitCode.NOT_ACCEPTED_YET.code(), nodes.run("apply", file.toString()));
    assertEquals(
        "version 5 is committed and will not be undone; not confirmed yet by n2, n3\n", nodes.out);
  }

  @Test
  void aWrongFileIsNotSent() throws IOException {
    Files.writeString(file, "{\"service\": []}");
    assertEquals(ExitCode.INVALID_DECLARATION.code(), nodes.run("apply", file.toString()));
    assertEquals(List.of(), nodes.calls());
    assertTrue(nodes.err.contains("mine.json:1:2: service: found an unknown key"), nodes.err);
  }

  @Test
  void problemsThatOnlyTheNodeFindsAreShown() {
    nodes
        .reply(200, version(0, "", ""))
        .reply(422, "{\"status\":422,\"problems\":[\"guarantees cannot all be placed\"]}");
    assertEquals(ExitCode.INVALID_DECLARATION.code(), nodes.run("apply", file.toString()));
    assertEquals("error: guarantees cannot all be placed\n", nodes.err);
  }

  @Test
  void diffComparesAFileWithTheRunningVersion() {
    nodes.reply(200, version(4, BASE, "ann"));
    assertEquals(ExitCode.OK.code(), nodes.run("diff", file.toString(), "--json"));
    assertEquals("{\"changes\":[\"~ service web: slotsPerTarget 8 -> 16\"]}\n", nodes.out);
  }
}
