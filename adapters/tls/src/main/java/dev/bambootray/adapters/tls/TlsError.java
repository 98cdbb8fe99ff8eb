package dev.bambootray.adapters.tls;

/**
 * Describes why keys could not be loaded. The message names the files but never their content.
 *
 * @param step {@code read} or {@code check}
 * @param certificateFile the certificate file that was loaded
 * @param message what went wrong
 */
public record TlsError(String step, String certificateFile, String message) {}
