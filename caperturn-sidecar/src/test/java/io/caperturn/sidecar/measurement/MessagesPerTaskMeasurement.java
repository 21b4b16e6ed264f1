package io.caperturn.sidecar.measurement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.caperturn.kernel.EventLine;
import io.caperturn.settings.LinkTimeSettings;
import io.caperturn.settings.SidecarSettings;
import io.caperturn.settings.SidecarSettings.UpstreamSettings;
import io.caperturn.sidecar.FakeUpstream;
import io.caperturn.sidecar.FakeWireEntry;
import io.caperturn.sidecar.SidecarDaemon;
import io.caperturn.wire.message.Frame;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Counts the frames (messages) between an entry process and a sidecar process for each task, while one job keeps all
 * slots busy. The entry always fills the window, the maximum number of unfinished tasks that the sidecar accepts.
 */
@Timeout(60)
class MessagesPerTaskMeasurement {
    private static final int TASKS = 2_000;
    private static final UpstreamSettings UPSTREAM_SETTINGS = new UpstreamSettings(
            /* announcementTimeoutMilliseconds= */ 60_000,
            Set.of(),
            /* queuedPerSlot= */ 1,
            /* connectionIdleMilliseconds= */ 15_000);
    private static final Duration TASK_TIMEOUT = Duration.ofSeconds(20);

    @ParameterizedTest
    @CsvSource({"8, 0", "8, 10", "8, 50", "32, 10", "8, 10"})
    void framesOfOneJob(int slots, int taskMilliseconds) throws Exception {
        try (FakeUpstream upstream = new FakeUpstream();
                FakeWireEntry entry = new FakeWireEntry("entry-1", LinkTimeSettings.DEFAULT)) {
            upstream.setRunTime(Duration.ofMillis(taskMilliseconds));
            // Null and 0 stand for defaults.
            SidecarDaemon sidecar = SidecarDaemon.start(new SidecarSettings(
                    "sidecar-1", "zone-a", "127.0.0.1:0", List.of(entry.address()), UPSTREAM_SETTINGS, null, null, 0));
            try {
                announce(sidecar, upstream, slots);
                entry.awaitLink();
                run(entry, slots, taskMilliseconds);
                assertEquals(TASKS, upstream.starts().size());
            } finally {
                sidecar.stop();
            }
        }
    }

    private static void run(FakeWireEntry entry, int slots, int taskMilliseconds) throws InterruptedException {
        Map<Frame.BodyCase, Integer> received = new TreeMap<>();
        long startedAtNanoseconds = System.nanoTime();
        int sentFrames = 0;
        int sentTasks = 0;
        int finishedTasks = 0;
        int window = 0;
        while (finishedTasks < TASKS) {
            Frame frame = entry.awaitFrame(ignored -> true);
            received.merge(frame.getBodyCase(), 1, Integer::sum);
            finishedTasks += frame.getReportBatch().getReportsCount();
            window = windowAfter(frame, window);
            int dispatchableTasks = Math.min(TASKS - sentTasks, window - (sentTasks - finishedTasks));
            if (dispatchableTasks > 0) {
                entry.dispatchTasks(sentTasks, dispatchableTasks, TASKS - sentTasks - dispatchableTasks, TASK_TIMEOUT);
                sentTasks += dispatchableTasks;
                sentFrames++;
            }
        }
        int frames = sentFrames
                + received.values().stream().mapToInt(Integer::intValue).sum();
        System.out.println(EventLine.of("messages-per-task")
                .with("slots", slots)
                .with("taskMilliseconds", taskMilliseconds)
                .with("framesPerTask", (double) frames / TASKS)
                .with("dispatchFrames", sentFrames)
                .with("receivedFrames", received.toString().replace(" ", ""))
                .with(
                        "milliseconds",
                        Duration.ofNanos(System.nanoTime() - startedAtNanoseconds)
                                .toMillis()));
    }

    /** Returns the window of the frame, or the current one if the frame has none. */
    private static int windowAfter(Frame frame, int currentWindow) {
        return switch (frame.getBodyCase()) {
            case REPORT_BATCH -> frame.getReportBatch().getWindow();
            case WINDOW -> frame.getWindow().getWindow();
            case UPSTREAM -> frame.getUpstream().getWindow();
            default -> currentWindow;
        };
    }

    private static void announce(SidecarDaemon sidecar, FakeUpstream upstream, int slots) throws Exception {
        String body = """
                {"name":"upstream-1","kinds":["assay"],"slots":%d,"connections":64,"worker":"worker-1","rack":"rack-1",\
                "availabilityZone":"zone-a","address":"%s","state":"serving"}""".formatted(slots, upstream.address());
        try (HttpClient http = HttpClient.newHttpClient()) {
            http.send(
                    HttpRequest.newBuilder(URI.create("http://" + sidecar.announceAddress() + "/v1/announcements"))
                            .POST(HttpRequest.BodyPublishers.ofString(body))
                            .build(),
                    HttpResponse.BodyHandlers.discarding());
        }
    }
}
