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

/**
 * Tests of the claim writer, which records in the store which entry process owns a submission, under faults of the
 * store.
 */
class ClaimWriterTest {
    private static final ProcessId SELF = new ProcessId("entry-1", 7);
    private static final ProcessId OTHER = new ProcessId("entry-2", 9);
    private static final long REQUEST_NUMBER = 5;
    private static final long EARLIER_REQUEST_NUMBER = 4;
    private static final Instant CLAIMED_AT = Instant.parse("2026-01-01T00:00:00Z");
    private static final String DIGEST = "digest";
    private static final int MAXIMUM_WAIT_SECONDS = 10;
    private static final Duration CLAIM_TIMEOUT = Duration.ofMinutes(1);

    private final FakePlatformStore store = new FakePlatformStore();
    private final BlockingQueue<ClaimSettled> results = new LinkedBlockingQueue<>();
    private final ClaimWriter writer = newWriter(SELF, CLAIM_TIMEOUT);

    private ClaimWriter newWriter(ProcessId process, Duration timeout) {
        ClaimPolicy policy = new ClaimPolicy(
                /* batchInterval= */ Duration.ZERO,
                timeout,
                /* maximumBatch= */ 100,
                /* lifetime= */ Duration.ofDays(1),
                /* queueCapacity= */ 1_024);
        return new ClaimWriter(store, new ClaimOwner(process, /* linkAddress= */ "127.0.0.1:1"), policy, results::add);
    }

    @AfterEach
    void stop() {
        writer.stop();
    }

    /** Faults of successive transactions, and the result of a claim under them. */
    static Stream<Arguments> faults() {
        ClaimResult granted = new ClaimResult.Granted(/* fence= */ 1, REQUEST_NUMBER);
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

        writer.requestClaim(submission("job", DIGEST), REQUEST_NUMBER);

        assertEquals(expected, nextResult().result());
        boolean written = store.row(claimKey("job")).version() > 0;
        assertEquals(expected instanceof ClaimResult.Granted, written);
    }

    @Test
    void reportsUnavailableAtTimeout() throws InterruptedException {
        store.failAlways(REPLY_LOST_BEFORE_COMMIT);
        ClaimWriter writerWithShortTimeout = newWriter(SELF, Duration.ofMillis(200));
        writerWithShortTimeout.start();

        writerWithShortTimeout.requestClaim(submission("job", DIGEST), REQUEST_NUMBER);

        assertInstanceOf(ClaimResult.Unavailable.class, nextResult().result());
        writerWithShortTimeout.stop();
    }

    /**
     * Owner, digest and hours until expiry (negative if expired) of a row with fencing token 4; result of a new claim.
     */
    static Stream<Arguments> currentRows() {
        ClaimResult held = new ClaimResult.HeldByOther(OTHER, "127.0.0.1:2", 4, DIGEST, CLAIMED_AT);
        return Stream.of(
                arguments(SELF, DIGEST, 1, new ClaimResult.Granted(4, EARLIER_REQUEST_NUMBER)),
                arguments(
                        SELF, "another", 1, new ClaimResult.HeldByOther(SELF, "127.0.0.1:2", 4, "another", CLAIMED_AT)),
                arguments(OTHER, DIGEST, 1, held),
                // The owner is an earlier run of the same entry.
                arguments(
                        new ProcessId("entry-1", 6),
                        DIGEST,
                        1,
                        new ClaimResult.HeldByOther(new ProcessId("entry-1", 6), "127.0.0.1:2", 4, DIGEST, CLAIMED_AT)),
                arguments(OTHER, DIGEST, -1, new ClaimResult.Granted(5, REQUEST_NUMBER)));
    }

    @ParameterizedTest
    @MethodSource("currentRows")
    void resolvesConflictByCurrentRow(ProcessId holder, String digest, int expiryHours, ClaimResult expected)
            throws InterruptedException {
        store.put(claimKey("job"), claimRowJson(holder, 4, digest, Duration.ofHours(expiryHours)));
        writer.start();

        writer.requestClaim(submission("job", DIGEST), REQUEST_NUMBER);

        assertEquals(expected, nextResult().result());
    }

    @Test
    void batchesClaimsWhileTransactionIsInFlight() throws InterruptedException {
        store.blockWrites();
        writer.start();
        writer.requestClaim(submission("first", DIGEST), REQUEST_NUMBER);
        await(() -> store.blockedWrites() == 1);
        for (int number = 0; number < 20; number++) {
            writer.requestClaim(submission("job-" + number, DIGEST), REQUEST_NUMBER);
        }

        store.unblockWrites();

        for (int number = 0; number <= 20; number++) {
            assertEquals(
                    new ClaimResult.Granted(1, REQUEST_NUMBER), nextResult().result());
        }
        assertEquals(2, store.writeTransactions().size());
    }

