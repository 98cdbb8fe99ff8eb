package dev.bambootray.daemon.jobs;

/** Formats as a node of this build has them among nodes of this build. */
final class TestFormats {
  private TestFormats() {}

  static StoreFormats spread() {
    StoreFormats formats = new StoreFormats();
    boolean unused = formats.update(false, true, false);
    return formats;
  }

  /** Returns the formats of a node that knows of a node which reads only format 1. */
  static StoreFormats formatOne() {
    StoreFormats formats = new StoreFormats();
    boolean unused = formats.update(true, true, false);
    return formats;
  }
}
