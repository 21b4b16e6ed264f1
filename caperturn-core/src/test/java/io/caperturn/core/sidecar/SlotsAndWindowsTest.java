package io.caperturn.core.sidecar;

import static io.caperturn.core.sidecar.SidecarScenario.FIRST_ENTRY;
import static io.caperturn.core.sidecar.SidecarScenario.SECOND_ENTRY;
import static io.caperturn.core.sidecar.SidecarScenario.attempt;
import static io.caperturn.core.sidecar.SidecarScenario.notStarted;
import static io.caperturn.core.sidecar.SidecarScenario.upstreamWithSlotsAndConnections;
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
 * Tests how many attempts a sidecar process runs, and which window it grants to each entry process.
 *
 * <p>A window is the maximum number of attempts that an entry may have outstanding at the sidecar. The demand of an
 * entry is the number of tasks that wait there. The arguments of {@link SidecarScenario#attempt} are the task, the
 * fencing token and the attempt number.
 */
class SlotsAndWindowsTest {
    @ParameterizedTest
    @CsvSource({"4, 64, 4", "8, 3, 3", "1, 1, 1"})
    void runsAreBoundedBySlotsAndConnections(int slots, int connections, int runs) {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(slots);
        scenario.announceSlotsAndConnections(slots, connections);
        scenario.dispatchTasksOneTo(FIRST_ENTRY, 20);
        assertEquals(runs, scenario.startedAttempts().size());
    }

    @Test
    void queuedAttemptsStartInOrderOfArrival() {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(2);
        scenario.dispatchTasksOneTo(FIRST_ENTRY, 4);
        scenario.completeRun(attempt(2, 1, 1));
        scenario.completeRun(attempt(1, 1, 1));
        assertEquals(
                IntStream.rangeClosed(1, 4)
                        .mapToObj(task -> attempt(task, 1, 1))
                        .toList(),
                scenario.startedAttempts());
    }

    @Test
    void urgentAttemptStartsBeforeOtherQueuedAttempts() {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(2);
        UpstreamDescription upstream = new UpstreamDescription(
                "upstream",
                Set.of("assay", "certificate"),
                /* slots= */ 2,
                /* connections= */ 64,
                "worker",
                "rack",
                "zone-a");
        scenario.send(new SidecarEvent.UpstreamAnnounced(upstream, /* leaving= */ false));
        KindRow row = new KindRow(
                "certificate",
                /* weight= */ 1,
                Urgency.URGENT,
                Limits.NONE,
                Duration.ofSeconds(5),
                /* rowVersion= */ 1);
        scenario.send(new SidecarEvent.TableChanged(new Table(/* version= */ 1, Map.of("certificate", row), Map.of())));
        scenario.dispatchTasksOneTo(FIRST_ENTRY, 3);
        ReceivedDispatch urgent = SidecarScenario.receivedDispatch(attempt(4, 1, 1), "certificate", Duration.ZERO);
        scenario.send(
                new SidecarEvent.DispatchReceived(FIRST_ENTRY, SidecarScenario.SELF, List.of(urgent), /* demand= */ 0));
        scenario.completeRun(attempt(1, 1, 1));
        assertEquals(attempt(4, 1, 1), scenario.startedAttempts().getLast());
    }

    @Test
    void nothingStartsWhileRunsExceedReducedSlots() {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(2);
        scenario.dispatchTasksOneTo(FIRST_ENTRY, 3);
        scenario.announceSlotsAndConnections(1, 64);
        scenario.completeRun(attempt(1, 1, 1));
        assertEquals(2, scenario.startedAttempts().size());
    }

    @Test
    void moreSlotsStartQueuedAttemptsImmediately() {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(1);
        scenario.dispatchTasksOneTo(FIRST_ENTRY, 2);
        scenario.announceSlotsAndConnections(2, 64);
        assertEquals(2, scenario.startedAttempts().size());
    }

    @Test
    void reportsOfOneEventAreSentTogether() {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(1);
        // One attempt runs, one is queued, and seven are refused.
        scenario.dispatchTasksOneTo(FIRST_ENTRY, 9);
        assertEquals(
                1,
                scenario.lastCommandsOfType(SidecarMachineCommand.SendReports.class)
                        .size());
        assertEquals(7, scenario.lastReportsTo(FIRST_ENTRY).size());
    }

    /** Returns the events after which a sidecar accepts no work, with the reason that it then reports. */
    static Stream<Arguments> endsOfServing() {
        return Stream.of(
                endOfServing(
                        NotStartedReason.LEAVING,
                        scenario -> scenario.send(new SidecarEvent.UpstreamAnnounced(
                                upstreamWithSlotsAndConnections(1, 64), /* leaving= */ true))),
                endOfServing(NotStartedReason.LEAVING, scenario -> {
                    scenario.advance(SidecarScenario.ANNOUNCEMENT_TIMEOUT.plusMillis(1));
                    scenario.send(new SidecarEvent.Tick());
                }),
                endOfServing(NotStartedReason.DRAINING, scenario -> scenario.send(new SidecarEvent.DrainRequested())));
    }

    @ParameterizedTest
    @MethodSource("endsOfServing")
    void endOfServingIsSentToAllEntriesImmediately(NotStartedReason reason, Consumer<SidecarScenario> endOfServing) {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(1);
        endOfServing.accept(scenario);
        assertEquals(
                List.of(
                        new SidecarMachineCommand.SendUpstream(
                                FIRST_ENTRY,
                                upstreamWithSlotsAndConnections(1, 64),
                                /* serving= */ false,
                                /* window= */ 0),
                        new SidecarMachineCommand.SendUpstream(
                                SECOND_ENTRY, upstreamWithSlotsAndConnections(1, 64), false, 0)),
                scenario.lastCommandsOfType(SidecarMachineCommand.SendUpstream.class));
    }

    @ParameterizedTest
    @MethodSource("endsOfServing")
    void endOfServingReturnsQueuedAttempts(NotStartedReason reason, Consumer<SidecarScenario> endOfServing) {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(1);
        scenario.dispatchTasksOneTo(FIRST_ENTRY, 2);
        endOfServing.accept(scenario);
        assertEquals(
                List.of(new AttemptReport(attempt(2, 1, 1), notStarted(reason))), scenario.lastReportsTo(FIRST_ENTRY));
        scenario.completeRun(attempt(1, 1, 1));
        assertEquals(List.of(attempt(1, 1, 1)), scenario.startedAttempts());
    }

    @Test
    void runFinishedAfterAnnouncementsStoppedStartsNothing() {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(1);
        scenario.dispatchTasksOneTo(FIRST_ENTRY, 2);
        scenario.advance(SidecarScenario.ANNOUNCEMENT_TIMEOUT.plusMillis(1));
        scenario.completeRun(attempt(1, 1, 1));
        assertEquals(List.of(attempt(1, 1, 1)), scenario.startedAttempts());
    }

    @Test
    void lateAnnouncementKeepsServing() {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(1);
        scenario.dispatchTasksOneTo(FIRST_ENTRY, 2);
        scenario.advance(SidecarScenario.ANNOUNCEMENT_TIMEOUT.plusMillis(1));
        assertEquals(List.of(), scenario.announceSlotsAndConnections(1, 64));
    }

    @Test
    void repeatedAnnouncementSendsNoMessage() {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(1);
        assertEquals(List.of(), scenario.announceSlotsAndConnections(1, 64));
    }

    @Test
    void drainCompletesWithLastRun() {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(1);
        scenario.dispatchTasksOneTo(FIRST_ENTRY, 1);
        scenario.send(new SidecarEvent.DrainRequested());
        assertTrue(
                scenario.lastCommandsOfType(SidecarMachineCommand.Drained.class).isEmpty());
        List<SidecarMachineCommand> commands = scenario.completeRun(attempt(1, 1, 1));
        assertEquals(1, scenario.lastReportsTo(FIRST_ENTRY).size());
        assertEquals(new SidecarMachineCommand.Drained(), commands.getLast());
    }

    @Test
    void drainOfIdleSidecarCompletesImmediately() {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(1);
        scenario.send(new SidecarEvent.DrainRequested());
        assertEquals(
                1,
                scenario.lastCommandsOfType(SidecarMachineCommand.Drained.class).size());
    }

    @ParameterizedTest
    @CsvSource({"0, 0, 4, 4", "100, 0, 8, 4", "100, 100, 4, 4", "3, 100, 4, 5"})
    void windowsFollowDemand(int firstDemand, int secondDemand, int firstWindow, int secondWindow) {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(8);
        scenario.send(new SidecarEvent.DemandReceived(FIRST_ENTRY, firstDemand));
        scenario.send(new SidecarEvent.DemandReceived(SECOND_ENTRY, secondDemand));
        // A changed announcement is sent to all entries, together with their windows.
        scenario.announceSlotsAndConnections(8, 65);
        assertEquals(Map.of(FIRST_ENTRY, firstWindow, SECOND_ENTRY, secondWindow), lastSentWindows(scenario));
    }

    @ParameterizedTest
    @CsvSource({"1, 8", "2, 8", "3, 8", "10, 8"})
    void idleEntriesLeaveAllSlotsToDemand(int entries, int window) {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(8);
        scenario.send(new SidecarEvent.EntryLost(SECOND_ENTRY));
        for (int entry = 2; entry <= entries; entry++) {
            scenario.send(new SidecarEvent.EntryLinked(new ProcessId("entry-" + entry, 1)));
        }
        scenario.send(new SidecarEvent.DemandReceived(FIRST_ENTRY, 100));
        assertEquals(
                List.of(new SidecarMachineCommand.SendWindow(FIRST_ENTRY, window)),
                scenario.lastCommandsOfType(SidecarMachineCommand.SendWindow.class));
    }

    @Test
    void demandExpiresAfterOneSecond() {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(8);
        scenario.send(new SidecarEvent.DemandReceived(FIRST_ENTRY, 100));
        scenario.advance(Duration.ofSeconds(1));
        scenario.announceSlotsAndConnections(8, 65);
        assertEquals(Map.of(FIRST_ENTRY, 4, SECOND_ENTRY, 4), lastSentWindows(scenario));
    }

    @Test
    void grownWindowIsSentWhenNoReportIsDue() {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(8);
        scenario.dispatchWithDemand(FIRST_ENTRY, 50, attempt(1, 1, 1));
        assertEquals(
                List.of(new SidecarMachineCommand.SendWindow(FIRST_ENTRY, 8)),
                scenario.lastCommandsOfType(SidecarMachineCommand.SendWindow.class));
    }

    @Test
    void reportCarriesWindow() {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(8);
        scenario.dispatch(FIRST_ENTRY, attempt(1, 1, 1));
        scenario.send(new SidecarEvent.DemandReceived(SECOND_ENTRY, 100));
        scenario.send(new SidecarEvent.EntryLost(SECOND_ENTRY));
        scenario.send(new SidecarEvent.DemandReceived(FIRST_ENTRY, 0));
        // The entry is idle after the run, so that it has the idle window of 4.
        scenario.completeRun(attempt(1, 1, 1));
        assertTrue(scenario.lastCommandsOfType(SidecarMachineCommand.SendWindow.class)
                .isEmpty());
        assertEquals(
                4,
                scenario.lastCommandsOfType(SidecarMachineCommand.SendReports.class)
                        .getFirst()
                        .window());
    }

    @Test
    void idleEntryGetsNoMessageWhenItsWindowChanges() {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(8);
        scenario.dispatch(FIRST_ENTRY, attempt(1, 1, 1));
        assertEquals(List.of(), scenario.lastCommandsOfType(SidecarMachineCommand.SendWindow.class));
    }

    /** Returns the window that the last event sent to each entry. */
    private static Map<Object, Integer> lastSentWindows(SidecarScenario scenario) {
        return scenario.lastCommandsOfType(SidecarMachineCommand.SendUpstream.class).stream()
                .collect(Collectors.toMap(
                        SidecarMachineCommand.SendUpstream::entry, SidecarMachineCommand.SendUpstream::window));
    }

    private static Arguments endOfServing(NotStartedReason reason, Consumer<SidecarScenario> endOfServing) {
        return Arguments.of(reason, endOfServing);
    }
}
