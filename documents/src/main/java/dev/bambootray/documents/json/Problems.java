package dev.bambootray.documents.json;

import java.util.ArrayList;
import java.util.List;

/** Collects the errors of one document. */
public final class Problems {
  /** Errors that are kept; a text of 8 MiB could otherwise produce millions. */
  public static final int MAX_KEPT = 200;

  private final String file;
  private final List<Problem> kept = new ArrayList<>();
  private int count;

  private Problems(String file) {
    this.file = file;
  }

  /** Returns an empty collection for the document with the given name. */
  public static Problems of(String file) {
    return new Problems(file);
  }

  /** Adds an error of one item. */
  public void add(Place place, String path, String found, String expected) {
    add(new Problem(file, place, path, "found " + found + ", expected " + expected));
  }

  /** Adds an error of the whole document. */
  public void add(Place place, String message) {
    add(new Problem(file, place, "", message));
  }

  private void add(Problem problem) {
    count++;
    if (!isFull()) {
      kept.add(problem);
    }
  }

  /** Returns the number of errors so far, including those that were not kept. */
  public int count() {
    return count;
  }

  /** Returns whether further errors are only counted, so that their text need not be made. */
  public boolean isFull() {
    return kept.size() >= MAX_KEPT;
  }

  /** Returns whether there is no error. */
  public boolean isEmpty() {
    return count == 0;
  }

  /** Returns the errors that were kept, in the order in which they were found. */
  public List<Problem> list() {
    return List.copyOf(kept);
  }

  /** Returns one line for each error in the order of their places, and one for those dropped. */
  public List<String> lines() {
    List<String> lines = new ArrayList<>();
    kept.stream()
        .sorted(
            (a, b) ->
                a.place().line() != b.place().line()
                    ? Integer.compare(a.place().line(), b.place().line())
                    : Integer.compare(a.place().column(), b.place().column()))
        .forEach(problem -> lines.add(problem.toString()));
    if (count > kept.size()) {
      lines.add(file + ": " + (count - kept.size()) + " more errors are not shown");
    }
    return lines;
  }
}
