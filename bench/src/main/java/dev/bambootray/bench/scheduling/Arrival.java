package dev.bambootray.bench.scheduling;

import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.TemplateId;

/**
 * A job of a trace.
 *
 * @param atMs when it is submitted
 * @param key workspace and key
 * @param template its template
 * @param runMs how long it really runs, whatever its template declares
 * @param urgent whether it claims guaranteed capacity at once
 * @param cancelAtMs when its caller cancels it, or -1
 */
record Arrival(
    long atMs, RequestKey key, TemplateId template, long runMs, boolean urgent, long cancelAtMs) {}
