package io.caperturn.sidecar.internal;

import io.caperturn.core.model.ProcessId;
import io.caperturn.core.sidecar.SidecarEvent;
import io.caperturn.core.sidecar.SidecarEvent.ReceivedDispatch;
import io.caperturn.kernel.EventLine;
import io.caperturn.kernel.Service;
import io.caperturn.kernel.ServiceRegistry;
import io.caperturn.settings.LinkTimeSettings;
import io.caperturn.settings.SidecarSettings;
import io.caperturn.wire.Link;
import io.caperturn.wire.LinkEndpoint;
import io.caperturn.wire.LinkEndpointSettings;
import io.caperturn.wire.LinkListener;
import io.caperturn.wire.MessageCodec;
import io.caperturn.wire.Peer;
import io.caperturn.wire.message.Dispatch;
import io.caperturn.wire.message.DispatchBatch;
import io.caperturn.wire.message.EntryAddress;
import io.caperturn.wire.message.EntryList;
import io.caperturn.wire.message.Farewell;
import io.caperturn.wire.message.Frame;
import io.caperturn.wire.message.Role;
import io.caperturn.wire.message.TableRows;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Service that holds the links (connections) to entries, the processes that send tasks to this sidecar.
 *
 * <p>It converts each received frame (message) to an event for the {@link SidecarMachineService}, and sends frames. A
 * sidecar connects to the seed addresses in its settings and to the addresses in received entry lists.
 */
public final class SidecarLinkService implements Service, LinkListener {
    private static final System.Logger LOGGER = System.getLogger(SidecarLinkService.class.getName());
    private static final int MAXIMUM_FRAME_BYTES = 64 * 1024 * 1024;
    private static final long FAREWELL_POLL_INTERVAL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final Pattern ADDRESS_PATTERN = Pattern.compile("[^:]+:[0-9]{1,5}");

    private final TableReplica table;
    private final LinkEndpoint endpoint;
    private final Map<ProcessId, Link> links = new ConcurrentHashMap<>();
    private final Set<ProcessId> farewellReplies = ConcurrentHashMap.newKeySet();
    private final Set<String> seedAddresses;
    /** Names of the entries to which this sidecar connected because an entry list named them, by address. */
    private final Map<String, String> namesByListedAddress = new HashMap<>();

    private SidecarMachineService machine;

    /**
     * Creates the service.
     *
     * @param self the name and incarnation of this sidecar
     * @param settings the sidecar's settings
     * @param table the local copy of the weights and limits that operators set
     */
    public SidecarLinkService(ProcessId self, SidecarSettings settings, TableReplica table) {
        this.table = table;
        this.seedAddresses = Set.copyOf(settings.entrySeeds());
        LinkTimeSettings timesFromSettings = settings.links();
        LinkEndpointSettings linkSettings = new LinkEndpointSettings(
                new Peer(self, Role.ROLE_SIDECAR, settings.availabilityZone(), /* linkAddress= */ ""),
                Duration.ofMillis(timesFromSettings.heartbeatIntervalMilliseconds()),
                Duration.ofMillis(timesFromSettings.silenceTimeoutMilliseconds()),
                Duration.ofMillis(timesFromSettings.reconnectDelayMilliseconds()),
                MAXIMUM_FRAME_BYTES);
        this.endpoint = new LinkEndpoint(linkSettings, table, this);
    }

    @Override
    public void start(ServiceRegistry services) {
        machine = services.find(SidecarServices.STATE_MACHINE);
        services.find(SidecarServices.METERS).gauge("caperturn.links.open", "Links to entries", links::size);
        seedAddresses.forEach(endpoint::connect);
    }

    @Override
    public void stop() {
        endpoint.close();
    }

    /**
     * Sends all entries a farewell, which states that no task is outstanding at this sidecar, and waits until each
     * entry has replied with a farewell of its own. An entry sends no tasks after its farewell.
     *
     * <p>Tasks that an entry sent before its reply have been received by then, and were refused or reported.
     *
     * @param timeout the maximum time to wait for the replies
     */
    public void exchangeFarewells(Duration timeout) {
        links.values().forEach(link -> link.send(Frame.newBuilder().setFarewell(Farewell.getDefaultInstance())));
        long deadlineNanoseconds = System.nanoTime() + timeout.toNanos();
        while (!farewellReplies.containsAll(links.keySet()) && System.nanoTime() - deadlineNanoseconds < 0) {
            LockSupport.parkNanos(FAREWELL_POLL_INTERVAL_NANOSECONDS);
        }
    }

    /**
     * Sends a frame to an entry.
     *
     * @param entry the name and incarnation of the entry
     * @param frame the frame, with its body set
     * @return false if there is no open link to the entry or the frame could not be queued
     */
    public boolean send(ProcessId entry, Frame.Builder frame) {
        Link link = links.get(entry);
        return link != null && link.send(frame);
    }

    @Override
    public void onOpened(Link link) {
        if (link.peer().role() != Role.ROLE_ENTRY) {
            link.close();
            return;
        }
        Link earlier = links.put(link.peer().process(), link);
        if (earlier != null && disconnectListedAddress(link.peer().process().name())) {
            earlier.close();
            link.close();
            return;
        }
        logLink("link-opened", link, /* reason= */ "hello");
        machine.post(new SidecarEvent.EntryLinked(link.peer().process()));
    }

    @Override
    public void onClosed(Link link, String reason) {
        if (links.remove(link.peer().process(), link)) {
            logLink("link-closed", link, reason);
            machine.post(new SidecarEvent.EntryLost(link.peer().process()));
        }
    }

