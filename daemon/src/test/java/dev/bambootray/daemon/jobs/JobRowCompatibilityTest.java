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
import dev.bambootray.jobs.reach.Peer;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Tests that rows of other builds are read. The texts are what {@code JobRowCodec} of builds
 * 7d370f0 and 7193ad2 writes; both write the same.
 */
final class JobRowCompatibilityTest {
  private static final String JOB =
      "{\"id\":\"65a5eea09b3d9a0f\",\"workspace\":\"w\",\"template\":\"t\",\"service\":\"s\","
          + "\"payload\":\"p\",\"steps\":[{\"count\":2,\"each\":{\"accelerators\":8,"
          + "\"millicores\":13000,\"memoryMib\":34000},\"estimateMs\":900,\"after\":[],"
          + "\"checkpointing\":true,\"gang\":true,\"sameRack\":true,\"requiredLabel\":\"a\","
          + "\"dataRack\":\"r1\",\"maxPerWorker\":2,\"longRunning\":false}],"
          + "\"objective\":{\"priority\":1,\"maxAttempts\":3,\"stretch\":1.5,"
          + "\"targetLatencyMs\":500},\"schedule\":{\"occurrences\":1,\"firstDueWallMs\":0,"
          + "\"intervalMs\":0},\"acceptedWallMs\":99}";
  private static final String RECORD =
      "{\"job\":\"65a5eea09b3d9a0f\",\"phase\":\"RUNNING\",\"finishedWallMs\":0,"
          + "\"tasks\":[[\"P\",3,1,\"i-1\",\"00ab\"],[\"D\",1,0],[\"W\",0,0]]}";
  private static final String FINAL_RECORD =
      "{\"job\":\"65a5eea09b3d9a0f\",\"phase\":\"COMPLETED\",\"finishedWallMs\":7,\"tasks\":[]}";
  private static final String OWNER =
      "{\"holder\":\"n-1/99\",\"epoch\":3,\"sequence\":9,\"released\":false,"
          + "\"pending\":{\"t\":4}}";
  private static final String NODE =
      "{\"name\":\"n-1\",\"address\":\"10.0.0.1:7011\",\"failureDomain\":\"a\","
          + "\"region\":\"r\"}";

  private final JobRowCodec codec = new JobRowCodec();

  private static byte[] bytes(String text) {
    return text.getBytes(UTF_8);
  }

  private static String withUnknownMember(String row) {
    return row.replaceFirst("\\{", "{\"unknown\":[1,{\"a\":2}],");
  }

  @Nested
  final class Jobs {
    private static final JobSpec EXPECTED =
        new JobSpec(
            "65a5eea09b3d9a0f",
            "w",
            "t",
            "s",
            "p",
            List.of(
                StepSpec.builder(2, new Resources(8, 13_000, 34_000))
                    .estimateMs(900)
                    .checkpointing(true)
                    .gang(true)
                    .sameRack(true)
                    .requiredLabel("a")
                    .dataRack("r1")
                    .maxPerWorker(2)
                    .build()),
            new JobSpec.Objective(1, 3, 1.5, 500),
            JobSpec.Schedule.ONCE,
            99);

    @Test
    void areReadAndWrittenAsBefore() {
      assertEquals(EXPECTED, codec.decodeJob(bytes(JOB)).get());
      assertEquals(JOB, new String(codec.encode(EXPECTED), UTF_8));
    }

    @Test
    void areReadWithUnknownMembers() {
      String inStep = JOB.replace("\"count\":2", "\"unknown\":{},\"count\":2");
      assertEquals(EXPECTED, codec.decodeJob(bytes(withUnknownMember(JOB))).get());
      assertEquals(EXPECTED, codec.decodeJob(bytes(inStep)).get());
    }

    @Test
    void areRejectedWithoutARequiredMember() {
      for (String member : List.of("id", "workspace", "template", "service", "payload", "steps")) {
        String row = JOB.replace("\"" + member + "\"", "\"other\"");
        assertTrue(codec.decodeJob(bytes(row)).isLeft(), member);
      }
      for (String member : List.of("each", "after", "requiredLabel", "dataRack")) {
        String row = JOB.replace("\"" + member + "\"", "\"other\"");
        assertTrue(codec.decodeJob(bytes(row)).isLeft(), member);
      }
    }
  }

