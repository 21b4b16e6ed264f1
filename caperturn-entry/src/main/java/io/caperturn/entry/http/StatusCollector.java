package io.caperturn.entry.http;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.schedule.SchedulerView;
import io.caperturn.entry.engine.EntryEventLoop;
import io.caperturn.entry.link.EntryLinkService;
import io.caperturn.entry.table.TableService;
import io.caperturn.wire.Link;
import io.caperturn.wire.message.EntryAddress;
import io.caperturn.wire.message.Upstream;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Collector of the state of the linked sidecar processes (one beside each upstream), the other entry processes and the
 * queues by kind of task, as JSON; unknown values are omitted.
 */
final class StatusCollector {
    private static final long SCHEDULER_VIEW_TIMEOUT_MILLISECONDS = 1_000;

    private final EntryEventLoop eventLoop;
    private final EntryLinkService links;
    private final TableService table;

    StatusCollector(EntryEventLoop eventLoop, EntryLinkService links, TableService table) {
        this.eventLoop = eventLoop;
        this.links = links;
        this.table = table;
    }

    /**
     * Adds the other processes, the queues, and the version and age (time since the last confirmation by the store) of
     * the operators' table to a JSON object.
     *
     * @param json the object
     * @throws InterruptedException if the thread is interrupted while it waits for the event loop
     */
    void addTo(ObjectNode json) throws InterruptedException {
        json.put("tableVersion", table.tableVersion());
        long confirmationAge = table.confirmationAgeMilliseconds();
        if (confirmationAge >= 0) {
            json.put("tableAgeMilliseconds", confirmationAge);
        }
        Map<ProcessId, Long> tableVersions = table.peerTableVersions();
        addEntries(json.putArray("entries"), tableVersions);
        Optional<SchedulerView> view = requestSchedulerView();
        addSidecars(json.putArray("sidecars"), tableVersions, view.orElse(SchedulerView.EMPTY));
        view.ifPresent(presentView -> addQueues(json.putArray("kinds"), presentView));
    }

    private Optional<SchedulerView> requestSchedulerView() throws InterruptedException {
        try {
            return Optional.of(
                    eventLoop.requestSchedulerView().get(SCHEDULER_VIEW_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS));
        } catch (TimeoutException | ExecutionException e) {
            return Optional.empty();
        }
    }

    private void addEntries(ArrayNode json, Map<ProcessId, Long> tableVersions) {
        for (EntryAddress entry : links.otherEntries()) {
            ObjectNode entryJson = json.addObject()
                    .put("name", entry.getName())
                    .put("availabilityZone", entry.getAvailabilityZone())
                    .put("linkAddress", entry.getLinkAddress());
            tableVersions.entrySet().stream()
                    .filter(processVersion -> processVersion.getKey().name().equals(entry.getName()))
                    .max(Comparator.comparingLong(
                            processVersion -> processVersion.getKey().incarnation()))
                    .ifPresent(processVersion -> entryJson.put("tableVersion", processVersion.getValue()));
        }
    }

    private void addSidecars(ArrayNode json, Map<ProcessId, Long> tableVersions, SchedulerView view) {
        Map<ProcessId, SchedulerView.BackendView> backends = new HashMap<>();
        view.backends().forEach(backend -> backends.put(backend.sidecar(), backend));
        Map<ProcessId, Upstream> upstreams = links.upstreams();
        links.sidecarLinks().entrySet().stream()
                .sorted(Comparator.comparing(sidecarLink -> sidecarLink.getKey().name()))
                .forEach(sidecarLink -> addSidecar(
                        json.addObject(),
                        sidecarLink.getValue(),
                        tableVersions.get(sidecarLink.getKey()),
                        upstreams.get(sidecarLink.getKey()),
                        backends.get(sidecarLink.getKey())));
    }

    /**
     * Adds a sidecar; its table version, upstream and back end (the scheduler's view of the sidecar) are null if
     * unknown. The window is the maximum number of outstanding tasks.
     */
    private static void addSidecar(
            ObjectNode json, Link link, Long tableVersion, Upstream upstream, SchedulerView.BackendView backend) {
        json.put("name", link.peer().process().name())
                .put("availabilityZone", link.peer().availabilityZone())
                .put("state", "linked");
        if (tableVersion != null) {
            json.put("tableVersion", tableVersion);
        }
        if (backend != null) {
            json.put("window", backend.window()).put("outstanding", backend.outstanding());
        }
        if (upstream == null || upstream.getName().isEmpty()) {
            json.putObject("upstream").put("state", "absent");
            return;
        }
        ObjectNode upstreamJson = json.putObject("upstream")
                .put("name", upstream.getName())
                .put("slots", upstream.getSlots())
                .put("connections", upstream.getConnections())
                .put("worker", upstream.getWorker())
                .put("rack", upstream.getRack())
                .put("availabilityZone", upstream.getAvailabilityZone());
        ArrayNode kinds = upstreamJson.putArray("kinds");
        upstream.getKindsList().forEach(kinds::add);
        addUpstreamState(upstreamJson, upstream, backend);
    }

    private static void addUpstreamState(ObjectNode json, Upstream upstream, SchedulerView.BackendView backend) {
        if (!upstream.getServing()) {
            json.put("state", "leaving").put("why", "it is leaving or not responding, or its sidecar is draining");
            return;
        }
        if (backend == null) {
            json.put("state", "serving");
            return;
        }
        switch (backend.status()) {
            case USED -> json.put("state", "serving");
            case ON_PROBATION ->
                json.put("state", "serving")
                        .put(
                                "why",
                                "probed with single tasks after " + backend.consecutiveFailures()
                                        + " consecutive failures");
            case EJECTED ->
                json.put("state", "ejected").put("why", backend.consecutiveFailures() + " consecutive failures");
            case FULL -> json.put("state", "serving").put("why", "it recently refused a task");
        }
    }

    private static void addQueues(ArrayNode json, SchedulerView view) {
        for (SchedulerView.QueueView queue : view.queues()) {
            json.addObject()
                    .put("kind", queue.kind())
                    .put("urgency", queue.urgency().name())
                    .put("waiting", queue.waiting())
                    .put("running", queue.running());
        }
    }
}
