package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.RunOutcome;
import io.caperturn.jobs.model.TaskIdentity;
import io.caperturn.testkit.known.KnownFailures;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests what a sidecar tells of runs whose upstream crashed before they started; all times are virtual, in
 * milliseconds.
 */
@ExtendWith(KnownFailures.class)
class CrashBeforeStartTest {
    private static final Set<String> COUNTED_REASONS =
            Set.of(JobFrame.Report.UPSTREAM_CRASHED, JobFrame.Report.UPSTREAM_CRASHED_AT_START);
    private static final long DOWNTIME = 1_260;

    private final SingleSidecar sidecar = new SingleSidecar(/* taskMilliseconds= */ 400);
    private long sequence;

    /** Way in which the order to start a run is lost in a crash. */
    enum LostOrder {
        /** The port is closed when the order is sent. */
        REFUSED(JobFrame.Report.UPSTREAM_UNREACHABLE) {
            @Override
            void apply(SimulatedUpstream upstream, Runnable dispatch) {
                upstream.crash(DOWNTIME);
                dispatch.run();
            }
        },
        /** The order is on its way during the crash. */
        ON_ITS_WAY(JobFrame.Report.UPSTREAM_UNREACHABLE) {
            @Override
            void apply(SimulatedUpstream upstream, Runnable dispatch) {
                dispatch.run();
                upstream.crash(DOWNTIME);
            }
        },
        /** The order would have been carried out after the crash. */
        LEFT_UNANSWERED(JobFrame.Report.UPSTREAM_CRASHED_UNCONFIRMED) {
            @Override
            void apply(SimulatedUpstream upstream, Runnable dispatch) {
                upstream.unansweredOrders().delayAll(20_000);
                dispatch.run();
                upstream.crash(DOWNTIME);
            }
        };

        private final String reasonOfEnd;

        LostOrder(String reasonOfEnd) {
            this.reasonOfEnd = reasonOfEnd;
        }

        abstract void apply(SimulatedUpstream upstream, Runnable dispatch);
    }

    private static RunIdentity run(String job) {
        return new RunIdentity(new TaskIdentity(job, 0, 0, 0), 1);
    }

    private void dispatch(String job, boolean exclusive) {
        sequence++;
        sidecar.controller()
                .handleFrame(
                        SingleSidecar.ENTRY,
                        new JobFrame.Dispatch(
                                sequence,
                                run(job),
                                "payload",
                                new Resources(1_600, 64, 0),
                                400,
                                5_000,
                                0,
                                false,
                                true,
                                "queue-of-" + job,
                                exclusive,
                                /* upstreamNumber= */ 0));
    }

    private void advance(long milliseconds) {
        sidecar.time().runUntil(sidecar.time().now() + milliseconds);
    }

    /** Lets the sidecar learn how long the upstream takes to answer. */
    private void warmUp() {
        for (int number = 0; number < 24; number++) {
            dispatch("earlier" + number, false);
            advance(25);
        }
        advance(450);
    }

    /** Returns the queues with start chances in the crashes that the sidecar told. */
    private Set<String> queuesBlamed() {
        return sidecar.frames().stream()
                .filter(JobFrame.Status.class::isInstance)
                .flatMap(frame -> ((JobFrame.Status) frame).crashes().stream())
                .flatMap(crash -> crash.startChancePermille().keySet().stream())
                .collect(Collectors.toSet());
    }

    private String reasonOfEnd(RunIdentity run) {
        return sidecar.finalReportOn(run).map(JobFrame.Report::reason).orElse("no report");
    }

    /** Guards against a crash that is counted under a run which was never there. */
    @ParameterizedTest
    @EnumSource
    void crashIsNotToldUnderARunThatHadNotStarted(LostOrder lostOrder) {
        dispatch("started", false);
        advance(100);
        lostOrder.apply(sidecar.upstream(), () -> dispatch("lost", false));
        advance(2 * DOWNTIME);

        assertTrue(COUNTED_REASONS.contains(reasonOfEnd(run("started"))), () -> reasonOfEnd(run("started")));
        assertEquals(lostOrder.reasonOfEnd, reasonOfEnd(run("lost")));
    }

