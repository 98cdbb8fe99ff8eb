/** Cost of one node between callers and targets over real loopback sockets. */
@NullMarked
package dev.bambootray.bench.sockets;

import org.jspecify.annotations.NullMarked;
