package io.caperturn.store.claim;

import static io.caperturn.store.FakePlatformStore.Fault.LIMITED;
import static io.caperturn.store.FakePlatformStore.Fault.NONE;
import static io.caperturn.store.FakePlatformStore.Fault.REFUSED;
import static io.caperturn.store.FakePlatformStore.Fault.REPLY_LOST_AFTER_COMMIT;
import static io.caperturn.store.FakePlatformStore.Fault.REPLY_LOST_BEFORE_COMMIT;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import io.caperturn.core.entry.ClaimResult;
import io.caperturn.core.entry.EntryEvent.ClaimSettled;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.Repeatability;
import io.caperturn.core.model.Submission;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.TaskSpec;
import io.caperturn.store.FakePlatformStore;
import io.caperturn.store.FakePlatformStore.Fault;
import io.caperturn.store.internal.ClaimRow;
import io.caperturn.store.internal.StoreJson;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests of the claim writer, which records in the store which entry owns a submission, under faults of the store. */
class ClaimWriterTest {
    private static final ProcessId SELF = new ProcessId("entry-1", 7);
    private static final ProcessId OTHER = new ProcessId("entry-2", 9);
    private static final long REQUEST = 5;
    private static final long EARLIER_REQUEST = 4;
    private static final Instant CLAIMED_AT = Instant.parse("2026-01-01T00:00:00Z");
    private static final String DIGEST = "digest";
    private static final int WAIT_SECONDS = 10;
    private static final Duration CLAIM_TIMEOUT = Duration.ofMinutes(1);

    private final FakePlatformStore store = new FakePlatformStore();
    private final BlockingQueue<ClaimSettled> results = new LinkedBlockingQueue<>();
    private final ClaimWriter writer = writer(SELF, CLAIM_TIMEOUT);

    private ClaimWriter writer(ProcessId process, Duration timeout) {
        ClaimPolicy policy = new ClaimPolicy(Duration.ZERO, timeout, 100, Duration.ofDays(1), 1_024);
        return new ClaimWriter(store, new ClaimOwner(process, "127.0.0.1:1"), policy, results::add);
    }

    @AfterEach
    void stop() {
        writer.stop();
    }

    static Stream<Arguments> faults() {
        ClaimResult granted = new ClaimResult.Granted(1, REQUEST);
        return Stream.of(
                arguments(List.of(NONE), granted),
                arguments(List.of(REPLY_LOST_BEFORE_COMMIT), granted),
                arguments(List.of(REPLY_LOST_AFTER_COMMIT), granted),
                arguments(List.of(REPLY_LOST_BEFORE_COMMIT, REPLY_LOST_AFTER_COMMIT), granted),
                arguments(List.of(REPLY_LOST_AFTER_COMMIT, REFUSED, REFUSED), granted),
                arguments(List.of(REPLY_LOST_BEFORE_COMMIT, REFUSED), granted),
                arguments(List.of(LIMITED, LIMITED), granted),
                arguments(List.of(REPLY_LOST_AFTER_COMMIT, LIMITED), granted),
                arguments(List.of(REFUSED), new ClaimResult.Unavailable("refused")));
    }

    @ParameterizedTest
    @MethodSource("faults")
    void resultMatchesStoredRowUnderEachFault(List<Fault> faults, ClaimResult expected) throws InterruptedException {
        store.failNext(faults);
        writer.start();

        writer.requestClaim(submission("job", DIGEST), REQUEST);

        assertEquals(expected, next().result());
        boolean written = store.row(key("job")).version() > 0;
        assertEquals(expected instanceof ClaimResult.Granted, written);
    }

    @Test
    void reportsUnavailableAtTimeout() throws InterruptedException {
        store.failAlways(REPLY_LOST_BEFORE_COMMIT);
        ClaimWriter writerWithShortTimeout = writer(SELF, Duration.ofMillis(200));
        writerWithShortTimeout.start();

        writerWithShortTimeout.requestClaim(submission("job", DIGEST), REQUEST);

        assertInstanceOf(ClaimResult.Unavailable.class, next().result());
        writerWithShortTimeout.stop();
    }

    static Stream<Arguments> currentRows() {
        ClaimResult held = new ClaimResult.HeldByOther(OTHER, "127.0.0.1:2", 4, DIGEST, CLAIMED_AT);
        return Stream.of(
                arguments(SELF, DIGEST, 1, new ClaimResult.Granted(4, EARLIER_REQUEST)),
                arguments(
                        SELF, "another", 1, new ClaimResult.HeldByOther(SELF, "127.0.0.1:2", 4, "another", CLAIMED_AT)),
                arguments(OTHER, DIGEST, 1, held),
                arguments(
                        new ProcessId("entry-1", 6),
                        DIGEST,
                        1,
                        new ClaimResult.HeldByOther(new ProcessId("entry-1", 6), "127.0.0.1:2", 4, DIGEST, CLAIMED_AT)),
                arguments(OTHER, DIGEST, -1, new ClaimResult.Granted(5, REQUEST)));
    }

    @ParameterizedTest
    @MethodSource("currentRows")
    void resolvesConflictByCurrentRow(ProcessId holder, String digest, int expiryHours, ClaimResult expected)
            throws InterruptedException {
        store.put(key("job"), row(holder, 4, digest, Duration.ofHours(expiryHours)));
        writer.start();

        writer.requestClaim(submission("job", DIGEST), REQUEST);

        assertEquals(expected, next().result());
    }

