package dev.bambootray.documents;

import dev.bambootray.documents.json.JsonText;
import dev.bambootray.documents.json.JsonValue;
import dev.bambootray.documents.json.ObjectCursor;
import dev.bambootray.documents.json.Problems;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** Where the value of a parameter of a drawn request comes from. */
public sealed interface ParameterSource {

  /** Returns the name of the parameter. */
  String name();

  /** Returns a value as JSON. */
  String draw(UniformRandomProvider random);

  /** Returns the smallest value as JSON. */
  String smallest();

  /** Returns the largest value as JSON. */
  String largest();

  /**
   * One value.
   *
   * @param name the parameter
   * @param json the value as JSON
   */
  record Fixed(String name, String json) implements ParameterSource {
    @Override
    public String draw(UniformRandomProvider random) {
      return json;
    }

    @Override
    public String smallest() {
      return json;
    }

    @Override
    public String largest() {
      return json;
    }
  }

  /** How values are spread over a range. */
  enum Spread {
    /** Every value is equally likely. */
    UNIFORM,
    /** Every factor is equally likely, which gives many small values and a long tail. */
    LOG
  }

  /**
   * A range of whole numbers.
   *
   * @param name the parameter
   * @param from the smallest value
   * @param to the largest value
   * @param spread how values are spread
   */
  record Range(String name, long from, long to, Spread spread) implements ParameterSource {
    @Override
    public String draw(UniformRandomProvider random) {
      double part = random.nextDouble();
      double value =
          spread == Spread.LOG
              ? from * Math.pow((double) to / from, part)
              : from + part * (to - from + 1);
      return Long.toString(Math.min(to, (long) value));
    }

    @Override
    public String smallest() {
      return Long.toString(from);
    }

    @Override
    public String largest() {
      return Long.toString(to);
    }
  }

  /** Reads the sources of all parameters of a kind. */
  static List<ParameterSource> readAll(ObjectCursor parameters, Problems problems) {
    List<ParameterSource> sources = new ArrayList<>();
    parameters
        .members()
        .forEach(
            (name, member) -> {
              if (member.value() instanceof JsonValue.ObjectValue range) {
                sources.add(
                    readRange(name, ObjectCursor.of(range, parameters.pathOf(name), problems)));
              } else {
                sources.add(new Fixed(name, JsonText.of(member.value())));
              }
            });
    return sources;
  }

  private static Range readRange(String name, ObjectCursor range) {
    long from = range.whole("from", 1, Integer.MAX_VALUE);
    long to = range.whole("to", 1, Integer.MAX_VALUE);
    Spread spread = range.choice("spread", Spread.values(), Spread.UNIFORM);
    range.finish();
    if (to < from) {
      range.reject("to", Long.toString(to), "at least from, " + from);
    }
    return new Range(name, from, to, spread);
  }
}
