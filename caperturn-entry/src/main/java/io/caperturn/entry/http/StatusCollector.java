package io.caperturn.entry.http;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.schedule.SchedulerView;
import io.caperturn.entry.engine.Engine;
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
 * Collector of the state of the linked sidecars, the other entries and the queues by kind, as JSON; unknown values are
 * omitted.
 */
final class StatusCollector {
    private static final long VIEW_TIMEOUT_MILLISECONDS = 1_000;

    private final Engine engine;
    private final EntryLinkService links;
    private final TableService table;

    StatusCollector(Engine engine, EntryLinkService links, TableService table) {
        this.engine = engine;
        this.links = links;
        this.table = table;
    }

    /**
     * Adds the version and age of the table, the other processes and the queues to a JSON object.
     *
     * @param json the object
     * @throws InterruptedException if the thread is interrupted while it waits for the engine
     */
    void addTo(ObjectNode json) throws InterruptedException {
        json.put("tableVersion", table.tableVersion());
        long age = table.confirmationAgeMilliseconds();
        if (age >= 0) {
            json.put("tableAgeMilliseconds", age);
        }
        Map<ProcessId, Long> tableVersions = table.peerTableVersions();
        addEntries(json.putArray("entries"), tableVersions);
        Optional<SchedulerView> view = requestView();
        addSidecars(json.putArray("sidecars"), tableVersions, view.orElse(SchedulerView.EMPTY));
        view.ifPresent(known -> addQueues(json.putArray("kinds"), known));
    }

    private Optional<SchedulerView> requestView() throws InterruptedException {
        try {
            return Optional.of(engine.requestView().get(VIEW_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS));
        } catch (TimeoutException | ExecutionException e) {
            return Optional.empty();
        }
    }

    private void addEntries(ArrayNode json, Map<ProcessId, Long> tableVersions) {
        for (EntryAddress entry : links.entries()) {
            ObjectNode entryJson = json.addObject()
                    .put("name", entry.getName())
                    .put("availabilityZone", entry.getAvailabilityZone())
                    .put("linkAddress", entry.getLinkAddress());
            tableVersions.entrySet().stream()
                    .filter(known -> known.getKey().name().equals(entry.getName()))
                    .max(Comparator.comparingLong(known -> known.getKey().incarnation()))
                    .ifPresent(known -> entryJson.put("tableVersion", known.getValue()));
        }
    }

    private void addSidecars(ArrayNode json, Map<ProcessId, Long> tableVersions, SchedulerView view) {
        Map<ProcessId, SchedulerView.BackendView> backends = new HashMap<>();
        view.backends().forEach(backend -> backends.put(backend.sidecar(), backend));
        Map<ProcessId, Upstream> upstreams = links.upstreams();
        links.sidecars().entrySet().stream()
                .sorted(Comparator.comparing(link -> link.getKey().name()))
                .forEach(linked -> addSidecar(
                        json.addObject(),
                        linked.getValue(),
                        tableVersions.get(linked.getKey()),
                        upstreams.get(linked.getKey()),
                        backends.get(linked.getKey())));
    }

    private static void addSidecar(
            ObjectNode json, Link link, Long version, Upstream upstream, SchedulerView.BackendView backend) {
        json.put("name", link.peer().process().name())
                .put("availabilityZone", link.peer().availabilityZone())
                .put("state", "linked");
        if (version != null) {
            json.put("tableVersion", version);
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
        addState(upstreamJson, upstream, backend);
    }

    private static void addState(ObjectNode json, Upstream upstream, SchedulerView.BackendView backend) {
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
