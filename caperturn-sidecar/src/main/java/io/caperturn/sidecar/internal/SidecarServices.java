package io.caperturn.sidecar.internal;

import io.caperturn.kernel.ServiceName;

/** Names by which the services of a sidecar process look each other up. */
public final class SidecarServices {
    /** Metrics of the sidecar. */
    public static final ServiceName<SidecarMeters> METERS = new ServiceName<>("meters", SidecarMeters.class);

    /** Client of the upstream. */
    public static final ServiceName<UpstreamClient> UPSTREAM_CLIENT =
            new ServiceName<>("upstream", UpstreamClient.class);

    /** State machine of the sidecar, on its own thread. */
    public static final ServiceName<SidecarMachineService> STATE_MACHINE =
            new ServiceName<>("machine", SidecarMachineService.class);

    /** Links, the connections to entry processes. */
    public static final ServiceName<SidecarLinkService> LINKS = new ServiceName<>("links", SidecarLinkService.class);

    /** HTTP server for the upstream and for operators. */
    public static final ServiceName<SidecarHttpService> HTTP =
            new ServiceName<>("announcements", SidecarHttpService.class);

    private SidecarServices() {}
}
