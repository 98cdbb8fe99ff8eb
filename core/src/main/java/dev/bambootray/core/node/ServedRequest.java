package dev.bambootray.core.node;

import dev.bambootray.core.declaration.TemplateDeclaration;
import dev.bambootray.core.ledger.RequestRecord;
import dev.bambootray.core.model.Adjacency;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.ServiceId;
import dev.bambootray.core.model.Shape;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.worker.TaskId;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** An open request that this node serves as the owner of a region. */
final class ServedRequest {
  RequestRecord content;
  long recordVersion;
  final TemplateDeclaration template;
  final Set<NodeId> entries = new LinkedHashSet<>();

  /** Every task that was sent to a worker; acknowledged once the answer is durable. */
  final Map<TaskId, WorkerId> tasks = new LinkedHashMap<>();

  /** Whether an earlier owner may have run it without a record of the run. */
  boolean mayHaveRunBefore;

  boolean isFinishing;

  ServedRequest(RequestRecord content, long recordVersion, TemplateDeclaration template) {
    this.content = content;
    this.recordVersion = recordVersion;
    this.template = template;
  }

  /** Returns a request whose template is not declared; it can only be refused. */
  static ServedRequest undeclared(RequestRecord content, long recordVersion) {
    TemplateDeclaration placeholder =
        new TemplateDeclaration(
            content.spec().template(),
            ServiceId.of("undeclared"),
            new Shape(1, 0, 0, 0, Adjacency.REGION),
            List.of(),
            content.spec().repeatable(),
            0,
            0,
            1,
            false);
    return new ServedRequest(content, recordVersion, placeholder);
  }

  boolean isDurable() {
    return recordVersion > 0;
  }
}
