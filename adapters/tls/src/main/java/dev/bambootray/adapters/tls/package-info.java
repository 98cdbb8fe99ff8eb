/** TLS from PEM files that can be replaced while the process runs. */
@NullMarked
package dev.bambootray.adapters.tls;

import org.jspecify.annotations.NullMarked;
