package io.caperturn.cli.submit;

import io.caperturn.cli.Terminal;
import java.util.Locale;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Line that shows how long a submission has waited, redrawn in place; shown only on an interactive terminal. */
final class ProgressLine {
    private static final int REDRAW_INTERVAL_MILLISECONDS = 200;
    private static final String CLEAR_LINE = "\r\u001b[K";

    private ProgressLine() {}

    /** Runs an action and redraws the line until the action returns. */
    static <T> T showDuring(Supplier<T> action, SubmissionRequest submission, Terminal terminal) {
        if (!terminal.interactive()) {
            return action.get();
        }
        long start = System.nanoTime();
        ScheduledExecutorService redrawTimer = Executors.newSingleThreadScheduledExecutor();
        redrawTimer.scheduleAtFixedRate(
                () -> draw(terminal, submission, System.nanoTime() - start),
                REDRAW_INTERVAL_MILLISECONDS,
                REDRAW_INTERVAL_MILLISECONDS,
                TimeUnit.MILLISECONDS);
        try {
            return action.get();
        } finally {
            redrawTimer.close();
            terminal.messages().print(CLEAR_LINE);
            terminal.messages().flush();
        }
    }

    private static void draw(Terminal terminal, SubmissionRequest submission, long elapsedNanoseconds) {
        String line = String.format(
                Locale.ROOT,
                "%s%s: %d tasks, waiting for %.1f s of %.1f s",
                CLEAR_LINE,
                submission.identity(),
                submission.tasks(),
                elapsedNanoseconds / 1e9,
                submission.deadline().toMillis() / 1e3);
        terminal.messages().print(line);
        terminal.messages().flush();
    }
}
