package io.caperturn.entry.link;

import io.caperturn.core.entry.EntryMachineCommand;
import io.caperturn.core.entry.EntryEvent;
import io.caperturn.core.model.ProcessId;
import io.caperturn.entry.engine.Engine;
import io.caperturn.entry.engine.Waiters;
import io.caperturn.entry.registry.RegistryService;
import io.caperturn.entry.table.TableService;
import io.caperturn.kernel.EventLine;
import io.caperturn.kernel.ServiceRegistry;
import io.caperturn.kernel.Service;
import io.caperturn.kernel.ServiceName;
import io.caperturn.kernel.ServiceStartException;
import io.caperturn.store.registry.Member;
import io.caperturn.wire.Link;
import io.caperturn.wire.LinkEndpoint;
import io.caperturn.wire.LinkListener;
import io.caperturn.wire.LinkSettings;
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

/** Service that holds the links of an entry and turns frames into events of the engine. */
public final class LinkService implements Service, LinkListener {
    /** Name under which the service is found. */
    public static final ServiceName<LinkService> NAME = new ServiceName<>("links", LinkService.class);

    private static final System.Logger LOGGER = System.getLogger(LinkService.class.getName());

    private final LinkSettings settings;
    private final String bindAddress;
    private final Clock clock;
    private final Map<ProcessId, Link> sidecars = new ConcurrentHashMap<>();
    private final Map<ProcessId, Upstream> upstreams = new ConcurrentHashMap<>();
    private final Set<ProcessId> enrolled = ConcurrentHashMap.newKeySet();
    private final AtomicInteger visits = new AtomicInteger();
    private volatile EntryList entryList = EntryList.getDefaultInstance();
    private RegistryService registry;
    private Engine engine;
    private TableService table;
    private RelayService relays;
    private LinkEndpoint endpoint;
    private String address;

    /**
     * Creates the service.
     *
     * @param settings who this process is, and the times that links keep to
     * @param bindAddress where to accept links, {@code host:port}, port 0 for any
     * @param clock source of time
     */
    public LinkService(LinkSettings settings, String bindAddress, Clock clock) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.bindAddress = Objects.requireNonNull(bindAddress, "bindAddress");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    @Override
    public void start(ServiceRegistry kernel) throws ServiceStartException {
        engine = kernel.find(Engine.NAME);
        table = kernel.find(TableService.NAME);
        registry = kernel.find(RegistryService.NAME);
        endpoint = new LinkEndpoint(settings, table, this);
        relays = new RelayService(endpoint, engine::put, engine::feedBack, kernel.find(Waiters.NAME), clock);
        int colon = bindAddress.lastIndexOf(':');
        String host = bindAddress.substring(0, colon);
        try {
            InetSocketAddress bound = endpoint.listen(host, Integer.parseInt(bindAddress.substring(colon + 1)));
            address = host + ":" + bound.getPort();
        } catch (IOException e) {
            endpoint.close();
            throw new ServiceStartException("links can't be accepted: " + e.getMessage(), e);
        }
        relays.start();
    }

    @Override
    public void stop() {
        relays.stop();
        endpoint.close();
    }

    /**
     * Returns where links are accepted.
     *
     * @return the address as {@code host:port}
     */
    public String address() {
        return address;
    }

    /**
     * Returns the sidecars whose links are open.
     *
     * @return each sidecar's link
     */
    public Map<ProcessId, Link> sidecars() {
        return Map.copyOf(sidecars);
    }

    /**
     * Returns what the linked sidecars said last of their upstreams.
     *
     * @return the upstreams by sidecar
     */
    public Map<ProcessId, Upstream> upstreams() {
        return Map.copyOf(upstreams);
    }

    /**
     * Returns the other entries by the last list of the store.
     *
     * @return the entries
     */
    public List<EntryAddress> entries() {
        return entryList.getEntriesList();
    }

    /** Opens a link to one of the other entries for a while, each time to another one; nothing if none is listed. */
    public void visitAnotherEntry() {
        List<EntryAddress> others = entries();
        if (!others.isEmpty()) {
            int next = Math.floorMod(visits.getAndIncrement(), others.size());
            relays.visit(others.get(next).getLinkAddress());
        }
    }

    /**
     * Sends attempts to a sidecar.
     *
     * @param command what to send
     * @return false if nothing was written
     */
    public boolean sendDispatches(EntryMachineCommand.SendDispatches command) {
        return send(command.sidecar(), FrameFactory.dispatches(command, clock.instant()));
    }

    /**
     * Tells a sidecar of waiting tasks; lost if its link is closed.
     *
     * @param command what to send
     */
    public void sendDemand(EntryMachineCommand.SendDemand command) {
        send(command.sidecar(), FrameFactory.demand(command));
    }

    /**
     * Asks a sidecar about an attempt; asked again when its link is back.
     *
     * @param command what to send
     */
    public void sendResolve(EntryMachineCommand.SendResolve command) {
        send(command.sidecar(), FrameFactory.resolve(command));
    }

    /**
     * Tells a sidecar which attempts are no longer wanted; lost if its link is closed.
     *
     * @param command what to send
     */
    public void sendCancels(EntryMachineCommand.SendCancels command) {
        send(command.sidecar(), FrameFactory.cancels(command));
    }

