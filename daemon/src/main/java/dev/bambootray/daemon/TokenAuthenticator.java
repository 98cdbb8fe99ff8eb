package dev.bambootray.daemon;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.WorkspaceDeclaration;
import dev.bambootray.core.model.ExecutionStatus;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestStep;
import dev.bambootray.ports.api.Principal;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;

/** Authenticates bearer tokens by their SHA-256 digests. */
final class TokenAuthenticator {
  private final String operatorDigest;
  private volatile Map<String, Principal> principals = Map.of();

  private TokenAuthenticator(String operatorDigest) {
    this.operatorDigest = operatorDigest;
  }

  /** Returns an instance that accepts only the operator's token. */
  static TokenAuthenticator forOperator(String operatorToken) {
    return new TokenAuthenticator(digest(operatorToken));
  }

  /** Replaces the accepted workspace tokens by those of a declaration. */
  void use(Declaration declaration) {
    Map<String, Principal> next = new HashMap<>();
    for (WorkspaceDeclaration workspace : declaration.workspaces().values()) {
      workspace
          .tokenSha256()
          .forEach(digest -> next.put(digest, new Principal(workspace.id(), false)));
    }
    principals = next;
  }

  /** Returns the principal that a token belongs to, or an error. */
  Either<RequestError, Principal> authenticate(String token) {
    String digest = digest(token);
    if (!token.isEmpty() && isEqual(digest, operatorDigest)) {
      return Either.right(new Principal(null, true));
    }
    Principal found = principals.get(digest);
    if (found != null) {
      return Either.right(found);
    }
    return Either.left(
        new RequestError(
            RequestStep.AUTHENTICATION,
            "local",
            token.isEmpty() ? "no bearer token was sent" : "the bearer token is not known",
            ExecutionStatus.NO,
            false,
            null));
  }

  private static boolean isEqual(String left, String right) {
    return MessageDigest.isEqual(
        left.getBytes(StandardCharsets.US_ASCII), right.getBytes(StandardCharsets.US_ASCII));
  }

  private static String digest(String token) {
    try {
      return HexFormat.of()
          .formatHex(
              MessageDigest.getInstance("SHA-256").digest(token.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
