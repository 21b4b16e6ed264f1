package io.caperturn.entry.claim;

import static io.caperturn.testkit.platform.PlatformMode.NORMAL;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.caperturn.core.entry.ClaimResult;
import io.caperturn.core.entry.EntryEvent.ClaimSettled;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.Repeatability;
import io.caperturn.core.model.Submission;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.TaskSpec;
import io.caperturn.store.claim.ClaimOwner;
import io.caperturn.store.claim.ClaimPolicy;
import io.caperturn.store.claim.ClaimWriter;
import io.caperturn.store.http.HttpPlatformStore;
import io.caperturn.testkit.platform.PlatformBehaviour;
import io.caperturn.testkit.platform.PlatformMode;
import io.caperturn.testkit.platform.StandInPlatform;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Measurement of the latency of claims (rows that record which entry process owns a submission) against the stand-in
 * platform, with random arrivals from a fixed seed.
 *
 * <p>Not run with the tests; {@code bin/build -o test -pl caperturn-entry -am -Dtest=ClaimMeasurement
 * -Dsurefire.failIfNoSpecifiedTests=false} prints a line for each case. Latencies are counted from the scheduled
 * arrival, so that a stall counts for every claim that it delays. The first quarter of each run is warm-up and is left
 * out.
 */
class ClaimMeasurement {
    private static final long SEED = 7;
    /** Time until the stand-in platform has made a transaction with writes durable. */
    private static final long SYNC_MILLISECONDS = 4;

    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final int WARM_UP_DIVISOR = 4;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Histogram grantMicroseconds = new ConcurrentHistogram(/* significantDigits= */ 3);
    private final Histogram refusalMicroseconds = new ConcurrentHistogram(/* significantDigits= */ 3);
    /** Scheduled arrivals of claims without a result, in nanoseconds; {@link Long#MIN_VALUE} during the warm-up. */
    private final Map<SubmissionId, Long> arrivalTimes = new ConcurrentHashMap<>();

    private final AtomicLong grantCount = new AtomicLong();
    private final AtomicLong refusalCount = new AtomicLong();
    private volatile boolean isMeasuring;

    @ParameterizedTest
    @CsvSource({
        "10, 60, 0, 500, 1",
        "100, 20, 0, 500, 1",
        "1000, 20, 0, 500, 1",
        "10, 60, 20, 500, 1",
        "100, 20, 20, 500, 1",
        "1000, 20, 20, 500, 1",
    })
    void measuresOneEntry(
            int jobsPerSecond, int seconds, long batchIntervalMilliseconds, int writesPerSecond, int entries)
            throws Exception {
        run(jobsPerSecond, seconds, Duration.ofMillis(batchIntervalMilliseconds), writesPerSecond, entries, NORMAL);

        assertTrue(arrivalTimes.isEmpty());
    }

    @ParameterizedTest
    @CsvSource({
        "1000, 20, 0, 500, 3",
        "1000, 20, 20, 500, 3",
        "1000, 20, 0, 100, 3",
        "1000, 20, 0, 30, 3",
    })
    void measuresEntriesSharingStoreWriteLimit(
            int jobsPerSecond, int seconds, long batchIntervalMilliseconds, int writesPerSecond, int entries)
            throws Exception {
        run(jobsPerSecond, seconds, Duration.ofMillis(batchIntervalMilliseconds), writesPerSecond, entries, NORMAL);

        assertTrue(arrivalTimes.isEmpty());
    }

    @ParameterizedTest
    @EnumSource(
            value = PlatformMode.class,
            names = {"DOWN", "DOWN_SILENT", "REPLY_LOST"})
    void measuresRefusalsDuringOutage(PlatformMode mode) throws Exception {
        run(
                /* jobsPerSecond= */ 100,
                /* seconds= */ 16,
                Duration.ZERO,
                /* writesPerSecond= */ 500,
                /* entries= */ 1,
                mode);

        System.out.printf(
                "mode=%s refusals=%d p50_ms=%.1f p99_ms=%.1f max_ms=%.1f%n",
                mode,
                refusalMicroseconds.getTotalCount(),
                refusalMicroseconds.getValueAtPercentile(50) / 1_000.0,
                refusalMicroseconds.getValueAtPercentile(99) / 1_000.0,
                refusalMicroseconds.getMaxValue() / 1_000.0);
        assertTrue(arrivalTimes.isEmpty());
    }

