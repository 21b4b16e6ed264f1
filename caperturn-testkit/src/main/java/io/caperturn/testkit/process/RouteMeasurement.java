package io.caperturn.testkit.process;

import io.caperturn.testkit.HostAndPort;
import io.caperturn.testkit.http.TestkitJson;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Measures the response times of one client by each {@link Route} to an upstream, one request at a time.
 *
 * <p>Each round sends one request by every route, so that a change in machine load affects all routes alike.
 *
 * @param entry the HTTP address of the entry, a process that accepts submissions
 * @param upstream the HTTP address of the upstream
 * @param kind the kind of work
 * @param runMilliseconds the run time of each task, in milliseconds
 */
public record RouteMeasurement(HostAndPort entry, HostAndPort upstream, String kind, int runMilliseconds) {
    private static final int DEADLINE_MILLISECONDS = 10_000;
    private static final String TEAM = "measurement";

    /** Route from the client to the upstream. */
    public enum Route {
        /** Directly to the upstream. */
        DIRECT,
        /** Through the entry, as an idempotent request, which needs no claim (durable record of its owner). */
        REQUEST,
        /** Through the entry, as a job of one task, which needs a claim. */
        JOB
    }

    /** Checks that the run time is not negative. */
    public RouteMeasurement {
        if (runMilliseconds < 0) {
            throw new IllegalArgumentException("runMilliseconds must not be negative");
        }
    }

    /**
     * Response times by one route.
     *
     * @param sortedMicroseconds the times in microseconds, in ascending order
     */
    public record ResponseTimes(List<Long> sortedMicroseconds) {
        /** Copies the times. */
        public ResponseTimes {
            sortedMicroseconds = List.copyOf(sortedMicroseconds);
        }

        /**
         * Returns a quantile of the times.
         *
         * @param quantile the quantile, between 0 and 1
         * @return the time in milliseconds
         */
        public double quantileMilliseconds(double quantile) {
            int index = (int) Math.ceil(quantile * sortedMicroseconds.size()) - 1;
            return sortedMicroseconds.get(Math.max(0, index)) / (double) TimeUnit.MILLISECONDS.toMicros(1);
        }
    }

    /**
     * Runs the measurement.
     *
     * @param warmUpRounds the number of rounds before the measurement, whose times are discarded
     * @param rounds the number of measured rounds
     * @return the response times by route
     * @throws AssertionError if a request is not answered with status 200
     */
    public Map<Route, ResponseTimes> run(int warmUpRounds, int rounds) {
        Map<Route, List<Long>> microsecondsByRoute = new EnumMap<>(Route.class);
        String runId = Long.toString(System.nanoTime());
        try (TestClient client = new TestClient()) {
            for (int round = 0; round < warmUpRounds + rounds; round++) {
                for (Route route : Route.values()) {
                    long microseconds = measureOnce(client, route, runId + "-" + round);
                    if (round >= warmUpRounds) {
                        microsecondsByRoute
                                .computeIfAbsent(route, ignored -> new ArrayList<>())
                                .add(microseconds);
                    }
                }
            }
        }
        Map<Route, ResponseTimes> responseTimes = new EnumMap<>(Route.class);
        microsecondsByRoute.forEach((route, routeTimes) -> {
            Collections.sort(routeTimes);
            responseTimes.put(route, new ResponseTimes(routeTimes));
        });
        return responseTimes;
    }

    private long measureOnce(TestClient client, Route route, String key) {
        ClientSubmission submission =
                new ClientSubmission(TEAM, route + "-" + key, kind, 1, runMilliseconds, DEADLINE_MILLISECONDS);
        ClientResponse response = switch (route) {
            case DIRECT -> sendDirectly(client, submission);
            case REQUEST -> client.submitRequest(entry, submission, true).join();
            case JOB -> client.submitJob(entry, submission).join();
        };
        if (!response.isSuccessful()) {
            throw new AssertionError(route + " answered " + response);
        }
        return TimeUnit.NANOSECONDS.toMicros(response.duration().toNanos());
    }

    private ClientResponse sendDirectly(TestClient client, ClientSubmission submission) {
        // Attempt 0.1 is the first without a claim.
        Map<String, String> headers = Map.of(
                "Caperturn-Submission",
                submission.identity(),
                "Caperturn-Task",
                "t0",
                "Caperturn-Attempt",
                "0.1",
                "Caperturn-Kind",
                kind);
        return client.exchange(
                "POST", upstream, "/v1/tasks", headers, TestkitJson.object().put("runMilliseconds", runMilliseconds));
    }
}
