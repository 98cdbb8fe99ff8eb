package dev.bambootray.adapters.telemetry;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Pattern;

/**
 * Removes secrets from texts before they are logged or traced: registered values wherever they
 * appear, and whatever has the form of a bearer token, a private key or a named secret.
 */
public final class Redaction {
  private static final String MASK = "***";
  private static final int MIN_REGISTERED_CHARS = 6;

  private static final Pattern PRIVATE_KEY =
      Pattern.compile(
          "-----BEGIN [A-Z ]*PRIVATE KEY-----.*?(-----END [A-Z ]*PRIVATE KEY-----|\\z)",
          Pattern.DOTALL);
  private static final Pattern BEARER = Pattern.compile("(?i)\\b(bearer|basic)\\s+[^\\s\"',;]+");
  private static final Pattern NAMED =
      Pattern.compile(
          "(?i)([\"']?[\\w.-]*(?:token|secret|password|passphrase|authorization|api_?key)[\"']?"
              + "\\s*[:=]\\s*)(\"(?:[^\"\\\\]|\\\\.)*\"?|'[^']*'?|[^\\s,;}\\]]+)");

  private static final Set<String> REGISTERED = ConcurrentHashMap.newKeySet();

  private Redaction() {}

  /**
   * Registers a secret, for example the operator token from the settings, so that it is masked
   * wherever it appears. Texts of fewer than 6 characters are ignored, because masking them would
   * make logs unreadable.
   */
  public static void register(String secret) {
    if (secret.length() >= MIN_REGISTERED_CHARS) {
      REGISTERED.add(secret);
    }
  }

  /** Returns the text without secrets. */
  public static String redact(String text) {
    String result = text;
    for (String secret : REGISTERED) {
      result = result.replace(secret, MASK);
    }
    result = PRIVATE_KEY.matcher(result).replaceAll(MASK);
    result = BEARER.matcher(result).replaceAll("$1 " + MASK);
    return NAMED.matcher(result).replaceAll("$1" + MASK);
  }
}
