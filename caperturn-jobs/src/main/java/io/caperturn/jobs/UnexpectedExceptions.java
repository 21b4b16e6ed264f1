package io.caperturn.jobs;

import java.util.stream.Stream;

/** Log lines and counts of unexpected exceptions, after which a process goes on. */
public final class UnexpectedExceptions {
    private UnexpectedExceptions() {}

    /**
     * Logs and counts an exception.
     *
     * @param log the log of the process
     * @param exception the exception
     * @param pairs further keys, each an {@link EventKey}, alternating with their values
     */
    public static void record(DecisionLog log, RuntimeException exception, Object... pairs) {
        StackTraceElement[] frames = exception.getStackTrace();
        String topFrame = frames.length == 0 ? "" : frames[0].toString();
        Object[] common = {EventKey.CAUSE, exception, EventKey.REASON, topFrame};
        log.event(
                EventName.EXCEPTION,
                Stream.concat(Stream.of(common), Stream.of(pairs)).toArray());
        log.count("exception");
    }
}
