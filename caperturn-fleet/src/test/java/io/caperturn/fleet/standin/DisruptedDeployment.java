package io.caperturn.fleet.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Deployment of entries and sidecars whose processes are killed, suspended and stopped, and whose connections to and
 * from entries are broken or silenced.
 *
 * <p>A process that one method has stopped is left alone by the others until it runs again.
 */
final class DisruptedDeployment implements AutoCloseable {
    private static final long TERMINATION_SECONDS = 8;

    private final StandInDeployment deployment;
    private final List<String> entries = new ArrayList<>();
    private final List<String> sidecars = new ArrayList<>();
    private final Map<String, TcpProxy> callerProxies = new TreeMap<>();
    private final Map<String, TcpProxy> linkProxies = new TreeMap<>();
    private final Set<String> disrupted = ConcurrentHashMap.newKeySet();

    /** Starts all processes and waits until they serve; the folder holds their settings and logs. */
    DisruptedDeployment(Path folder, ArchivedCommand command, int entryCount, int sidecarCount) throws Exception {
        deployment = new StandInDeployment(folder);
        for (int number = 1; number <= entryCount; number++) {
            String node = "entry-" + number;
            entries.add(node);
            deployment.addEntry(node, command.forRole("entry"));
            callerProxies.put(node, new TcpProxy(deployment.callerPort(node)));
            TcpProxy links = new TcpProxy(deployment.linkPort(node));
            linkProxies.put(node, links);
            deployment.store().replaceAddress(node, "127.0.0.1:" + links.port());
        }
        for (int number = 1; number <= sidecarCount; number++) {
            String node = "sidecar-" + number;
            sidecars.add(node);
            deployment.addSidecar(node, command.forRole("sidecar"), /* taskMilliseconds= */ 50);
        }
        for (String node : nodes()) {
            deployment.start(node);
        }
        for (String entry : entries) {
            deployment.awaitReady(entry);
        }
        // The links between all processes open within this time.
        Thread.sleep(1_000);
    }

    List<String> entries() {
        return entries;
    }

    List<String> sidecars() {
        return sidecars;
    }

    List<String> nodes() {
        return Stream.concat(entries.stream(), sidecars.stream()).toList();
    }

    RunRecord runs() {
        return deployment.runs();
    }

    /** Returns the port at which callers reach an entry. */
    int callerPort(String entry) {
        return callerProxies.get(entry).port();
    }

    /** Returns the entries that are not killed. */
    List<String> livingEntries() {
        return entries.stream()
                .filter(entry -> deployment.process(entry).isAlive())
                .toList();
    }

    /** Sets the time after which the executor of a sidecar executes orders, in milliseconds; 0 for at once. */
    void setOrderDelay(int sidecar, long milliseconds) {
        deployment.executor(sidecar).setOrderDelay(milliseconds);
    }

    /** Resets all connections of an entry: those of its callers, and its links. */
    void resetAllConnections(String entry) {
        callerProxies.get(entry).resetAll();
        resetLinks(entry);
    }

    /** Resets the links of an entry: those that other processes opened, and those to other entries. */
    void resetLinks(String entry) {
        linkProxies.get(entry).resetAll();
        linkProxies.values().forEach(proxy -> proxy.resetFrom(entry));
    }

    /** Resets the links of a sidecar. */
    void resetLinksOfSidecar(String sidecar) {
        linkProxies.values().forEach(proxy -> proxy.resetFrom(sidecar));
    }

    /** Restricts the open links to an entry for good; later links pass all bytes on. */
    void restrictLinks(String entry, TcpProxy.Flow flow) {
        linkProxies.get(entry).restrictAll(flow);
    }

    /** Restricts the open connections of the callers of an entry for good. */
    void restrictCallers(String entry, TcpProxy.Flow flow) {
        callerProxies.get(entry).restrictAll(flow);
    }

    /** Kills processes at the same moment, and starts each again after a time of its own, in milliseconds. */
    void kill(Map<String, Long> downtimes) throws IOException, InterruptedException {
        Map<Long, List<String>> starts = new TreeMap<>();
        downtimes.forEach((node, downtime) -> {
            if (disrupted.add(node)) {
                deployment.process(node).destroyForcibly();
                starts.computeIfAbsent(downtime, key -> new ArrayList<>()).add(node);
            }
        });
        long killed = System.nanoTime();
        for (Map.Entry<Long, List<String>> start : starts.entrySet()) {
            long elapsed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - killed);
            Thread.sleep(Math.max(0, start.getKey() - elapsed));
            for (String node : start.getValue()) {
                deployment.process(node).waitFor();
                deployment.start(node);
                disrupted.remove(node);
            }
        }
    }

    /** Suspends a process for a time in milliseconds. */
    void suspend(String node, long milliseconds) throws IOException, InterruptedException {
        if (disrupted.add(node)) {
            signal(node, "STOP");
            Thread.sleep(milliseconds);
            signal(node, "CONT");
            disrupted.remove(node);
        }
    }

    /** Stops processes gracefully one after the other, and starts each again. */
    void terminateInTurn(List<String> nodes) throws IOException, InterruptedException {
        for (String node : nodes) {
            if (disrupted.add(node)) {
                signal(node, "TERM");
                if (!deployment.process(node).waitFor(TERMINATION_SECONDS, TimeUnit.SECONDS)) {
                    deployment.process(node).destroyForcibly().waitFor();
                }
                deployment.start(node);
                disrupted.remove(node);
            }
        }
    }

    private void signal(String node, String name) throws IOException, InterruptedException {
        long processId = deployment.process(node).pid();
        new ProcessBuilder("kill", "-" + name, Long.toString(processId)).start().waitFor();
    }

    /** Returns the log lines about a job, with the name of the process. */
    String logLines(String job) throws IOException {
        StringBuilder lines = new StringBuilder();
        for (String node : nodes()) {
            deployment
                    .log(node)
                    .lines()
                    .filter(line -> line.contains(job))
                    .forEach(line -> lines.append(String.format(Locale.ROOT, "  %s: %s%n", node, line)));
        }
        return lines.toString();
    }

    /** Copies the logs to another folder. */
    void copyLogs(Path destination) throws IOException {
        Files.createDirectories(destination);
        for (String node : nodes()) {
            Files.writeString(destination.resolve(node + ".log"), deployment.log(node));
        }
    }

    @Override
    public void close() {
        deployment.close();
        try {
            for (TcpProxy proxy : callerProxies.values()) {
                proxy.close();
            }
            for (TcpProxy proxy : linkProxies.values()) {
                proxy.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
