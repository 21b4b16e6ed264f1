package io.caperturn.core.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.caperturn.core.model.Urgency;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class SchedulerViewTest {
    private static SchedulerSimulation simulation() {
        return new SchedulerSimulation()
                .kind("k", Urgency.URGENT)
                .backend("b0", 4, 8)
                .backend("b1", 4, 8);
    }

    @Test
    void queueCountsWaitingAndRunningTasks() {
        SchedulerSimulation simulation = simulation();
        simulation.submit("team", "k", "1", 50);
        simulation.place();
        SchedulerView.Queue queue = simulation.scheduler().view().queues().getFirst();
        assertEquals(Urgency.URGENT, queue.urgency());
        assertEquals(50, queue.waiting() + queue.running());
        int outstanding = simulation.scheduler().view().backends().stream()
                .mapToInt(SchedulerView.BackendView::outstanding)
                .sum();
        assertEquals(queue.running(), outstanding);
    }

    @Test
    void backendThatAloneFailsIsShownAsEjectedOrProbed() {
        SchedulerSimulation simulation =
                simulation().outcomes(name -> name.equals("b0") ? PlacementEnd.FAILED : PlacementEnd.COMPLETED);
        for (int number = 0; number < 100; number++) {
            simulation.submit("team", "k", Integer.toString(number), 1);
            simulation.runUntil(Duration.ofMillis(20L * number));
        }
        List<SchedulerView.BackendView> backends = simulation.scheduler().view().backends();
        assertEquals(SchedulerView.Treatment.USED, backends.get(1).treatment());
        boolean avoided = List.of(SchedulerView.Treatment.EJECTED, SchedulerView.Treatment.PROBED)
                .contains(backends.get(0).treatment());
        assertEquals(true, avoided, backends.toString());
    }
}
