package dev.bambootray.documents;

import dev.bambootray.core.declaration.ParameterDeclaration;
import dev.bambootray.core.declaration.TemplateDeclaration;
import dev.bambootray.core.model.ServiceId;
import dev.bambootray.core.model.Shape;
import dev.bambootray.core.model.TemplateId;
import dev.bambootray.documents.json.ObjectCursor;
import dev.bambootray.documents.json.Problems;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Reads the templates of a document. */
final class TemplateSection {
  private static final long MAX_RUN_MS = 30L * 24 * 3_600_000;
  private static final long DEFAULT_RUN_MS = 60_000;
  private static final int MAX_ATTEMPTS = 100;

  private TemplateSection() {}

  static Map<TemplateId, TemplateDeclaration> read(
      ObjectCursor document, DeclaredIds ids, Problems problems) {
    Map<TemplateId, TemplateDeclaration> templates = new HashMap<>();
    for (ObjectCursor template : document.objects("templates")) {
      int before = problems.count();
      String id = template.identifier("id");
      String service = ids.reference(template, "service", "services");
      Shape shape = ShapeReader.read(template.object("shape"), 0);
      List<ParameterDeclaration> parameters = readParameters(template, problems);
      boolean repeatable = template.flag("repeatable", true);
      long expectedRunMs = template.whole("expectedRunMs", 1, MAX_RUN_MS, DEFAULT_RUN_MS);
      long maxRunMs = template.whole("maxRunMs", 1, MAX_RUN_MS, MAX_RUN_MS);
      int maxAttempts = (int) template.whole("maxAttempts", 1, MAX_ATTEMPTS, 3);
      boolean checkpointable = template.flag("checkpointable", false);
      template.finish();
      if (problems.count() == before) {
        checkTogether(template, shape, expectedRunMs, maxRunMs);
      }
      if (problems.count() == before) {
        TemplateId templateId = TemplateId.of(id);
        templates.put(
            templateId,
            new TemplateDeclaration(
                templateId,
                ServiceId.of(service),
                shape,
                parameters,
                repeatable,
                expectedRunMs,
                maxRunMs,
                maxAttempts,
                checkpointable));
      }
    }
    return templates;
  }

  private static void checkTogether(
      ObjectCursor template, Shape shape, long expectedRunMs, long maxRunMs) {
    if (expectedRunMs > maxRunMs) {
      template.reject(
          "expectedRunMs", Long.toString(expectedRunMs), "at most maxRunMs, " + maxRunMs);
    }
    if (shape.acceleratorsPerMember() == 0 && shape.members() > 1) {
      template.reject(
          "shape",
          shape.members() + " members without accelerators",
          "one member, since a service request takes one slot");
    }
  }

  private static List<ParameterDeclaration> readParameters(
      ObjectCursor template, Problems problems) {
    List<ParameterDeclaration> parameters = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (ObjectCursor parameter : template.objects("parameters")) {
      ParameterReader.read(parameter, problems)
          .ifPresent(
              read -> {
                parameters.add(read);
                if (!names.add(read.name())) {
                  parameter.reject(
                      "name", "duplicate parameter \"" + read.name() + "\"", "distinct names");
                }
              });
    }
    return parameters;
  }
}
