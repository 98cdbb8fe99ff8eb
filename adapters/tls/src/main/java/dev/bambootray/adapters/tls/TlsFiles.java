package dev.bambootray.adapters.tls;

import java.nio.file.Path;
import org.jspecify.annotations.Nullable;

/**
 * Paths of the TLS files of a node.
 *
 * @param certificateChain certificate of the node and its issuers, PEM
 * @param privateKey private key of the node, PEM in PKCS 8
 * @param trusted certificates of the authorities, PEM; the other side must present a certificate of
 *     one of them; null if the other side needs none
 */
public record TlsFiles(Path certificateChain, Path privateKey, @Nullable Path trusted) {}
