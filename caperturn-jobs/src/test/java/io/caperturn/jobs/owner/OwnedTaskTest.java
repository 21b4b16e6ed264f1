package io.caperturn.jobs.owner;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.caperturn.jobs.message.TaskProgress;
import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RunFate;
import io.caperturn.jobs.model.StepPlan;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests how crashes are counted under a task. */
class OwnedTaskTest {
    private static final QueuePolicy POLICY = new QueuePolicy("queue", "host", "/q/", "service", 0, 2, 1.6, 60);

    private final OwnedTask task = new OwnedJob(
                    "job",
                    new JobPlan(
                            "queue",
                            "payload",
                            List.of(new StepPlan(1, new Resources(1_600, 64, 0), 100, List.of(), "", "", 0)),
                            /* durable= */ true),
                    POLICY,
                    /* generation= */ 0,
                    /* acceptedWallClockMilliseconds= */ 0,
                    /* arrivedAt= */ 0)
            .tasks()
            .getFirst();

    @Test
    void crashUnderOneRunCountsOnce() {
        task.recordCrash(3, /* explained= */ false);
        task.recordCrash(3, /* explained= */ false);
        assertEquals(1, task.crashes());
        task.recordCrash(2, /* explained= */ false);
        task.recordCrash(3, /* explained= */ true);
        assertEquals(2, task.crashes());
    }

    /** Guards against a task without a bound on its starts because each crash is put down to another queue. */
    @Test
    void onlyOneCrashIsPutDownToAnotherQueue() {
        for (int run = 1; run <= 4; run++) {
            task.recordCrash(run, /* explained= */ true);
        }
        assertEquals(3, task.crashes());
    }

    @Test
    void crashesAreRestoredWithTheProgress() {
        task.restore(new TaskProgress(
                0,
                /* succeeded= */ false,
                List.of(
                        new TaskProgress.RunRange(5, 1, RunFate.LOST_UNCONFIRMED),
                        new TaskProgress.RunRange(6, 2, RunFate.CRASHED))));
        assertEquals(2, task.crashes());
        assertEquals(1, task.unconfirmedCrashes());
        assertEquals(true, task.needsExclusiveRun());
        assertEquals(false, task.recordCrash(7, /* explained= */ false));
        assertEquals(
                8,
                task.assignNextRun("sidecar~1", /* now= */ 1, /* expectedMilliseconds= */ 100)
                        .number());
    }

    /** Guards against a job that is failed by a crash under a run that others shared the upstream with. */
    @Test
    void runThatIsTakenOverCountsAsExclusiveOnlyIfItWasSentSo() {
        int shared = task.assignNextRun("sidecar~1", /* now= */ 1, /* expectedMilliseconds= */ 100)
                .number();
        task.requireExclusiveRun();
        task.setCurrentRun("sidecar~1", shared, /* now= */ 2, /* expectedMilliseconds= */ 100);
        assertEquals(false, task.wasExclusive(shared));

        int alone = task.assignNextRun("sidecar~1", /* now= */ 3, /* expectedMilliseconds= */ 100)
                .number();
        task.setCurrentRun("sidecar~1", alone, /* now= */ 4, /* expectedMilliseconds= */ 100);
        assertEquals(true, task.wasExclusive(alone));
    }

    /** Guards against a task that is given up for crashes which were only cuts between sidecar and upstream. */
    @Test
    void crashThatIsTakenBackCountsNoMore() {
        task.recordCrash(1, /* explained= */ false);
        task.recordCrash(2, /* explained= */ false);
        task.requireExclusiveRun();
        task.recordUnconfirmedCrash(3);
        assertEquals(true, task.retractCrash(3));
        assertEquals(0, task.unconfirmedCrashes());
        assertEquals(true, task.retractCrash(1));
        assertEquals(false, task.retractCrash(1));
        assertEquals(false, task.retractCrash(3));
        assertEquals(1, task.crashes());
        assertEquals(false, task.needsExclusiveRun());
    }

    /** Guards against failures that are missed because an adopter learns of a later run first. */
    @Test
    void eachFailedRunCountsOnceWhateverItsNumber() {
        for (int run : new int[] {3, 1, 3, 2, 1}) {
            task.recordFailure(run, "node");
        }
        assertEquals(3, task.failures());
    }

    /** Guards against a duration that is learned several times from one run. */
    @Test
    void repeatedReportOfASuccessTellsNothingNew() {
        assertEquals(true, task.recordSuccess(2));
        assertEquals(false, task.recordSuccess(2));
    }

    /** Guards against two counts for one run that its sidecar took for lost before the upstream listed its failure. */
    @Test
    void runThatFailedBeforeTheUpstreamFellSilentDoesNotCountAsACrash() {
        task.recordUnconfirmedCrash(1);
        task.recordFailure(1, "node");
        task.recordUnconfirmedCrash(1);
        assertEquals(0, task.unconfirmedCrashes());
        assertEquals(1, task.failures());
    }

    /** Guards against a crash that counts although it was taken back, because the reports overtook each other. */
    @Test
    void crashThatWasTakenBackBeforeItWasReportedDoesNotCount() {
        task.retractCrash(1);
        assertEquals(false, task.recordCrash(1, /* explained= */ false));
        assertEquals(0, task.crashes());
    }
}
