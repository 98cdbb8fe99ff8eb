package dev.bambootray.core.snapshot;

import dev.bambootray.core.model.TemplateId;
import dev.bambootray.core.model.WorkspaceId;
import dev.bambootray.core.snapshot.LearnedRunTime.Quantile;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Encodes and decodes the body of a snapshot: a sequence of learned run times. */
final class RunTimeBodyCodec {
  private static final double MEDIAN = 0.5;
  private static final double TAIL = 0.95;

  private RunTimeBodyCodec() {}

  static int sizeBytes(List<LearnedRunTime> runTimes, int format) {
    long size = 0;
    for (LearnedRunTime runTime : runTimes) {
      size += 2 + utf8(runTime.template().value()).length;
      size += 2 + utf8(runTime.workspace().value()).length;
      size += 8;
      size += format == 1 ? 16 : 2 + 16L * runTime.quantiles().size();
    }
    return (int) Math.min(size, Integer.MAX_VALUE);
  }

  static void write(List<LearnedRunTime> runTimes, int format, ByteBuffer out) {
    for (LearnedRunTime runTime : runTimes) {
      writeText(runTime.template().value(), out);
      writeText(runTime.workspace().value(), out);
      out.putLong(runTime.runs());
      if (format == 1) {
        out.putLong(quantileMs(runTime, MEDIAN)).putLong(quantileMs(runTime, TAIL));
      } else {
        out.putShort((short) runTime.quantiles().size());
        for (Quantile quantile : runTime.quantiles()) {
          out.putDouble(quantile.share()).putLong(quantile.runMs());
        }
      }
    }
  }

  static LearnedRunTime read(ByteBuffer in, int format) {
    TemplateId template = TemplateId.of(readName(in));
    WorkspaceId workspace = WorkspaceId.of(readName(in));
    long runs = in.getLong();
    List<Quantile> quantiles = new ArrayList<>();
    if (format == 1) {
      quantiles.add(new Quantile(MEDIAN, in.getLong()));
      quantiles.add(new Quantile(TAIL, in.getLong()));
    } else {
      int count = checkedLength(in.getShort(), LearnedRunTime.MAX_QUANTILES);
      for (int i = 0; i < count; i++) {
        quantiles.add(new Quantile(in.getDouble(), in.getLong()));
      }
    }
    return new LearnedRunTime(template, workspace, runs, quantiles);
  }

  /** Returns the number of complete run times in a truncated body. */
  static int countComplete(ByteBuffer body, int format, int count, int bodyBytes) {
    ByteBuffer in = body.duplicate();
    in.limit(in.position() + Math.max(0, Math.min(in.remaining(), bodyBytes)));
    int whole = 0;
    try {
      while (whole < count) {
        read(in, format);
        whole++;
      }
    } catch (BufferUnderflowException | IllegalArgumentException e) {
      return whole;
    }
    return whole;
  }

  private static long quantileMs(LearnedRunTime runTime, double share) {
    return runTime.quantiles().stream()
        .filter(quantile -> quantile.share() >= share)
        .mapToLong(Quantile::runMs)
        .findFirst()
        .orElse(0);
  }

  private static String readName(ByteBuffer in) {
    return SnapshotCodec.readText(in, checkedLength(in.getShort(), 128));
  }

  /** Validates a length before memory of that size is allocated. */
  private static int checkedLength(int length, int max) {
    if (length < 0 || length > max) {
      throw new IllegalArgumentException("length " + length + ", expected 0 to " + max);
    }
    return length;
  }

  private static void writeText(String text, ByteBuffer out) {
    byte[] bytes = utf8(text);
    out.putShort((short) bytes.length).put(bytes);
  }

  private static byte[] utf8(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