    @Test
    void grantsOtherClaimsOfBatchWithConflict() throws InterruptedException {
        store.put(claimKey("held"), claimRowJson(OTHER, 4, DIGEST, Duration.ofHours(1)));
        for (String key : List.of("one", "held", "two")) {
            writer.requestClaim(submission(key, DIGEST), REQUEST_NUMBER);
        }

        writer.start();

        Map<String, Boolean> granted = new HashMap<>();
        for (int number = 0; number < 3; number++) {
            ClaimSettled settled = nextResult();
            granted.put(settled.submission().key(), settled.result() instanceof ClaimResult.Granted);
        }
        assertEquals(Map.of("one", true, "held", false, "two", true), granted);
    }

    /** The granted fencing token is 0 if the claim is not adopted. */
    @ParameterizedTest
    @CsvSource({"4, NONE, 5", "4, REPLY_LOST_AFTER_COMMIT, 5", "4, REPLY_LOST_BEFORE_COMMIT, 5", "3, NONE, 0"})
    void adoptsOnlyClaimWithExpectedFence(long heldFence, Fault fault, long grantedFence) throws InterruptedException {
        store.put(claimKey("job"), claimRowJson(OTHER, 4, DIGEST, Duration.ofHours(1)));
        // The first write meets the conflict, and the second one the fault.
        store.failNext(List.of(NONE, fault));
        writer.start();

        writer.requestAdoption(submission("job", DIGEST), REQUEST_NUMBER, claimOfOtherEntry(heldFence));

        ClaimResult expected = grantedFence > 0
                ? new ClaimResult.Granted(grantedFence, REQUEST_NUMBER)
                : new ClaimResult.HeldByOther(OTHER, "127.0.0.1:2", 4, DIGEST, CLAIMED_AT);
        assertEquals(expected, nextResult().result());
    }

    @Test
    void grantsOnlyOneOfTwoAdoptions() throws InterruptedException {
        store.put(claimKey("job"), claimRowJson(OTHER, 4, DIGEST, Duration.ofHours(1)));
        ClaimWriter rival = newWriter(new ProcessId("entry-3", 11), CLAIM_TIMEOUT);
        writer.start();
        rival.start();

        writer.requestAdoption(submission("job", DIGEST), REQUEST_NUMBER, claimOfOtherEntry(4));
        rival.requestAdoption(submission("job", DIGEST), REQUEST_NUMBER, claimOfOtherEntry(4));

        List<ClaimResult> bothResults =
                List.of(nextResult().result(), nextResult().result());
        rival.stop();
        assertEquals(
                1,
                bothResults.stream()
                        .filter(new ClaimResult.Granted(5, REQUEST_NUMBER)::equals)
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
        writer.requestClaim(submission("first", DIGEST), REQUEST_NUMBER);
        assertInstanceOf(ClaimResult.Unavailable.class, nextResult().result());

        boolean accepted = writer.requestClaim(submission("second", DIGEST), REQUEST_NUMBER);
        store.setDown(false);
        await(() -> writer.requestClaim(submission("third", DIGEST), REQUEST_NUMBER));

        assertTrue(!accepted, "accepted while down");
        assertEquals(new ClaimResult.Granted(1, REQUEST_NUMBER), nextResult().result());
    }

    @ParameterizedTest
    @CsvSource({"a/b, c, a, b/c", "a%2Fb, c, a/b, c"})
    void differentSubmissionsHaveDifferentKeys(String team, String key, String otherTeam, String otherKey) {
        assertNotEquals(
                ClaimRow.keyOf(new SubmissionId(team, key)), ClaimRow.keyOf(new SubmissionId(otherTeam, otherKey)));
    }

    private ClaimSettled nextResult() throws InterruptedException {
        ClaimSettled settled = results.poll(MAXIMUM_WAIT_SECONDS, TimeUnit.SECONDS);
        assertNotNull(settled, "no result");
        return settled;
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAXIMUM_WAIT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadline, "condition not met");
            Thread.sleep(1);
        }
    }

    private static io.caperturn.store.RowKey claimKey(String key) {
        return ClaimRow.keyOf(new SubmissionId("team", key));
    }

    private static String claimRowJson(ProcessId holder, long fence, String digest, Duration expiresIn) {
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
                EARLIER_REQUEST_NUMBER));
    }

    private static ClaimResult.HeldByOther claimOfOtherEntry(long fence) {
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
