/** Keep-alive HTTP/1.1 connections to peers, with bounds and timeouts for each exchange. */
@NullMarked
package dev.bambootray.adapters.httpclient;

import org.jspecify.annotations.NullMarked;
