package dev.bambootray.adapters.tls;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a reload that takes a node off the network or reveals a key. */
final class ReloadableTlsTest {
  private static final Path KEYS = Path.of("src/test/resources");

  @TempDir Path directory;
  private TlsFiles files;

  @BeforeEach
  void install() throws IOException {
    files =
        new TlsFiles(
            directory.resolve("node.pem"), directory.resolve("node.key"), directory.resolve("ca"));
    copy("ca-one.pem", "ca");
    copy("node-one.pem", "node.pem");
    copy("node-one.key", "node.key");
  }

  @Test
  void unchangedFilesKeepTheContexts() {
    ReloadableTls tls = ReloadableTls.load(files).get();
    var before = tls.server();
    assertEquals(Either.right(false), tls.reload());
    assertSame(before, tls.server());
  }

  @Test
  void changedFilesAreUsedAfterAReload() throws IOException {
    ReloadableTls tls = ReloadableTls.load(files).get();
    var before = tls.server();
    copy("node-two.pem", "node.pem");
    copy("node-two.key", "node.key");
    assertEquals(Either.right(true), tls.reload());
    assertNotSame(before, tls.server());
  }

  @Test
  void wrongFilesLeaveTheFormerKeysInUse() throws IOException {
    ReloadableTls tls = ReloadableTls.load(files).get();
    var before = tls.server();
    String secret = "not a key but a secret";
    Files.writeString(files.privateKey(), secret);
    TlsError error = tls.reload().getLeft();
    assertSame(before, tls.server());
    assertEquals("check", error.step());
    assertFalse(error.message().contains(secret));
  }

  @Test
  void aKeyOfAnotherCertificateIsRefused() throws IOException {
    copy("node-two.key", "node.key");
    assertTrue(ReloadableTls.load(files).isLeft());
  }

  @Test
  void aMissingFileIsNamed() throws IOException {
    Files.delete(files.privateKey());
    TlsError error = ReloadableTls.load(files).getLeft();
    assertEquals("read", error.step());
    assertTrue(error.message().contains("node.key"));
  }

  private void copy(String from, String to) throws IOException {
    Files.copy(KEYS.resolve(from), directory.resolve(to), StandardCopyOption.REPLACE_EXISTING);
  }
}
