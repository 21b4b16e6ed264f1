package io.caperturn.fleet.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Disruption of a deployment while callers use it. */
enum Disruption {
    /** All connections of an entry are reset at the same moment: those of its callers, and its links. */
    ENTRY_CONNECTIONS_RESET((deployment, callers, random) -> deployment.resetAllConnections(entry(deployment, random))),
    LINKS_RESET((deployment, callers, random) -> deployment.resetLinks(entry(deployment, random))),
    SIDECAR_LINKS_RESET((deployment, callers, random) -> deployment.resetLinksOfSidecar(sidecar(deployment, random))),
    /** The callers of an entry reset their connections. */
    CALLERS_RESET((deployment, callers, random) -> callers.resetConnections(entry(deployment, random))),
    LINKS_SILENT(
            (deployment, callers, random) -> deployment.restrictLinks(entry(deployment, random), TcpProxy.Flow.NONE)),
    LINKS_ONE_WAY((deployment, callers, random) -> deployment.restrictLinks(
            entry(deployment, random), random.nextBoolean() ? TcpProxy.Flow.TO_TARGET : TcpProxy.Flow.FROM_TARGET)),
    /**
     * All connections of an entry lose all bytes. A caller waits until its deadline, which the entry knows; the entry
     * learns nothing of the end of that connection, but it learns that a caller resets one earlier.
     */
    ENTRY_SILENT((deployment, callers, random) -> {
        String entry = entry(deployment, random);
        deployment.restrictCallers(entry, TcpProxy.Flow.RESETS_ONLY);
        deployment.restrictLinks(entry, TcpProxy.Flow.NONE);
    }),
    ENTRY_KILLED((deployment, callers, random) -> deployment.kill(Map.of(entry(deployment, random), downtime(random)))),
    SIDECAR_KILLED(
            (deployment, callers, random) -> deployment.kill(Map.of(sidecar(deployment, random), downtime(random)))),
    /** An entry and several sidecars are killed at the same moment. */
    MANY_KILLED((deployment, callers, random) -> {
        Map<String, Long> downtimes = new HashMap<>();
        downtimes.put(entry(deployment, random), downtime(random));
        for (String sidecar : deployment.sidecars()) {
            if (random.nextInt(4) > 0) {
                downtimes.put(sidecar, downtime(random));
            }
        }
        deployment.kill(downtimes);
    }),
    ENTRY_SUSPENDED((deployment, callers, random) -> deployment.suspend(entry(deployment, random), suspension(random))),
    SIDECAR_SUSPENDED(
            (deployment, callers, random) -> deployment.suspend(sidecar(deployment, random), suspension(random))),
    TERMINATED_IN_TURN((deployment, callers, random) -> {
        List<String> nodes = new ArrayList<>(deployment.nodes());
        Collections.shuffle(nodes, random);
        deployment.terminateInTurn(nodes.subList(0, 3));
    }),
    /** Executors execute orders to start or stop runs late, and do not answer them. */
    ORDERS_LATE((deployment, callers, random) -> {
        int first = random.nextInt(deployment.sidecars().size());
        int second = random.nextInt(deployment.sidecars().size());
        deployment.setOrderDelay(first, 2_000 + random.nextInt(4_000));
        deployment.setOrderDelay(second, 2_000 + random.nextInt(4_000));
        Thread.sleep(500 + random.nextInt(2_500));
        deployment.setOrderDelay(first, 0);
        deployment.setOrderDelay(second, 0);
    });

    private final Injection injection;

    Disruption(Injection injection) {
        this.injection = injection;
    }

    /** Function that causes a disruption. */
    private interface Injection {
        void cause(DisruptedDeployment deployment, ResubmittingCallers callers, Random random)
                throws IOException, InterruptedException;
    }

    /** Causes this disruption, and ends it where it ends. */
    void cause(DisruptedDeployment deployment, ResubmittingCallers callers, Random random) {
        try {
            injection.cause(deployment, callers, random);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String entry(DisruptedDeployment deployment, Random random) {
        return deployment.entries().get(random.nextInt(deployment.entries().size()));
    }

    private static String sidecar(DisruptedDeployment deployment, Random random) {
        return deployment.sidecars().get(random.nextInt(deployment.sidecars().size()));
    }

    private static long downtime(Random random) {
        return 50 + random.nextInt(850);
    }

    private static long suspension(Random random) {
        return 500 + random.nextInt(3_500);
    }
}
