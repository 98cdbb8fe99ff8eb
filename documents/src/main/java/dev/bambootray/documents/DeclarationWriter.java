package dev.bambootray.documents;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectWriter;
import dev.bambootray.core.declaration.Declaration;

/** Prints declarations as text that parses to the same value. */
public final class DeclarationWriter {
  private static final ObjectWriter WRITER = new ObjectMapper().writerWithDefaultPrettyPrinter();

  private DeclarationWriter() {}

  /** Returns the declaration as JSON; workers are listed singly and the version is left out. */
  public static String write(Declaration declaration) {
    try {
      return WRITER.writeValueAsString(DeclarationJson.tree(declaration)) + "\n";
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a tree of plain values can always be written", e);
    }
  }
}
