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
 * Registry of waiters: HTTP clients of this entry process that wait for an answer, and other entries that relayed a
 * submission to this entry.
 *
 * <p>Each waiter has an id of its own, so that an answer reaches only the waiters that requested it.
 */
public final class WaiterRegistry implements Service {
    /** Name in the {@link ServiceRegistry}. */
    public static final ServiceName<WaiterRegistry> NAME = new ServiceName<>("waiters", WaiterRegistry.class);

    private final AtomicLong lastId = new AtomicLong();
    private final Map<Long, AnswerReceiver> receivers = new ConcurrentHashMap<>();

    /**
     * Callback with which one waiter receives its answer. It is called on the thread of the {@link EntryEventLoop}, or
     * on the submitting thread if the event loop's queue is full; it must not block.
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
     * @param receiver called with the answer
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
     * @return its callback, or empty if the waiter was removed before
     */
    public Optional<AnswerReceiver> remove(long id) {
        return Optional.ofNullable(receivers.remove(id));
    }
}
