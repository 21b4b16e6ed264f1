package io.caperturn.sidecar.measurement;

import io.caperturn.kernel.EventLine;
import io.caperturn.settings.LinkTimes;
import io.caperturn.sidecar.FakeEntry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Processor time, bytes and memory of a sidecar without work, by the number of its entries. */
class IdleSidecarMeasurement {
    private static final int WARM_UP_SECONDS = 60;
    private static final int MEASURED_SECONDS = 20;

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 10})
    void idle(int count) throws Exception {
        List<FakeEntry> entries = new ArrayList<>();
        List<CountingRelay> links = new ArrayList<>();
        for (int number = 1; number <= count; number++) {
            FakeEntry entry = new FakeEntry("entry-" + number, LinkTimes.DEFAULT);
            entries.add(entry);
            links.add(new CountingRelay(entry.address()));
        }
        List<String> addresses = links.stream().map(CountingRelay::address).toList();
        try (SidecarProcess sidecar = new SidecarProcess("sidecar-1", addresses);
                CountingRelay announcements = new CountingRelay(sidecar.announceAddress())) {
            announceFor(WARM_UP_SECONDS, sidecar, announcements);
            double processorBefore = sidecar.processorSeconds();
            Map<String, Double> threadsBefore = sidecar.processorSecondsOfThreads();
            long sentBefore = sent(links);
            long receivedBefore = received(links);
            long announcedBefore = announcements.bytesToTarget() + announcements.bytesToClient();
            announceFor(MEASURED_SECONDS, sidecar, announcements);
            printThreads(count, threadsBefore, sidecar.processorSecondsOfThreads());
            System.out.println(EventLine.of("idle-sidecar")
                    .with("entries", count)
                    .with("processorPercent", (sidecar.processorSeconds() - processorBefore) * 100 / MEASURED_SECONDS)
                    .with("sentBytesPerSecond", (sent(links) - sentBefore) / MEASURED_SECONDS)
                    .with("receivedBytesPerSecond", (received(links) - receivedBefore) / MEASURED_SECONDS)
                    .with(
                            "announcementBytesPerSecond",
                            (announcements.bytesToTarget() + announcements.bytesToClient() - announcedBefore)
                                    / MEASURED_SECONDS)
                    .with("residentKilobytes", sidecar.residentKilobytes())
                    .with("liveHeapBytes", sidecar.liveHeapBytes()));
        } finally {
            entries.forEach(FakeEntry::close);
            for (CountingRelay link : links) {
                link.close();
            }
        }
    }

    private static void printThreads(int count, Map<String, Double> before, Map<String, Double> after) {
        EventLine line = EventLine.of("idle-sidecar-threads").with("entries", count);
        after.forEach((name, seconds) -> {
            double used = seconds - before.getOrDefault(name, 0.0);
            if (used > 0) {
                line.with(name.replace(' ', '-'), Math.round(used * 1_000) + "ms");
            }
        });
        System.out.println(line);
    }

    /** Announces once a second, as an upstream does. */
    private static void announceFor(int seconds, SidecarProcess sidecar, CountingRelay announcements) throws Exception {
        for (int second = 0; second < seconds; second++) {
            sidecar.announce(announcements.address(), "127.0.0.1:1");
            Thread.sleep(1_000);
        }
    }

    private static long sent(List<CountingRelay> links) {
        return links.stream().mapToLong(CountingRelay::bytesToTarget).sum();
    }

    private static long received(List<CountingRelay> links) {
        return links.stream().mapToLong(CountingRelay::bytesToClient).sum();
    }
}
