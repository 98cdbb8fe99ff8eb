package dev.bambootray.documents;

import dev.bambootray.core.declaration.Guarantee;
import dev.bambootray.core.declaration.WorkspaceDeclaration;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.Shape;
import dev.bambootray.core.model.WorkspaceId;
import dev.bambootray.documents.json.Names;
import dev.bambootray.documents.json.ObjectCursor;
import dev.bambootray.documents.json.Problems;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/** Reads the workspaces of a document. */
final class WorkspaceSection {
  private static final double MIN_WEIGHT = 0.001;
  private static final double MAX_WEIGHT = 1_000;
  private static final int MAX_QUEUED = 1_000_000;
  private static final int MAX_ACCELERATORS = 1_000_000;
  private static final int MAX_COUNT = 10_000;
  private static final int MAX_GUARANTEES = 100;
  private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");

  private WorkspaceSection() {}

  static Map<WorkspaceId, WorkspaceDeclaration> read(
      ObjectCursor document, DeclaredIds ids, CapacityCheck capacity, Problems problems) {
    Map<WorkspaceId, WorkspaceDeclaration> workspaces = new HashMap<>();
    for (ObjectCursor workspace : document.objects("workspaces")) {
      int before = problems.count();
      String id = workspace.identifier("id");
      double weight = workspace.number("weight", MIN_WEIGHT, MAX_WEIGHT, 1);
      List<Guarantee> guarantees = readGuarantees(workspace, ids, capacity, problems);
      int maxQueued = (int) workspace.whole("maxQueued", 0, MAX_QUEUED, 1_000);
      int maxAccelerators =
          (int) workspace.whole("maxAccelerators", 0, MAX_ACCELERATORS, MAX_ACCELERATORS);
      List<String> digests = workspace.texts("tokenSha256");
      for (String digest : digests) {
        if (!SHA256.matcher(digest).matches()) {
          // The text may be a token that was given in place of its digest.
          workspace.reject(
              "tokenSha256",
              "a text of " + digest.length() + " characters",
              "SHA-256 digests of tokens, 64 lower-case hexadecimal digits each");
        }
      }
      workspace.finish();
      if (problems.count() == before) {
        checkLimit(workspace, guarantees, maxAccelerators);
      }
      if (problems.count() == before) {
        WorkspaceId workspaceId = WorkspaceId.of(id);
        workspaces.put(
            workspaceId,
            new WorkspaceDeclaration(
                workspaceId, weight, guarantees, maxQueued, maxAccelerators, digests));
      }
    }
    return workspaces;
  }

  private static void checkLimit(
      ObjectCursor workspace, List<Guarantee> guarantees, int maxAccelerators) {
    long guaranteed =
        guarantees.stream().mapToLong(g -> (long) g.shape().totalAccelerators() * g.count()).sum();
    if (guaranteed > maxAccelerators) {
      workspace.reject(
          "maxAccelerators",
          Integer.toString(maxAccelerators),
          "at least the " + guaranteed + " accelerators of its guarantees");
    }
  }

  private static List<Guarantee> readGuarantees(
      ObjectCursor workspace, DeclaredIds ids, CapacityCheck capacity, Problems problems) {
    List<Guarantee> guarantees = new ArrayList<>();
    List<ObjectCursor> given = workspace.objects("guarantees");
    if (given.size() > MAX_GUARANTEES) {
      workspace.reject("guarantees", given.size() + " guarantees", "at most " + MAX_GUARANTEES);
      return guarantees;
    }
    for (ObjectCursor guarantee : given) {
      int before = problems.count();
      String region = ids.reference(guarantee, "region", "regions");
      Shape shape = ShapeReader.read(guarantee.object("shape"), 1);
      int count = (int) guarantee.whole("count", 1, MAX_COUNT, 1);
      guarantee.finish();
      if (problems.count() != before) {
        continue;
      }
      RegionId regionId = RegionId.of(region);
      capacity
          .objection(regionId, shape, count)
          .ifPresent(
              found ->
                  problems.add(
                      guarantee.place(),
                      guarantee.path(),
                      found,
                      "a guarantee that fits region \"" + Names.abbreviate(region) + "\""));
      guarantees.add(new Guarantee(regionId, shape, count));
    }
    return guarantees;
  }
}
