package io.caperturn.entry.link;

import io.caperturn.core.entry.EntryEvent;
import io.caperturn.core.entry.EntryMachineCommand;
import io.caperturn.core.model.ProcessId;
import io.caperturn.entry.engine.EntryEventLoop;
import io.caperturn.entry.engine.WaiterRegistry;
import io.caperturn.entry.registry.RegistryService;
import io.caperturn.entry.table.TableService;
import io.caperturn.kernel.EventLine;
import io.caperturn.kernel.Service;
import io.caperturn.kernel.ServiceName;
import io.caperturn.kernel.ServiceRegistry;
import io.caperturn.kernel.ServiceStartException;
import io.caperturn.store.registry.Member;
import io.caperturn.wire.Link;
import io.caperturn.wire.LinkEndpoint;
import io.caperturn.wire.LinkEndpointSettings;
import io.caperturn.wire.LinkListener;
import io.caperturn.wire.MessageCodec;
import io.caperturn.wire.TableCodec;
import io.caperturn.wire.message.EntryAddress;
import io.caperturn.wire.message.EntryList;
import io.caperturn.wire.message.Farewell;
import io.caperturn.wire.message.Frame;
import io.caperturn.wire.message.Role;
import io.caperturn.wire.message.Upstream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Service that holds the links of this entry process, the connections to sidecar processes and to other entries, and
 * converts the frames received on them into events of the {@link EntryEventLoop}.
 *
 * <p>A sidecar is the process beside an upstream. It starts attempts (single executions of tasks) there. Its window is
 * the maximum number of unfinished attempts of this entry. A sidecar gets tasks only after its enrolment, the record
 * that this entry uses it, is stored.
 */
public final class EntryLinkService implements Service, LinkListener {
    /** Name in the {@link ServiceRegistry}. */
    public static final ServiceName<EntryLinkService> NAME = new ServiceName<>("links", EntryLinkService.class);

    private static final System.Logger LOGGER = System.getLogger(EntryLinkService.class.getName());

    private final LinkEndpointSettings settings;
    private final String bindAddress;
    private final Clock clock;
    private final Map<ProcessId, Link> sidecarLinks = new ConcurrentHashMap<>();
    private final Map<ProcessId, Upstream> upstreams = new ConcurrentHashMap<>();
    /** Sidecars whose enrolment is stored. */
    private final Set<ProcessId> enrolledSidecars = ConcurrentHashMap.newKeySet();

    private final AtomicInteger nextEntryNumber = new AtomicInteger();

    private volatile EntryList otherEntryList = EntryList.getDefaultInstance();
    private RegistryService registry;
    private EntryEventLoop eventLoop;
    /** Operators' weights and limits. */
    private TableService table;

    private RelayService relayService;
    private LinkEndpoint endpoint;
    private String address;

    /**
     * Creates the service.
     *
     * @param settings the identity of this process, and the intervals and time-outs of links
     * @param bindAddress the address at which this entry accepts links, {@code host:port}; port 0 selects any free port
     * @param clock source of time
     */
    public EntryLinkService(LinkEndpointSettings settings, String bindAddress, Clock clock) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.bindAddress = Objects.requireNonNull(bindAddress, "bindAddress");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    @Override
    public void start(ServiceRegistry services) throws ServiceStartException {
        eventLoop = services.find(EntryEventLoop.NAME);
        table = services.find(TableService.NAME);
        registry = services.find(RegistryService.NAME);
        endpoint = new LinkEndpoint(settings, table, this);
        relayService = new RelayService(
                endpoint, eventLoop::put, eventLoop::addFollowUp, services.find(WaiterRegistry.NAME), clock);
        int colon = bindAddress.lastIndexOf(':');
        String host = bindAddress.substring(0, colon);
        try {
            InetSocketAddress bound = endpoint.listen(host, Integer.parseInt(bindAddress.substring(colon + 1)));
            address = host + ":" + bound.getPort();
        } catch (IOException e) {
            endpoint.close();
            throw new ServiceStartException("cannot accept links: " + e.getMessage(), e);
        }
        relayService.start();
    }

    @Override
    public void stop() {
        relayService.stop();
        endpoint.close();
    }

