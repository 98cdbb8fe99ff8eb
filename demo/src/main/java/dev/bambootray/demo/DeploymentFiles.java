package dev.bambootray.demo;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.documents.DeclarationParser;
import dev.bambootray.documents.RequestMix;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The files of a deployment.
 *
 * @param name its name
 * @param declaration its declaration
 * @param mix what its callers send
 */
record DeploymentFiles(String name, Declaration declaration, RequestMix mix) {

  /** Reads {@code declaration.json} and {@code requests.json} of a directory. */
  static Either<List<String>, DeploymentFiles> read(Path directory) {
    return text(directory.resolve("declaration.json"))
        .flatMap(
            declarationText ->
                DeclarationParser.create()
                    .read(directory.resolve("declaration.json").toString(), declarationText, 0))
        .flatMap(
            declaration ->
                text(directory.resolve("requests.json"))
                    .flatMap(
                        mixText ->
                            RequestMix.read(
                                directory.resolve("requests.json").toString(),
                                mixText,
                                declaration))
                    .map(
                        mix ->
                            new DeploymentFiles(
                                String.valueOf(directory.getFileName()), declaration, mix)));
  }

  private static Either<List<String>, String> text(Path file) {
    try {
      return Either.right(Files.readString(file));
    } catch (IOException e) {
      return Either.left(List.of("cannot read " + file + ": " + e.getMessage()));
    }
  }
}
