package io.caperturn.jobs.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.TaskIdentity;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the lease of an entry process on the runs of stored jobs. An entry that other entries have declared lost does
 * not know it yet, and may still open links; another entry then runs its tasks again once the lease must have expired.
 */
class OwnerLeaseTest {
    private static final long LINK_OPENED_AT = 1_000;
    private static final long LEASE_CHECK_MILLISECONDS = 100;
    private static final long LEASE = SidecarTimings.OWNER_LEASE_ON_STORED_RUNS_MILLISECONDS;

    private final OwnerLease lease = new OwnerLease("entry~1", SidecarTimings.forLease(1_000));
    private final LocalRun run = new LocalRun(new RunIdentity(new TaskIdentity("job", 0, 0, 0), 1), LINK_OPENED_AT);

    private void renew(long number, long requestedAt, boolean authority) {
        lease.recordRenewalRequest(number, requestedAt);
        assertTrue(lease.renew(new JobFrame.Lease(number, authority)).isPresent());
    }

    @ParameterizedTest
    @ValueSource(longs = {500, 1_500, 4_400})
    void linksThatAreOpenedAgainDoNotProlongTheLease(long intervalMilliseconds) {
        lease.openLink(LINK_OPENED_AT);
        renew(1, LINK_OPENED_AT, /* authority= */ true);
        long now = LINK_OPENED_AT;
        while (now <= lease.expiryFor(run)) {
            now += LEASE_CHECK_MILLISECONDS;
            if ((now - LINK_OPENED_AT) % intervalMilliseconds == 0) {
                lease.closeLink();
                lease.openLink(now);
            }
            long expiredBy =
                    LINK_OPENED_AT + LEASE + SidecarTimings.FIRST_ANSWER_MILLISECONDS + LEASE_CHECK_MILLISECONDS;
            assertTrue(now <= expiredBy, () -> "has not expired by " + expiredBy);
        }
    }

    @ParameterizedTest
    @CsvSource({"true, true", "false, false"})
    void startsOfStoredRunsNeedAnAnswerThatConfirmsTheOwnership(boolean authority, boolean allowed) {
        lease.openLink(LINK_OPENED_AT);
        assertFalse(lease.isStartAllowed(run, LINK_OPENED_AT + 1), "before any answer");

        renew(1, LINK_OPENED_AT + 1, authority);
        assertEquals(allowed, lease.isStartAllowed(run, LINK_OPENED_AT + 2));
    }

    /** A run that an entry takes over with its first frames must not be stopped before its first answer can arrive. */
    @ParameterizedTest
    @ValueSource(longs = {1, 100})
    void activeRunsContinueUntilTheFirstAnswerOfANewLinkCanArrive(long elapsed) {
        lease.openLink(LINK_OPENED_AT);
        assertTrue(LINK_OPENED_AT + elapsed < lease.expiryFor(run));
    }
}
