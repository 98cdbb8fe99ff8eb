package dev.bambootray.documents;

import io.vavr.control.Either;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/** Reads settings from a file and resolves the files named in them. */
final class SettingsFiles {
  private SettingsFiles() {}

  static Either<List<String>, Settings> load(Path file) {
    return TextFiles.read(file, SettingsReader.MAX_BYTES)
        .mapLeft(List::of)
        .flatMap(text -> Settings.parse(file.toString(), text))
        .map(settings -> resolve(settings, file.toAbsolutePath().getParent()))
        .flatMap(settings -> checkFiles(file, settings));
  }

  private static Settings resolve(Settings settings, @Nullable Path directory) {
    Function<String, String> resolver =
        name -> directory == null ? name : directory.resolve(name).normalize().toString();
    HttpSettings http = settings.http();
    PeerSettings peer = settings.peer();
    return settings.toBuilder()
        .http(new HttpSettings(http.host(), http.port(), resolve(http.tls(), resolver)))
        .peer(new PeerSettings(peer.host(), peer.port(), resolve(peer.tls(), resolver)))
        .operatorTokenFile(resolver.apply(settings.operatorTokenFile()))
        .build();
  }

  private static @Nullable TlsSettings resolve(
      @Nullable TlsSettings tls, Function<String, String> resolver) {
    if (tls == null) {
      return null;
    }
    String trustFile = tls.trustFile();
    return new TlsSettings(
        resolver.apply(tls.certificateFile()),
        resolver.apply(tls.keyFile()),
        trustFile == null ? null : resolver.apply(trustFile));
  }

  private static Either<List<String>, Settings> checkFiles(Path file, Settings settings) {
    List<String> errors = new ArrayList<>();
    check(file, "operatorTokenFile", settings.operatorTokenFile(), errors);
    check(file, "http.tls", settings.http().tls(), errors);
    check(file, "peer.tls", settings.peer().tls(), errors);
    return errors.isEmpty() ? Either.right(settings) : Either.left(errors);
  }

  private static void check(
      Path file, String path, @Nullable TlsSettings tls, List<String> errors) {
    if (tls == null) {
      return;
    }
    check(file, path + ".certificateFile", tls.certificateFile(), errors);
    check(file, path + ".keyFile", tls.keyFile(), errors);
    if (tls.trustFile() != null) {
      check(file, path + ".trustFile", tls.trustFile(), errors);
    }
  }

  private static void check(Path file, String path, String name, List<String> errors) {
    if (!Files.isReadable(Path.of(name)) || Files.isDirectory(Path.of(name))) {
      errors.add(file + ": " + path + ": found \"" + name + "\", expected a readable file");
    }
  }
}
