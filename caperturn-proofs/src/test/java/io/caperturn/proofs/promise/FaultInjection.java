package io.caperturn.proofs.promise;

import io.caperturn.testkit.platform.PlatformBehaviour;
import io.caperturn.testkit.platform.PlatformMode;
import io.caperturn.testkit.process.ClusterFixture;
import io.caperturn.testkit.process.RunningProcess;
import io.caperturn.testkit.relay.RelayMode;
import io.caperturn.testkit.relay.StandInRelay;
import java.io.IOException;
import java.util.Map;

/** Injects faults into a cluster and undoes them. The store is the stand-in platform. */
final class FaultInjection {
    /** Delay set for the stand-in store, longer than any time-out of a request to the store. */
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
            case UPSTREAM_FAILS_ALL -> setUpstreamMode("fail-all");
            case UPSTREAM_RESETS -> setUpstreamMode("reset");
            case LINK_CUT -> setLinkMode(RelayMode.CUT);
            case LINK_SILENT -> setLinkMode(RelayMode.SILENT);
            case LINK_TO_ENTRY_ONLY -> setLinkMode(RelayMode.TO_TARGET_ONLY);
            case LINK_TO_SIDECAR_ONLY -> setLinkMode(RelayMode.TO_CLIENT_ONLY);
            case UPSTREAM_CONNECTIONS_CUT -> cluster.sidecar(0).upstreamRelay().setMode(RelayMode.CUT);
            case UPSTREAM_CONNECTIONS_SILENT ->
                cluster.sidecar(0).upstreamRelay().setMode(RelayMode.SILENT);
            case CLIENT_CUT -> cluster.entry(0).httpRelay().setMode(RelayMode.CUT);
            case CLIENT_SILENT -> cluster.entry(0).httpRelay().setMode(RelayMode.SILENT);
            case STORE_DOWN -> setStoreMode(PlatformMode.DOWN);
            case STORE_SILENT -> setStoreMode(PlatformMode.DOWN_SILENT);
            case STORE_SLOW -> setStoreMode(PlatformMode.SLOW);
            case STORE_REPLY_LOST -> setStoreMode(PlatformMode.REPLY_LOST);
        }
    }

    void heal(Fault fault) throws IOException {
        switch (fault) {
            case ENTRY_KILLED -> cluster.restartEntry(0);
            case ENTRY_PAUSED -> cluster.entry(0).process().resume();
            case SIDECAR_KILLED -> cluster.restartSidecar(0);
            case SIDECAR_PAUSED -> cluster.sidecar(0).process().resume();
            case UPSTREAM_KILLED -> cluster.restartUpstream(0);
            case UPSTREAM_FAILS_ALL, UPSTREAM_RESETS -> setUpstreamMode("normal");
            case LINK_CUT, LINK_SILENT, LINK_TO_ENTRY_ONLY, LINK_TO_SIDECAR_ONLY -> setLinkMode(RelayMode.PASS);
            case UPSTREAM_CONNECTIONS_CUT, UPSTREAM_CONNECTIONS_SILENT ->
                cluster.sidecar(0).upstreamRelay().setMode(RelayMode.PASS);
            case CLIENT_CUT, CLIENT_SILENT -> cluster.entry(0).httpRelay().setMode(RelayMode.PASS);
            case STORE_DOWN, STORE_SILENT, STORE_SLOW, STORE_REPLY_LOST -> setStoreMode(PlatformMode.NORMAL);
        }
    }

    private void setLinkMode(RelayMode mode) {
        StandInRelay relay = cluster.entry(0).linkRelay();
        relay.setMode(mode);
    }

    private void setStoreMode(PlatformMode mode) {
        PlatformBehaviour normal = PlatformBehaviour.DEFAULT;
        cluster.platform()
                .setBehaviour(new PlatformBehaviour(
                        mode, SLOW_STORE_DELAY_MILLISECONDS, normal.writesPerSecond(), normal.syncMilliseconds()));
    }

    private void setUpstreamMode(String mode) {
        RunningProcess upstream = cluster.sidecar(0).upstream();
        cluster.client().postControl(upstream.address("http"), Map.of("mode", mode));
    }
}