    /**
     * Returns the address at which this entry accepts links.
     *
     * @return the address as {@code host:port}
     */
    public String address() {
        return address;
    }

    /**
     * Returns the open links to sidecars.
     *
     * @return the links by sidecar
     */
    public Map<ProcessId, Link> sidecarLinks() {
        return Map.copyOf(sidecarLinks);
    }

    /**
     * Returns the latest description of its upstream that each linked sidecar has sent.
     *
     * @return the descriptions by sidecar
     */
    public Map<ProcessId, Upstream> upstreams() {
        return Map.copyOf(upstreams);
    }

    /**
     * Returns the other running entries as of their last listing in the store.
     *
     * @return the entries
     */
    public List<EntryAddress> otherEntries() {
        return otherEntryList.getEntriesList();
    }

    /** Opens a temporary link to one of the other entries, in rotation; does nothing if none is listed. */
    public void connectToAnotherEntry() {
        List<EntryAddress> others = otherEntries();
        if (!others.isEmpty()) {
            int index = Math.floorMod(nextEntryNumber.getAndIncrement(), others.size());
            relayService.connect(others.get(index).getLinkAddress());
        }
    }

    /**
     * Sends attempts to a sidecar.
     *
     * @param command the sidecar and the attempts
     * @return false if nothing was sent
     */
    public boolean sendDispatches(EntryMachineCommand.SendDispatches command) {
        return send(command.sidecar(), EntryFrameCodec.encodeDispatches(command, clock.instant()));
    }

    /**
     * Sends a sidecar its demand, the number of waiting tasks that it could run; dropped if the link is closed.
     *
     * @param command the sidecar and the demand
     */
    public void sendDemand(EntryMachineCommand.SendDemand command) {
        send(command.sidecar(), EntryFrameCodec.encodeDemand(command));
    }

    /**
     * Asks a sidecar for the state of an attempt (answer: RESOLVED); if the link is closed, the event loop asks again
     * after the link is reopened.
     *
     * @param command the sidecar and the attempt
     */
    public void sendResolve(EntryMachineCommand.SendResolve command) {
        send(command.sidecar(), EntryFrameCodec.encodeResolve(command));
    }

    /**
     * Asks a sidecar to cancel attempts; dropped if the link is closed.
     *
     * @param command the sidecar and the attempts
     */
    public void sendCancels(EntryMachineCommand.SendCancels command) {
        send(command.sidecar(), EntryFrameCodec.encodeCancels(command));
    }

    /**
     * Asks a sidecar to refuse all dispatches of a submission that have a lower fencing token (answer: FENCED). The
     * message is dropped if the link is closed, and the adoption (takeover from a lost owner) then times out.
     *
     * @param command the sidecar, the submission and the fencing token
     */
    public void sendFence(EntryMachineCommand.SendFence command) {
        send(command.sidecar(), EntryFrameCodec.encodeFence(command));
    }

    /**
     * Confirms to a stopping sidecar that this entry sends it no more tasks.
     *
     * @param command the sidecar
     */
    public void sendFarewell(EntryMachineCommand.SendFarewell command) {
        send(command.sidecar(), Frame.newBuilder().setFarewell(Farewell.getDefaultInstance()));
    }

    /**
     * Relays a submission to the entry that owns it; the result reaches the event loop as an event.
     *
     * @param command the submission and its owner
     */
    public void relayToOwner(EntryMachineCommand.RelayToOwner command) {
        relayService.relayToOwner(command);
    }

    @Override
    public void onOpened(Link link) {
        LOGGER.log(
                System.Logger.Level.INFO, () -> eventLine("link-opened", link).toString());
        if (link.peer().role() == Role.ROLE_SIDECAR) {
            sidecarLinks.put(link.peer().process(), link);
            if (otherEntryList.getEntriesCount() > 0) {
                link.send(Frame.newBuilder().setEntryList(otherEntryList));
            }
        } else {
            relayService.onOpened(link);
        }
    }

