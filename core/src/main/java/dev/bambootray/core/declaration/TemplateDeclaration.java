package dev.bambootray.core.declaration;

import dev.bambootray.core.model.ServiceId;
import dev.bambootray.core.model.Shape;
import dev.bambootray.core.model.TemplateId;
import java.util.List;

/**
 * A declared kind of work.
 *
 * @param id the template
 * @param service the service that runs it
 * @param shape the resources of its gang; a shape without accelerators is a service request
 * @param parameters its parameters
 * @param repeatable whether requests may run more than once unless they say otherwise
 * @param expectedRunMs declared run time in milliseconds; an estimate that may be far off
 * @param maxRunMs run time after which a task is stopped, in milliseconds
 * @param maxAttempts maximum number of runs of a repeatable request
 * @param checkpointable whether its tasks can be checkpointed and resumed
 */
public record TemplateDeclaration(
    TemplateId id,
    ServiceId service,
    Shape shape,
    List<ParameterDeclaration> parameters,
    boolean repeatable,
    long expectedRunMs,
    long maxRunMs,
    int maxAttempts,
    boolean checkpointable) {

  /** Copies the parameters. */
  public TemplateDeclaration {
    parameters = List.copyOf(parameters);
  }

  /** Returns whether requests take a slot of a target instead of accelerators. */
  public boolean isServiceRequest() {
    return shape.acceleratorsPerMember() == 0;
  }
}
