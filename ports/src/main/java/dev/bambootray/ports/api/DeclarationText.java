package dev.bambootray.ports.api;

/**
 * A published declaration.
 *
 * @param version its version, 0 if nothing was published yet
 * @param text its text, JSON with comments
 * @param publishedAtMs time of its commit, in milliseconds since the epoch
 * @param author who published it
 */
public record DeclarationText(long version, String text, long publishedAtMs, String author) {}
