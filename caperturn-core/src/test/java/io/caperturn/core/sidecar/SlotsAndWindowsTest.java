package io.caperturn.core.sidecar;

import static io.caperturn.core.sidecar.SidecarScenario.FIRST_ENTRY;
import static io.caperturn.core.sidecar.SidecarScenario.SECOND_ENTRY;
import static io.caperturn.core.sidecar.SidecarScenario.attempt;
import static io.caperturn.core.sidecar.SidecarScenario.notStarted;
import static io.caperturn.core.sidecar.SidecarScenario.upstream;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.core.model.AttemptReport;
import io.caperturn.core.model.KindRow;
import io.caperturn.core.model.Limits;
import io.caperturn.core.model.NotStartedReason;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.Table;
import io.caperturn.core.model.UpstreamDescription;
import io.caperturn.core.model.Urgency;
import io.caperturn.core.sidecar.SidecarEvent.ReceivedDispatch;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests how many attempts a sidecar runs, and which window it grants to each entry.
 *
 * <p>A window is the number of attempts that an entry may have outstanding at the sidecar.
 */
class SlotsAndWindowsTest {
    @ParameterizedTest
    @CsvSource({"4, 64, 4", "8, 3, 3", "1, 1, 1"})
    void runsAreBoundedBySlotsAndConnections(int slots, int connections, int runs) {
        SidecarScenario scenario = SidecarScenario.serving(slots);
        scenario.announce(slots, connections);
        scenario.dispatchTasks(FIRST_ENTRY, 20);
        assertEquals(runs, scenario.started().size());
    }

    @Test
    void queuedAttemptsStartInOrderOfArrival() {
        SidecarScenario scenario = SidecarScenario.serving(2);
        scenario.dispatchTasks(FIRST_ENTRY, 4);
        scenario.completeRun(attempt(2, 1, 1));
        scenario.completeRun(attempt(1, 1, 1));
        assertEquals(
                IntStream.rangeClosed(1, 4)
                        .mapToObj(task -> attempt(task, 1, 1))
                        .toList(),
                scenario.started());
    }

    @Test
    void urgentAttemptStartsBeforeOtherQueuedAttempts() {
        SidecarScenario scenario = SidecarScenario.serving(2);
        UpstreamDescription upstream =
                new UpstreamDescription("upstream", Set.of("assay", "certificate"), 2, 64, "worker", "rack", "zone-a");
        scenario.on(new SidecarEvent.UpstreamAnnounced(upstream, false));
        KindRow row = new KindRow("certificate", 1, Urgency.URGENT, Limits.NONE, Duration.ofSeconds(5), 1);
        scenario.on(new SidecarEvent.TableChanged(new Table(1, Map.of("certificate", row), Map.of())));
        scenario.dispatchTasks(FIRST_ENTRY, 3);
        ReceivedDispatch urgent = SidecarScenario.receivedDispatch(attempt(4, 1, 1), "certificate", Duration.ZERO);
        scenario.on(new SidecarEvent.DispatchReceived(FIRST_ENTRY, SidecarScenario.SELF, List.of(urgent), 0));
        scenario.completeRun(attempt(1, 1, 1));
        assertEquals(attempt(4, 1, 1), scenario.started().getLast());
    }

    @Test
    void nothingStartsWhileRunsExceedReducedSlots() {
        SidecarScenario scenario = SidecarScenario.serving(2);
        scenario.dispatchTasks(FIRST_ENTRY, 3);
        scenario.announce(1, 64);
        scenario.completeRun(attempt(1, 1, 1));
        assertEquals(2, scenario.started().size());
    }

    @Test
    void moreSlotsStartQueuedAttemptsImmediately() {
        SidecarScenario scenario = SidecarScenario.serving(1);
        scenario.dispatchTasks(FIRST_ENTRY, 2);
        scenario.announce(2, 64);
        assertEquals(2, scenario.started().size());
    }

    @Test
    void reportsOfOneEventShareFrame() {
        SidecarScenario scenario = SidecarScenario.serving(1);
        // One attempt runs, one is queued, and seven are refused.
        scenario.dispatchTasks(FIRST_ENTRY, 9);
        assertEquals(
                1,
                scenario.lastCommands(SidecarMachineCommand.SendReports.class).size());
        assertEquals(7, scenario.reportsTo(FIRST_ENTRY).size());
    }

