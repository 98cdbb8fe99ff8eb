package dev.bambootray.cli;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import dev.bambootray.documents.ExitCode;
import dev.bambootray.documents.Settings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** Guards against reference pages that fall behind the code. */
final class ReferencePagesTest {
  @TempDir Path directory;

  private static String page(String name) throws IOException {
    return Files.readString(Path.of("..", "docs", "reference", name));
  }

  @Test
  void cliPageHasEveryExitCode() throws IOException {
    String page = page("cli.md");
    for (ExitCode code : ExitCode.values()) {
      String name = code.name().toLowerCase(Locale.ROOT).replace('_', ' ');
      assertTrue(page.contains("| " + code.code() + " | " + name + " |"), name);
    }
  }

  @Test
  void cliPageHasEveryVerbAndOption() throws IOException {
    String page = page("cli.md");
    CommandLine root = new FakeDeployment(directory).commandLine();
    root.getSubcommands()
        .forEach(
            (verb, command) -> {
              assertTrue(page.contains("## `" + verb), verb);
              checkOptions(page, command);
              command.getSubcommands().values().forEach(noun -> checkOptions(page, noun));
            });
  }

  private static void checkOptions(String page, CommandLine command) {
    for (var option : command.getCommandSpec().options()) {
      String name = option.longestName().replace("--repeatable", "--[no-]repeatable");
      if (!option.usageHelp() && !option.versionHelp()) {
        assertTrue(page.contains(name), name);
      }
    }
  }

  @Test
  void cliPageShowsWhatWasRun() throws IOException {
    String page = page("cli.md");
    String transcript =
        Files.readString(
            Path.of(
                "src/test/java/dev/bambootray/cli",
                "TranscriptTest.everyVerbAgainstAStandIn.approved.txt"));
    int examples = 0;
    for (String block : page.split("```")) {
      for (String example : block.split("\n\n(?=\\$ bambootray )")) {
        if (example.stripLeading().startsWith("$ bambootray ")) {
          assertTrue(transcript.contains(example.strip()), example);
          examples++;
        }
      }
    }
    assertTrue(examples >= 20, "examples: " + examples);
  }

  @Test
  void settingsPageHasEveryKeyOfTheDefaults() throws IOException {
    String page = page("settings.md");
    JsonNode defaults =
        JsonMapper.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .build()
            .readTree(Settings.defaultText());
    defaults
        .fields()
        .forEachRemaining(
            member -> {
              if (!member.getValue().isObject()) {
                assertTrue(page.contains("`" + member.getKey() + "`"), member.getKey());
              }
              member
                  .getValue()
                  .fieldNames()
                  .forEachRemaining(
                      name -> {
                        String key = member.getKey() + "." + name;
                        assertTrue(page.contains("`" + key + "`"), key);
                      });
            });
  }
}
