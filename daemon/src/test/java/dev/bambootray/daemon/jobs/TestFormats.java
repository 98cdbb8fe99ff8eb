package dev.bambootray.daemon.jobs;

/** Formats as a node of this build has them among nodes of this build. */
final class TestFormats {
  private TestFormats() {}

  static StoreFormats spread() {
    StoreFormats formats = new StoreFormats();
    boolean unused = formats.update(false, true, false);
    return formats;
  }
}
