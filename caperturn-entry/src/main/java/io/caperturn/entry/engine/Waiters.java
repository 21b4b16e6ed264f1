package io.caperturn.entry.engine;

import io.caperturn.core.model.Answer;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.kernel.Service;
import io.caperturn.kernel.ServiceName;
import io.caperturn.kernel.ServiceRegistry;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Registry of the receivers waiting for answers: HTTP clients of this entry, and other entries that relayed a
 * submission to it.
 *
 * <p>Each waiter has an id of its own, so that an answer reaches only the receivers that requested it.
 */
public final class Waiters implements Service {
    /** Name under which the registry is registered in the {@link ServiceRegistry}. */
    public static final ServiceName<Waiters> NAME = new ServiceName<>("waiters", Waiters.class);

    private final AtomicLong lastId = new AtomicLong();
    private final Map<Long, AnswerReceiver> receivers = new ConcurrentHashMap<>();

    /**
     * Receiver of one answer. It is called on the engine's thread, or on the submitting thread if the engine's queue is
     * full, and must not block.
     */
    @FunctionalInterface
    public interface AnswerReceiver {
        /**
         * Receives the answer.
         *
         * @param submission the submission
         * @param answer its answer
         */
        void onAnswer(SubmissionId submission, Answer answer);
    }

    @Override
    public void start(ServiceRegistry services) {
        // The registry has no threads or connections to start.
    }

    @Override
    public void stop() {
        receivers.clear();
    }

    /**
     * Registers a waiter.
     *
     * @param receiver the receiver of the answer
     * @return the id of the waiter
     */
    public long register(AnswerReceiver receiver) {
        long id = lastId.incrementAndGet();
        receivers.put(id, receiver);
        return id;
    }

    /**
     * Removes a waiter.
     *
     * @param id the id of the waiter
     * @return its receiver, or empty if the waiter was removed before
     */
    public Optional<AnswerReceiver> remove(long id) {
        return Optional.ofNullable(receivers.remove(id));
    }
}