    /** Requests claims while the store is in normal mode during the warm-up and in {@code mode} afterwards. */
    private void run(
            int jobsPerSecond, int seconds, Duration batchInterval, int writesPerSecond, int entries, PlatformMode mode)
            throws Exception {
        ClaimPolicy policy = new ClaimPolicy(
                batchInterval,
                /* timeout= */ Duration.ofSeconds(2),
                /* maximumBatch= */ 500,
                /* lifetime= */ Duration.ofDays(1),
                /* queueCapacity= */ 1 << 14);
        HttpClient client = new HttpClient();
        client.start();
        try (StandInPlatform platform = new StandInPlatform(io.caperturn.testkit.HostAndPort.FREE_LOOPBACK_PORT);
                HttpPlatformStore store =
                        new HttpPlatformStore(platform.address().toString(), Duration.ofSeconds(1))) {
            platform.setBehaviour(
                    new PlatformBehaviour(NORMAL, /* delayMilliseconds= */ 0, writesPerSecond, SYNC_MILLISECONDS));
            ClaimWriter[] writers = new ClaimWriter[entries];
            for (int number = 0; number < entries; number++) {
                ClaimOwner owner =
                        new ClaimOwner(new ProcessId("entry-" + number, /* incarnation= */ 1), "127.0.0.1:1");
                writers[number] = new ClaimWriter(store, owner, policy, this::recordResult);
                writers[number].start();
            }
            int warmUpClaims = jobsPerSecond * seconds / WARM_UP_DIVISOR;
            submitClaims(writers, jobsPerSecond, 0, warmUpClaims);
            platform.setBehaviour(
                    new PlatformBehaviour(mode, /* delayMilliseconds= */ 0, writesPerSecond, SYNC_MILLISECONDS));
            JsonNode before = readStoreCounters(client, platform);
            isMeasuring = true;
            submitClaims(writers, jobsPerSecond, warmUpClaims, jobsPerSecond * seconds);
            while (!arrivalTimes.isEmpty()) {
                LockSupport.parkNanos(1_000_000);
            }
            print(jobsPerSecond, batchInterval, writesPerSecond, entries, before, readStoreCounters(client, platform));
            for (ClaimWriter writer : writers) {
                writer.stop();
            }
        } finally {
            client.stop();
        }
    }

    private void submitClaims(ClaimWriter[] writers, int jobsPerSecond, int from, int to) {
        Random random = new Random(SEED + from);
        double nextArrivalNanoseconds = System.nanoTime();
        for (int number = from; number < to; number++) {
            nextArrivalNanoseconds += -Math.log(1 - random.nextDouble()) / jobsPerSecond * NANOSECONDS_PER_SECOND;
            while (System.nanoTime() < nextArrivalNanoseconds) {
                LockSupport.parkNanos((long) nextArrivalNanoseconds - System.nanoTime());
            }
            Submission submission = createSubmission(number);
            arrivalTimes.put(submission.id(), isMeasuring ? (long) nextArrivalNanoseconds : Long.MIN_VALUE);
            if (!writers[number % writers.length].requestClaim(submission, number)) {
                recordResult(new ClaimSettled(submission.id(), new ClaimResult.Unavailable("too many pending claims")));
            }
        }
    }

    private void recordResult(ClaimSettled event) {
        long arrivalTime = arrivalTimes.remove(event.submission());
        if (arrivalTime == Long.MIN_VALUE) {
            return;
        }
        if (event.result() instanceof ClaimResult.Granted) {
            grantCount.incrementAndGet();
            grantMicroseconds.recordValue(Math.max(0, (System.nanoTime() - arrivalTime) / 1_000));
        } else {
            refusalCount.incrementAndGet();
            refusalMicroseconds.recordValue(Math.max(0, (System.nanoTime() - arrivalTime) / 1_000));
        }
    }

    private void print(
            int jobsPerSecond,
            Duration batchInterval,
            int writesPerSecond,
            int entries,
            JsonNode before,
            JsonNode after) {
        double transactions = difference("transactions", before, after);
        double claims = difference("writes", before, after);
        System.out.printf(
                "jobs/s=%d entries=%d interval_ms=%d store_writes/s=%d granted=%d refused=%d transactions=%.0f "
                        + "claims/transaction=%.2f transactions/job=%.3f p50_ms=%.1f p99_ms=%.1f max_ms=%.1f%n",
                jobsPerSecond,
                entries,
                batchInterval.toMillis(),
                writesPerSecond,
                grantCount.get(),
                refusalCount.get(),
                transactions,
                claims / transactions,
                transactions / Math.max(1, grantCount.get()),
                grantMicroseconds.getValueAtPercentile(50) / 1_000.0,
                grantMicroseconds.getValueAtPercentile(99) / 1_000.0,
                grantMicroseconds.getMaxValue() / 1_000.0);
    }

    private static double difference(String counter, JsonNode before, JsonNode after) {
        return after.path(counter).asLong() - before.path(counter).asLong();
    }

    private static JsonNode readStoreCounters(HttpClient client, StandInPlatform platform) throws Exception {
        return MAPPER.readTree(
                client.GET("http://" + platform.address() + "/control").getContent());
    }

    private static Submission createSubmission(int number) {
        return new Submission(
                new SubmissionId("team", "job-" + number),
                "kind",
                Optional.empty(),
                Repeatability.AT_MOST_ONCE,
                Instant.now().plusSeconds(60),
                "digest",
                List.of(new TaskSpec("task", Optional.empty(), "{}")));
    }
}
