package dev.bambootray.documents.json;

import java.util.Collection;
import java.util.Comparator;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Compares names of members and identifiers for suggestions in error messages. */
public final class Names {
  private static final int MAX_SHOWN = 60;
  private static final int MAX_DISTANCE = 2;
  private static final Pattern UNIT =
      Pattern.compile(
          "^(.+?)(Milliseconds|Millis|Ms|Seconds|Secs|Sec|S|Minutes|Min|Hours|H|Us|Ns"
              + "|Bytes|Kib|Mib|Gib|KiB|MiB|GiB|Kb|Mb|Gb|KB|MB|GB)$");
  private static final Map<String, String> UNITS =
      Map.of("Ms", "milliseconds", "Bytes", "bytes", "Mib", "MiB");

  private Names() {}

  /** Returns the text, cut to a length that fits on a line. */
  public static String abbreviate(String text) {
    return text.length() <= MAX_SHOWN ? text : text.substring(0, MAX_SHOWN) + "...";
  }

  /** Returns the name closest to the given one, if one is close enough to be a slip. */
  public static Optional<String> closest(String name, Collection<String> candidates) {
    if (name.length() > MAX_SHOWN) {
      return Optional.empty();
    }
    int allowed = Math.min(MAX_DISTANCE, Math.max(1, name.length() / 3));
    return candidates.stream()
        .filter(candidate -> Math.abs(candidate.length() - name.length()) <= allowed)
        .filter(candidate -> distance(name, candidate) <= allowed)
        .min(
            Comparator.<String>comparingInt(candidate -> distance(name, candidate))
                .thenComparing(Comparator.naturalOrder()));
  }

  /** Returns the name that differs from the given one only in its unit suffix, if there is one. */
  public static Optional<String> sameWithOtherUnit(String name, Collection<String> candidates) {
    String stem = stem(name);
    return candidates.stream()
        .filter(candidate -> UNIT.matcher(candidate).matches())
        .filter(candidate -> stem(candidate).equals(stem))
        .sorted()
        .findFirst();
  }

  /** Returns the unit that the suffix of a name states, followed by a phrase, or empty text. */
  public static String unitPhrase(String name) {
    Matcher matcher = UNIT.matcher(name);
    if (!matcher.matches()) {
      return "";
    }
    String unit = UNITS.get(matcher.group(2));
    return unit == null ? "" : " of " + unit;
  }

  /** Returns a number without a needless fraction. */
  public static String plain(double number) {
    return number == Math.rint(number) && Math.abs(number) < 1e15
        ? Long.toString((long) number)
        : Double.toString(number);
  }

  private static String stem(String name) {
    Matcher matcher = UNIT.matcher(name);
    return (matcher.matches() ? matcher.group(1) : name).toLowerCase(Locale.ROOT);
  }

  private static int distance(String a, String b) {
    int[] previous = new int[b.length() + 1];
    for (int j = 0; j <= b.length(); j++) {
      previous[j] = j;
    }
    for (int i = 1; i <= a.length(); i++) {
      int[] current = new int[b.length() + 1];
      current[0] = i;
      for (int j = 1; j <= b.length(); j++) {
        boolean same =
            Character.toLowerCase(a.charAt(i - 1)) == Character.toLowerCase(b.charAt(j - 1));
        int replaced = previous[j - 1] + (same ? 0 : 1);
        current[j] = Math.min(replaced, 1 + Math.min(previous[j], current[j - 1]));
      }
      previous = current;
    }
    return previous[b.length()];
  }
}
