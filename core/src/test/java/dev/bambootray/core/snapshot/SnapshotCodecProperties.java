package dev.bambootray.core.snapshot;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.TemplateId;
import dev.bambootray.core.model.WorkspaceId;
import dev.bambootray.core.snapshot.LearnedRunTime.Quantile;
import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Checks that snapshots are decoded as they were encoded and that damaged ones are rejected. */
final class SnapshotCodecProperties {
  private static final RunTimeSnapshot SAMPLE =
      new RunTimeSnapshot(
          RegionId.of("powys"),
          7,
          1_000,
          List.of(runTime("plan", 0.5, 100, 0.95, 900), runTime("proof", 0.5, 3, 0.95, 40)));

  private static LearnedRunTime runTime(
      String template, double share1, long ms1, double share2, long ms2) {
    return new LearnedRunTime(
        TemplateId.of(template),
        WorkspaceId.of("w"),
        12,
        List.of(new Quantile(share1, ms1), new Quantile(share2, ms2)));
  }

  @Provide
  Arbitrary<RunTimeSnapshot> snapshots() {
    Arbitrary<String> names =
        Arbitraries.strings().withChars("abcXYZ019._:-").ofMinLength(1).ofMaxLength(128);
    Arbitrary<Quantile> quantiles =
        Combinators.combine(Arbitraries.doubles().between(0, 1), Arbitraries.longs())
            .as(Quantile::new);
    Arbitrary<LearnedRunTime> runTimes =
        Combinators.combine(
                names.map(TemplateId::of),
                names.map(WorkspaceId::of),
                Arbitraries.longs(),
                quantiles.list().ofMaxSize(LearnedRunTime.MAX_QUANTILES))
            .as(LearnedRunTime::new);
    return Combinators.combine(
            names.map(RegionId::of),
            Arbitraries.longs(),
            Arbitraries.longs(),
            runTimes.list().ofMaxSize(20))
        .as(RunTimeSnapshot::new);
  }

  @Property(seed = "1001", tries = 300)
  void encodedSnapshotsAreDecodedUnchanged(@ForAll("snapshots") RunTimeSnapshot snapshot) {
    assertEquals(Either.right(snapshot), SnapshotCodec.decode(SnapshotCodec.encode(snapshot)));
  }

  @Property(seed = "1002", tries = 500)
  void aTruncatedSnapshotIsRefused(
      @ForAll("snapshots") RunTimeSnapshot snapshot, @ForAll @IntRange(min = 1) int cut) {
    byte[] bytes = SnapshotCodec.encode(snapshot);
    byte[] truncated = Arrays.copyOf(bytes, bytes.length - 1 - cut % bytes.length);
    assertTrue(SnapshotCodec.decode(truncated).isLeft());
  }

  @Property(seed = "1003", tries = 1000)
  void aFlippedBitIsRefused(
      @ForAll("snapshots") RunTimeSnapshot snapshot, @ForAll @IntRange(min = 0) int bit) {
    byte[] bytes = SnapshotCodec.encode(snapshot);
    int at = bit % (bytes.length * 8);
    bytes[at / 8] ^= (byte) (1 << (at % 8));
    assertTrue(SnapshotCodec.decode(bytes).isLeft());
  }

  @Property(seed = "1004", tries = 1000)
  void arbitraryBytesAreRefused(@ForAll @Size(max = 300) byte[] bytes) {
    assertTrue(SnapshotCodec.decode(bytes).isLeft());
  }

  @Example
  void theOlderFormatIsRead() {
    Either<SnapshotError, RunTimeSnapshot> read =
        SnapshotCodec.decode(SnapshotCodec.encode(SAMPLE, 1));
    assertEquals(Either.right(SAMPLE), read);
  }

  @Example
  void aNewerFormatIsRefused() {
    byte[] bytes = SnapshotCodec.encode(SAMPLE, 3);
    assertEquals(
        "its format is 3, expected 1 to 2", SnapshotCodec.decode(bytes).getLeft().message());
  }

  @Example
  void theErrorContainsTheNumberOfMissingRunTimes() {
    byte[] bytes = SnapshotCodec.encode(SAMPLE);
    SnapshotError error = SnapshotCodec.decode(Arrays.copyOf(bytes, bytes.length - 30)).getLeft();
    assertEquals("run times", error.part());
    assertTrue(error.message().contains("1 of 2 run times are missing"), error.message());
  }

  /** A count of 2^31-1 with a valid checksum must not lead to an allocation of that size. */
  @Example
  void aHugeCountWithAValidChecksumAllocatesNothing() {
    byte[] bytes = SnapshotCodec.encode(SAMPLE);
    int header = SnapshotCodec.headerBytes("powys".length());
    ByteBuffer.wrap(bytes).putInt(header - 12, Integer.MAX_VALUE);
    CRC32C crc = new CRC32C();
    crc.update(bytes, 0, header - 4);
    ByteBuffer.wrap(bytes).putInt(header - 4, (int) crc.getValue());
    assertTrue(SnapshotCodec.decode(bytes).isLeft());
  }
}
