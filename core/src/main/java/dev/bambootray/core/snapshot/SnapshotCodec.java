package dev.bambootray.core.snapshot;

import dev.bambootray.core.model.RegionId;
import io.vavr.control.Either;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Encodes snapshots of learned run times as bytes and decodes them.
 *
 * <p>Layout, big endian: magic {@code BTRS}, format version (2 bytes), length of the region name (2
 * bytes), the name, epoch, time (8 bytes each), number of run times, length of the body (4 bytes
 * each), CRC32C of all of this; then the body and its CRC32C. The header has its own checksum so
 * that a truncated body can be reported with the number of run times that are missing.
 *
 * <p>Format 1 held two quantiles for each run time, the median and the 95th percentile, without
 * their shares.
 */
public final class SnapshotCodec {
  /** Format version that is written. */
  public static final int FORMAT = 2;

  /** Maximum size of a snapshot in bytes. */
  public static final int MAX_BYTES = 16 * 1024 * 1024;

  static final int MAGIC = 0x42545253;
  static final int OLDEST_FORMAT = 1;

  private static final int MAX_NAME_BYTES = 128;
  private static final int FIXED_HEADER_BYTES = 4 + 2 + 2 + 8 + 8 + 4 + 4 + 4;

  private SnapshotCodec() {}

  /**
   * Returns the bytes of a snapshot in the current format.
   *
   * @throws IllegalArgumentException if it is larger than {@link #MAX_BYTES}
   */
  public static byte[] encode(RunTimeSnapshot snapshot) {
    return encode(snapshot, FORMAT);
  }

  /** Returns the bytes of a snapshot in the given format. */
  static byte[] encode(RunTimeSnapshot snapshot, int format) {
    byte[] region = snapshot.region().value().getBytes(StandardCharsets.UTF_8);
    int bodyBytes = RunTimeBodyCodec.sizeBytes(snapshot.runTimes(), format);
    long total = (long) FIXED_HEADER_BYTES + region.length + bodyBytes + 4;
    if (total > MAX_BYTES) {
      throw new IllegalArgumentException(
          "snapshot of " + total + " bytes is larger than " + MAX_BYTES);
    }
    ByteBuffer out = ByteBuffer.allocate((int) total);
    out.putInt(MAGIC).putShort((short) format).putShort((short) region.length).put(region);
    out.putLong(snapshot.epoch()).putLong(snapshot.takenAtMs());
    out.putInt(snapshot.runTimes().size()).putInt(bodyBytes);
    out.putInt(checksum(out.array(), 0, out.position()));
    int bodyStart = out.position();
    RunTimeBodyCodec.write(snapshot.runTimes(), format, out);
    out.putInt(checksum(out.array(), bodyStart, bodyBytes));
    return out.array();
  }

  /** Returns the snapshot in the given bytes, or an error that says what is invalid or missing. */
  public static Either<SnapshotError, RunTimeSnapshot> decode(byte[] bytes) {
    if (bytes.length > MAX_BYTES) {
      return headerError("it has " + bytes.length + " bytes, expected at most " + MAX_BYTES);
    }
    if (bytes.length < FIXED_HEADER_BYTES) {
      return headerError(
          "it ends after " + bytes.length + " bytes, expected at least " + FIXED_HEADER_BYTES);
    }
    ByteBuffer in = ByteBuffer.wrap(bytes);
    if (in.getInt() != MAGIC) {
      return headerError("it does not begin with the magic number of a snapshot");
    }
    int format = in.getShort();
    if (format < OLDEST_FORMAT || format > FORMAT) {
      return headerError(
          "its format is " + format + ", expected " + OLDEST_FORMAT + " to " + FORMAT);
    }
    int nameBytes = in.getShort();
    if (nameBytes < 1 || nameBytes > MAX_NAME_BYTES) {
      return headerError("the region name has " + nameBytes + " bytes");
    }
    int headerBytes = headerBytes(nameBytes);
    if (bytes.length < headerBytes) {
      return headerError(
          "it ends after " + bytes.length + " bytes, expected a header of " + headerBytes);
    }
    if (checksum(bytes, 0, headerBytes - 4) != in.getInt(headerBytes - 4)) {
      return headerError("its checksum does not match");
    }
    return decodeChecked(bytes, in, format, nameBytes, headerBytes);
  }

  private static Either<SnapshotError, RunTimeSnapshot> decodeChecked(
      byte[] bytes, ByteBuffer in, int format, int nameBytes, int headerBytes) {
    String region = readText(in, nameBytes);
    long epoch = in.getLong();
    long takenAtMs = in.getLong();
    int count = in.getInt();
    int bodyBytes = in.getInt();
    in.position(headerBytes);
    int present = in.remaining();
    if (bodyBytes < 0 || present != (long) bodyBytes + 4) {
      int whole = RunTimeBodyCodec.countComplete(in, format, count, bodyBytes);
      return bodyError(
          "the body has "
              + present
              + " bytes with its checksum, expected "
              + (bodyBytes + 4L)
              + "; "
              + Math.max(0, count - whole)
              + " of "
              + count
              + " run times are missing");
    }
    if (checksum(bytes, headerBytes, bodyBytes) != in.getInt(headerBytes + bodyBytes)) {
      return bodyError("the checksum does not match; none of " + count + " run times is usable");
    }
    in.limit(headerBytes + bodyBytes);
    try {
      List<LearnedRunTime> runTimes = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        runTimes.add(RunTimeBodyCodec.read(in, format));
      }
      if (in.hasRemaining()) {
        return bodyError(in.remaining() + " bytes follow the last of " + count + " run times");
      }
      return Either.right(new RunTimeSnapshot(RegionId.of(region), epoch, takenAtMs, runTimes));
    } catch (BufferUnderflowException | IllegalArgumentException e) {
      return bodyError("a run time is malformed although its checksum matches");
    }
  }

  static int headerBytes(int nameBytes) {
    return FIXED_HEADER_BYTES + nameBytes;
  }

  static String readText(ByteBuffer in, int length) {
    byte[] text = new byte[length];
    in.get(text);
    return new String(text, StandardCharsets.UTF_8);
  }

  private static int checksum(byte[] bytes, int offset, int length) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, offset, length);
    return (int) crc.getValue();
  }

  private static Either<SnapshotError, RunTimeSnapshot> headerError(String message) {
    return Either.left(new SnapshotError("header", message));
  }

  private static Either<SnapshotError, RunTimeSnapshot> bodyError(String message) {
    return Either.left(new SnapshotError("run times", message));
  }
}
