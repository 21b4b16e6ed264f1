package io.caperturn.sidecar.measurement;

import io.caperturn.kernel.EventLine;
import io.caperturn.settings.LinkTimeSettings;
import io.caperturn.sidecar.FakeWireEntry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Measures processor time, network bytes and memory of a sidecar process without tasks, for several numbers of linked
 * entry processes, which would send it tasks.
 */
class IdleSidecarMeasurement {
    private static final int WARM_UP_SECONDS = 60;
    private static final int MEASURED_SECONDS = 20;

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 10})
    void idleSidecar(int entryCount) throws Exception {
        List<FakeWireEntry> entries = new ArrayList<>();
        List<CountingRelay> linkRelays = new ArrayList<>();
        for (int number = 1; number <= entryCount; number++) {
            FakeWireEntry entry = new FakeWireEntry("entry-" + number, LinkTimeSettings.DEFAULT);
            entries.add(entry);
            linkRelays.add(new CountingRelay(entry.address()));
        }
        List<String> addresses = linkRelays.stream().map(CountingRelay::address).toList();
        try (SidecarProcess sidecar = new SidecarProcess("sidecar-1", addresses);
                CountingRelay announcementRelay = new CountingRelay(sidecar.announceAddress())) {
            announceFor(WARM_UP_SECONDS, sidecar, announcementRelay);
            double processorSecondsBefore = sidecar.processorSeconds();
            Map<String, Double> threadSecondsBefore = sidecar.processorSecondsOfThreads();
            long sentBytesBefore = bytesSent(linkRelays);
            long receivedBytesBefore = bytesReceived(linkRelays);
            long announcementBytesBefore = announcementRelay.bytesToTarget() + announcementRelay.bytesToClient();
            announceFor(MEASURED_SECONDS, sidecar, announcementRelay);
            printThreads(entryCount, threadSecondsBefore, sidecar.processorSecondsOfThreads());
            System.out.println(EventLine.of("idle-sidecar")
                    .with("entries", entryCount)
                    .with(
                            "processorPercent",
                            (sidecar.processorSeconds() - processorSecondsBefore) * 100 / MEASURED_SECONDS)
                    .with("sentBytesPerSecond", (bytesSent(linkRelays) - sentBytesBefore) / MEASURED_SECONDS)
                    .with(
                            "receivedBytesPerSecond",
                            (bytesReceived(linkRelays) - receivedBytesBefore) / MEASURED_SECONDS)
                    .with(
                            "announcementBytesPerSecond",
                            (announcementRelay.bytesToTarget()
                                            + announcementRelay.bytesToClient()
                                            - announcementBytesBefore)
                                    / MEASURED_SECONDS)
                    .with("residentKilobytes", sidecar.residentKilobytes())
                    .with("liveHeapBytes", sidecar.liveHeapBytes()));
        } finally {
            entries.forEach(FakeWireEntry::close);
            for (CountingRelay relay : linkRelays) {
                relay.close();
            }
        }
    }

    private static void printThreads(int entryCount, Map<String, Double> before, Map<String, Double> after) {
        EventLine line = EventLine.of("idle-sidecar-threads").with("entries", entryCount);
        after.forEach((name, seconds) -> {
            double usedSeconds = seconds - before.getOrDefault(name, 0.0);
            if (usedSeconds > 0) {
                line.with(name.replace(' ', '-'), Math.round(usedSeconds * 1_000) + "ms");
            }
        });
        System.out.println(line);
    }

    /**
     * Announces an upstream to the sidecar once a second, as the upstream itself does. A sidecar sends no new work to
     * an upstream that is no longer announced.
     */
    private static void announceFor(int seconds, SidecarProcess sidecar, CountingRelay announcementRelay)
            throws Exception {
        for (int second = 0; second < seconds; second++) {
            sidecar.announce(announcementRelay.address(), "127.0.0.1:1");
            Thread.sleep(1_000);
        }
    }

    private static long bytesSent(List<CountingRelay> linkRelays) {
        return linkRelays.stream().mapToLong(CountingRelay::bytesToTarget).sum();
    }

    private static long bytesReceived(List<CountingRelay> linkRelays) {
        return linkRelays.stream().mapToLong(CountingRelay::bytesToClient).sum();
    }
}