    /**
     * Fences a submission at a sidecar; an adopter that hears nothing gives up by itself.
     *
     * @param command what to send
     */
    public void sendFence(EntryMachineCommand.SendFence command) {
        send(command.sidecar(), FrameFactory.fence(command));
    }

    /**
     * Tells a sidecar that stops that no more work is sent to it.
     *
     * @param command what to send
     */
    public void sendFarewell(EntryMachineCommand.SendFarewell command) {
        send(command.sidecar(), Frame.newBuilder().setFarewell(Farewell.getDefaultInstance()));
    }

    /**
     * Relays a submission to the entry that owns its claim; the outcome reaches the engine as an event.
     *
     * @param command what to relay
     */
    public void relay(EntryMachineCommand.RelayToOwner command) {
        relays.relay(command);
    }

    @Override
    public void onOpened(Link link) {
        LOGGER.log(System.Logger.Level.INFO, () -> line("link-opened", link).toString());
        if (link.peer().role() == Role.ROLE_SIDECAR) {
            sidecars.put(link.peer().process(), link);
            if (entryList.getEntriesCount() > 0) {
                link.send(Frame.newBuilder().setEntryList(entryList));
            }
        } else {
            relays.onOpened(link);
        }
    }

    @Override
    public void onFrame(Link link, Frame frame) {
        ProcessId sender = link.peer().process();
        switch (frame.getBodyCase()) {
            case UPSTREAM -> onUpstream(sender, frame.getUpstream());
            case FAREWELL -> engine.put(new EntryEvent.FarewellReceived(sender));
            case WINDOW ->
                engine.put(
                        new EntryEvent.WindowChanged(sender, frame.getWindow().getWindow()));
            case REPORT_BATCH ->
                engine.put(new EntryEvent.ReportsReceived(
                        sender,
                        MessageCodec.fromMessages(frame.getReportBatch().getReportsList()),
                        frame.getReportBatch().getWindow()));
            case RESOLVED ->
                engine.put(new EntryEvent.AttemptResolved(
                        sender,
                        MessageCodec.fromMessage(frame.getResolved().getAttempt()),
                        MessageCodec.fromMessage(frame.getResolved().getState())));
            case FENCED ->
                engine.put(new EntryEvent.SubmissionFenced(
                        sender,
                        MessageCodec.fromMessage(frame.getFenced().getSubmission()),
                        frame.getFenced().getFence(),
                        MessageCodec.fromMessages(frame.getFenced().getReportsList())));
            case TABLE_REQUEST ->
                link.send(Frame.newBuilder()
                        .setTableRows(TableCodec.toMessage(
                                table.table(),
                                new HashSet<>(frame.getTableRequest().getKindsList()))));
            case TABLE_ROWS -> table.heard(TableCodec.fromMessage(frame.getTableRows()));
            case RELAY -> relays.onRelay(link, frame.getRelay());
            case RELAY_ANSWER -> relays.onRelayAnswer(frame.getRelayAnswer());
            default ->
                LOGGER.log(
                        System.Logger.Level.DEBUG,
                        () -> line("frame-ignored", link)
                                .with("body", frame.getBodyCase())
                                .toString());
        }
    }

    @Override
    public void onClosed(Link link, String reason) {
        LOGGER.log(
                System.Logger.Level.INFO,
                () -> line("link-closed", link).with("reason", reason).toString());
        if (link.peer().role() == Role.ROLE_SIDECAR) {
            if (sidecars.remove(link.peer().process(), link)) {
                upstreams.remove(link.peer().process());
                table.forget(link.peer().process());
                engine.put(new EntryEvent.SidecarLost(link.peer().process()));
            }
        } else {
            relays.onClosed(link);
        }
    }

    /**
     * Tells the engine of a sidecar that is on record now.
     *
     * @param sidecar the sidecar
     */
    public void onEnrolled(ProcessId sidecar) {
        enrolled.add(sidecar);
        Upstream upstream = upstreams.get(sidecar);
        if (upstream != null) {
            announce(sidecar, upstream);
        }
    }

    /**
     * Tells sidecars which other entries there are, where that changed.
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
        if (list.equals(entryList)) {
            return;
        }
        entryList = list;
        sidecars.values().forEach(link -> link.send(Frame.newBuilder().setEntryList(list)));
    }

    private void onUpstream(ProcessId sender, Upstream upstream) {
        upstreams.put(sender, upstream);
        if (enrolled.contains(sender)) {
            announce(sender, upstream);
        } else {
            registry.enrol(sender);
        }
    }

    private void announce(ProcessId sidecar, Upstream upstream) {
        engine.put(new EntryEvent.SidecarChanged(
                sidecar, MessageCodec.fromMessage(upstream), upstream.getServing(), upstream.getWindow()));
    }

    private boolean send(ProcessId sidecar, Frame.Builder frame) {
        Link link = sidecars.get(sidecar);
        return link != null && link.send(frame);
    }

    private static EventLine line(String event, Link link) {
        return EventLine.of(event)
                .with("peer", link.peer().process())
                .with("role", link.peer().role())
                .with("zone", link.peer().availabilityZone());
    }
}
