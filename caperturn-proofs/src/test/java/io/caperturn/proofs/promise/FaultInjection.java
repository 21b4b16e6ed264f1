package io.caperturn.proofs.promise;

import io.caperturn.testkit.platform.PlatformControl;
import io.caperturn.testkit.platform.PlatformMode;
import io.caperturn.testkit.process.ClusterFixture;
import io.caperturn.testkit.process.RunningProcess;
import io.caperturn.testkit.relay.RelayMode;
import io.caperturn.testkit.relay.StandInRelay;
import java.io.IOException;
import java.util.Map;

/** Brings faults about in a cluster and heals them. */
final class FaultInjection {
    /** Above every time-out of a request to the store. */
    private static final long SLOW_STORE_DELAY_MILLISECONDS = 3_000;

    private final ClusterFixture cluster;

    FaultInjection(ClusterFixture cluster) {
        this.cluster = cluster;
    }

    void inject(Fault fault) {
        switch (fault) {
            case ENTRY_KILLED -> cluster.entry(0).process().kill();
            case ENTRY_PAUSED -> cluster.entry(0).process().pause();
            case SIDECAR_KILLED -> cluster.sidecar(0).process().kill();
            case SIDECAR_PAUSED -> cluster.sidecar(0).process().pause();
            case UPSTREAM_KILLED -> cluster.sidecar(0).upstream().kill();
            case UPSTREAM_FAILS_ALL -> upstreamMode("fail-all");
            case UPSTREAM_RESETS -> upstreamMode("reset");
            case LINK_CUT -> links(RelayMode.CUT);
            case LINK_SILENT -> links(RelayMode.SILENT);
            case LINK_TO_ENTRY_ONLY -> links(RelayMode.TO_TARGET_ONLY);
            case LINK_TO_SIDECAR_ONLY -> links(RelayMode.TO_CLIENT_ONLY);
            case UPSTREAM_CONNECTIONS_CUT -> cluster.sidecar(0).toUpstream().mode(RelayMode.CUT);
            case UPSTREAM_CONNECTIONS_SILENT -> cluster.sidecar(0).toUpstream().mode(RelayMode.SILENT);
            case CLIENT_CUT -> cluster.entry(0).toHttp().mode(RelayMode.CUT);
            case CLIENT_SILENT -> cluster.entry(0).toHttp().mode(RelayMode.SILENT);
            case STORE_DOWN -> store(PlatformMode.DOWN);
            case STORE_SILENT -> store(PlatformMode.DOWN_SILENT);
            case STORE_SLOW -> store(PlatformMode.SLOW);
            case STORE_REPLY_LOST -> store(PlatformMode.REPLY_LOST);
        }
    }

    void heal(Fault fault) throws IOException {
        switch (fault) {
            case ENTRY_KILLED -> cluster.restartEntry(0);
            case ENTRY_PAUSED -> cluster.entry(0).process().resume();
            case SIDECAR_KILLED -> cluster.restartSidecar(0);
            case SIDECAR_PAUSED -> cluster.sidecar(0).process().resume();
            case UPSTREAM_KILLED -> cluster.restartUpstream(0);
            case UPSTREAM_FAILS_ALL, UPSTREAM_RESETS -> upstreamMode("normal");
            case LINK_CUT, LINK_SILENT, LINK_TO_ENTRY_ONLY, LINK_TO_SIDECAR_ONLY -> links(RelayMode.PASS);
            case UPSTREAM_CONNECTIONS_CUT, UPSTREAM_CONNECTIONS_SILENT ->
                cluster.sidecar(0).toUpstream().mode(RelayMode.PASS);
            case CLIENT_CUT, CLIENT_SILENT -> cluster.entry(0).toHttp().mode(RelayMode.PASS);
            case STORE_DOWN, STORE_SILENT, STORE_SLOW, STORE_REPLY_LOST -> store(PlatformMode.NORMAL);
        }
    }

    private void links(RelayMode mode) {
        StandInRelay relay = cluster.entry(0).toLinks();
        relay.mode(mode);
    }

    private void store(PlatformMode mode) {
        PlatformControl normal = PlatformControl.DEFAULT;
        cluster.platform()
                .control(new PlatformControl(
                        mode, SLOW_STORE_DELAY_MILLISECONDS, normal.writesPerSecond(), normal.syncMilliseconds()));
    }

    private void upstreamMode(String mode) {
        RunningProcess upstream = cluster.sidecar(0).upstream();
        cluster.client().control(upstream.endpoint("http"), Map.of("mode", mode));
    }
}
