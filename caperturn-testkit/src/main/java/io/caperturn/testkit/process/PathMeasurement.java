package io.caperturn.testkit.process;

import io.caperturn.testkit.Endpoint;
import io.caperturn.testkit.http.Json;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Response time of one client by several ways to an upstream, one request at a time.
 *
 * <p>The ways take turns, so that a change of the machine's load meets them alike.
 *
 * @param entry the entry's HTTP address
 * @param upstream the upstream's HTTP address
 * @param kind the kind of work
 * @param runMilliseconds how long each task runs
 */
public record PathMeasurement(Endpoint entry, Endpoint upstream, String kind, int runMilliseconds) {
    private static final int DEADLINE_MILLISECONDS = 10_000;
    private static final String TEAM = "measurement";

    /** Way from the client to the upstream. */
    public enum Way {
        /** To the upstream itself. */
        DIRECT,
        /** Through the entry, as an idempotent request, which needs no claim. */
        REQUEST,
        /** Through the entry, as a job of one task, which needs a claim. */
        JOB
    }

    /** Checks the range. */
    public PathMeasurement {
        if (runMilliseconds < 0) {
            throw new IllegalArgumentException("runMilliseconds must not be negative");
        }
    }

    /**
     * Response times by one way.
     *
     * @param sortedMicroseconds the times in ascending order
     */
    public record Times(List<Long> sortedMicroseconds) {
        /** Copies the times. */
        public Times {
            sortedMicroseconds = List.copyOf(sortedMicroseconds);
        }

        /**
         * Returns a quantile.
         *
         * @param quantile between 0 and 1
         * @return the time in milliseconds
         */
        public double quantileMilliseconds(double quantile) {
            int index = (int) Math.ceil(quantile * sortedMicroseconds.size()) - 1;
            return sortedMicroseconds.get(Math.max(0, index)) / (double) TimeUnit.MILLISECONDS.toMicros(1);
        }
    }

    /**
     * Measures.
     *
     * @param warmUpRounds rounds whose times don't count
     * @param rounds rounds that count, each of one request by each way
     * @return the times by way
     * @throws AssertionError if a request is not answered with success
     */
    public Map<Way, Times> run(int warmUpRounds, int rounds) {
        Map<Way, List<Long>> times = new EnumMap<>(Way.class);
        String series = Long.toString(System.nanoTime());
        try (EntryClient client = new EntryClient()) {
            for (int round = 0; round < warmUpRounds + rounds; round++) {
                for (Way way : Way.values()) {
                    long microseconds = once(client, way, series + "-" + round);
                    if (round >= warmUpRounds) {
                        times.computeIfAbsent(way, ignored -> new ArrayList<>()).add(microseconds);
                    }
                }
            }
        }
        Map<Way, Times> sorted = new EnumMap<>(Way.class);
        times.forEach((way, list) -> {
            Collections.sort(list);
            sorted.put(way, new Times(list));
        });
        return sorted;
    }

    private long once(EntryClient client, Way way, String key) {
        Submission submission = new Submission(TEAM, way + "-" + key, kind, 1, runMilliseconds, DEADLINE_MILLISECONDS);
        ClientAnswer answer = switch (way) {
            case DIRECT -> direct(client, submission);
            case REQUEST -> client.submitRequest(entry, submission, true).join();
            case JOB -> client.submitJob(entry, submission).join();
        };
        if (!answer.isComplete()) {
            throw new AssertionError(way + " answered " + answer);
        }
        return TimeUnit.NANOSECONDS.toMicros(answer.took().toNanos());
    }

    private ClientAnswer direct(EntryClient client, Submission submission) {
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
                "POST", upstream, "/v1/tasks", headers, Json.object().put("runMilliseconds", runMilliseconds));
    }
}
