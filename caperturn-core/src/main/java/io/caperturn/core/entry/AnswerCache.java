package io.caperturn.core.entry;

import io.caperturn.core.model.Answer;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.TaskResult;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Cache of sent answers, from which clients that submit the same work again are answered.
 *
 * <p>The cache is bounded by age and by bytes; the oldest answers are evicted first. Confined to the thread of the
 * {@link EntryMachine}.
 */
final class AnswerCache {
    /** Approximate memory of a cached answer, and of each result in it, besides its strings. */
    private static final int OVERHEAD_BYTES = 200;

    private final Duration maximumAge;
    private final long maximumBytes;
    private final Map<SubmissionId, CachedAnswer> answers = new LinkedHashMap<>();
    private long totalBytes;

    AnswerCache(Duration maximumAge, long maximumBytes) {
        this.maximumAge = maximumAge;
        this.maximumBytes = maximumBytes;
    }

    void put(SubmissionId submission, String bodyDigest, Answer answer, Instant now) {
        CachedAnswer cached = new CachedAnswer(bodyDigest, answer, now, estimateBytes(answer));
        CachedAnswer replaced = answers.put(submission, cached);
        totalBytes += cached.estimatedBytes() - (replaced == null ? 0 : replaced.estimatedBytes());
        evict(now);
    }

    Optional<CachedAnswer> find(SubmissionId submission) {
        return Optional.ofNullable(answers.get(submission));
    }

    void evict(Instant now) {
        var oldest = answers.values().iterator();
        while (oldest.hasNext()) {
            CachedAnswer cached = oldest.next();
            boolean withinSize = totalBytes <= maximumBytes;
            boolean withinAge = now.isBefore(cached.answeredAt().plus(maximumAge));
            if (withinSize && withinAge) {
                return;
            }
            totalBytes -= cached.estimatedBytes();
            oldest.remove();
        }
    }

    private static long estimateBytes(Answer answer) {
        return switch (answer) {
            case Answer.Failed failed -> OVERHEAD_BYTES + failed.detail().length();
            case Answer.Complete complete ->
                OVERHEAD_BYTES
                        + complete.results().stream()
                                .mapToLong(AnswerCache::estimateBytes)
                                .sum();
        };
    }

    private static long estimateBytes(TaskResult result) {
        return OVERHEAD_BYTES + result.task().length() + result.result().length();
    }

    /**
     * A cached answer.
     *
     * @param bodyDigest the digest of the submission's body
     * @param answer the answer
     * @param answeredAt the time at which the answer was sent
     * @param estimatedBytes its approximate size in memory, in bytes
     */
    record CachedAnswer(String bodyDigest, Answer answer, Instant answeredAt, long estimatedBytes) {}
}
