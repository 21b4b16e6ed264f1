package io.caperturn.entry.engine;

import io.caperturn.core.model.Answer;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.kernel.ServiceRegistry;
import io.caperturn.kernel.Service;
import io.caperturn.kernel.ServiceName;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Registry of those who wait for answers: HTTP clients here, and other entries that relayed a submission.
 *
 * <p>Each wait has a number of its own, so that an answer reaches just those who asked for it.
 */
public final class Waiters implements Service {
    /** Name under which the registry is found. */
    public static final ServiceName<Waiters> NAME = new ServiceName<>("waiters", Waiters.class);

    private final AtomicLong numbers = new AtomicLong();
    private final Map<Long, AnswerReceiver> receivers = new ConcurrentHashMap<>();

    /** Receiver of one answer; called on the engine's thread and must not block. */
    @FunctionalInterface
    public interface AnswerReceiver {
        /**
         * Takes the answer.
         *
         * @param submission the submission
         * @param answer its answer
         */
        void onAnswer(SubmissionId submission, Answer answer);
    }

    @Override
    public void start(ServiceRegistry kernel) {
        // Nothing to start: the registry is plain memory.
    }

    @Override
    public void stop() {
        receivers.clear();
    }

    /**
     * Registers a wait.
     *
     * @param receiver who waits
     * @return the number of the wait
     */
    public long register(AnswerReceiver receiver) {
        long number = numbers.incrementAndGet();
        receivers.put(number, receiver);
        return number;
    }

    /**
     * Ends a wait.
     *
     * @param number the number of the wait
     * @return who waited, or empty if the wait has ended before
     */
    public Optional<AnswerReceiver> take(long number) {
        return Optional.ofNullable(receivers.remove(number));
    }
}