    static Stream<Arguments> servingStops() {
        return Stream.of(
                servingStop(
                        NotStartedReason.LEAVING,
                        scenario -> scenario.on(new SidecarEvent.UpstreamAnnounced(upstream(1, 64), true))),
                servingStop(NotStartedReason.LEAVING, scenario -> {
                    scenario.advance(SidecarScenario.ANNOUNCEMENT_TIMEOUT.plusMillis(1));
                    scenario.on(new SidecarEvent.Tick());
                }),
                servingStop(NotStartedReason.DRAINING, scenario -> scenario.on(new SidecarEvent.DrainRequested())));
    }

    @ParameterizedTest
    @MethodSource("servingStops")
    void stopOfServingIsSentToAllEntriesImmediately(NotStartedReason reason, Consumer<SidecarScenario> servingStop) {
        SidecarScenario scenario = SidecarScenario.serving(1);
        servingStop.accept(scenario);
        assertEquals(
                List.of(
                        new SidecarMachineCommand.SendUpstream(FIRST_ENTRY, upstream(1, 64), false, 0),
                        new SidecarMachineCommand.SendUpstream(SECOND_ENTRY, upstream(1, 64), false, 0)),
                scenario.lastCommands(SidecarMachineCommand.SendUpstream.class));
    }

    @ParameterizedTest
    @MethodSource("servingStops")
    void stopOfServingReturnsQueuedAttempts(NotStartedReason reason, Consumer<SidecarScenario> servingStop) {
        SidecarScenario scenario = SidecarScenario.serving(1);
        scenario.dispatchTasks(FIRST_ENTRY, 2);
        servingStop.accept(scenario);
        assertEquals(List.of(new AttemptReport(attempt(2, 1, 1), notStarted(reason))), scenario.reportsTo(FIRST_ENTRY));
        scenario.completeRun(attempt(1, 1, 1));
        assertEquals(List.of(attempt(1, 1, 1)), scenario.started());
    }

    @Test
    void runFinishedAfterSilenceStartsNothing() {
        SidecarScenario scenario = SidecarScenario.serving(1);
        scenario.dispatchTasks(FIRST_ENTRY, 2);
        scenario.advance(SidecarScenario.ANNOUNCEMENT_TIMEOUT.plusMillis(1));
        scenario.completeRun(attempt(1, 1, 1));
        assertEquals(List.of(attempt(1, 1, 1)), scenario.started());
    }

    @Test
    void announcementAfterSilenceKeepsServing() {
        SidecarScenario scenario = SidecarScenario.serving(1);
        scenario.dispatchTasks(FIRST_ENTRY, 2);
        scenario.advance(SidecarScenario.ANNOUNCEMENT_TIMEOUT.plusMillis(1));
        assertEquals(List.of(), scenario.announce(1, 64));
    }

    @Test
    void repeatedAnnouncementSendsNoMessage() {
        SidecarScenario scenario = SidecarScenario.serving(1);
        assertEquals(List.of(), scenario.announce(1, 64));
    }

    @Test
    void drainCompletesWithLastRun() {
        SidecarScenario scenario = SidecarScenario.serving(1);
        scenario.dispatchTasks(FIRST_ENTRY, 1);
        scenario.on(new SidecarEvent.DrainRequested());
        assertTrue(scenario.lastCommands(SidecarMachineCommand.Drained.class).isEmpty());
        List<SidecarMachineCommand> commands = scenario.completeRun(attempt(1, 1, 1));
        assertEquals(1, scenario.reportsTo(FIRST_ENTRY).size());
        assertEquals(new SidecarMachineCommand.Drained(), commands.getLast());
    }

    @Test
    void drainOfIdleSidecarCompletesImmediately() {
        SidecarScenario scenario = SidecarScenario.serving(1);
        scenario.on(new SidecarEvent.DrainRequested());
        assertEquals(
                1, scenario.lastCommands(SidecarMachineCommand.Drained.class).size());
    }

