package dev.bambootray.documents;

import dev.bambootray.core.model.Adjacency;
import dev.bambootray.core.model.Shape;
import dev.bambootray.documents.json.ObjectCursor;

/** Reads shapes. */
final class ShapeReader {
  private static final int MAX_ACCELERATORS = 64;
  private static final int MAX_MILLICORES = 10_000_000;
  private static final int MAX_MEMORY_MIB = 100_000_000;

  private ShapeReader() {}

  static Shape read(ObjectCursor shape, int minAccelerators) {
    Shape read =
        new Shape(
            (int) shape.whole("members", 1, Shape.MAX_MEMBERS, 1),
            (int) shape.whole("acceleratorsPerMember", minAccelerators, MAX_ACCELERATORS),
            (int) shape.whole("millicoresPerMember", 0, MAX_MILLICORES, 0),
            (int) shape.whole("memoryMibPerMember", 0, MAX_MEMORY_MIB, 0),
            shape.choice("adjacency", Adjacency.values(), Adjacency.RACK));
    shape.finish();
    return read;
  }
}