    /** Guards against a queue that is confined because its orders found the upstream down. */
    @ParameterizedTest
    @EnumSource
    void crashIsNoEvidenceAgainstAQueueWhoseRunsHadNotStarted(LostOrder lostOrder) {
        dispatch("started", false);
        advance(100);
        sidecar.frames().clear();
        lostOrder.apply(sidecar.upstream(), () -> dispatch("lost", false));
        advance(2 * DOWNTIME);

        assertEquals(Set.of("queue-of-started"), queuesBlamed());
    }

    /** Guards against an order that keeps a task waiting although it is known not to have been delivered. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void runIsReturnedAtOnceIfItsOrderWasNotDelivered(boolean exclusive) {
        sidecar.upstream().crash(DOWNTIME);
        dispatch("lost", exclusive);
        advance(20);

        assertEquals(
                RunOutcome.REFUSED,
                sidecar.finalReportOn(run("lost")).map(JobFrame.Report::outcome).orElse(RunOutcome.RUNNING));
    }

    /** Guards against a crash that is told because orders to a busy upstream timed out one after the other. */
    @ParameterizedTest
    @ValueSource(longs = {10, 20, 40, 80, 160})
    void timedOutOrdersAreNotTakenForRefusedConnections(long intervalOfStarts) {
        warmUp();
        dispatch("started", false);
        advance(20);
        sidecar.frames().clear();
        sidecar.upstream().unansweredOrders().leaveUnanswered(1, /* seed= */ 1);
        for (long elapsed = 0; elapsed < 480; elapsed += intervalOfStarts) {
            dispatch("unanswered" + elapsed, false);
            advance(intervalOfStarts);
        }
        sidecar.upstream().unansweredOrders().leaveUnanswered(0, /* seed= */ 1);
        advance(100);

        assertEquals(Set.of(), queuesBlamed());
    }

    /** Guards against an upstream that gets no work any more because nothing asks it whether it is reachable again. */
    @Test
    void upstreamThatCouldNotBeReachedIsUsedAgainOnceItAnswers() {
        sidecar.upstream().refuseConnections(true);
        dispatch("lost", false);
        advance(2_000);
        sidecar.upstream().refuseConnections(false);
        advance(1_000);
        sidecar.controller().handleLinkOpened(SingleSidecar.ENTRY); // which renews its lease
        sequence = 0;
        dispatch("later", false);
        advance(5);

        assertEquals(Set.of(run("later")), sidecar.upstream().activeRuns());
    }

    /** Guards against a crash that is told under a run of an earlier incarnation, which had restarted unnoticed. */
    @Test
    void crashIsNotToldUnderARunOfAnEarlierIncarnation() {
        dispatch("earlier", false);
        advance(100);
        sidecar.upstream().restart();
        sidecar.upstream().refuseConnections(true);
        sidecar.announce();
        advance(500);
        sidecar.upstream().refuseConnections(false);
        sidecar.upstream().restart();
        sidecar.announce();
        advance(1_000);

        assertEquals(JobFrame.Report.UPSTREAM_CRASHED_UNCONFIRMED, reasonOfEnd(run("earlier")));
        assertEquals(Set.of(), queuesBlamed());
    }

    /** Guards against a cut between sidecar and upstream that counts as a crash for good. */
    @Test
    void crashIsTakenBackOnceTheSameIncarnationAnswers() {
        sidecar.controller().start();
        dispatch("cut-off", false);
        advance(20);
        sidecar.upstream().refuseConnections(true);
        advance(2 * DOWNTIME);
        assertTrue(COUNTED_REASONS.contains(reasonOfEnd(run("cut-off"))), () -> reasonOfEnd(run("cut-off")));

        sidecar.frames().clear();
        sidecar.upstream().refuseConnections(false);
        advance(1_000);
        assertEquals(JobFrame.Report.CRASH_RETRACTED, reasonOfEnd(run("cut-off")));
        sidecar.frames().clear();
        sidecar.announce();
        advance(1_000);
        assertEquals(Set.of(), queuesBlamed());
    }

    @Test
    void crashIsToldUnderARunThatHadStarted() {
        dispatch("started", false);
        advance(100);
        sidecar.upstream().crash(DOWNTIME);
        advance(2 * DOWNTIME);

        assertTrue(COUNTED_REASONS.contains(reasonOfEnd(run("started"))), () -> reasonOfEnd(run("started")));
    }
}
