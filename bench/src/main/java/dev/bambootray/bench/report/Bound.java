package dev.bambootray.bench.report;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The largest allowed value of a measure; bounds come from the stated target, not from a
 * measurement.
 *
 * @param measure name of the measure
 * @param max the largest allowed value
 * @param why the requirement that it comes from
 */
public record Bound(
    @JsonProperty(required = true) String measure,
    @JsonProperty(required = true) double max,
    @JsonProperty(required = true) String why) {}
