package dev.bambootray.documents;

import dev.bambootray.core.model.TemplateId;
import dev.bambootray.core.model.WorkspaceId;
import dev.bambootray.documents.json.JsonText;
import java.util.List;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A kind of request in a mix.
 *
 * @param workspace the workspace that sends it
 * @param template its template
 * @param share its weight in the mix, greater than 0
 * @param repeatable whether it may run more than once
 * @param urgent whether it claims guaranteed capacity at once
 * @param deadlineMs time until its answer is due, in milliseconds
 * @param parameters where its parameters come from
 */
public record RequestKind(
    WorkspaceId workspace,
    TemplateId template,
    double share,
    boolean repeatable,
    boolean urgent,
    long deadlineMs,
    List<ParameterSource> parameters) {

  /** Copies the parameters. */
  public RequestKind {
    parameters = List.copyOf(parameters);
  }

  /** Returns parameters as a JSON object with a value drawn from each range. */
  public String parametersJson(UniformRandomProvider random) {
    return parametersJson(parameter -> parameter.draw(random));
  }

  String smallestParametersJson() {
    return parametersJson(ParameterSource::smallest);
  }

  String largestParametersJson() {
    return parametersJson(ParameterSource::largest);
  }

  private String parametersJson(Function<ParameterSource, String> value) {
    return parameters.stream()
        .map(parameter -> JsonText.quote(parameter.name()) + ":" + value.apply(parameter))
        .collect(Collectors.joining(",", "{", "}"));
  }
}
