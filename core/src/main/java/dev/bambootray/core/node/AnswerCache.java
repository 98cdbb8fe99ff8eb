package dev.bambootray.core.node;

import dev.bambootray.core.model.Answer;
import dev.bambootray.core.model.RequestKey;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Caches the latest answers, so that a message that was sent before the answer arrived does not
 * start the request again.
 */
final class AnswerCache {
  private static final int MAX_ANSWERS = 2_000;

  private final Map<RequestKey, Answer> answers =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<RequestKey, Answer> eldest) {
          return size() > MAX_ANSWERS;
        }
      };

  void add(Answer answer) {
    answers.put(answer.key(), answer);
  }

  @Nullable Answer find(RequestKey key) {
    return answers.get(key);
  }
}
