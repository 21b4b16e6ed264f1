package io.caperturn.sidecar.internal;

import io.caperturn.kernel.ServiceName;

/** Names under which the sidecar's services find each other. */
public final class SidecarServices {
    /** Meters of the process. */
    public static final ServiceName<SidecarMeters> METERS = new ServiceName<>("meters", SidecarMeters.class);

    /** The way to the upstream. */
    public static final ServiceName<UpstreamClient> UPSTREAM = new ServiceName<>("upstream", UpstreamClient.class);

    /** The decision logic on its own thread. */
    public static final ServiceName<MachineService> MACHINE = new ServiceName<>("machine", MachineService.class);

    /** Links to entries. */
    public static final ServiceName<LinkService> LINKS = new ServiceName<>("links", LinkService.class);

    /** HTTP for the upstream and operators. */
    public static final ServiceName<AnnouncementService> ANNOUNCEMENTS =
            new ServiceName<>("announcements", AnnouncementService.class);

    private SidecarServices() {}
}