    @Test
    void batchesClaimsWhileTransactionIsInFlight() throws InterruptedException {
        store.blockWrites();
        writer.start();
        writer.requestClaim(submission("first", DIGEST), REQUEST);
        await(() -> store.blockedWrites() == 1);
        for (int number = 0; number < 20; number++) {
            writer.requestClaim(submission("job-" + number, DIGEST), REQUEST);
        }

        store.unblockWrites();

        for (int number = 0; number <= 20; number++) {
            assertEquals(new ClaimResult.Granted(1, REQUEST), next().result());
        }
        assertEquals(2, store.writes().size());
    }

    @Test
    void grantsOtherClaimsOfBatchWithConflict() throws InterruptedException {
        store.put(key("held"), row(OTHER, 4, DIGEST, Duration.ofHours(1)));
        for (String key : List.of("one", "held", "two")) {
            writer.requestClaim(submission(key, DIGEST), REQUEST);
        }

        writer.start();

        Map<String, Boolean> granted = new HashMap<>();
        for (int number = 0; number < 3; number++) {
            ClaimSettled settled = next();
            granted.put(settled.submission().key(), settled.result() instanceof ClaimResult.Granted);
        }
        assertEquals(Map.of("one", true, "held", false, "two", true), granted);
    }

    @ParameterizedTest
    @CsvSource({"4, NONE, 5", "4, REPLY_LOST_AFTER_COMMIT, 5", "4, REPLY_LOST_BEFORE_COMMIT, 5", "3, NONE, 0"})
    void adoptsOnlyClaimWithExpectedFence(long heldFence, Fault fault, long grantedFence) throws InterruptedException {
        store.put(key("job"), row(OTHER, 4, DIGEST, Duration.ofHours(1)));
        store.failNext(List.of(NONE, fault));
        writer.start();

        writer.requestAdoption(submission("job", DIGEST), REQUEST, held(heldFence));

        ClaimResult expected = grantedFence > 0
                ? new ClaimResult.Granted(grantedFence, REQUEST)
                : new ClaimResult.HeldByOther(OTHER, "127.0.0.1:2", 4, DIGEST, CLAIMED_AT);
        assertEquals(expected, next().result());
    }

    @Test
    void grantsOnlyOneOfTwoAdoptions() throws InterruptedException {
        store.put(key("job"), row(OTHER, 4, DIGEST, Duration.ofHours(1)));
        ClaimWriter rival = writer(new ProcessId("entry-3", 11), CLAIM_TIMEOUT);
        writer.start();
        rival.start();

        writer.requestAdoption(submission("job", DIGEST), REQUEST, held(4));
        rival.requestAdoption(submission("job", DIGEST), REQUEST, held(4));

        List<ClaimResult> bothResults = List.of(next().result(), next().result());
        rival.stop();
        assertEquals(
                1,
                bothResults.stream()
                        .filter(new ClaimResult.Granted(5, REQUEST)::equals)
                        .count());
        assertEquals(
                1,
                bothResults.stream()
                        .filter(ClaimResult.HeldByOther.class::isInstance)
                        .count());
    }

    @Test
    void refusesAtOnceWhileStoreIsDownAndGrantsAfterwards() throws InterruptedException {
        store.setDown(true);
        writer.start();
        writer.requestClaim(submission("first", DIGEST), REQUEST);
        assertInstanceOf(ClaimResult.Unavailable.class, next().result());

        boolean accepted = writer.requestClaim(submission("second", DIGEST), REQUEST);
        store.setDown(false);
        await(() -> writer.requestClaim(submission("third", DIGEST), REQUEST));

        assertTrue(!accepted, "accepted while down");
        assertEquals(new ClaimResult.Granted(1, REQUEST), next().result());
    }

    @ParameterizedTest
    @CsvSource({"a/b, c, a, b/c", "a%2Fb, c, a/b, c"})
    void differentSubmissionsHaveDifferentKeys(String team, String key, String otherTeam, String otherKey) {
        assertNotEquals(
                ClaimRow.keyOf(new SubmissionId(team, key)), ClaimRow.keyOf(new SubmissionId(otherTeam, otherKey)));
    }

    private ClaimSettled next() throws InterruptedException {
        ClaimSettled settled = results.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        assertNotNull(settled, "no result");
        return settled;
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadline, "condition not met");
            Thread.sleep(1);
        }
    }

    private static io.caperturn.store.RowKey key(String key) {
        return ClaimRow.keyOf(new SubmissionId("team", key));
    }

    private static String row(ProcessId holder, long fence, String digest, Duration expiresIn) {
        long now = System.currentTimeMillis();
        long expiry = now + expiresIn.toMillis();
        return StoreJson.write(new ClaimRow(
                holder.name(),
                holder.incarnation(),
                "127.0.0.1:2",
                fence,
                digest,
                CLAIMED_AT.toEpochMilli(),
                expiry,
                EARLIER_REQUEST));
    }

    private static ClaimResult.HeldByOther held(long fence) {
        return new ClaimResult.HeldByOther(OTHER, "127.0.0.1:2", fence, DIGEST, CLAIMED_AT);
    }

    private static Submission submission(String key, String digest) {
        return new Submission(
                new SubmissionId("team", key),
                "kind",
                Optional.empty(),
                Repeatability.AT_MOST_ONCE,
                Instant.now().plusSeconds(60),
                digest,
                List.of(new TaskSpec("task", Optional.empty(), "{}")));
    }
}