    @Override
    public void onFrame(Link link, Frame frame) {
        ProcessId sender = link.peer().process();
        switch (frame.getBodyCase()) {
            case UPSTREAM -> handleUpstream(sender, frame.getUpstream());
            case FAREWELL -> eventLoop.put(new EntryEvent.FarewellReceived(sender));
            case WINDOW ->
                eventLoop.put(
                        new EntryEvent.WindowChanged(sender, frame.getWindow().getWindow()));
            case REPORT_BATCH ->
                eventLoop.put(new EntryEvent.ReportsReceived(
                        sender,
                        MessageCodec.fromMessages(frame.getReportBatch().getReportsList()),
                        frame.getReportBatch().getWindow()));
            case RESOLVED ->
                eventLoop.put(new EntryEvent.AttemptResolved(
                        sender,
                        MessageCodec.fromMessage(frame.getResolved().getAttempt()),
                        MessageCodec.fromMessage(frame.getResolved().getState())));
            case FENCED ->
                eventLoop.put(new EntryEvent.SubmissionFenced(
                        sender,
                        MessageCodec.fromMessage(frame.getFenced().getSubmission()),
                        frame.getFenced().getFence(),
                        MessageCodec.fromMessages(frame.getFenced().getReportsList())));
            case TABLE_REQUEST ->
                link.send(Frame.newBuilder()
                        .setTableRows(TableCodec.toMessage(
                                table.table(),
                                new HashSet<>(frame.getTableRequest().getKindsList()))));
            case TABLE_ROWS -> table.onTableReceived(TableCodec.fromMessage(frame.getTableRows()));
            case RELAY -> relayService.onRelay(link, frame.getRelay());
            case RELAY_ANSWER -> relayService.onRelayAnswer(frame.getRelayAnswer());
            default ->
                LOGGER.log(
                        System.Logger.Level.DEBUG,
                        () -> eventLine("frame-ignored", link)
                                .with("body", frame.getBodyCase())
                                .toString());
        }
    }

    @Override
    public void onClosed(Link link, String reason) {
        LOGGER.log(
                System.Logger.Level.INFO,
                () -> eventLine("link-closed", link).with("reason", reason).toString());
        if (link.peer().role() == Role.ROLE_SIDECAR) {
            if (sidecarLinks.remove(link.peer().process(), link)) {
                upstreams.remove(link.peer().process());
                table.removePeer(link.peer().process());
                eventLoop.put(new EntryEvent.SidecarLost(link.peer().process()));
            }
        } else {
            relayService.onClosed(link);
        }
    }

    /**
     * Makes a sidecar available for tasks after its enrolment was stored.
     *
     * @param sidecar the sidecar
     */
    public void onEnrolled(ProcessId sidecar) {
        enrolledSidecars.add(sidecar);
        Upstream upstream = upstreams.get(sidecar);
        if (upstream != null) {
            putSidecarChange(sidecar, upstream);
        }
    }

    /**
     * Sends a changed list of the other entries to all linked sidecars.
     *
     * @param entries the other entries
     */
    public void onEntriesListed(List<Member> entries) {
        EntryList.Builder builder = EntryList.newBuilder();
        entries.forEach(entry -> builder.addEntries(EntryAddress.newBuilder()
                .setName(entry.process().name())
                .setLinkAddress(entry.linkAddress())
                .setAvailabilityZone(entry.availabilityZone())));
        EntryList list = builder.build();
        if (list.equals(otherEntryList)) {
            return;
        }
        otherEntryList = list;
        sidecarLinks.values().forEach(link -> link.send(Frame.newBuilder().setEntryList(list)));
    }

    private void handleUpstream(ProcessId sidecar, Upstream upstream) {
        upstreams.put(sidecar, upstream);
        if (enrolledSidecars.contains(sidecar)) {
            putSidecarChange(sidecar, upstream);
        } else {
            registry.enrol(sidecar);
        }
    }

    private void putSidecarChange(ProcessId sidecar, Upstream upstream) {
        eventLoop.put(new EntryEvent.SidecarChanged(
                sidecar, MessageCodec.fromMessage(upstream), upstream.getServing(), upstream.getWindow()));
    }

    private boolean send(ProcessId sidecar, Frame.Builder frame) {
        Link link = sidecarLinks.get(sidecar);
        return link != null && link.send(frame);
    }

    private static EventLine eventLine(String eventName, Link link) {
        return EventLine.of(eventName)
                .with("peer", link.peer().process())
                .with("role", link.peer().role())
                .with("zone", link.peer().availabilityZone());
    }
}