    @ParameterizedTest
    @CsvSource({"0, 0, 4, 4", "100, 0, 8, 4", "100, 100, 4, 4", "3, 100, 4, 5"})
    void windowsFollowDemand(int firstDemand, int secondDemand, int firstWindow, int secondWindow) {
        SidecarScenario scenario = SidecarScenario.serving(8);
        scenario.on(new SidecarEvent.DemandReceived(FIRST_ENTRY, firstDemand));
        scenario.on(new SidecarEvent.DemandReceived(SECOND_ENTRY, secondDemand));
        // A changed announcement is sent to all entries, together with their windows.
        scenario.announce(8, 65);
        assertEquals(Map.of(FIRST_ENTRY, firstWindow, SECOND_ENTRY, secondWindow), windows(scenario));
    }

    @ParameterizedTest
    @CsvSource({"1, 8", "2, 8", "3, 8", "10, 8"})
    void idleEntriesLeaveAllSlotsToDemand(int entries, int window) {
        SidecarScenario scenario = SidecarScenario.serving(8);
        scenario.on(new SidecarEvent.EntryLost(SECOND_ENTRY));
        for (int entry = 2; entry <= entries; entry++) {
            scenario.on(new SidecarEvent.EntryLinked(new ProcessId("entry-" + entry, 1)));
        }
        scenario.on(new SidecarEvent.DemandReceived(FIRST_ENTRY, 100));
        assertEquals(
                List.of(new SidecarMachineCommand.SendWindow(FIRST_ENTRY, window)),
                scenario.lastCommands(SidecarMachineCommand.SendWindow.class));
    }

    @Test
    void demandExpiresAfterOneSecond() {
        SidecarScenario scenario = SidecarScenario.serving(8);
        scenario.on(new SidecarEvent.DemandReceived(FIRST_ENTRY, 100));
        scenario.advance(Duration.ofSeconds(1));
        scenario.announce(8, 65);
        assertEquals(Map.of(FIRST_ENTRY, 4, SECOND_ENTRY, 4), windows(scenario));
    }

    @Test
    void grownWindowIsSentWhenNoReportIsDue() {
        SidecarScenario scenario = SidecarScenario.serving(8);
        scenario.dispatch(FIRST_ENTRY, 50, attempt(1, 1, 1));
        assertEquals(
                List.of(new SidecarMachineCommand.SendWindow(FIRST_ENTRY, 8)),
                scenario.lastCommands(SidecarMachineCommand.SendWindow.class));
    }

    @Test
    void reportCarriesWindow() {
        SidecarScenario scenario = SidecarScenario.serving(8);
        scenario.dispatch(FIRST_ENTRY, attempt(1, 1, 1));
        scenario.on(new SidecarEvent.DemandReceived(SECOND_ENTRY, 100));
        scenario.on(new SidecarEvent.EntryLost(SECOND_ENTRY));
        scenario.on(new SidecarEvent.DemandReceived(FIRST_ENTRY, 0));
        scenario.completeRun(attempt(1, 1, 1));
        assertTrue(scenario.lastCommands(SidecarMachineCommand.SendWindow.class).isEmpty());
        assertEquals(
                4,
                scenario.lastCommands(SidecarMachineCommand.SendReports.class)
                        .getFirst()
                        .window());
    }

    @Test
    void idleEntryGetsNoMessageWhenItsWindowChanges() {
        SidecarScenario scenario = SidecarScenario.serving(8);
        scenario.dispatch(FIRST_ENTRY, attempt(1, 1, 1));
        assertEquals(List.of(), scenario.lastCommands(SidecarMachineCommand.SendWindow.class));
    }

    private static Map<Object, Integer> windows(SidecarScenario scenario) {
        return scenario.lastCommands(SidecarMachineCommand.SendUpstream.class).stream()
                .collect(Collectors.toMap(
                        SidecarMachineCommand.SendUpstream::entry, SidecarMachineCommand.SendUpstream::window));
    }

    private static Arguments servingStop(NotStartedReason reason, Consumer<SidecarScenario> servingStop) {
        return Arguments.of(reason, servingStop);
    }
}
