package dev.bambootray.adapters.telemetry;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.ExecutionStatus;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.RequestStep;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against metrics that are missing or wrong when an operator needs them. */
final class NodeMetricsTest {
  private static final RegionId NORTH = RegionId.of("north");
  private static final RegionId SOUTH = RegionId.of("south");

  @Test
  void everyMetricIsExposedWithItsValue() {
    NodeMetrics metrics = NodeMetrics.create();
    metrics.requestAccepted(NORTH);
    metrics.requestAnswered(ExecutionStatus.UNKNOWN, false, true, 700);
    metrics.requestRefused(RequestStep.QUEUE);
    metrics.dispatched(NORTH, false);
    metrics.dispatched(NORTH, true);
    metrics.storeCalled("commit", "conflict", 3_000_000);
    metrics.peerBytesSent(NORTH, SOUTH, 1_000);
    metrics.peerMessageDropped(SOUTH);
    metrics.setQueueLength(NORTH, true, 4);
    metrics.setOpenRequests(5);
    metrics.setOwnershipEpoch(NORTH, 6);
    metrics.setConfigurationVersion(7);
    metrics.controlEvent(1_500_000);
    String text = metrics.expose();
    for (String line :
        List.of(
            "bambootray_requests_accepted_total{region=\"north\"} 1.0",
            "bambootray_requests_answered_total{outcome=\"error\",ran=\"unknown\"} 1.0",
            "bambootray_refusals_total{step=\"queue\"} 1.0",
            "bambootray_dispatches_total{region=\"north\"} 2.0",
            "bambootray_retries_total{region=\"north\"} 1.0",
            "bambootray_store_calls_total{call=\"commit\",outcome=\"conflict\"} 1.0",
            "bambootray_store_call_seconds_bucket{call=\"commit\",le=\"0.005\"} 1",
            "bambootray_store_call_seconds_bucket{call=\"commit\",le=\"0.002\"} 0",
            "bambootray_peer_bytes_total{from=\"north\",to=\"south\"} 1000.0",
            "bambootray_peer_dropped_messages_total{to=\"south\"} 1.0",
            "bambootray_queue_length{kind=\"gang\",region=\"north\"} 4.0",
            "bambootray_open_requests 5.0",
            "bambootray_ownership_epoch{region=\"north\"} 6.0",
            "bambootray_configuration_version 7.0",
            "bambootray_control_loop_seconds_bucket{le=\"0.002\"} 1",
            "bambootray_completion_seconds_bucket{kind=\"gang\",le=\"1.0\"} 1",
            "jvm_memory_used_bytes")) {
      assertTrue(text.contains(line), line + " is missing in\n" + text);
    }
  }
}
