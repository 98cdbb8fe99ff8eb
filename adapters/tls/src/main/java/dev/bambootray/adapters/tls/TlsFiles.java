package dev.bambootray.adapters.tls;

import java.nio.file.Path;
import org.jspecify.annotations.Nullable;

/**
 * Where the keys of a node are.
 *
 * @param certificateChain certificate of the node and its issuers, PEM
 * @param privateKey private key of the node, PEM in PKCS 8
 * @param trusted certificates of the authorities that the other side must present a certificate of,
 *     PEM; null if the other side needs none
 */
public record TlsFiles(Path certificateChain, Path privateKey, @Nullable Path trusted) {}
