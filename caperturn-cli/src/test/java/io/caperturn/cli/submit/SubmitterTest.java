package io.caperturn.cli.submit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.caperturn.cli.http.HttpResult;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the retries of a submission at the entry processes a:1 and b:2, whose results are scripted. */
class SubmitterTest {
    /** Job of 2 tasks with a deadline of 10 s. */
    private static final SubmissionRequest SUBMISSION = new SubmissionRequest(
            "/v1/jobs", "demo", "key-1", JsonNodeFactory.instance.objectNode(), 2, Duration.ofSeconds(10));

    private static final HttpResult COMPLETE = response(200, "{\"results\":[{},{}]}");
    private static final HttpResult NOT_SENT = new HttpResult.NotSent("refused");

    private final Deque<HttpResult> scriptedResults = new ArrayDeque<>();
    private final List<String> calls = new ArrayList<>();
    private final List<String> bodies = new ArrayList<>();
    private final List<Duration> retryDelays = new ArrayList<>();

    private static HttpResult response(int status, String body) {
        return new HttpResult.Response(status, body, Optional.empty());
    }

    private static HttpResult problemResponse(String execution, String otherJsonMembers) {
        return response(
                503,
                "{\"reason\":\"some\",\"execution\":\"" + execution + "\",\"detail\":\"why\"" + otherJsonMembers + "}");
    }

    private static HttpResult refusal(int retryAfterMilliseconds) {
        return refusal("not-run", retryAfterMilliseconds);
    }

    private static HttpResult refusal(String execution, int retryAfterMilliseconds) {
        return problemResponse(execution, ",\"retryAfterMilliseconds\":" + retryAfterMilliseconds);
    }

    private SubmitOutcome submit(HttpResult... results) {
        scriptedResults.addAll(List.of(results));
        return new Submitter(List.of("a:1", "b:2"), this::nextResult, new ManualClock()).submit(SUBMISSION);
    }

    private HttpResult nextResult(String entry, SubmissionRequest submission, Duration remaining) {
        calls.add(entry + " " + submission.key());
        bodies.add(submission.bodyWithDeadline(remaining));
        return scriptedResults.removeFirst();
    }

    @ParameterizedTest
    @ValueSource(strings = {"not-run", "attempt-not-run"})
    void retriableRefusalIsRetriedAtNextEntryWithSameKey(String execution) {
        assertInstanceOf(SubmitOutcome.Complete.class, submit(refusal(execution, 500), COMPLETE));
        assertEquals(List.of("a:1 key-1", "b:2 key-1"), calls);
    }

    @Test
    void nextEntryIsTriedAfterUnreachableEntry() {
        assertInstanceOf(SubmitOutcome.Complete.class, submit(NOT_SENT, COMPLETE));
    }

    @Test
    void submissionIsNotRetriedIfNoEntryIsReachable() {
        assertInstanceOf(SubmitOutcome.NotSent.class, submit(NOT_SENT, NOT_SENT));
    }

    @Test
    void shortestRetryDelayOfAllEntriesIsUsed() {
        assertInstanceOf(SubmitOutcome.Complete.class, submit(refusal(700), refusal(300), COMPLETE));
        assertEquals(List.of(Duration.ofMillis(300)), retryDelays);
    }

    @Test
    void retryCarriesRemainingDeadline() {
        submit(refusal(700), refusal(700), COMPLETE);
        assertEquals("{\"deadlineMilliseconds\":9300}", bodies.getLast());
    }

    @Test
    void retryBeyondTheDeadlineIsNotMade() {
        assertInstanceOf(SubmitOutcome.Refused.class, submit(refusal(6_000), refusal(6_000), refusal(6_000), NOT_SENT));
        assertEquals(4, calls.size());
    }

    @ParameterizedTest
    @CsvSource({"may-have-run", "ran"})
    void failureIsNeverRetriedEvenWithRetryAfter(String execution) {
        HttpResult failure = problemResponse(execution, ",\"retryAfterMilliseconds\":1");
        assertInstanceOf(SubmitOutcome.Failed.class, submit(failure));
    }

    @ParameterizedTest
    @ValueSource(strings = {"not-run", "attempt-not-run"})
    void refusalWithoutRetryDelayIsNotRetried(String execution) {
        assertInstanceOf(SubmitOutcome.Refused.class, submit(problemResponse(execution, "")));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {"200 | {\"results\":[{}]}", "200 | oops", "502 | bad gateway", "503 | {\"execution\":\"perhaps\"}"
            })
    void inconclusiveResponseIsUnknown(int status, String body) {
        assertInstanceOf(SubmitOutcome.Unknown.class, submit(response(status, body)));
    }

    @Test
    void missingResponseIsUnknownAndNotRetried() {
        assertInstanceOf(SubmitOutcome.Unknown.class, submit(new HttpResult.Unconfirmed("reset")));
    }

    private final class ManualClock implements RetryClock {
        private Duration now = Duration.ZERO;

        @Override
        public Duration now() {
            return now;
        }

        @Override
        public void sleep(Duration duration) {
            retryDelays.add(duration);
            now = now.plus(duration);
        }
    }
}
