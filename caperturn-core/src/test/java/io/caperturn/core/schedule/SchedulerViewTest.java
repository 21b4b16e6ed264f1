package io.caperturn.core.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.caperturn.core.model.Urgency;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the snapshot that the scheduler gives to operators. */
class SchedulerViewTest {
    private static SchedulerSimulation simulation() {
        return new SchedulerSimulation()
                .kind("k", Urgency.URGENT)
                .backend("b0", /* slots= */ 4, /* window= */ 8)
                .backend("b1", 4, 8);
    }

    @Test
    void queueCountsWaitingAndRunningTasks() {
        SchedulerSimulation simulation = simulation();
        simulation.submit("team", "k", /* key= */ "1", /* tasks= */ 50);
        simulation.place();
        SchedulerView.QueueView queue = simulation.scheduler().view().queues().getFirst();
        assertEquals(Urgency.URGENT, queue.urgency());
        assertEquals(50, queue.waiting() + queue.running());
        int outstanding = simulation.scheduler().view().backends().stream()
                .mapToInt(SchedulerView.BackendView::outstanding)
                .sum();
        assertEquals(queue.running(), outstanding);
    }

    @Test
    void onlyFailingBackendIsShownAsEjectedOrProbed() {
        SchedulerSimulation simulation =
                simulation().outcomes(name -> name.equals("b0") ? PlacementOutcome.FAILED : PlacementOutcome.COMPLETED);
        for (int number = 0; number < 100; number++) {
            simulation.submit("team", "k", Integer.toString(number), 1);
            simulation.runUntil(Duration.ofMillis(20L * number));
        }
        List<SchedulerView.BackendView> backends = simulation.scheduler().view().backends();
        assertEquals(SchedulerView.BackendStatus.USED, backends.get(1).status());
        boolean avoided = List.of(SchedulerView.BackendStatus.EJECTED, SchedulerView.BackendStatus.ON_PROBATION)
                .contains(backends.get(0).status());
        assertEquals(true, avoided, backends.toString());
    }
}
