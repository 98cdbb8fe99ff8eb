package dev.bambootray.adapters.platform;

import dev.bambootray.adapters.httpclient.ConnectionPool;
import dev.bambootray.adapters.httpclient.LinkDelay;
import dev.bambootray.ports.ObjectStore;
import dev.bambootray.ports.TableStore;
import dev.bambootray.ports.VmDirectory;
import io.netty.channel.EventLoopGroup;

/**
 * Client of the platform's table, object store and VM list, as {@code docs/platform-protocol.md}
 * states them. All calls end within the timeout; futures complete on an event loop.
 */
public final class PlatformClient implements AutoCloseable {
  private static final int TABLE_CONNECTIONS = 8;
  private static final int OBJECT_CONNECTIONS = 2;
  private static final int MAX_TABLE_BYTES = 4 * 1024 * 1024;
  private static final int MAX_OBJECT_BYTES = 16 * 1024 * 1024;

  private final ConnectionPool tablePool;
  private final ConnectionPool objectPool;
  private final TableStore table;
  private final ObjectStore objects;
  private final VmDirectory vms;

  private PlatformClient(
      EventLoopGroup group, String host, int port, long timeoutMs, LinkDelay delay) {
    tablePool =
        new ConnectionPool(
            group.next(),
            host,
            port,
            new ConnectionPool.Limits(0, 0, TABLE_CONNECTIONS, MAX_TABLE_BYTES),
            delay);
    objectPool =
        new ConnectionPool(
            group.next(),
            host,
            port,
            new ConnectionPool.Limits(0, 0, OBJECT_CONNECTIONS, MAX_OBJECT_BYTES),
            delay);
    table = new HttpTableStore(new PlatformCalls(tablePool, timeoutMs));
    objects = new HttpObjectStore(new PlatformCalls(objectPool, timeoutMs));
    vms = new HttpVmDirectory(new PlatformCalls(objectPool, timeoutMs));
  }

  /**
   * Returns a client; it connects when it is used.
   *
   * @param group event loops for its connections
   * @param host IP number of the platform
   * @param port TCP port of the platform
   * @param timeoutMs time for one exchange, in milliseconds
   * @param delay emulated latency, {@link LinkDelay#NONE} in production
   */
  public static PlatformClient create(
      EventLoopGroup group, String host, int port, long timeoutMs, LinkDelay delay) {
    return new PlatformClient(group, host, port, timeoutMs, delay);
  }

  /** Returns the table. */
  public TableStore table() {
    return table;
  }

  /** Returns the object store. */
  public ObjectStore objects() {
    return objects;
  }

  /** Returns the VM list. */
  public VmDirectory vms() {
    return vms;
  }

  @Override
  public void close() {
    tablePool.close();
    objectPool.close();
  }
}