  @Nested
  final class Records {
    private static final JobRecord EXPECTED =
        new JobRecord(
            "65a5eea09b3d9a0f",
            JobPhase.RUNNING,
            0,
            List.of(
                new TaskRecord(State.PLACED, 3, 1, "i-1", "00ab"),
                new TaskRecord(State.DONE, 1, 0, "", ""),
                TaskRecord.NEW));

    @Test
    void areReadAndWrittenAsBefore() {
      assertEquals(EXPECTED, codec.decodeRecord(bytes(RECORD)).get());
      assertEquals(RECORD, new String(codec.encode(EXPECTED), UTF_8));
      JobRecord ended = codec.decodeRecord(bytes(FINAL_RECORD)).get();
      assertEquals(JobPhase.COMPLETED, ended.phase());
      assertEquals(FINAL_RECORD, new String(codec.encode(ended), UTF_8));
    }

    @Test
    void areReadWithUnknownMembersAndFurtherElements() {
      String further =
          RECORD
              .replace("\"00ab\"]", "\"00ab\",0,2,\"x\"]")
              .replace("[\"D\",1,0]", "[\"D\",1,0,\"\",\"\",0,2]");
      assertEquals(EXPECTED, codec.decodeRecord(bytes(withUnknownMember(RECORD))).get());
      assertEquals(EXPECTED, codec.decodeRecord(bytes(further)).get());
    }

    @Test
    void areReadWithTheCrashesOfWorkers() {
      String row = RECORD.replace("\"00ab\"]", "\"00ab\",2]");
      assertEquals(2, codec.decodeRecord(bytes(row)).get().tasks().get(0).crashes());
    }

    @Test
    void areWrittenBackWithoutFurtherElements() {
      String further = RECORD.replace("\"00ab\"]", "\"00ab\",0,2]");
      JobRecord read = codec.decodeRecord(bytes(withUnknownMember(further))).get();
      assertEquals(RECORD, new String(codec.encode(read), UTF_8));
    }

    @Test
    void areRejectedIfTheirProgressIsNotKnown() {
      // Guards against a job that starts from the beginning because its tasks are not understood.
      for (String member : List.of("job", "phase", "tasks")) {
        String row = RECORD.replace("\"" + member + "\"", "\"other\"");
        assertTrue(codec.decodeRecord(bytes(row)).isLeft(), member);
      }
      assertTrue(codec.decodeRecord(bytes(RECORD.replace("RUNNING", "PAUSED"))).isLeft());
      assertTrue(codec.decodeRecord(bytes(RECORD.replace("\"W\"", "\"X\""))).isLeft());
    }
  }

  @Nested
  final class Owners {
    private static final OwnerRecord EXPECTED =
        new OwnerRecord("n-1/99", 3, 9, false, Map.of("t", 4L), 0);

    @Test
    void areReadAndWrittenAsBefore() {
      assertEquals(EXPECTED, codec.decodeOwner(bytes(OWNER)).get());
      assertEquals(OWNER, new String(codec.encode(EXPECTED), UTF_8));
    }

    @Test
    void areReadWithUnknownMembersAndWrittenBackWithoutThem() {
      OwnerRecord read = codec.decodeOwner(bytes(withUnknownMember(OWNER))).get();
      assertEquals(EXPECTED, read);
      assertEquals(OWNER, new String(codec.encode(read), UTF_8));
    }

    @Test
    void areRejectedWithoutARequiredMember() {
      for (String member : List.of("pending", "holder")) {
        String row = OWNER.replace("\"" + member + "\"", "\"other\"");
        assertTrue(codec.decodeOwner(bytes(row)).isLeft(), member);
      }
    }
  }

  @Nested
  final class Nodes {
    private static final Peer FORMAT_1 = new Peer("n-1", "10.0.0.1:7011", "a", "r", 1);
    private static final Peer FORMAT_2 = new Peer("n-1", "10.0.0.1:7011", "a", "r", 2);

    @Test
    void areReadByTheirPlaceIfTheyAnnounceNoFormat() {
      NodeRow row = codec.decodeNode(bytes(NODE)).get();
      assertEquals(FORMAT_1, row.peer(JobTables.NODES_FORMAT_1));
      assertEquals(FORMAT_2, row.peer(JobTables.NODES));
    }

    @Test
    void areReadWithUnknownMembers() {
      NodeRow row = codec.decodeNode(bytes(withUnknownMember(NODE))).get();
      assertEquals(FORMAT_1, row.peer(JobTables.NODES_FORMAT_1));
    }
  }
}
