package dev.bambootray.documents;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.FailureDomainId;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.RegionId;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a daemon that starts with settings other than those that were written. */
final class SettingsTest {
  private static final Settings DEFAULTS =
      Settings.builder(
              NodeId.of("node-1"), RegionId.of("region-1"), FailureDomainId.of("region-1-a"))
          .build();

  @Test
  void defaultTextParsesToTheDefaults() {
    assertEquals(DEFAULTS, Settings.parse("s.json", Settings.defaultText()).get());
  }

  @Test
  void optionalKeysOfTheDefaultTextParseWhenTheyAreTurnedOn() {
    String text = Settings.defaultText().replace("// , \"", ", \"");
    Settings settings = Settings.parse("s.json", text).get();
    assertEquals(LinkDelaySettings.defaults(), settings.linkDelay());
    assertEquals(new TlsSettings("http.crt", "http.key", null), settings.http().tls());
    assertEquals(new TlsSettings("node.crt", "node.key", "nodes-ca.crt"), settings.peer().tls());
  }

  @Test
  void minimalTextTakesTheDefaults() {
    String text =
        """
        {"node": "node-1", "region": "region-1", "failureDomain": "region-1-a",
         "operatorTokenFile": "operator.token",
         "platform": {"tableHost": "127.0.0.1", "tablePort": 9001, "objectHost": "127.0.0.1",
           "objectPort": 9002, "vmListHost": "127.0.0.1", "vmListPort": 9003}}
        """;
    assertEquals(DEFAULTS, Settings.parse("s.json", text).get());
  }

  @Test
  void eachErrorGivesOneLine() {
    Approvals.verify(
        String.join(
            "\n",
            Settings.parse(
                    "s.json",
                    """
                    {
                      "node": "node 1", "region": "region-1", "falureDomain": "a",
                      "http": {"host": "localhost", "port": 0},
                      "peer": {"host": "0.0.0.0", "port": 7070, "tls": {"certificateFile": "c"}},
                      "platform": {"tableHost": "table/1", "tablePort": 9001,
                        "objectHost": "o", "objectPort": 9002, "vmListHost": "v",
                        "vmListPort": 9003, "timeoutSeconds": 2},
                      "seeds": ["10.0.0.1", "10.0.0.1:99999", "::1:7070", "[::1]:7070"],
                      "operatorToken": "s3cret",
                      "limits": {"heldMib": 16, "heldRequests": 1001},
                      "telemetry": {"otlpEndpoint": "collector:4318", "samplingRatio": 2},
                      "log": {"level": "loud"}
                    }
                    """)
                .getLeft()));
  }

  @Test
  void exitCodesAreDistinct() {
    assertEquals(
        ExitCode.values().length,
        Arrays.stream(ExitCode.values()).map(ExitCode::code).distinct().count());
  }

  @Nested
  class NamedFiles {
    @TempDir Path directory;

    @Test
    void namedInSettingsAreTakenFromTheDirectoryOfTheSettings() throws IOException {
      Path file = Files.writeString(directory.resolve("node.json"), Settings.defaultText());
      List<String> errors = Settings.load(file).getLeft();
      assertEquals(1, errors.size());
      assertTrue(errors.get(0).contains("operatorTokenFile: found"), errors.get(0));
      Path token = Files.writeString(directory.resolve("operator.token"), "t");
      assertEquals(token.toString(), Settings.load(file).get().operatorTokenFile());
    }

    @Test
    void thatAreMissingGiveOneLine() {
      List<String> errors = Settings.load(directory.resolve("none.json")).getLeft();
      assertEquals(1, errors.size());
      assertTrue(errors.get(0).endsWith("none.json: there is no such file"));
    }
  }
}
