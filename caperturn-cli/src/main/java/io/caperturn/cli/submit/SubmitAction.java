package io.caperturn.cli.submit;

import io.caperturn.cli.ExitCode;
import io.caperturn.cli.Terminal;
import io.caperturn.cli.command.SubmitCommand;
import io.caperturn.cli.http.EntryHttpClient;
import io.caperturn.cli.http.HttpResult;
import io.caperturn.kernel.EventLine;
import java.io.IOException;
import java.io.PrintStream;
import java.time.Duration;
import java.util.Map;
import org.eclipse.jetty.http.HttpMethod;

/** Runs {@code submit}: builds the submission, sends it and reports its outcome. */
public final class SubmitAction {
    /**
     * Time added to the deadline for the HTTP time-out, so that the entry process can still answer that the deadline
     * passed.
     */
    private static final Duration RESPONSE_MARGIN = Duration.ofSeconds(5);

    private static final String KEY_HEADER = "Idempotency-Key";
    /** Header that tells an entry whether the submission may have been sent before. */
    private static final String RESUBMISSION_HEADER = "Caperturn-Resubmission";

    private final SubmitCommand command;
    private final Terminal terminal;

    private SubmitAction(SubmitCommand command, Terminal terminal) {
        this.command = command;
        this.terminal = terminal;
    }

    /**
     * Submits the work that the options describe and waits for the answer.
     *
     * @param command the options
     * @param terminal the terminal for the answer and the progress
     * @return the exit code for the outcome
     */
    public static ExitCode run(SubmitCommand command, Terminal terminal) {
        SubmitAction action = new SubmitAction(command, terminal);
        return switch (new SubmissionRequestBuilder(command).build()) {
            case SubmissionBuildResult.Invalid(String message) -> {
                terminal.messages().println("caperturn submit: " + message);
                yield ExitCode.WRONG_USAGE;
            }
            case SubmissionBuildResult.Built(SubmissionRequest submission) -> action.submit(submission);
        };
    }

    private ExitCode submit(SubmissionRequest submission) {
        if (command.key().isEmpty()) {
            terminal.messages().println("key " + submission.key() + " (submit again with --resubmit)");
        }
        long start = System.nanoTime();
        try (EntryHttpClient client = EntryHttpClient.open()) {
            Submitter submitter = new Submitter(
                    command.entries(),
                    (entry, sentSubmission, remaining) -> send(client, entry, sentSubmission, remaining),
                    RetryClock.SYSTEM);
            SubmitOutcome outcome = ProgressLine.showDuring(() -> submitter.submit(submission), submission, terminal);
            return report(submission, outcome, Duration.ofNanos(System.nanoTime() - start));
        } catch (IOException e) {
            terminal.messages().println("caperturn submit: " + e.getMessage());
            return ExitCode.FAILED;
        }
    }

    private HttpResult send(EntryHttpClient client, String entry, SubmissionRequest submission, Duration remaining) {
        return client.send(
                HttpMethod.POST,
                "http://" + entry + submission.path(),
                submission.bodyWithDeadline(remaining),
                Map.of(KEY_HEADER, submission.key(), RESUBMISSION_HEADER, String.valueOf(command.isResubmission())),
                remaining.plus(RESPONSE_MARGIN));
    }

    private ExitCode report(SubmissionRequest submission, SubmitOutcome outcome, Duration elapsed) {
        return switch (outcome) {
            case SubmitOutcome.Complete(String answer) -> {
                if (command.isJson()) {
                    terminal.output().println(answer);
                }
                PrintStream summary = command.isJson() ? terminal.messages() : terminal.output();
                summary.println(eventLine("complete", submission, elapsed).with("tasks", submission.tasks()));
                yield ExitCode.DONE;
            }
            case SubmitOutcome.Refused(SubmissionProblem problem) -> {
                terminal.messages().println(eventLine("refused", submission, elapsed, problem));
                yield ExitCode.REFUSED;
            }
            case SubmitOutcome.Failed(SubmissionProblem problem) -> {
                terminal.messages().println(eventLine("failed", submission, elapsed, problem));
                yield ExitCode.FAILED;
            }
            case SubmitOutcome.NotSent(String cause) -> {
                terminal.messages()
                        .println(eventLine("not-sent", submission, elapsed).with("detail", cause));
                // An earlier submission with this key may have run.
                yield command.isResubmission() ? ExitCode.UNKNOWN : ExitCode.REFUSED;
            }
            case SubmitOutcome.Unknown(String cause) -> {
                terminal.messages()
                        .println(eventLine("unknown", submission, elapsed).with("detail", cause));
                terminal.messages().println("retry with --resubmit " + submission.key());
                yield ExitCode.UNKNOWN;
            }
        };
    }

    private static EventLine eventLine(String event, SubmissionRequest submission, Duration elapsed) {
        return EventLine.of(event)
                .with("submission", submission.identity())
                .with("elapsedMilliseconds", elapsed.toMillis());
    }

    private static EventLine eventLine(
            String event, SubmissionRequest submission, Duration elapsed, SubmissionProblem problem) {
        EventLine line = eventLine(event, submission, elapsed)
                .with("reason", problem.reason())
                .with("execution", problem.execution().label());
        problem.retryAfter().ifPresent(delay -> line.with("retryAfterMilliseconds", delay.toMillis()));
        return line.with("detail", problem.detail());
    }
}
