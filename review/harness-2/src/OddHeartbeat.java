import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * LOST: after one heartbeat of another writer, whose service is not in the configuration, a sidecar uses its executor
 * no more; the executor's own heartbeats are dropped as older ones.
 */
final class OddHeartbeat {
    private static final int SIDECARS = 3;
    private static final long FIRST_STEP_MILLISECONDS = 2_000;
    private static final long FINISH_MILLISECONDS = 14_000;
    private static final long IDLE_MILLISECONDS = 3_000;

    private OddHeartbeat() {}

    public static void main(String[] arguments) {
        ReviewCase.main(arguments, OddHeartbeat::run);
    }

    private static List<String> run(RunLog log, boolean trouble) throws Exception {
        Deployment deployment = new Deployment(log, 2, SIDECARS, 16_000, List.of(List.of("a", "r1-1")));
        try {
            deployment.configure(1, List.of(Deployment.route("queue", 2, 60_000)));
            deployment.startAll();
            List<String> jobs = new ArrayList<>();
            for (int number = 1; number <= 4; number++) {
                String job = String.format("00000000000000d%d", number);
                Deployment.Answer answer = deployment.submit(
                        1 + number % 2,
                        "queue",
                        job,
                        List.of(
                                new Jobs.Step(2, 800, FIRST_STEP_MILLISECONDS, FIRST_STEP_MILLISECONDS, 0, ""),
                                new Jobs.Step(2, 800, 200, 200, 0, "")));
                if (answer.status() != 200) {
                    throw new IllegalStateException("a job is not accepted: " + answer);
                }
                jobs.add(job);
            }
            ExecutorStandIn.sleep(500);
            if (trouble) {
                for (int machine = 1; machine <= SIDECARS; machine++) {
                    log.note("heartbeat of another writer to " + Deployment.sidecarName(machine) + ": "
                            + sendOddHeartbeat(deployment.controlAddress(machine)));
                }
            }
            ExecutorStandIn.sleep(FINISH_MILLISECONDS + FIRST_STEP_MILLISECONDS);
            List<String> breaches = new ArrayList<>();
            for (String job : jobs) {
                Deployment.Answer state = deployment.recordState(1, "queue", job);
                if (!state.isState("completed")) {
                    breaches.add("LOST: " + job + " is answered " + state.status() + " " + state.body());
                }
            }
            double asked = log.now();
            while (log.now() < asked + IDLE_MILLISECONDS) {
                if (deployment.executors().stream().anyMatch(executor -> executor.usedCapacity() > 0)) {
                    log.note("capacity is in use");
                    breaches.clear();
                }
                ExecutorStandIn.sleep(50);
            }
            return breaches;
        } finally {
            ReviewCase.close(deployment);
        }
    }

    /** Sends a heartbeat that differs from those of the executors in its service alone; returns the status. */
    private static int sendOddHeartbeat(String controlAddress) throws Exception {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("service", "unnamed");
        body.put("address", "127.0.0.1:9");
        body.put("zone", "zone-a");
        body.put("version", "v1");
        body.put("slots", 8);
        body.put("state", "ready");
        body.put("coldRemainingMs", 0);
        body.put("capacity", Map.of("cpu", 16_000, "memMb", 65_536, "gpu", 0));
        body.put("labels", List.of("a", "r1-1"));
        body.put("clockMs", 1_000);
        body.put("born", System.currentTimeMillis() - 1_000);
        body.put("sequence", 1);
        return HttpClient.newHttpClient()
                .send(
                        HttpRequest.newBuilder(URI.create("http://" + controlAddress + "/instances/i-other"))
                                .timeout(Duration.ofSeconds(1))
                                .PUT(HttpRequest.BodyPublishers.ofByteArray(Json.write(body)))
                                .build(),
                        HttpResponse.BodyHandlers.discarding())
                .statusCode();
    }
}
