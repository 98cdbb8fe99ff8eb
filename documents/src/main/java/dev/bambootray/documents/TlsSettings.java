package dev.bambootray.documents;

import org.jspecify.annotations.Nullable;

/**
 * Files for TLS, each PEM; the daemon reads them again when they change.
 *
 * @param certificateFile the node's certificate chain
 * @param keyFile the private key of the certificate, PKCS #8
 * @param trustFile certificates of the authorities that peers are checked against; null where peers
 *     present no certificate
 */
public record TlsSettings(String certificateFile, String keyFile, @Nullable String trustFile) {}
