package dev.bambootray.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Puts the results of several deployments into one object. */
final class DemoTotals {
  private DemoTotals() {}

  /** Returns one object: counts are summed, completion times are the worst, parts are kept. */
  static ObjectNode of(List<DemoResult> results) {
    ObjectMapper mapper = new ObjectMapper();
    ObjectNode total = mapper.createObjectNode();
    for (DemoResult result : results) {
      JsonNode one = mapper.valueToTree(result);
      one.properties()
          .forEach(
              field -> {
                if (field.getValue().isIntegralNumber()) {
                  total.put(
                      field.getKey(),
                      total.path(field.getKey()).asLong() + field.getValue().asLong());
                }
              });
    }
    ObjectNode completion = total.putObject("completion_ms");
    completion.put("p50", results.stream().mapToLong(r -> r.completionMs().p50()).max().orElse(0));
    completion.put("p99", results.stream().mapToLong(r -> r.completionMs().p99()).max().orElse(0));
    total.set("deployments", mapper.valueToTree(results));
    return total;
  }

  /** Returns the rows of a table. */
  static Map<String, Object> flat(ObjectMapper mapper, DemoResult result) {
    Map<String, Object> rows = new LinkedHashMap<>();
    mapper
        .valueToTree(result)
        .properties()
        .forEach(
            field -> {
              if (field.getValue().isObject()) {
                field
                    .getValue()
                    .properties()
                    .forEach(
                        inner -> rows.put(field.getKey() + " " + inner.getKey(), inner.getValue()));
              } else {
                rows.put(field.getKey(), field.getValue().asText());
              }
            });
    return rows;
  }
}
