package dev.bambootray.core.node;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.TemplateDeclaration;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.RequestSpec;
import dev.bambootray.core.routing.RegionChooser;
import dev.bambootray.core.routing.RegionLoad;
import java.util.List;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/** Selects the region that serves a request, by the load of the regions and the cost of links. */
final class RequestRegionSelector {
  private final NodeContext context;
  private final Supplier<List<RegionLoad>> loads;
  private @Nullable RegionChooser chooser;

  RequestRegionSelector(NodeContext context, Supplier<List<RegionLoad>> loads) {
    this.context = context;
    this.loads = loads;
  }

  void declarationChanged() {
    Declaration declaration = context.declaration().get();
    if (chooser != null) {
      chooser.declare(declaration);
      return;
    }
    chooser =
        RegionChooser.builder()
            .local(context.identity().region())
            .declaration(declaration)
            .random(context.random())
            .build();
  }

  RegionId choose(RequestSpec spec) {
    RegionChooser current = chooser;
    TemplateDeclaration template = context.declaration().get().templates().get(spec.template());
    if (current == null || template == null) {
      return context.identity().region();
    }
    long sizeBytes = spec.parametersJson().length();
    return template.isServiceRequest()
        ? current.chooseForSlot(sizeBytes, loads.get(), context.now())
        : current.chooseForGang(sizeBytes, loads.get(), context.now());
  }
}
