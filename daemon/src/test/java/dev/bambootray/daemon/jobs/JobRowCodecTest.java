package dev.bambootray.daemon.jobs;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.lead.OwnerRecord;
import dev.bambootray.jobs.model.JobPhase;
import dev.bambootray.jobs.model.JobRecord;
import dev.bambootray.jobs.model.JobSpec;
import dev.bambootray.jobs.model.StepSpec;
import dev.bambootray.jobs.model.TaskRecord;
import dev.bambootray.jobs.model.TaskRecord.State;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

final class JobRowCodecTest {
  private final JobRowCodec codec = new JobRowCodec();

  @Test
  void decodesTheJobThatItEncodes() {
    StepSpec step =
        StepSpec.builder(4, new Resources(8, 13_000, 34_000))
            .estimateMs(900)
            .gang(true)
            .sameRack(true)
            .requiredLabel("a")
            .dataRack("r1")
            .maxPerWorker(2)
            .checkpointing(true)
            .build();
    JobSpec job =
        new JobSpec(
            "j",
            "w",
            "t",
            "s",
            "p",
            List.of(step, StepSpec.builder(1, step.each()).after(List.of(0)).build()),
            new JobSpec.Objective(1, 3, 1.5, 500),
            new JobSpec.Schedule(3, 5_000, 200),
            99);
    assertEquals(job, codec.decodeJob(codec.encode(job)).get());
  }

  @Test
  void decodesTheRecordThatItEncodes() {
    JobRecord saved =
        new JobRecord(
            "j",
            JobPhase.RUNNING,
            7,
            List.of(
                TaskRecord.NEW,
                new TaskRecord(State.PLACED, 3, 1, "i-1", "0000"),
                new TaskRecord(State.WAITING, 2, 0, "", "", 2),
                new TaskRecord(State.DONE, 1, 0, "", "")));
    assertEquals(saved, codec.decodeRecord(codec.encode(saved)).get());
  }

  @Test
  void decodesRecordsOfEarlierBuilds() {
    String text = "{\"job\":\"j\",\"phase\":\"RUNNING\",\"tasks\":[[\"W\",2,1,\"\",\"c\"]]}";
    assertEquals(
        List.of(new TaskRecord(State.WAITING, 2, 1, "", "c", 0)),
        codec.decodeRecord(text.getBytes(UTF_8)).get().tasks());
  }

  @Test
  void decodesTheOwnerThatItEncodes() {
    OwnerRecord owner = new OwnerRecord("n/1", 3, 9, true, Map.of("t", 4L), 85);
    assertEquals(owner, codec.decodeOwner(codec.encode(owner)).get());
  }

  @Test
  void ignoresUnknownMembers() {
    String text =
        "{\"holder\":\"n/1\",\"epoch\":3,\"sequence\":9,\"released\":false,"
            + "\"pending\":{},\"later\":true}";
    assertEquals(3, codec.decodeOwner(text.getBytes(UTF_8)).get().epoch());
  }

  @Test
  void reportsInvalidRows() {
    assertTrue(codec.decodeJob("{".getBytes(UTF_8)).isLeft());
    assertTrue(codec.decodeRecord("{\"phase\":\"LOST\"}".getBytes(UTF_8)).isLeft());
    assertTrue(
        codec.decodeRecord("{\"phase\":\"RUNNING\",\"tasks\":[[\"X\"]]}".getBytes(UTF_8)).isLeft());
  }
}
