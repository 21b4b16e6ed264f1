package io.caperturn.cli.submit;

import io.caperturn.cli.Terminal;
import java.util.Locale;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Line on an interactive terminal that shows how long a submission has been waiting; elsewhere nothing. */
final class Progress {
    private static final int REDRAW_MILLISECONDS = 200;
    private static final String CLEAR_LINE = "\r\u001b[K";

    private Progress() {}

    static <T> T during(Supplier<T> work, Submission submission, Terminal terminal) {
        if (!terminal.interactive()) {
            return work.get();
        }
        long start = System.nanoTime();
        ScheduledExecutorService redraw = Executors.newSingleThreadScheduledExecutor();
        redraw.scheduleAtFixedRate(
                () -> draw(terminal, submission, System.nanoTime() - start),
                REDRAW_MILLISECONDS,
                REDRAW_MILLISECONDS,
                TimeUnit.MILLISECONDS);
        try {
            return work.get();
        } finally {
            redraw.close();
            terminal.messages().print(CLEAR_LINE);
            terminal.messages().flush();
        }
    }

    private static void draw(Terminal terminal, Submission submission, long elapsedNanoseconds) {
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