    @Override
    public void onFrame(Link link, Frame frame) {
        ProcessId entry = link.peer().process();
        // Demand: number of tasks that wait at the entry. Resolve: query for the state of an attempt. Fence: takeover
        // of a submission, after which tasks from the entry that owned it before are refused.
        switch (frame.getBodyCase()) {
            case DISPATCH_BATCH -> machine.post(toDispatchReceived(entry, frame.getDispatchBatch()));
            case DEMAND ->
                machine.post(
                        new SidecarEvent.DemandReceived(entry, frame.getDemand().getDemand()));
            case RESOLVE ->
                machine.post(new SidecarEvent.ResolveReceived(
                        entry,
                        MessageCodec.fromMessage(frame.getResolve().getAddressee()),
                        MessageCodec.fromMessage(frame.getResolve().getAttempt())));
            case CANCEL_BATCH ->
                machine.post(new SidecarEvent.CancelReceived(
                        entry,
                        frame.getCancelBatch().getAttemptsList().stream()
                                .map(MessageCodec::fromMessage)
                                .toList()));
            case FENCE ->
                machine.post(new SidecarEvent.FenceReceived(
                        entry,
                        MessageCodec.fromMessage(frame.getFence().getSubmission()),
                        frame.getFence().getFence()));
            case TABLE_ROWS -> applyTableRows(frame.getTableRows());
            case FAREWELL -> farewellReplies.add(entry);
            case ENTRY_LIST -> updateConnections(frame.getEntryList());
            default ->
                LOGGER.log(
                        System.Logger.Level.DEBUG,
                        () -> EventLine.of("frame-ignored")
                                .with("entry", entry)
                                .with("body", frame.getBodyCase())
                                .toString());
        }
    }

    private void applyTableRows(TableRows rows) {
        long earlierVersion = table.tableVersion();
        if (!table.applyRows(rows)) {
            return;
        }
        if (rows.getVersion() > earlierVersion) {
            LOGGER.log(
                    System.Logger.Level.INFO,
                    () -> EventLine.of("table-in-force")
                            .with("version", rows.getVersion())
                            .with("kinds", rows.getKindsCount())
                            .toString());
        }
        machine.post(new SidecarEvent.TableChanged(table.table()));
    }

    /**
     * Connects to the entries of a received list that have no link. Disconnects an address of an earlier list if it is
     * no longer listed and its entry has no link.
     */
    private void updateConnections(EntryList list) {
        Set<String> linkedNames = links.keySet().stream().map(ProcessId::name).collect(Collectors.toSet());
        Set<String> listed = new HashSet<>();
        for (EntryAddress entry : list.getEntriesList()) {
            listed.add(entry.getLinkAddress());
            boolean isNew = ADDRESS_PATTERN.matcher(entry.getLinkAddress()).matches()
                    && !linkedNames.contains(entry.getName())
                    && !seedAddresses.contains(entry.getLinkAddress())
                    && !namesByListedAddress.containsKey(entry.getLinkAddress());
            if (isNew) {
                namesByListedAddress.put(entry.getLinkAddress(), entry.getName());
                endpoint.connect(entry.getLinkAddress());
            }
        }
        namesByListedAddress.entrySet().removeIf(addressAndName -> {
            boolean isStale =
                    !listed.contains(addressAndName.getKey()) && !linkedNames.contains(addressAndName.getValue());
            if (isStale) {
                endpoint.disconnect(addressAndName.getKey());
            }
            return isStale;
        });
    }

    /**
     * Disconnects the listed address of an entry that is also connected through a seed address. Two links would replace
     * each other and reconnect, without end.
     *
     * <p>The entry keeps the link that it saw opened last; this sidecar may have seen the other one opened last. The
     * caller therefore closes both links, and the endpoint reconnects to the seed address.
     *
     * @param entryName the name of the entry
     * @return true if a listed address was disconnected
     */
    private boolean disconnectListedAddress(String entryName) {
        boolean found = false;
        for (Map.Entry<String, String> addressAndName :
                Map.copyOf(namesByListedAddress).entrySet()) {
            if (addressAndName.getValue().equals(entryName)) {
                found = true;
                namesByListedAddress.remove(addressAndName.getKey());
                endpoint.disconnect(addressAndName.getKey());
            }
        }
        return found;
    }

    private static SidecarEvent toDispatchReceived(ProcessId entry, DispatchBatch batch) {
        return new SidecarEvent.DispatchReceived(
                entry,
                MessageCodec.fromMessage(batch.getAddressee()),
                batch.getDispatchesList().stream()
                        .map(SidecarLinkService::toReceivedDispatch)
                        .toList(),
                batch.getDemand());
    }

    /** Converts a dispatched task. A claim is an entry's exclusive right to run a submission. */
    private static ReceivedDispatch toReceivedDispatch(Dispatch message) {
        return new ReceivedDispatch(
                MessageCodec.fromMessage(message.getAttempt()),
                message.getKind(),
                message.getPayload(),
                Duration.ofMillis(message.getClaimAgeMilliseconds()),
                Duration.ofMillis(Integer.toUnsignedLong(message.getTimeoutMilliseconds())));
    }

    private static void logLink(String event, Link link, String reason) {
        LOGGER.log(
                System.Logger.Level.INFO,
                () -> EventLine.of(event)
                        .with("entry", link.peer().process())
                        .with("reason", reason)
                        .toString());
    }
}
