package dev.bambootray.adapters.http;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * A request after its path and query are decoded.
 *
 * @param method HTTP method
 * @param rawPath path as it was sent, without the query
 * @param headers all headers
 * @param path decoded segments of the path
 * @param query parameters of the query
 * @param token bearer token, or empty
 * @param traceparent W3C trace context, or empty if absent or malformed
 * @param ifMatch value of the header If-Match, or null
 * @param author value of the header X-Author, or empty
 * @param body body as text
 */
public record ApiRequest(
    String method,
    String rawPath,
    HttpHeaders headers,
    List<String> path,
    Map<String, List<String>> query,
    String token,
    String traceparent,
    @Nullable String ifMatch,
    String author,
    String body) {
  private static final Pattern TRACEPARENT =
      Pattern.compile("00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}");
  private static final String BEARER = "Bearer ";

  static Either<ApiResponse, ApiRequest> read(FullHttpRequest message) {
    String uri = message.uri();
    int end = uri.indexOf('?');
    String rawPath = end < 0 ? uri : uri.substring(0, end);
    List<String> segments = new ArrayList<>();
    Map<String, List<String>> query;
    try {
      for (String segment : rawPath.substring(rawPath.startsWith("/") ? 1 : 0).split("/", -1)) {
        segments.add(QueryStringDecoder.decodeComponent(segment.replace("+", "%2B")));
      }
      query = new QueryStringDecoder(uri).parameters();
    } catch (IllegalArgumentException e) {
      return Either.left(Problems.badRequest("the path or query is not percent-encoded text"));
    }
    return Either.right(
        new ApiRequest(
            message.method().name(),
            rawPath,
            message.headers(),
            List.copyOf(segments),
            query,
            token(message),
            traceparent(message),
            message.headers().get(HttpHeaderNames.IF_MATCH),
            header(message, "x-author"),
            message.content().toString(UTF_8)));
  }

  /** Returns the value of a header, or an empty text. */
  public String header(String name) {
    String value = headers.get(name);
    return value == null ? "" : value;
  }

  /** Refuses query parameters other than the given ones. */
  Either<ApiResponse, ApiRequest> onlyQuery(String... allowed) {
    TreeSet<String> unknown = new TreeSet<>(query.keySet());
    unknown.removeAll(Set.of(allowed));
    return unknown.isEmpty()
        ? Either.right(this)
        : Either.left(
            Problems.badRequest(
                "query parameter \"" + Texts.quote(unknown.first()) + "\" is not known"));
  }

  /** Returns a query parameter, or null if it is absent or empty. */
  public @Nullable String queryText(String name) {
    List<String> values = query.get(name);
    return values == null || values.isEmpty() || values.get(0).isEmpty() ? null : values.get(0);
  }

  /** Reads a number from the query within bounds. */
  Either<ApiResponse, Long> queryNumber(String name, long fallback, long least, long most) {
    String text = queryText(name);
    return text == null
        ? Either.right(fallback)
        : Texts.number("query parameter \"" + name + "\"", text, least, most);
  }

  private static String token(FullHttpRequest message) {
    String value = header(message, HttpHeaderNames.AUTHORIZATION);
    return value.regionMatches(true, 0, BEARER, 0, BEARER.length())
        ? value.substring(BEARER.length()).strip()
        : "";
  }

  private static String traceparent(FullHttpRequest message) {
    String value = header(message, "traceparent");
    return TRACEPARENT.matcher(value).matches() ? value : "";
  }

  private static String header(FullHttpRequest message, CharSequence name) {
    String value = message.headers().get(name);
    return value == null ? "" : value;
  }
}
