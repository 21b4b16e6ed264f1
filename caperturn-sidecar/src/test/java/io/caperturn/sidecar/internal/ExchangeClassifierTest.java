package io.caperturn.sidecar.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.caperturn.core.model.Execution;
import io.caperturn.core.model.TaskOutcome;
import java.io.EOFException;
import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.TimeoutException;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the outcomes of HTTP exchanges with upstreams that return 429 and 503 only if they did not start the task. */
class ExchangeClassifierTest {
    private static final Duration SERVICE_TIME = Duration.ofMillis(5);
    private static final boolean REQUEST_BEGUN = true;

    private final ExchangeClassifier classifier = new ExchangeClassifier(Set.of(429, 503));

    @ParameterizedTest
    @CsvSource({
        "100, MAY_HAVE_RUN", "199, MAY_HAVE_RUN", "301, MAY_HAVE_RUN", "304, MAY_HAVE_RUN", "400, MAY_HAVE_RUN",
        "401, MAY_HAVE_RUN", "404, MAY_HAVE_RUN", "408, MAY_HAVE_RUN", "429, NOT_RUN", "500, MAY_HAVE_RUN",
        "502, MAY_HAVE_RUN", "503, NOT_RUN", "504, MAY_HAVE_RUN"
    })
    void errorStatusIsClassified(int status, Execution execution) {
        TaskOutcome outcome = classifier.classify(new ExchangeResult.ResponseReceived(status, ""), SERVICE_TIME);
        assertEquals(execution, ((TaskOutcome.Failed) outcome).execution());
    }

    @ParameterizedTest
    @CsvSource({"200", "201", "204", "299"})
    void successReturnsBody(int status) {
        assertEquals(
                new TaskOutcome.Completed("{\"a\":1}", SERVICE_TIME),
                classifier.classify(new ExchangeResult.ResponseReceived(status, "{\"a\":1}"), SERVICE_TIME));
    }

    @ParameterizedTest
    @CsvSource({"'', null", "' ', null", "1, 1", "'[1,{}]', '[1,{}]'", "'\"a\"', '\"a\"'", "' null', ' null'"})
    void successfulBodyIsJsonResult(String body, String result) {
        assertEquals(
                new TaskOutcome.Completed(result, SERVICE_TIME),
                classifier.classify(new ExchangeResult.ResponseReceived(200, body), SERVICE_TIME));
    }

    @ParameterizedTest
    @ValueSource(strings = {"{", "{} {}", "{}]", "a", "\"a", "{\"a\":}", "<html>"})
    void taskWithMalformedJsonResultHasRunAndFailed(String body) {
        TaskOutcome outcome = classifier.classify(new ExchangeResult.ResponseReceived(200, body), SERVICE_TIME);
        assertEquals(Execution.RAN, ((TaskOutcome.Failed) outcome).execution());
    }

    @ParameterizedTest
    @CsvSource({"team/job-1_a, team/job-1_a", "a b, a%20b", "grün/%, gr%C3%BCn/%25", "'a\\r\\nb', a%0D%0Ab"})
    void headerIsPercentEncoded(String identity, String header) {
        assertEquals(header, HttpUpstreamClient.encodeHeader(identity.translateEscapes()));
    }

    @ParameterizedTest
    @CsvSource({"429", "503", "500"})
    void taskMayHaveRunIfStatusIsNotConfigured(int status) {
        TaskOutcome outcome = new ExchangeClassifier(Set.of())
                .classify(new ExchangeResult.ResponseReceived(status, ""), SERVICE_TIME);
        assertEquals(Execution.MAY_HAVE_RUN, ((TaskOutcome.Failed) outcome).execution());
    }

    static Stream<Arguments> failures() {
        return Stream.of(
                Arguments.of(new ConnectException("refused"), !REQUEST_BEGUN, Execution.NOT_RUN),
                Arguments.of(new ConnectException("refused"), REQUEST_BEGUN, Execution.MAY_HAVE_RUN),
                Arguments.of(new TimeoutException("total"), !REQUEST_BEGUN, Execution.MAY_HAVE_RUN),
                Arguments.of(new TimeoutException("total"), REQUEST_BEGUN, Execution.MAY_HAVE_RUN),
                Arguments.of(new SocketTimeoutException("connect"), !REQUEST_BEGUN, Execution.MAY_HAVE_RUN),
                Arguments.of(new SocketException("reset"), REQUEST_BEGUN, Execution.MAY_HAVE_RUN),
                Arguments.of(new EOFException("closed"), REQUEST_BEGUN, Execution.MAY_HAVE_RUN),
                Arguments.of(new IOException("broken pipe"), !REQUEST_BEGUN, Execution.MAY_HAVE_RUN),
                Arguments.of(
                        new IllegalArgumentException("buffering capacity exceeded"),
                        REQUEST_BEGUN,
                        Execution.MAY_HAVE_RUN),
                Arguments.of(null, REQUEST_BEGUN, Execution.MAY_HAVE_RUN));
    }

    @ParameterizedTest
    @MethodSource("failures")
    void onlyRefusedConnectionProvesThatTaskDidNotRun(Throwable failure, boolean requestBegun, Execution execution) {
        TaskOutcome outcome =
                classifier.classify(HttpUpstreamClient.failureResult(failure, requestBegun), SERVICE_TIME);
        assertEquals(execution, ((TaskOutcome.Failed) outcome).execution());
    }
}
