package io.caperturn.cli.submit;

import io.caperturn.cli.ExitCode;
import io.caperturn.cli.Terminal;
import io.caperturn.cli.command.SubmitCommand;
import io.caperturn.cli.http.EntryClient;
import io.caperturn.cli.http.Exchange;
import io.caperturn.kernel.EventLine;
import java.io.IOException;
import java.io.PrintStream;
import java.time.Duration;
import java.util.Map;
import org.eclipse.jetty.http.HttpMethod;

/** Runs {@code submit}: builds the submission, sends it and reports its end. */
public final class SubmitAction {
    private static final Duration ANSWER_MARGIN = Duration.ofSeconds(5);
    private static final String KEY_HEADER = "Idempotency-Key";
    private static final String RESUBMISSION_HEADER = "Caperturn-Resubmission";

    private final SubmitCommand command;
    private final Terminal terminal;

    private SubmitAction(SubmitCommand command, Terminal terminal) {
        this.command = command;
        this.terminal = terminal;
    }

    /**
     * Submits as the options say.
     *
     * @param command the options
     * @param terminal where answer and progress go
     * @return how it ended
     */
    public static ExitCode run(SubmitCommand command, Terminal terminal) {
        SubmitAction action = new SubmitAction(command, terminal);
        return switch (new SubmissionBuilder(command).build()) {
            case SubmissionResult.Wrong(String message) -> {
                terminal.messages().println("caperturn submit: " + message);
                yield ExitCode.WRONG_USAGE;
            }
            case SubmissionResult.Built(Submission submission) -> action.submit(submission);
        };
    }

    private ExitCode submit(Submission submission) {
        if (command.key().isEmpty()) {
            terminal.messages().println("key " + submission.key() + " (submit again with --resubmit)");
        }
        long start = System.nanoTime();
        try (EntryClient client = EntryClient.open()) {
            Submitter submitter = new Submitter(
                    command.entries(),
                    (entry, sent, remaining) -> send(client, entry, sent, remaining),
                    Waiting.SYSTEM);
            SubmitOutcome outcome = Progress.during(() -> submitter.submit(submission), submission, terminal);
            return report(submission, outcome, Duration.ofNanos(System.nanoTime() - start));
        } catch (IOException e) {
            terminal.messages().println("caperturn submit: " + e.getMessage());
            return ExitCode.FAILED;
        }
    }

    private Exchange send(EntryClient client, String entry, Submission submission, Duration remaining) {
        return client.send(
                HttpMethod.POST,
                "http://" + entry + submission.path(),
                submission.bodyWithin(remaining),
                Map.of(KEY_HEADER, submission.key(), RESUBMISSION_HEADER, String.valueOf(command.resubmission())),
                remaining.plus(ANSWER_MARGIN));
    }

    private ExitCode report(Submission submission, SubmitOutcome outcome, Duration elapsed) {
        return switch (outcome) {
            case SubmitOutcome.Complete(String answer) -> {
                if (command.json()) {
                    terminal.output().println(answer);
                }
                PrintStream summary = command.json() ? terminal.messages() : terminal.output();
                summary.println(line("complete", submission, elapsed).with("tasks", submission.tasks()));
                yield ExitCode.DONE;
            }
            case SubmitOutcome.Refused(Problem problem) -> {
                terminal.messages().println(line("refused", submission, elapsed, problem));
                yield ExitCode.REFUSED;
            }
            case SubmitOutcome.Failed(Problem problem) -> {
                terminal.messages().println(line("failed", submission, elapsed, problem));
                yield ExitCode.FAILED;
            }
            case SubmitOutcome.NotSent(String cause) -> {
                terminal.messages()
                        .println(line("not-sent", submission, elapsed).with("detail", cause));
                yield command.resubmission() ? ExitCode.UNKNOWN : ExitCode.REFUSED;
            }
            case SubmitOutcome.Unknown(String cause) -> {
                terminal.messages().println(line("unknown", submission, elapsed).with("detail", cause));
                terminal.messages().println("ask again with --resubmit " + submission.key());
                yield ExitCode.UNKNOWN;
            }
        };
    }

    private static EventLine line(String event, Submission submission, Duration elapsed) {
        return EventLine.of(event)
                .with("submission", submission.identity())
                .with("elapsedMilliseconds", elapsed.toMillis());
    }

    private static EventLine line(String event, Submission submission, Duration elapsed, Problem problem) {
        EventLine line = line(event, submission, elapsed)
                .with("reason", problem.reason())
                .with("execution", problem.execution().label());
        problem.retryAfter().ifPresent(pause -> line.with("retryAfterMilliseconds", pause.toMillis()));
        return line.with("detail", problem.detail());
    }
}
