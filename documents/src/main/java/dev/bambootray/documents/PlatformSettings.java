package dev.bambootray.documents;

/**
 * Where the parts of the platform listen.
 *
 * @param tableHost host of the table service
 * @param tablePort TCP port of the table service
 * @param objectHost host of the object store
 * @param objectPort TCP port of the object store
 * @param vmListHost host of the VM list
 * @param vmListPort TCP port of the VM list
 * @param timeoutMs time after which a call to the platform counts as failed, in milliseconds
 */
public record PlatformSettings(
    String tableHost,
    int tablePort,
    String objectHost,
    int objectPort,
    String vmListHost,
    int vmListPort,
    long timeoutMs) {

  /** Returns the platform on loopback, as a stand-in offers it. */
  public static PlatformSettings defaults() {
    return new PlatformSettings("127.0.0.1", 9001, "127.0.0.1", 9002, "127.0.0.1", 9003, 2_000);
  }
}
